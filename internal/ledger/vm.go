package ledger

import (
	"github.com/yuccadrift/yuccadrift/internal/record"
)

func (s *State) registerVM(rec record.Record, b record.VMRegister) refusal {
	if _, ok := s.VMs[rec.Subject.Name]; ok {
		return refusef("VM %s is registered already", rec.Subject.Name)
	}
	s.VMs[rec.Subject.Name] = &VM{
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
	return allowed
}

func (s *State) drainVM(rec record.Record, b record.VMDrain) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	if vm.Phase != record.PhaseServing {
		return refusef("VM %s is %s; only a serving VM can be drained", vm.ID, vm.Phase)
	}
	if no := s.mayJoinWave(vm, b); no != allowed {
		return no
	}
	if no := s.mayLeave(vm, b.Target, b.Release); no != allowed {
		return no
	}
	if reason := s.MayDrain(vm, b.Estimate, rec.Time); reason != "" {
		return refusal(reason)
	}
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
	vm.Drains++
	s.setPhase(vm, record.PhaseDraining)
	if b.Wave != "" {
		s.markWave(b.Wave, vm.ID, WaveOut)
	}
	return allowed
}

func (s *State) mayJoinWave(vm *VM, b record.VMDrain) refusal {
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

// mayLeave refuses to take a healthy VM away from a pool that would have too few
// left. Two planners that each saw one VM too many would else take two.
func (s *State) mayLeave(vm *VM, target string, release bool) refusal {
	if target != "" && release {
		return refusef("a drain cannot have both a target pool and a release")
	}
	if target == "" && !release {
		return allowed
	}
	if target == vm.Pool {
		return refusef("VM %s is in pool %s already", vm.ID, vm.Pool)
	}
	if _, ok := s.Services[target]; target != "" && !ok {
		return refusef("there is no pool %q to move to", target)
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

// redirectVM changes where a drain in progress leads.
func (s *State) redirectVM(rec record.Record, b record.VMRedirect) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	if !vm.Redirectable() {
		return refusef("VM %s has no drain that could lead elsewhere", vm.ID)
	}
	if no := s.mayLeave(vm, b.Target, b.Release); no != allowed {
		return no
	}
	vm.Drain.Target, vm.Drain.Release = b.Target, b.Release
	s.account(vm.Pool)
	return allowed
}

// Healthy counts the VMs that stay in the pool and are not down.
func (s *State) Healthy(pool string) int {
	n := 0
	for _, vm := range s.poolVMs[pool] {
		if vm.Staying() && !vm.Down {
			n++
		}
	}
	return n
}

// nextPhases lists where a VM in a drain may go. A join leads from released to
// returning and an up from returning to serving; both have their own records.
var nextPhases = map[record.VMPhase][]record.VMPhase{
	record.PhaseDraining:  {record.PhaseDrained},
	record.PhaseDrained:   {record.PhaseRebooting, record.PhaseReleased, record.PhaseFree, record.PhaseReturning},
	record.PhaseRebooting: {record.PhaseReleased, record.PhaseFree, record.PhaseReturning},
}

func (s *State) advanceVM(rec record.Record, b record.VMAdvance) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	if vm.Drain == nil {
		return refusef("VM %s has no drain in progress", vm.ID)
	}
	if !contains(nextPhases[vm.Phase], b.To) {
		return refusef("VM %s cannot go from %s to %s", vm.ID, vm.Phase, b.To)
	}
	if b.To == record.PhaseReleased && vm.Drain.Target == "" {
		return refusef("VM %s has no pool to move to", vm.ID)
	}
	switch b.To {
	case record.PhaseFree:
		return s.freeVM(vm)
	case record.PhaseRebooting:
		vm.Drain.Rebooted = true
		vm.Reboots++
	}
	s.setPhase(vm, b.To)
	return allowed
}

// freeVM ends a release: the VM leaves its pool for the common reserve.
func (s *State) freeVM(vm *VM) refusal {
	d := vm.Drain
	if !d.Release {
		return refusef("VM %s stays in pool %s; its drain is no release", vm.ID, vm.Pool)
	}
	vm.Drain = nil
	if d.Rebooted {
		vm.MaintainedAt = s.Now
	}
	s.movePool(vm, "")
	s.setPhase(vm, record.PhaseFree)
	if d.Wave != "" {
		s.markWave(d.Wave, vm.ID, WaveBack)
	}
	return allowed
}

func (s *State) joinVM(rec record.Record, b record.VMJoin) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	if _, ok := s.Services[b.Pool]; !ok {
		return refusef("there is no pool %q", b.Pool)
	}
	if vm.Phase != record.PhaseFree && vm.Phase != record.PhaseReleased {
		return refusef("VM %s is %s; only a free or released VM can join a pool", vm.ID, vm.Phase)
	}
	if no := s.wanted(vm, b); no != allowed {
		return no
	}
	if vm.Pool != "" && vm.Pool != b.Pool {
		vm.Moves++
	}
	s.movePool(vm, b.Pool)
	s.setPhase(vm, record.PhaseReturning)
	return allowed
}

