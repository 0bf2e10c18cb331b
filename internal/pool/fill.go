package pool

import (
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Fill gives VMs to the pools that are short: free ones first, then the lasting
// surplus of other pools, then what an exchange sets free.
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

// exchange gives a free VM, which does not fit the gap, to a pool that has VMs
// which do. That pool then has a surplus, which moves to the gap once it has
// lasted. Without this a pool stays short while others hold larger VMs than they
// need and smaller ones lie free.
func (r *Round) exchange(g *gap) {
	for _, p := range r.View.Pools {
		if r.Full() || p == g.pool || r.Surplus(p) > 0 || !r.hasFittingVM(p, g.pool) {
			continue
		}
		if vm := r.bestFreeVM(p); vm != nil && !Fits(vm, g.pool.Doc.Pool) {
			r.proposeJoin(vm, p.Name, r.targetSize(p)+1, "in exchange for one that fits pool "+g.pool.Name)
			return
		}
	}
}

// hasFittingVM reports whether the pool has a VM that fits another one.
func (r *Round) hasFittingVM(p, other *Pool) bool {
	return slices.ContainsFunc(p.VMs, func(vm *VM) bool { return vm.Serving() && !r.Taken(vm) && Fits(vm, other.Doc.Pool) })
}

// assignVM sends the best VM of a class to a gap.
func (r *Round) assignVM(c *class, g *gap) {
	vm := r.selectVM(c, g.pool)
	if vm == nil {
		return
	}
	to := g.pool.Name
	switch c.tier {
	case tierFree:
		r.proposeJoin(vm, to, g.want, "the pool is short of its size")
	case tierOutOfService:
		r.leaving[vm.ID] = true
		r.joining[to] = append(r.joining[to], vm)
		r.Propose(vm, record.VMRedirect{Target: to}, vm.Pool, "out of service already and wanted elsewhere")
	case tierPendingTurn:
		r.Drain(vm, r.WaveDrain(vm, to), "its turn in the wave, and wanted elsewhere")
	case tierServing:
		body := record.VMDrain{Reason: record.DrainMove, Target: to, Estimate: r.Estimate(vm, record.DrainMove)}
		r.Drain(vm, body, "its pool has too many, the target too few")
	}
}

// proposeJoin proposes that a free VM joins a pool that wants want VMs.
func (r *Round) proposeJoin(vm *VM, pool string, want int, why string) {
	r.joining[pool] = append(r.joining[pool], vm)
	r.Propose(vm, record.VMJoin{Pool: pool, Want: want}, pool, why)
}

// WaveDrain returns the drain for a VM's turn in a wave, which may end in
// another pool. The VM must be due in a wave.
func (r *Round) WaveDrain(vm *VM, target string) record.VMDrain {
	return record.VMDrain{
		Reason:   record.DrainMaintenance,
		Wave:     r.View.DueWave(vm).ID,
		Target:   target,
		Estimate: r.Estimate(vm, record.DrainMaintenance),
	}
}

// selectVM returns the VM of the class that suits the pool best: one without jobs,
// then the one that spreads the pool widest.
func (r *Round) selectVM(c *class, to *Pool) *VM {
	target := r.spread(to)
	var donor spread
	from := r.View.Pool(c.donor)
	if from != nil {
		donor = r.spread(from)
	}
	var best *VM
	for _, vm := range c.vms {
		if r.Taken(vm) || (from != nil && !donor.canLose(from, vm)) {
			continue
		}
		if best == nil || preferred(target, vm, best) {
			best = vm
		}
	}
	return best
}

func preferred(s spread, a, b *VM) bool {
	if (a.Jobs == 0) != (b.Jobs == 0) {
		return a.Jobs == 0
	}
	return s.spreadsWider(a, b)
}
