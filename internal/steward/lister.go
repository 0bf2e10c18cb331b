package steward

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// goneAfter is how many lists in a row must lack a VM before it counts as gone.
const goneAfter = 5

// lister reads the platform's list of VMs. The list lags: it makes VMs known
// and, with the VM's own silence, ends them, and decides nothing else.
type lister struct {
	*Steward
	asOf   time.Time
	absent map[string]int
}

func newLister(s *Steward) *lister { return &lister{Steward: s, absent: map[string]int{}} }

func (l *lister) serve(ctx context.Context) error {
	return every(ctx, l.cfg.ListInterval, l.poll)
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

// compare returns the registrations and removals that the list calls for.
func (l *lister) compare(list platform.VMList) (uint64, []pool.Proposal) {
	var proposals []pool.Proposal
	listed := map[string]bool{}
	var seen uint64
	l.cfg.Follower.View(func(st *ledger.State) {
		l.shares.follow(st, l.cfg.Peers)
		seen = st.Offset
		for _, vm := range list.VMs {
			listed[vm.ID] = true
			if _, ok := st.VMs[vm.ID]; !ok && l.due(vm.ID, "register") {
				proposals = append(proposals, register(vm))
			}
		}
		for id, vm := range st.VMs {
			if l.gone(vm, listed[id]) && l.due(id, "gone") {
				proposals = append(proposals, pool.OnVM(&pool.VM{VM: copyVM(vm)}, record.VMGone{}, id, "neither listed nor healthy"))
			}
		}
	})
	return seen, proposals
}

func (l *lister) due(vm, what string) bool {
	return l.shares.mine(vm, what+"/"+vm, time.Now())
}

// gone reports whether a VM is to be removed. Absence from the list alone does
// not do: the list lags and may leave out a VM that still answers requests.
func (l *lister) gone(vm *ledger.VM, listed bool) bool {
	if listed {
		delete(l.absent, vm.ID)
		return false
	}
	l.absent[vm.ID]++
	return l.absent[vm.ID] >= goneAfter && vm.Down
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
