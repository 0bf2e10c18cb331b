package maintenance

import (
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Step is what has to be done next for a VM that is out of service.
type Step int

// Steps, in the order of a drain's phases.
const (
	// StepNone: nothing to do.
	StepNone Step = iota
	// StepQuiesce: drain it on the platform and wait until no request is in
	// flight; then it is drained.
	StepQuiesce
	// StepDecide: record the phase that follows, see After.
	StepDecide
	// StepReboot: reboot it on the platform; then record what follows.
	StepReboot
	// StepJoin: record the join of its target pool.
	StepJoin
	// StepReturn: let it take tasks again and wait until it is healthy.
	StepReturn
)

// Next returns the step that the VM's phase calls for.
func Next(vm *ledger.VM) Step {
	switch vm.Phase {
	case record.PhaseDraining:
		return StepQuiesce
	case record.PhaseDrained:
		return StepDecide
	case record.PhaseRebooting:
		return StepReboot
	case record.PhaseReleased:
		return StepJoin
	case record.PhaseReturning:
		return StepReturn
	}
	return StepNone
}

// After returns the phase that follows once the present one is done. A VM of a
// wave is rebooted before it goes on to its old pool, its new one or the free
// VMs.
func After(vm *ledger.VM) record.VMPhase {
	d := vm.Drain
	switch {
	case vm.Phase == record.PhaseDraining:
		return record.PhaseDrained
	case d == nil:
		return record.PhaseReturning
	case vm.Phase == record.PhaseDrained && d.Wave != "" && !d.Rebooted:
		return record.PhaseRebooting
	case d.Release:
		return record.PhaseFree
	case d.Target != "":
		return record.PhaseReleased
	}
	return record.PhaseReturning
}
