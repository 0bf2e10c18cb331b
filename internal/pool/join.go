package pool

import (
	"cmp"
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// gap is a pool that has fewer VMs than it should.
type gap struct {
	pool *Pool
	want int
	have int
}

func (g gap) short() int { return g.want - g.have }

// Joins fills gaps from the free VMs. A free VM disturbs nobody, so this comes
// before any move.
func Joins(r *Round) {
	gaps := r.gaps()
	for len(gaps) > 0 && !r.Full() {
		slices.SortStableFunc(gaps, mostShort)
		g := &gaps[0]
		vm := r.bestFree(g.pool)
		if vm == nil {
			gaps = gaps[1:]
			continue
		}
		r.joining[g.pool.Name] = append(r.joining[g.pool.Name], vm)
		r.Propose(vm, record.VMJoin{Pool: g.pool.Name, Want: g.want}, g.pool.Name, "the pool is short of its size")
		g.have++
		if g.short() <= 0 {
			gaps = gaps[1:]
		}
	}
}

// mostShort orders gaps by the share of the pool that is missing.
func mostShort(a, b gap) int {
	if c := cmp.Compare(b.short()*a.want, a.short()*b.want); c != 0 {
		return c
	}
	return cmp.Compare(a.pool.Name, b.pool.Name)
}

func (r *Round) gaps() []gap {
	var gaps []gap
	for _, p := range r.View.Pools {
		g := gap{pool: p, want: p.Doc.Pool.Size, have: r.present(p)}
		if g.short() > 0 {
			gaps = append(gaps, g)
		}
	}
	return gaps
}

// present counts the VMs that the pool can rely on: those that stay, unless
// down for longer than ReplaceAfter, and those on their way in.
func (r *Round) present(p *Pool) int {
	n := 0
	for _, vm := range p.VMs {
		if vm.Staying() && !r.lost(vm) {
			n++
		}
	}
	for _, vm := range r.View.VMs {
		if vm.Drain != nil && vm.Drain.Target == p.Name && vm.Pool != p.Name {
			n++
		}
	}
	return n + len(r.joining[p.Name])
}

// lost reports whether a VM has been down for so long that it is replaced.
func (r *Round) lost(vm *VM) bool {
	return vm.Down && r.View.Now.Sub(vm.HealthSince) >= r.Policy.ReplaceAfter
}

// bestFree returns the free VM that fits the pool and spreads it widest: least
// VMs of the pool in its zone, then in its rack.
func (r *Round) bestFree(p *Pool) *VM {
	spread := r.spread(p)
	var best *VM
	for _, vm := range r.View.Free {
		if r.Taken(vm) || !Fits(vm, p.Doc.Pool) {
			continue
		}
		if best == nil || spread.better(vm, best) {
			best = vm
		}
	}
	return best
}

// spread counts a pool's VMs by zone and rack.
type spread struct {
	zones map[string]int
	racks map[string]int
}

func (r *Round) spread(p *Pool) spread {
	s := spread{zones: map[string]int{}, racks: map[string]int{}}
	for _, vm := range p.VMs {
		if vm.Staying() && !r.lost(vm) {
			s.add(vm)
		}
	}
	for _, vm := range r.joining[p.Name] {
		s.add(vm)
	}
	return s
}

func (s spread) add(vm *VM) {
	s.zones[vm.Zone]++
	s.racks[vm.Rack]++
}

// better reports whether a spreads the pool wider than b.
func (s spread) better(a, b *VM) bool {
	if c := cmp.Compare(s.zones[a.Zone], s.zones[b.Zone]); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(s.racks[a.Rack], s.racks[b.Rack]); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}
