package pool

import (
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Release gives a lasting surplus back to the reserve of free VMs, where the
// pool's document weighs that higher than the disturbance. A VM that is out of
// service anyway goes at once. Pools with turns left in a wave are passed over:
// the VMs of the wave's last turns are redirected, so that the surplus goes back
// without a drain of its own.
func Release(r *Round) {
	if r.Policy.Reserve == ReserveOwn {
		return
	}
	for _, p := range r.View.Pools {
		patience := r.Policy.patience(p)
		if r.WaveTurns(p) > 0 {
			continue
		}
		spread := r.spread(p)
		for n := r.Surplus(p); n > 0 && !r.Full(); n-- {
			vm := r.surplusVM(p, spread, patience.Release > 0 && r.hasLasted(p.SurplusSince, patience.Release))
			if vm == nil || !r.releaseVM(vm) {
				break
			}
		}
	}
}

// WaveTurns counts the pool's VMs that wait for their turn in a running wave.
func (r *Round) WaveTurns(p *Pool) int {
	n := 0
	for _, vm := range p.VMs {
		if !r.Taken(vm) && r.View.DueWave(vm) != nil {
			n++
		}
	}
	return n
}

// Out reports whether the wave has VMs of the pool out of service.
func (r *Round) Out(w *Wave, p *Pool) bool {
	for _, vm := range p.VMs {
		if vm.Drain != nil && vm.Drain.Wave == w.ID && !vm.Down {
			return true
		}
	}
	return false
}

// surplusVM returns the VM whose leaving costs least, or nil. Serving VMs are
// taken only if the surplus has lasted.
func (r *Round) surplusVM(p *Pool, s spread, lasted bool) *VM {
	var best *VM
	for _, vm := range p.VMs {
		if r.Taken(vm) || vm.Down || !vm.Staying() || !s.canLose(p, vm) {
			continue
		}
		if !vm.Redirectable() && (!vm.Serving() || !lasted) {
			continue
		}
		if best == nil || cheaperToRelease(s, vm, best) {
			best = vm
		}
	}
	return best
}

// cheaperToRelease prefers a VM that is out already, then one without jobs, then one of
// the densest rack.
func cheaperToRelease(s spread, a, b *VM) bool {
	if a.Redirectable() != b.Redirectable() {
		return a.Redirectable()
	}
	if (a.Jobs == 0) != (b.Jobs == 0) {
		return a.Jobs == 0
	}
	return s.spreadsWider(b, a)
}

func (r *Round) releaseVM(vm *VM) bool {
	if vm.Redirectable() {
		r.leaving[vm.ID] = true
		r.Propose(vm, record.VMRedirect{Release: true}, vm.Pool, "out of service already and surplus")
		return true
	}
	body := record.VMDrain{Reason: record.DrainMove, Release: true, Estimate: r.Estimate(vm, record.DrainMove)}
	return r.Drain(vm, body, "surplus for longer than the pool's document bears") == ""
}

// Lend gives free VMs beyond the reserve to pools that are in the middle of a
// wave, so that a VM can be out without the pool being short.
func Lend(r *Round) {
	if r.Policy.Reserve == ReserveOwn {
		return
	}
	available := r.undecidedFreeVMs() - r.Spare().Shared
	for _, p := range r.View.Pools {
		if available <= 0 || r.Full() {
			return
		}
		if r.WaveTurns(p) < 2 || r.Surplus(p) >= r.Policy.Surge || r.Present(p) < r.targetSize(p) {
			continue
		}
		if vm := r.bestFreeVM(p); vm != nil {
			r.proposeJoin(vm, p.Name, r.targetSize(p)+r.Policy.Surge, "lent for the wave")
			available--
		}
	}
}

// Arriving reports whether a free VM is on its way into the pool and will serve
// before long.
func (r *Round) Arriving(p *Pool) bool {
	for _, vm := range r.joining[p.Name] {
		if vm.Phase == record.PhaseFree {
			return true
		}
	}
	for _, vm := range p.VMs {
		if vm.Phase == record.PhaseReturning && vm.Drain == nil && !vm.Down {
			return true
		}
	}
	return false
}

func (r *Round) undecidedFreeVMs() int {
	n := 0
	for _, vm := range r.View.Free {
		if !r.Taken(vm) {
			n++
		}
	}
	return n
}

func (r *Round) bestFreeVM(p *Pool) *VM {
	s := r.spread(p)
	var best *VM
	for _, vm := range r.View.Free {
		if r.Taken(vm) || !Fits(vm, p.Doc.Pool) {
			continue
		}
		if best == nil || smaller(s, vm, best) {
			best = vm
		}
	}
	return best
}

// smaller prefers the smaller of two VMs that fit, then the one that spreads
// the pool wider.
func smaller(s spread, a, b *VM) bool {
	if c := compareShape(a, b); c != 0 {
		return c < 0
	}
	return s.spreadsWider(a, b)
}
