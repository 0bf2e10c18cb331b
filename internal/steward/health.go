package steward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Checker checks a backend server; a nil error means that it is healthy.
type Checker interface {
	Check(ctx context.Context, address string) error
}

// Limits of health checks.
const (
	checkParallel = 32
	downAfter     = 3 // failures in a row
	upAfter       = 2 // successes in a row
	// checksPerSecond bounds the routine checks. The larger the share, the
	// longer a VM waits for its next one. A VM whose state is about to change
	// is checked at every interval.
	checksPerSecond = 10
)

// health checks the VMs of this steward's share.
type health struct {
	*Steward
	results map[string]*consecutiveResults
}

// consecutiveResults counts equal results in a row.
type consecutiveResults struct {
	successes, failures int
	cause               string
	checkedAt           time.Time // of the latest check
}

func newHealth(s *Steward) *health {
	return &health{Steward: s, results: map[string]*consecutiveResults{}}
}

func (h *health) serve(ctx context.Context) error {
	return every(ctx, h.cfg.CheckInterval, h.runRound)
}

func (h *health) runRound(ctx context.Context) {
	share, seen := h.ownServingVMs()
	vms, sample := h.selectVMs(share)
	checkResults := h.checkAll(ctx, vms)
	now := time.Now()
	var proposals []pool.Proposal
	var failing []failingVM
	for i, vm := range vms {
		s := h.recordResult(vm.ID, checkResults[i])
		s.checkedAt = now
		switch {
		case !vm.Down && s.failures >= downAfter:
			failing = append(failing, failingVM{vm: vm, cause: s.cause})
		case vm.Down && s.successes >= upAfter:
			proposals = append(proposals, pool.OnVM(&pool.VM{VM: vm}, record.VMUp{}, vm.ID, "healthy again"))
		}
	}
	for _, s := range h.confirmFailures(ctx, failing, checkResults[:sample]) {
		proposals = append(proposals, pool.OnVM(&pool.VM{VM: s.vm}, record.VMDown{Cause: s.cause}, s.vm.ID, s.cause))
	}
	if h.MayDecide() {
		h.proposer.proposeAll(ctx, seen, proposals)
	}
}

// ownServingVMs returns the VMs of this steward's share, except those in a
// drain, which the executor handles, and the offset of the state.
func (h *health) ownServingVMs() ([]ledger.VM, uint64) {
	var vms []ledger.VM
	var seen uint64
	now := time.Now()
	h.cfg.Follower.View(func(st *ledger.State) {
		seen = st.Offset
		for id, vm := range st.VMs {
			if maintenance.Next(vm) == maintenance.StepNone && h.shares.isFirst(id, now) {
				vms = append(vms, copyVM(vm))
			}
		}
	})
	return vms, seen
}

// selectVMs returns the VMs to check in this round: first the sample, which are
// the VMs whose last check is the oldest, then the VMs with results that
// contradict their recorded state.
func (h *health) selectVMs(share []ledger.VM) (vms []ledger.VM, sample int) {
	slices.SortFunc(share, func(a, b ledger.VM) int {
		return cmp.Or(h.resultsOf(a.ID).checkedAt.Compare(h.resultsOf(b.ID).checkedAt), cmp.Compare(a.ID, b.ID))
	})
	sample = min(len(share), max(1, int(checksPerSecond*h.cfg.CheckInterval.Seconds())))
	vms = slices.Clone(share[:sample])
	for _, vm := range share[sample:] {
		if s := h.resultsOf(vm.ID); (!vm.Down && s.failures > 0) || (vm.Down && s.successes > 0) {
			vms = append(vms, vm)
		}
	}
	return vms, sample
}

func (h *health) checkAll(ctx context.Context, vms []ledger.VM) []error {
	results := make([]error, len(vms))
	slots := make(chan struct{}, checkParallel)
	var wg sync.WaitGroup
	for i := range vms {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = h.cfg.Health.Check(ctx, vms[i].Address)
		})
	}
	wg.Wait()
	return results
}

func (h *health) resultsOf(vm string) *consecutiveResults {
	s := h.results[vm]
	if s == nil {
		s = &consecutiveResults{}
		h.results[vm] = s
	}
	return s
}

func (h *health) recordResult(vm string, result error) *consecutiveResults {
	s := h.resultsOf(vm)
	if result == nil {
		s.successes, s.failures, s.cause = s.successes+1, 0, ""
		return s
	}
	s.successes, s.failures, s.cause = 0, s.failures+1, result.Error()
	return s
}
