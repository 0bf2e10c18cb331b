package pool

import (
	"cmp"
	"slices"
)

// supply holds the VMs that may be assigned to gaps.
type supply struct {
	classes    []*class
	surplus    map[string]int // by donor
	classByKey map[classKey]*class
}

// classKey identifies a class.
type classKey struct {
	tier  tier
	donor string
	shape shape
}

// supply returns the free VMs and the pools' surplus that has lasted, sorted by
// tier and shape.
func (r *Round) supply() *supply {
	s := &supply{surplus: map[string]int{}, classByKey: map[classKey]*class{}}
	for _, vm := range r.View.Free {
		if !r.Decided(vm) {
			s.add(tierFree, "", vm)
		}
	}
	for _, p := range r.View.Pools {
		r.addSurplus(p, s)
	}
	slices.SortStableFunc(s.classes, func(a, b *class) int {
		return cmp.Or(int(a.tier)-int(b.tier), compareShape(a.vms[0], b.vms[0]))
	})
	return s
}

// compareShape orders VMs from the smallest to the largest. A pool gets the
// smallest VM that fits. If it took larger VMs, a later document that needs them
// would stay short while smaller VMs are free.
func compareShape(a, b *VM) int {
	return cmp.Or(
		cmp.Compare(a.Accelerators, b.Accelerators),
		cmp.Compare(a.Cores, b.Cores),
		cmp.Compare(a.MemoryMB, b.MemoryMB),
	)
}

func (s *supply) add(t tier, donor string, vm *VM) {
	key := classKey{t, donor, shape{vm.Cores, vm.MemoryMB, vm.Accelerators}}
	c := s.classByKey[key]
	if c == nil {
		c = &class{tier: t, donor: donor}
		s.classByKey[key] = c
		s.classes = append(s.classes, c)
	}
	c.vms = append(c.vms, vm)
	c.remaining++
}

// addSurplus adds the pool's surplus to the supply once it has lasted.
func (r *Round) addSurplus(p *Pool, s *supply) {
	surplus := r.Surplus(p)
	if surplus == 0 || !r.hasLasted(p.SurplusSince, r.Policy.delays(p).Move) {
		return
	}
	s.surplus[p.Name] = surplus
	spread := r.spread(p)
	for _, vm := range p.VMs {
		if r.Decided(vm) || vm.Down || !vm.StaysInPool() || !spread.canLose(p, vm) {
			continue
		}
		switch {
		case vm.Redirectable():
			s.add(tierOutOfService, p.Name, vm)
		case !vm.Serving():
		case r.View.DueWave(vm) != nil:
			s.add(tierPendingTurn, p.Name, vm)
		default:
			s.add(tierServing, p.Name, vm)
		}
	}
}
