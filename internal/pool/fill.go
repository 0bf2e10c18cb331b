package pool

import (
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Fill proposes VMs for the pools that are short: free VMs first, then the
// surplus of other pools once it has lasted. For a gap that stays open it
// proposes an exchange.
func Fill(r *Round) {
	gaps := r.gaps()
	if len(gaps) == 0 {
		return
	}
	s := r.supply()
	a := assign(gaps, s.classes, s.surplus, r.Policy.MaxProposals-len(r.Proposals))
	for i, c := range a.classes {
		for j, g := range a.gaps {
			for range a.flow[i][j] {
				if r.Full() {
					return
				}
				r.assignVM(c, g)
			}
		}
	}
	for j, g := range a.gaps {
		if a.filled[j] < g.shortage() && g.mayMove {
			r.exchange(g)
		}
	}
}

// exchange adds a free VM that does not fit the gap to a pool with VMs that do.
// The surplus of that pool then moves to the gap once it has lasted. Without
// the exchange, a pool would stay short while other pools hold larger VMs than
// they need and smaller VMs are free.
func (r *Round) exchange(g *gap) {
	for _, p := range r.View.Pools {
		if r.Full() || p == g.pool || r.Surplus(p) > 0 || !r.hasFittingVM(p, g.pool) {
			continue
		}
		if vm := r.bestFreeVM(p); vm != nil && !Fits(vm, g.pool.Doc.Pool) {
			r.proposeJoin(vm, p.Name, r.targetSize(p)+1, "in exchange for a VM that fits pool "+g.pool.Name)
			return
		}
	}
}

// hasFittingVM reports whether p has a serving VM, not yet decided about, that
// fits the other pool.
func (r *Round) hasFittingVM(p, other *Pool) bool {
	return slices.ContainsFunc(p.VMs, func(vm *VM) bool { return vm.Serving() && !r.Decided(vm) && Fits(vm, other.Doc.Pool) })
}

// assignVM proposes to move the best VM of a class to a gap.
func (r *Round) assignVM(c *class, g *gap) {
	vm := r.selectVM(c, g.pool)
	if vm == nil {
		return
	}
	to := g.pool.Name
	switch c.tier {
	case tierFree:
		r.proposeJoin(vm, to, g.want, "the pool has fewer VMs than it should")
	case tierOutOfService:
		r.leaving[vm.ID] = true
		r.joining[to] = append(r.joining[to], vm)
		r.Propose(vm, record.VMRedirect{Target: to}, vm.Pool, "already out of service and needed in another pool")
	case tierPendingTurn:
		r.Drain(vm, r.WaveDrain(vm, to), "its turn in the wave, and needed in another pool")
	case tierServing:
		body := record.VMDrain{Reason: record.DrainMove, Target: to, Estimate: r.Estimate(vm, record.DrainMove)}
		r.Drain(vm, body, "its pool has a surplus, the target pool is short")
	}
}

// proposeJoin proposes that a free VM joins a pool with a target size of want.
func (r *Round) proposeJoin(vm *VM, pool string, want int, why string) {
	r.joining[pool] = append(r.joining[pool], vm)
	r.Propose(vm, record.VMJoin{Pool: pool, Want: want}, pool, why)
}

// WaveDrain returns the drain for a VM's turn in a wave. After it the VM joins
// the target pool, or returns to its own if target is empty. The VM must have a
// pending turn in a running wave.
func (r *Round) WaveDrain(vm *VM, target string) record.VMDrain {
	return record.VMDrain{
		Reason:   record.DrainMaintenance,
		Wave:     r.View.DueWave(vm).ID,
		Target:   target,
		Estimate: r.Estimate(vm, record.DrainMaintenance),
	}
}

// selectVM returns the VM of the class that suits the pool best, or nil: VMs
// without jobs come first, then the VM that spreads the pool most widely.
func (r *Round) selectVM(c *class, to *Pool) *VM {
	target := r.spread(to)
	var donor spread
	from := r.View.Pool(c.donor)
	if from != nil {
		donor = r.spread(from)
	}
	var best *VM
	for _, vm := range c.vms {
		if r.Decided(vm) || (from != nil && !donor.canLose(from, vm)) {
			continue
		}
		if best == nil || preferred(target, vm, best) {
			best = vm
		}
	}
	return best
}

// preferred reports whether a suits the pool with spread s better than b.
func preferred(s spread, a, b *VM) bool {
	if (a.Jobs == 0) != (b.Jobs == 0) {
		return a.Jobs == 0
	}
	return s.spreadsWider(a, b)
}
