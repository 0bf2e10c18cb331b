package steward

import (
	"context"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// goneAfterIntervals is the number of list intervals after which a VM that no
// list shows counts as gone.
const goneAfterIntervals = 5

// maxUnsharedProposals is the largest number of registrations and removals that
// a steward proposes regardless of shares.
const maxUnsharedProposals = 64

// lister reads the platform's list of VMs. The list lags, so it is used only to
// register VMs and to remove those that are also down.
type lister struct {
	*Steward
	asOf        time.Time
	absentSince map[string]time.Time // by VM: time of the first list without it
}

func newLister(s *Steward) *lister { return &lister{Steward: s, absentSince: map[string]time.Time{}} }

// serve reads the list in turns with the other stewards, so that one of them
// reads it in each interval. The list has an entry for every VM: a read by
// every steward at each interval would cost a node more than all its other
// work.
func (l *lister) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		l.poll(ctx)
		wait.Sleep(ctx, l.shares.untilNextTurn(time.Now(), l.cfg.ListInterval))
	}
	return ctx.Err()
}

func (l *lister) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ActionTimeout)
	defer cancel()
	list, err := l.cfg.Fleet.List(ctx)
	if err != nil {
		l.cfg.Logger.Warn("cannot list the platform's VMs", "error", err)
		return
	}
	if !l.MayDecide() || !list.AsOf.After(l.asOf) {
		return
	}
	l.asOf = list.AsOf
	seen, proposals := l.diff(list)
	l.proposer.proposeAll(ctx, seen, proposals)
}

// diff returns the registrations and removals that the list calls for, and the
// offset of the state. This steward has the newest list, so it proposes them
// regardless of shares. If there are more than maxUnsharedProposals, as when
// all stewards start, it proposes only those of its share.
func (l *lister) diff(list platform.VMList) (uint64, []pool.Proposal) {
	var proposals []pool.Proposal
	listed := map[string]bool{}
	var seen uint64
	l.cfg.Follower.View(func(st *ledger.State) {
		l.shares.updateNodes(st, l.cfg.Peers)
		seen = st.Offset
		for _, vm := range list.VMs {
			listed[vm.ID] = true
			if _, ok := st.VMs[vm.ID]; !ok {
				proposals = append(proposals, registrationOf(vm))
			}
		}
		for id, vm := range st.VMs {
			if l.shouldRemove(vm, listed[id]) {
				proposals = append(proposals, pool.OnVM(&pool.VM{VM: copyVM(vm)}, record.VMGone{}, id, "neither listed nor healthy"))
			}
		}
	})
	if len(proposals) <= maxUnsharedProposals {
		return seen, proposals
	}
	now := time.Now()
	return seen, slices.DeleteFunc(proposals, func(d pool.Proposal) bool {
		return !l.shares.responsibleFor(d.Share, string(d.Body.Kind())+"/"+d.Share, now)
	})
}

// shouldRemove reports whether a VM must be removed. Absence from the list
// alone is not enough: the list lags and may omit a VM that still answers
// requests.
func (l *lister) shouldRemove(vm *ledger.VM, listed bool) bool {
	if listed {
		delete(l.absentSince, vm.ID)
		return false
	}
	since, ok := l.absentSince[vm.ID]
	if !ok {
		l.absentSince[vm.ID] = l.asOf
		return false
	}
	return vm.Down && l.asOf.Sub(since) >= goneAfterIntervals*l.cfg.ListInterval
}

func registrationOf(vm platform.VM) pool.Proposal {
	return pool.Proposal{
		Subject: record.Subject{Kind: record.SubjectVM, Name: vm.ID},
		Body: record.VMRegister{
			Zone:         vm.Zone,
			Rack:         vm.Rack,
			Address:      vm.Address,
			Cores:        vm.Cores,
			MemoryMB:     vm.MemoryMB,
			Accelerators: vm.Accelerators,
		},
		Share: vm.ID,
		Why:   "new in the platform's list",
	}
}
