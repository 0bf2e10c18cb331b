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

// goneAfter is for how many list intervals lists must lack a VM before it
// counts as gone.
const goneAfter = 5

// manyListed is how many registrations and removals one steward proposes
// without regard to shares.
const manyListed = 64

// lister reads the platform's list of VMs. The list lags: it makes VMs known
// and, with the VM's own silence, ends them, and decides nothing else.
type lister struct {
	*Steward
	asOf   time.Time
	absent map[string]time.Time // since which list a VM is missing
}

func newLister(s *Steward) *lister { return &lister{Steward: s, absent: map[string]time.Time{}} }

// serve reads the list by turns with the other stewards, so that one of them
// reads it in each interval. The list has a line for every VM: were it read by
// all of them at each interval, it would cost a node more than all else.
func (l *lister) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		l.poll(ctx)
		wait.Sleep(ctx, l.shares.turn(time.Now(), l.cfg.ListInterval))
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
	seen, proposals := l.compare(list)
	l.propose.all(ctx, seen, proposals)
}

// compare returns the registrations and removals that the list calls for. This
// steward has the newest list, so it proposes them whoever's share they are. Of
// many at once, as when all stewards start, it proposes those of its share only.
func (l *lister) compare(list platform.VMList) (uint64, []pool.Proposal) {
	var proposals []pool.Proposal
	listed := map[string]bool{}
	var seen uint64
	l.cfg.Follower.View(func(st *ledger.State) {
		l.shares.follow(st, l.cfg.Peers)
		seen = st.Offset
		for _, vm := range list.VMs {
			listed[vm.ID] = true
			if _, ok := st.VMs[vm.ID]; !ok {
				proposals = append(proposals, register(vm))
			}
		}
		for id, vm := range st.VMs {
			if l.gone(vm, listed[id]) {
				proposals = append(proposals, pool.OnVM(&pool.VM{VM: copyVM(vm)}, record.VMGone{}, id, "neither listed nor healthy"))
			}
		}
	})
	if len(proposals) <= manyListed {
		return seen, proposals
	}
	now := time.Now()
	return seen, slices.DeleteFunc(proposals, func(d pool.Proposal) bool {
		return !l.shares.mine(d.Share, string(d.Body.Kind())+"/"+d.Share, now)
	})
}

// gone reports whether a VM is to be removed. Absence from the list alone does
// not do: the list lags and may leave out a VM that still answers requests.
func (l *lister) gone(vm *ledger.VM, listed bool) bool {
	if listed {
		delete(l.absent, vm.ID)
		return false
	}
	since, ok := l.absent[vm.ID]
	if !ok {
		l.absent[vm.ID] = l.asOf
		return false
	}
	return vm.Down && l.asOf.Sub(since) >= goneAfter*l.cfg.ListInterval
}

func register(vm platform.VM) pool.Proposal {
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
