package steward

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// step does what the VM's phase calls for now. It does not wait: a step that is
// not through is done again at the next look.
func (e *executor) step(ctx context.Context, id string) {
	vm, ok := e.vm(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ActionTimeout)
	defer cancel()
	switch maintenance.Next(&vm) {
	case maintenance.StepQuiesce:
		e.quiesce(ctx, &vm)
	case maintenance.StepDecide:
		e.advance(ctx, &vm, maintenance.After(&vm))
	case maintenance.StepReboot:
		e.reboot(ctx, &vm)
	case maintenance.StepJoin:
		e.join(ctx, &vm)
	case maintenance.StepReturn:
		e.takeBack(ctx, &vm)
	}
}

// Operation IDs are derived from the decision, so that every steward and every
// retry sends the same one.
func drainOperation(d *ledger.Drain) platform.Operation {
	return platform.Operation{ID: d.ID, Fence: platform.Offset(d.Fence)}
}

func rebootOperation(d *ledger.Drain) platform.Operation {
	return platform.Operation{ID: d.ID + "/reboot", Fence: platform.Offset(d.Fence)}
}

// undrainOperation carries the VM's latest revision, above the fence of the
// drain that it ends: a reboot of that drain which is still on its way is
// refused from then on.
func undrainOperation(vm *ledger.VM) platform.Operation {
	return platform.Operation{
		ID:    fmt.Sprintf("%s/undrain/%d", vm.ID, vm.Revision),
		Fence: platform.Offset(vm.Revision),
	}
}

func (e *executor) quiesce(ctx context.Context, vm *ledger.VM) {
	status, err := e.cfg.Fleet.Drain(ctx, vm.ID, drainOperation(vm.Drain))
	if !e.done(vm, "drain", status, err) {
		return
	}
	if !e.quiet(ctx, vm) {
		return
	}
	e.advance(ctx, vm, record.PhaseDrained)
}

func (e *executor) reboot(ctx context.Context, vm *ledger.VM) {
	status, err := e.cfg.Fleet.Reboot(ctx, vm.ID, rebootOperation(vm.Drain))
	if e.done(vm, "reboot", status, err) {
		e.advance(ctx, vm, maintenance.After(vm))
	}
}

func (e *executor) join(ctx context.Context, vm *ledger.VM) {
	e.decide(ctx, vm, record.VMJoin{Pool: vm.Drain.Target}, "released for its new pool")
}

func (e *executor) takeBack(ctx context.Context, vm *ledger.VM) {
	status, err := e.cfg.Fleet.Undrain(ctx, vm.ID, undrainOperation(vm))
	if !e.done(vm, "undrain", status, err) {
		return
	}
	if err := e.cfg.Health.Check(ctx, vm.Address); err != nil {
		e.cfg.Logger.Debug("not healthy yet", "vm", vm.ID, "error", err)
		return
	}
	e.decide(ctx, vm, record.VMUp{}, "seen healthy")
}

func (e *executor) advance(ctx context.Context, vm *ledger.VM, to record.VMPhase) {
	e.decide(ctx, vm, record.VMAdvance{To: to}, "the step before is done")
}

func (e *executor) decide(ctx context.Context, vm *ledger.VM, body record.Body, why string) {
	if !e.mayDecide() {
		return
	}
	e.propose.one(ctx, uint64(vm.Revision), pool.OnVM(&pool.VM{VM: *vm}, body, vm.ID, why))
}

// done reports whether an action's outcome is known and good. After any error
// the action is sent again under the same operation ID at the next look: a lost
// reply is unknown, never failed.
func (e *executor) done(vm *ledger.VM, action string, status platform.OperationStatus, err error) bool {
	switch {
	case errors.Is(err, platform.ErrFenced):
		e.cfg.Logger.Info("a later decision holds the VM", "vm", vm.ID, "action", action)
	case err != nil:
		e.cfg.Logger.Debug("action not confirmed", "vm", vm.ID, "action", action, "error", err)
	case status == platform.OperationFailed:
		e.cfg.Logger.Warn("action failed on the platform", "vm", vm.ID, "action", action)
	}
	return err == nil && status == platform.OperationDone
}
