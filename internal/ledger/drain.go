package ledger

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

func (s *State) drainVM(rec record.Record, b record.VMDrain) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if vm.Phase != record.PhaseServing {
		return refusef("VM %s is %s; only a serving VM can be drained", vm.ID, vm.Phase)
	}
	if reason := validateDrain(b); reason != allowed {
		return reason
	}
	if reason := s.checkWaveTurn(vm, b); reason != allowed {
		return reason
	}
	if reason := s.checkLeave(vm, b.Target, b.Release); reason != allowed {
		return reason
	}
	if reason := s.checkRunningJobs(vm, b); reason != allowed {
		return reason
	}
	if reason := s.checkBudget(vm, b); reason != allowed {
		return reason
	}
	vm.Drains++
	s.changeVM(vm, func() {
		vm.Drain = &Drain{
			Reason:   b.Reason,
			Wave:     b.Wave,
			Target:   b.Target,
			Release:  b.Release,
			Fence:    s.Offset,
			ID:       rec.ID,
			Since:    s.Now,
			Estimate: b.Estimate,
		}
		s.assignPhase(vm, record.PhaseDraining)
	})
	s.countEvent(vm.Pool, drainCause(b.Reason))
	if b.Wave != "" {
		s.setWaveProgress(s.Waves[b.Wave], vm.ID, WaveOut)
	}
	return allowed
}

// MaxEstimate is the longest estimate of a drain.
const MaxEstimate = 7 * 24 * time.Hour

// validateDrain refuses a drain with invalid fields. A negative estimate would
// lower the amount that the budget check adds to the spent time.
func validateDrain(b record.VMDrain) refusal {
	switch b.Reason {
	case record.DrainMaintenance, record.DrainMove, record.DrainOperator:
	default:
		return refusef("%q is no reason for a drain", b.Reason)
	}
	if b.Estimate < 0 || b.Estimate > MaxEstimate {
		return refusef("an estimate of %s; it is 0 to %s", b.Estimate, MaxEstimate)
	}
	return allowed
}

// checkTarget refuses a drain to a pool that cannot take the VM.
func (s *State) checkTarget(vm *VM, target string) refusal {
	if target == "" {
		return allowed
	}
	svc, ok := s.Services[target]
	if !ok {
		return refusef("there is no pool %q to move to", target)
	}
	return vm.checkSize(target, svc.Doc.Pool)
}

// checkSize refuses a VM that is too small for a pool.
func (v *VM) checkSize(pool string, need document.Pool) refusal {
	if v.Cores >= need.MinCores && v.MemoryMB >= need.MinMemoryMB && v.Accelerators >= need.MinAccelerators {
		return allowed
	}
	return refusef("VM %s with %d cores, %d MB and %d accelerators is too small for pool %s",
		v.ID, v.Cores, v.MemoryMB, v.Accelerators, pool)
}

// checkRunningJobs refuses to drain a VM with running jobs if its pool's
// document excludes such VMs from drains. An operator's drain proceeds and
// waits for the jobs.
func (s *State) checkRunningJobs(vm *VM, b record.VMDrain) refusal {
	svc, ok := s.Services[vm.Pool]
	if !ok || b.Reason == record.DrainOperator || svc.Doc.Jobs.OnDrain != document.LongJobsSkip {
		return allowed
	}
	if n := len(s.workerJobs[vm.ID]); n > 0 {
		return refusef("VM %s runs %d jobs and pool %s has jobs.on_drain = %q; its turn comes when they have ended",
			vm.ID, n, vm.Pool, document.LongJobsSkip)
	}
	return allowed
}

func (s *State) checkWaveTurn(vm *VM, b record.VMDrain) refusal {
	if b.Wave == "" {
		return allowed
	}
	w, ok := s.Waves[b.Wave]
	if !ok {
		return refusef("there is no wave %s", b.Wave)
	}
	if w.Status != WaveRunning {
		return refusef("wave %s is %s", w.ID, w.Status)
	}
	if w.VMs[vm.ID] != WavePending {
		return refusef("VM %s has no turn left in wave %s", vm.ID, w.ID)
	}
	return allowed
}

// checkLeave refuses to take a healthy VM from a pool that would have too few
// left. Without it, two planners that each saw one surplus VM would take two.
func (s *State) checkLeave(vm *VM, target string, release bool) refusal {
	if target != "" && release {
		return refusef("a drain cannot have both a target pool and a release")
	}
	if target == "" && !release {
		return allowed
	}
	if target == vm.Pool {
		return refusef("VM %s is in pool %s already", vm.ID, vm.Pool)
	}
	if reason := s.checkTarget(vm, target); reason != allowed {
		return reason
	}
	svc, ok := s.Services[vm.Pool]
	if !ok || vm.Down {
		return allowed
	}
	if n, size := s.Healthy(vm.Pool), svc.Doc.Pool.Size; n <= size {
		return refusef("pool %s has %d healthy VMs for size %d; none to give away", vm.Pool, n, size)
	}
	return allowed
}

// redirectVM changes the destination of a drain in progress.
func (s *State) redirectVM(rec record.Record, b record.VMRedirect) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if !vm.Redirectable() {
		return refusef("VM %s has no drain that could lead elsewhere", vm.ID)
	}
	if reason := s.checkLeave(vm, b.Target, b.Release); reason != allowed {
		return reason
	}
	s.changeVM(vm, func() { vm.Drain.Target, vm.Drain.Release = b.Target, b.Release })
	return allowed
}

// Healthy returns the number of VMs that stay in the pool and are not down.
func (s *State) Healthy(pool string) int {
	n := 0
	for _, vm := range s.poolUnavailable[pool] {
		if vm.StaysInPool() && !vm.Down {
			n++
		}
	}
	return n + len(s.poolVMs[pool]) - len(s.poolUnavailable[pool])
}

// endTurn ends the turn of a VM that returned from a drain in every active wave
// that waits for it. One reboot counts for all waves. A VM that left for the
// reserve without a reboot is skipped, since only serving VMs are drained.
func (s *State) endTurn(vm *VM, d *Drain) {
	if d.Rebooted {
		vm.MaintainedAt = s.Now
	}
	for _, id := range s.wavesOf(vm.ID) {
		switch w := s.Waves[id]; {
		case d.Rebooted:
			s.setWaveProgress(w, vm.ID, WaveBack)
		case vm.Phase == record.PhaseFree:
			s.skipVM(w, vm.ID, "it left its pool")
		case d.Wave == id:
			s.setWaveProgress(w, vm.ID, WavePending)
		}
	}
}
