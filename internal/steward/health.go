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

// Checker asks a backend server whether it is healthy; nil means yes.
type Checker interface {
	Check(ctx context.Context, address string) error
}

// Bounds of health checks.
const (
	checkParallel = 32
	downAfter     = 3 // failures in a row
	upAfter       = 2 // successes in a row
	// checksPerSecond bounds the checks of VMs without news. In a large share
	// each VM's turn comes later; one that fails, or recovers, is checked at
	// every interval until that is settled.
	checksPerSecond = 10
)

// health watches the VMs of this steward's share.
type health struct {
	*Steward
	streaks map[string]*streak
}

// streak counts like results in a row.
type streak struct {
	good, bad int
	cause     string
	at        time.Time // of the latest check
}

func newHealth(s *Steward) *health { return &health{Steward: s, streaks: map[string]*streak{}} }

func (h *health) serve(ctx context.Context) error {
	return every(ctx, h.cfg.CheckInterval, h.round)
}

func (h *health) round(ctx context.Context) {
	share, seen := h.watched()
	vms, sample := h.due(share)
	results := h.checkAll(ctx, vms)
	now := time.Now()
	var proposals []pool.Proposal
	var failing []suspect
	for i, vm := range vms {
		s := h.note(vm.ID, results[i])
		s.at = now
		switch {
		case !vm.Down && s.bad >= downAfter:
			failing = append(failing, suspect{vm: vm, cause: s.cause})
		case vm.Down && s.good >= upAfter:
			proposals = append(proposals, pool.OnVM(&pool.VM{VM: vm}, record.VMUp{}, vm.ID, "healthy again"))
		}
	}
	for _, s := range h.confirmed(ctx, failing, results[:sample]) {
		proposals = append(proposals, pool.OnVM(&pool.VM{VM: s.vm}, record.VMDown{Cause: s.cause}, s.vm.ID, s.cause))
	}
	if h.MayDecide() {
		h.propose.all(ctx, seen, proposals)
	}
}

// watched returns the VMs of this steward's share that are not on their way
// through a drain: those are the executor's.
func (h *health) watched() ([]ledger.VM, uint64) {
	var vms []ledger.VM
	var seen uint64
	now := time.Now()
	h.cfg.Follower.View(func(st *ledger.State) {
		seen = st.Offset
		for id, vm := range st.VMs {
			if maintenance.Next(vm) == maintenance.StepNone && h.shares.first(id, now) {
				vms = append(vms, copyVM(vm))
			}
		}
	})
	return vms, seen
}

// due returns the VMs to check in this round: those whose latest check is the
// oldest, whose number sample also returns, and those with news to settle.
func (h *health) due(share []ledger.VM) (vms []ledger.VM, sample int) {
	slices.SortFunc(share, func(a, b ledger.VM) int {
		return cmp.Or(h.streak(a.ID).at.Compare(h.streak(b.ID).at), cmp.Compare(a.ID, b.ID))
	})
	sample = min(len(share), max(1, int(checksPerSecond*h.cfg.CheckInterval.Seconds())))
	vms = slices.Clone(share[:sample])
	for _, vm := range share[sample:] {
		if s := h.streak(vm.ID); (!vm.Down && s.bad > 0) || (vm.Down && s.good > 0) {
			vms = append(vms, vm)
		}
	}
	return vms, sample
}

func (h *health) checkAll(ctx context.Context, vms []ledger.VM) []error {
	results := make([]error, len(vms))
	room := make(chan struct{}, checkParallel)
	var wg sync.WaitGroup
	for i := range vms {
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			results[i] = h.cfg.Health.Check(ctx, vms[i].Address)
		})
	}
	wg.Wait()
	return results
}

func (h *health) streak(vm string) *streak {
	s := h.streaks[vm]
	if s == nil {
		s = &streak{}
		h.streaks[vm] = s
	}
	return s
}

func (h *health) note(vm string, result error) *streak {
	s := h.streak(vm)
	if result == nil {
		s.good, s.bad, s.cause = s.good+1, 0, ""
		return s
	}
	s.good, s.bad, s.cause = 0, s.bad+1, result.Error()
	return s
}
