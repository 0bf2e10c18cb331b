package pool

import "cmp"

// spread counts a pool's VMs by availability zone and rack.
type spread struct {
	zones map[string]int
	racks map[string]int
}

// spread returns the pool's spread, with the VMs that join it in this round and
// without those that leave it.
func (r *Round) spread(p *Pool) spread {
	s := spread{zones: map[string]int{}, racks: map[string]int{}}
	for _, vm := range p.VMs {
		if vm.StaysInPool() && !r.needsReplacement(vm, p) && !r.leaving[vm.ID] {
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

// spreadsWider reports whether adding a spreads the pool more widely than adding
// b.
func (s spread) spreadsWider(a, b *VM) bool {
	if c := cmp.Compare(s.zones[a.Zone], s.zones[b.Zone]); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(s.racks[a.Rack], s.racks[b.Rack]); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

// canLose reports whether the pool keeps its minimum number of zones and racks
// without the VM, or, below the minimum, as many as it has.
func (s spread) canLose(p *Pool, vm *VM) bool {
	zones, racks := len(s.zones), len(s.racks)
	if s.zones[vm.Zone] == 1 {
		zones--
	}
	if s.racks[vm.Rack] == 1 {
		racks--
	}
	return zones >= min(p.Doc.Pool.MinZones, len(s.zones)) && racks >= min(p.Doc.Pool.MinRacks, len(s.racks))
}
