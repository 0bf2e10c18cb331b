package maintenance

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Step is the next action for a VM that is out of service.
type Step int

// Steps, in the order of a drain's phases.
const (
	// StepNone: nothing to do.
	StepNone Step = iota
	// StepQuiesce: drain the VM on the platform and wait until no request is in
	// flight; the VM is then drained.
	StepQuiesce
	// StepDecide: record the next phase, see After.
	StepDecide
	// StepReboot: reboot the VM on the platform, then record the next phase.
	StepReboot
	// StepJoin: record that the VM joins its target pool.
	StepJoin
	// StepReturn: undrain the VM on the platform and wait until it is healthy.
	StepReturn
)

// Next returns the step for the VM's phase.
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

// After returns the phase that follows the VM's current phase. A VM of a wave is
// rebooted before it returns to its pool, joins another pool or becomes free.
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

// Verb is the kind of an action on the platform.
type Verb string

// Actions on a VM.
const (
	VerbDrain   Verb = "drain"
	VerbReboot  Verb = "reboot"
	VerbUndrain Verb = "undrain"
)

// Action is the request of a step to the platform. Its ID is derived from the
// decision, so that all stewards and all retries send the same ID and the
// platform executes the action once.
type Action struct {
	Verb  Verb
	ID    string
	Fence uint64
}

// ActionOf returns the action of the VM's current step, or false if the step
// needs none. Drain and reboot carry the drain's offset as fencing token. The
// undrain carries the VM's revision, which is higher, so that the platform
// refuses a delayed reboot of the same drain once the VM may be serving.
func ActionOf(vm *ledger.VM) (Action, bool) {
	d := vm.Drain
	switch Next(vm) {
	case StepQuiesce:
		return Action{Verb: VerbDrain, ID: d.ID, Fence: d.Fence}, true
	case StepReboot:
		return Action{Verb: VerbReboot, ID: d.ID + "/reboot", Fence: d.Fence}, true
	case StepReturn:
		revision := uint64(vm.Revision)
		return Action{Verb: VerbUndrain, ID: fmt.Sprintf("%s/undrain/%d", vm.ID, revision), Fence: revision}, true
	}
	return Action{}, false
}

// Result is the known outcome of an action.
type Result int

// Results of an action.
const (
	// ResultUnknown: no reply, or a reply without an outcome. The action is sent
	// again.
	ResultUnknown Result = iota
	ResultRunning
	ResultDone
	ResultFailed
	// ResultNotFound: the platform does not list the VM, possibly temporarily.
	ResultNotFound
)

// String returns the name of the result in metrics.
func (r Result) String() string {
	return [...]string{"unknown", "running", "done", "failed", "not-found"}[r]
}

// StepComplete reports whether the VM's step is complete, given the result of its
// action and whether the VM passes its health check. A drain is complete if the
// platform has no such VM or failed the action, because then no task runs on the
// VM. A failed reboot is complete if the VM is healthy, for example because it
// crashed and recovered meanwhile.
func StepComplete(vm *ledger.VM, r Result, healthy bool) bool {
	switch Next(vm) {
	case StepNone:
		return false
	case StepQuiesce:
		return r == ResultDone || r == ResultFailed || r == ResultNotFound
	case StepReboot:
		return r == ResultDone || (r == ResultFailed && healthy)
	case StepReturn:
		return r == ResultDone && healthy
	}
	return true
}

// Limits after which a VM that is out of service is treated as failed.
const (
	overdueFactor = 3
	minOverdue    = 10 * time.Minute
)

// OverdueAfter returns how long the VM may stay in its phase: overdueFactor times
// its drain's estimate, at least minOverdue.
func OverdueAfter(vm *ledger.VM) time.Duration {
	if vm.Drain == nil {
		return minOverdue
	}
	return max(minOverdue, overdueFactor*vm.Drain.Estimate)
}

// Overdue reports whether the VM is out of service and has been in its phase for
// longer than OverdueAfter.
func Overdue(vm *ledger.VM, now time.Time) bool {
	return Next(vm) != StepNone && now.Sub(vm.PhaseSince) > OverdueAfter(vm)
}
