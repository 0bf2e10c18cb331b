// Package maintenance plans maintenance waves and the steps of a drain. It is
// pure: plans are functions of a pool.View and the time in it.
package maintenance

import (
	"cmp"
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Drains proposes the next drains of the running waves, as many as the pools'
// budgets bear.
func Drains(r *pool.Round) {
	for _, w := range r.View.Waves {
		if !w.Running {
			continue
		}
		for _, vm := range turns(r, w) {
			if r.Full() {
				return
			}
			body := record.VMDrain{
				Reason:   record.DrainMaintenance,
				Wave:     w.ID,
				Estimate: r.Policy.Estimate[record.DrainMaintenance],
			}
			r.Drain(vm, body, "its turn in the wave")
		}
	}
}

// turns returns the VMs that could be drained now, by rack, so that one rack
// of a pool is finished before the next is begun.
func turns(r *pool.Round, w *pool.Wave) []*pool.VM {
	var due []*pool.VM
	for id, progress := range w.VMs {
		vm := r.View.VM(id)
		if progress != ledger.WavePending || vm == nil || r.Taken(vm) {
			continue
		}
		if vm.Phase == record.PhaseServing {
			due = append(due, vm)
		}
	}
	slices.SortFunc(due, func(a, b *pool.VM) int {
		if c := cmp.Compare(a.Rack, b.Rack); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return due
}
