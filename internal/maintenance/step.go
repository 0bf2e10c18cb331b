package maintenance

import (
	"fmt"
	"time"

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

// Verb is an action on a VM at the platform.
type Verb string

// Actions on a VM.
const (
	VerbDrain   Verb = "drain"
	VerbReboot  Verb = "reboot"
	VerbUndrain Verb = "undrain"
)

// Action is what a step asks of the platform. Its ID is derived from the
// decision, so that every steward and every retry sends the same one and the
// platform carries it out once.
type Action struct {
	Verb  Verb
	ID    string
	Fence uint64
}

// ActionOf returns the action of the VM's present step, or false when the step
// needs none. Drain and reboot carry the drain's offset as fencing token. The
// undrain carries the VM's latest revision, above that: a reboot of the drain
// that is still on its way is refused from then on, when the VM may be serving.
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

// Result is what is known of an action.
type Result int

// Results of an action.
const (
	// ResultUnknown: no reply, or one that tells nothing. It is sent again.
	ResultUnknown Result = iota
	ResultRunning
	ResultDone
	ResultFailed
	// ResultNotFound: the platform does not have the VM, perhaps for now.
	ResultNotFound
)

// String returns the result's name in metrics.
func (r Result) String() string {
	return [...]string{"unknown", "running", "done", "failed", "not-found"}[r]
}

// Settled reports whether the VM's step is through, by the result of its action
// and whether the VM answers its health check. On a VM that the platform lost
// no task runs, which is all that a drain asks for. A reboot that failed but left
// the VM healthy is over too, as when the VM went down on its own meanwhile.
func Settled(vm *ledger.VM, r Result, healthy bool) bool {
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

// Bounds after which a VM that is out counts as failed.
const (
	overdueFactor = 3
	minOverdue    = 10 * time.Minute
)

// OverdueAfter returns for how long a VM may be in its phase: far longer than its
// drain's estimate.
func OverdueAfter(vm *ledger.VM) time.Duration {
	if vm.Drain == nil {
		return minOverdue
	}
	return max(minOverdue, overdueFactor*vm.Drain.Estimate)
}

// Overdue reports whether the VM has been in its phase for so long that it is
// not expected back.
func Overdue(vm *ledger.VM, now time.Time) bool {
	return Next(vm) != StepNone && now.Sub(vm.PhaseSince) > OverdueAfter(vm)
}
