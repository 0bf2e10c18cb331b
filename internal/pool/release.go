package pool

import (
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Release proposes to return surplus VMs to the reserve of free VMs. A surplus
// VM that is already out of service is released at once, a serving VM only after
// the surplus has lasted for Delays.Release, and never if that is 0. Pools with
// pending turns in a wave are skipped: their surplus is released by redirecting
// the VMs of the last turns, which needs no additional drain.
func Release(r *Round) {
	if r.Policy.Reserve == ReserveOwn {
		return
	}
	for _, p := range r.View.Pools {
		delays := r.Policy.delays(p)
		if r.PendingTurns(p) > 0 {
			continue
		}
		spread := r.spread(p)
		for n := r.Surplus(p); n > 0 && !r.Full(); n-- {
			vm := r.surplusVM(p, spread, delays.Release > 0 && r.hasLasted(p.SurplusSince, delays.Release))
			if vm == nil || !r.releaseVM(vm) {
				break
			}
		}
	}
}

// PendingTurns counts the pool's VMs with a pending turn in a running wave that the
// round has not yet decided about.
func (r *Round) PendingTurns(p *Pool) int {
	n := 0
	for _, vm := range p.VMs {
		if !r.Decided(vm) && r.View.DueWave(vm) != nil {
			n++
		}
	}
	return n
}

// HasDrained reports whether the wave has drained VMs of the pool that are not down.
func (r *Round) HasDrained(w *Wave, p *Pool) bool {
	for _, vm := range p.VMs {
		if vm.Drain != nil && vm.Drain.Wave == w.ID && !vm.Down {
			return true
		}
	}
	return false
}

// surplusVM returns the VM whose release disturbs the pool least, or nil.
// Serving VMs qualify only if the surplus has lasted.
func (r *Round) surplusVM(p *Pool, s spread, lasted bool) *VM {
	var best *VM
	for _, vm := range p.VMs {
		if r.Decided(vm) || vm.Down || !vm.StaysInPool() || !s.canLose(p, vm) {
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

// cheaperToRelease prefers a VM that is already out of service, then a VM
// without jobs, then a VM of the zone and rack with the most VMs of the pool.
func cheaperToRelease(s spread, a, b *VM) bool {
	if a.Redirectable() != b.Redirectable() {
		return a.Redirectable()
	}
	if (a.Jobs == 0) != (b.Jobs == 0) {
		return a.Jobs == 0
	}
	return s.spreadsWider(b, a)
}

// releaseVM proposes to release the VM and reports whether the pool's budget
// allows it.
func (r *Round) releaseVM(vm *VM) bool {
	if vm.Redirectable() {
		r.leaving[vm.ID] = true
		r.Propose(vm, record.VMRedirect{Release: true}, vm.Pool, "surplus and already out of service")
		return true
	}
	body := record.VMDrain{Reason: record.DrainMove, Release: true, Estimate: r.Estimate(vm, record.DrainMove)}
	return r.Drain(vm, body, "surplus for longer than the pool's document allows") == ""
}

// Lend proposes that free VMs beyond the reserve join pools with at least two
// pending turns in a wave, so that a VM can be drained without making the pool
// short.
func Lend(r *Round) {
	if r.Policy.Reserve == ReserveOwn {
		return
	}
	available := r.undecidedFreeVMs() - r.Spare().Shared
	for _, p := range r.View.Pools {
		if available <= 0 || r.Full() {
			return
		}
		if r.PendingTurns(p) < 2 || r.Surplus(p) >= r.Policy.Surge || r.Present(p) < r.targetSize(p) {
			continue
		}
		if vm := r.bestFreeVM(p); vm != nil {
			r.proposeJoin(vm, p.Name, r.targetSize(p)+r.Policy.Surge, "lent for the wave")
			available--
		}
	}
}

// HasJoiningVM reports whether a free VM joins the pool in this round, or has joined
// it, is not down and is not serving yet.
func (r *Round) HasJoiningVM(p *Pool) bool {
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

// undecidedFreeVMs counts the free VMs that the round has not decided about.
func (r *Round) undecidedFreeVMs() int {
	n := 0
	for _, vm := range r.View.Free {
		if !r.Decided(vm) {
			n++
		}
	}
	return n
}

// bestFreeVM returns the free VM that suits the pool best, or nil.
func (r *Round) bestFreeVM(p *Pool) *VM {
	s := r.spread(p)
	var best *VM
	for _, vm := range r.View.Free {
		if r.Decided(vm) || !Fits(vm, p.Doc.Pool) {
			continue
		}
		if best == nil || smaller(s, vm, best) {
			best = vm
		}
	}
	return best
}

// smaller prefers the smaller of two VMs that fit, then the VM that spreads the
// pool more widely.
func smaller(s spread, a, b *VM) bool {
	if c := compareShape(a, b); c != 0 {
		return c < 0
	}
	return s.spreadsWider(a, b)
}
