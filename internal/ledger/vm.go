package ledger

import (
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"maps"
	"slices"
)

func (s *State) registerVM(rec record.Record, b record.VMRegister) refusal {
	if _, ok := s.VMs[rec.Subject.Name]; ok {
		return refusef("VM %s is registered already", rec.Subject.Name)
	}
	if reason := validateVM(b); reason != allowed {
		return reason
	}
	vm := &VM{
		Head:         Head{Revision: record.Revision(s.Offset), LastID: rec.ID},
		ID:           rec.Subject.Name,
		Zone:         b.Zone,
		Rack:         b.Rack,
		Address:      b.Address,
		Cores:        b.Cores,
		MemoryMB:     b.MemoryMB,
		Accelerators: b.Accelerators,
		Phase:        record.PhaseFree,
		PhaseSince:   s.Now,
	}
	s.VMs[vm.ID] = vm
	s.changeVM(vm, func() {})
	return allowed
}

// validateVM refuses invalid sizes: sums over them would overflow, and a
// negative size would free capacity on a full worker.
func validateVM(b record.VMRegister) refusal {
	switch {
	case b.Zone == "" || b.Rack == "" || b.Address == "":
		return refusef("a VM needs zone, rack and address")
	case b.Cores < 1 || b.Cores > document.MaxCores:
		return refusef("%d cores; a VM has 1 to %d", b.Cores, document.MaxCores)
	case b.MemoryMB < 1 || b.MemoryMB > document.MaxMemoryMB:
		return refusef("%d MB of memory; a VM has 1 to %d", b.MemoryMB, document.MaxMemoryMB)
	case b.Accelerators < 0 || b.Accelerators > document.MaxAccelerators:
		return refusef("%d accelerators; a VM has 0 to %d", b.Accelerators, document.MaxAccelerators)
	}
	return allowed
}

// nextPhases lists the phases that a vm.advance record may lead to. The steps
// from released to returning (a join) and from returning to serving (an up)
// have their own records.
var nextPhases = map[record.VMPhase][]record.VMPhase{
	record.PhaseDraining:  {record.PhaseDrained},
	record.PhaseDrained:   {record.PhaseRebooting, record.PhaseReleased, record.PhaseFree, record.PhaseReturning},
	record.PhaseRebooting: {record.PhaseReleased, record.PhaseFree, record.PhaseReturning},
}

func (s *State) advanceVM(rec record.Record, b record.VMAdvance) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if vm.Drain == nil {
		return refusef("VM %s has no drain in progress", vm.ID)
	}
	if !slices.Contains(nextPhases[vm.Phase], b.To) {
		return refusef("VM %s cannot go from %s to %s", vm.ID, vm.Phase, b.To)
	}
	if b.To == record.PhaseReleased && vm.Drain.Target == "" {
		return refusef("VM %s has no pool to move to", vm.ID)
	}
	if n := len(s.workerJobs[vm.ID]); b.To == record.PhaseDrained && n > 0 {
		return refusef("VM %s has %d jobs placed; they end or are checkpointed first", vm.ID, n)
	}
	switch b.To {
	case record.PhaseFree:
		return s.freeVM(vm)
	case record.PhaseRebooting:
		vm.Drain.Rebooted = true
		vm.Reboots++
		if svc, ok := s.Services[vm.Pool]; ok {
			svc.Account.Reboots++
		}
	}
	s.changePhase(vm, b.To)
	return allowed
}

// freeVM ends a release: the VM moves from its pool to the reserve.
func (s *State) freeVM(vm *VM) refusal {
	d := vm.Drain
	if !d.Release {
		return refusef("VM %s stays in pool %s; its drain is no release", vm.ID, vm.Pool)
	}
	s.changeVM(vm, func() {
		vm.Drain = nil
		vm.Pool = ""
		s.assignPhase(vm, record.PhaseFree)
	})
	s.endTurn(vm, d)
	return allowed
}

func (s *State) joinVM(rec record.Record, b record.VMJoin) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if _, ok := s.Services[b.Pool]; !ok {
		return refusef("there is no pool %q", b.Pool)
	}
	if vm.Phase != record.PhaseFree && vm.Phase != record.PhaseReleased {
		return refusef("VM %s is %s; only a free or released VM can join a pool", vm.ID, vm.Phase)
	}
	if reason := s.checkJoin(vm, b); reason != allowed {
		return reason
	}
	if vm.Pool != "" && vm.Pool != b.Pool {
		vm.Moves++
		s.Services[b.Pool].Account.Moves++
	}
	s.changeVM(vm, func() {
		vm.Pool = b.Pool
		s.assignPhase(vm, record.PhaseReturning)
	})
	return allowed
}