func (s *State) wanted(vm *VM, b record.VMJoin) refusal {
	if vm.Phase != record.PhaseFree {
		return allowed
	}
	if vm.Down {
		return refusef("VM %s is down", vm.ID)
	}
	if b.Want == 0 {
		return allowed
	}
	if n := s.Healthy(b.Pool); n >= b.Want {
		return refusef("pool %s has %d healthy VMs of the %d wanted", b.Pool, n, b.Want)
	}
	return allowed
}

func (s *State) downVM(rec record.Record, b record.VMDown) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	if vm.Down {
		return refusef("VM %s is down already", vm.ID)
	}
	vm.Down = true
	vm.DownCause = b.Cause
	vm.HealthSince = s.Now
	s.account(vm.Pool)
	return allowed
}

func (s *State) upVM(rec record.Record) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	if !vm.Down && vm.Phase != record.PhaseReturning {
		return refusef("VM %s is %s and not down", vm.ID, vm.Phase)
	}
	vm.Down = false
	vm.DownCause = ""
	vm.HealthSince = s.Now
	if vm.Phase == record.PhaseReturning {
		s.finishDrain(vm)
		return allowed
	}
	s.account(vm.Pool)
	return allowed
}

// finishDrain puts a VM that was seen healthy back into service and ends the
// charge to its pool's budget.
func (s *State) finishDrain(vm *VM) {
	d := vm.Drain
	vm.Drain = nil
	if d != nil && d.Rebooted {
		vm.MaintainedAt = s.Now
	}
	s.setPhase(vm, record.PhaseServing)
	if d != nil && d.Wave != "" {
		s.markWave(d.Wave, vm.ID, WaveBack)
	}
}

func (s *State) goneVM(rec record.Record) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
	}
	pool := vm.Pool
	s.movePool(vm, "")
	delete(s.VMs, vm.ID)
	s.retire(rec.Subject, Head{Revision: record.Revision(s.Offset), LastID: rec.ID})
	s.account(pool)
	for _, id := range sortedKeys(s.Waves) {
		w := s.Waves[id]
		if p, ok := w.VMs[vm.ID]; ok && w.Active() && (p == WavePending || p == WaveOut) {
			s.skipVM(w, vm.ID, "the platform no longer has the VM")
		}
	}
	return allowed
}

func (s *State) quarantineVM(rec record.Record, b record.VMQuarantine) refusal {
	vm, no := s.vm(rec)
	if no != allowed {
		return no
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

// passProbation counts a job that succeeded on a worker under probation.
func (s *State) passProbation(worker string) {
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

func (s *State) setPhase(vm *VM, phase record.VMPhase) {
	vm.Phase = phase
	vm.PhaseSince = s.Now
	s.account(vm.Pool)
}

// movePool changes the VM's only pool and both pools' accounts.
func (s *State) movePool(vm *VM, pool string) {
	old := vm.Pool
	if m := s.poolVMs[old]; m != nil {
		delete(m, vm.ID)
	}
	vm.Pool = pool
	if pool != "" {
		indexInto(s.poolVMs, pool, vm.ID, vm)
	}
	s.account(old)
	s.account(pool)
}
