package pool

import (
	"cmp"
	"time"
)

// gap is a pool that has fewer VMs than it should.
type gap struct {
	pool *Pool
	want int
	have int
	// mayMove is set if a VM of another pool may be drained for the gap: the gap
	// has lasted, or the pool's budget is nearly spent.
	mayMove bool
}

func (g *gap) shortage() int { return g.want - g.have }

// targetSize returns how many VMs the pool should have.
func (r *Round) targetSize(p *Pool) int {
	if r.Policy.Reserve == ReserveOwn {
		return p.Doc.Pool.Size + max(1, r.Spare().Own[p.Name])
	}
	return p.Doc.Pool.Size
}

// Spare returns the spare VMs that the fleet of the view needs.
func (r *Round) Spare() Spare {
	if r.spare == nil {
		s := SpareFor(r.View.Pools, r.Policy.Rates, r.Policy.FailureShare)
		r.spare = &s
	}
	return *r.spare
}

// gaps returns the gaps of the pools that are short, sorted by pool name.
func (r *Round) gaps() []*gap {
	var gaps []*gap
	for _, p := range r.View.Pools {
		g := &gap{pool: p, want: r.targetSize(p), have: r.Present(p)}
		if g.shortage() > 0 {
			g.mayMove = r.hasLasted(p.GapSince, r.Policy.delays(p).Move) || r.budgetNearlySpent(p)
			gaps = append(gaps, g)
		}
	}
	return gaps
}

// need ranks gaps by urgency: by the missing share of the declared size, then by
// the missing share of the target size, which includes the pool's own spare VMs.
type need struct{ missing, spare float64 }

// need returns the need of the gap after got VMs were assigned to it.
func (g *gap) need(got int) need {
	size := g.pool.Doc.Pool.Size
	return need{
		missing: float64(max(0, size-g.have-got)) / float64(max(1, size)),
		spare:   float64(g.shortage()-got) / float64(max(1, g.want)),
	}
}

// compare orders needs, the greatest first.
func (n need) compare(o need) int {
	return cmp.Or(cmp.Compare(o.missing, n.missing), cmp.Compare(o.spare, n.spare))
}

// hasLasted reports whether a condition that began at since has lasted for wait.
func (r *Round) hasLasted(since time.Time, wait time.Duration) bool {
	return !since.IsZero() && r.View.Now.Sub(since) >= wait
}

// budgetNearlySpent reports whether the pool has max_unavailable VMs out or has
// spent more than half of its budget, so that waiting costs more than a move.
func (r *Round) budgetNearlySpent(p *Pool) bool {
	h := &p.Headroom
	return h.Size-h.Serving >= max(1, h.Budget.MaxUnavailable) || h.Spent > h.Allowed/2
}

// Present counts the VMs that the pool can rely on: VMs that stay in it, except
// those down for so long that they are replaced, and VMs in transit to it.
func (r *Round) Present(p *Pool) int {
	n := r.incoming[p.Name] + len(r.joining[p.Name])
	for _, vm := range p.VMs {
		if vm.StaysInPool() && !r.needsReplacement(vm, p) && !r.leaving[vm.ID] {
			n++
		}
	}
	return n
}

// Surplus returns by how many the pool's VMs that are not down, and those in
// transit to it, exceed its target size.
func (r *Round) Surplus(p *Pool) int {
	n := r.incoming[p.Name] + len(r.joining[p.Name])
	for _, vm := range p.VMs {
		if vm.StaysInPool() && !vm.Down && !r.leaving[vm.ID] {
			n++
		}
	}
	return max(0, n-r.targetSize(p))
}

// needsReplacement reports whether the VM has been down for the pool's
// Delays.Replace or longer.
func (r *Round) needsReplacement(vm *VM, p *Pool) bool {
	return vm.Down && r.View.Now.Sub(vm.HealthSince) >= r.Policy.delays(p).Replace
}