// checkJoin refuses a join that the pool does not need. A released VM may
// always join its target or return to its old pool, whatever a later document
// says: otherwise it would be stuck between the two. It may be down, since its
// new pool counts it only once it is seen healthy.
func (s *State) checkJoin(vm *VM, b record.VMJoin) refusal {
	if vm.Phase != record.PhaseFree {
		if b.Pool != vm.Drain.Target && b.Pool != vm.Pool {
			return refusef("VM %s was released for pool %s", vm.ID, vm.Drain.Target)
		}
		return allowed
	}
	if vm.Down {
		return refusef("VM %s is down", vm.ID)
	}
	if reason := vm.checkSize(b.Pool, s.Services[b.Pool].Doc.Pool); reason != allowed {
		return reason
	}
	if b.Want == 0 {
		return allowed
	}
	if n := s.Healthy(b.Pool); n >= b.Want {
		return refusef("pool %s has %d healthy VMs of the %d wanted", b.Pool, n, b.Want)
	}
	return allowed
}

func (s *State) markVMDown(rec record.Record, b record.VMDown) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if vm.Down {
		return refusef("VM %s is down already", vm.ID)
	}
	if vm.Pool != "" && vm.Drain == nil {
		s.countEvent(vm.Pool, CauseFailure)
	}
	s.changeVM(vm, func() {
		vm.Down = true
		vm.DownCause = truncate(b.Cause)
		vm.HealthSince = s.Now
	})
	return allowed
}

func (s *State) markVMUp(rec record.Record) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if !vm.Down && vm.Phase != record.PhaseReturning {
		return refusef("VM %s is %s and not down", vm.ID, vm.Phase)
	}
	d := vm.Drain
	returned := vm.Phase == record.PhaseReturning
	s.changeVM(vm, func() {
		vm.Down = false
		vm.DownCause = ""
		vm.HealthSince = s.Now
		if returned {
			vm.Drain = nil
			s.assignPhase(vm, record.PhaseServing)
		}
	})
	if returned && d != nil {
		s.Services[vm.Pool].Account.recordDrainDuration(max(0, s.Now.Sub(d.Since)))
		s.endTurn(vm, d)
	}
	return allowed
}

func (s *State) removeVM(rec record.Record) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	s.unindexVM(vm)
	delete(s.VMs, vm.ID)
	s.updateAccount(vm.Pool)
	s.updateReserveAccount()
	s.retire(rec.Subject, Head{Revision: record.Revision(s.Offset), LastID: rec.ID})
	for _, id := range s.wavesOf(vm.ID) {
		s.skipVM(s.Waves[id], vm.ID, "the platform no longer has the VM")
	}
	s.lapseJobs(rec, vm.ID)
	return allowed
}

// lapseJobs ends the attempts placed on a removed VM. How they ended is
// unknown, so they count as lapsed: a repeatable job is queued again, any other
// ends with an unknown result. The jobs' revisions advance, which voids
// decisions made about the attempts meanwhile.
func (s *State) lapseJobs(rec record.Record, vm string) {
	for _, id := range slices.Sorted(maps.Keys(s.workerJobs[vm])) {
		j := s.Jobs[id]
		s.endAttempt(j, record.JobEnd{Result: record.JobLapsed, Reason: "VM " + vm + " is gone"})
		j.Head = Head{Revision: record.Revision(s.Offset), LastID: rec.ID}
	}
}

func (s *State) quarantineVM(rec record.Record, b record.VMQuarantine) refusal {
	vm, reason := s.vm(rec)
	if reason != allowed {
		return reason
	}
	if vm.Quarantined == b.On {
		return refusef("VM %s is set aside already or not at all (%t)", vm.ID, b.On)
	}
	vm.Quarantined = b.On
	vm.QuarantineChanged = s.Now
	vm.ProbationLeft = 0
	if b.On {
		vm.Quarantines++
		return allowed
	}
	vm.ProbationLeft = ProbationJobs
	return allowed
}

// countProbationSuccess counts a job that succeeded on a worker on probation.
func (s *State) countProbationSuccess(worker string) {
	vm, ok := s.VMs[worker]
	if !ok || vm.ProbationLeft == 0 {
		return
	}
	vm.ProbationLeft--
	if vm.ProbationLeft == 0 {
		vm.Quarantines = 0
	}
}

func (s *State) vm(rec record.Record) (*VM, refusal) {
	vm, ok := s.VMs[rec.Subject.Name]
	if !ok {
		return nil, refusef("there is no VM %s", rec.Subject.Name)
	}
	return vm, allowed
}

func (s *State) changePhase(vm *VM, phase record.VMPhase) {
	s.changeVM(vm, func() { s.assignPhase(vm, phase) })
}

// assignPhase sets the phase. It must be called within changeVM.
func (s *State) assignPhase(vm *VM, phase record.VMPhase) {
	vm.Phase = phase
	vm.PhaseSince = s.Now
}

func (s *State) countEvent(pool string, cause Cause) {
	if svc, ok := s.Services[pool]; ok {
		svc.Account.Events[cause]++
	}
}
