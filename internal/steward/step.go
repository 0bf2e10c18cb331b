package steward

import (
	"context"

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

// act sends the action of the VM's step and reports whether its outcome is
// known and good.
func (e *executor) act(ctx context.Context, vm *ledger.VM) bool {
	a, ok := maintenance.ActionOf(vm)
	if !ok {
		return false
	}
	op := platform.Operation{ID: a.ID, Fence: platform.Offset(a.Fence)}
	var status platform.OperationStatus
	var err error
	switch a.Verb {
	case maintenance.VerbDrain:
		status, err = e.cfg.Fleet.Drain(ctx, vm.ID, op)
	case maintenance.VerbReboot:
		status, err = e.cfg.Fleet.Reboot(ctx, vm.ID, op)
	case maintenance.VerbUndrain:
		status, err = e.cfg.Fleet.Undrain(ctx, vm.ID, op)
	}
	return e.done(vm, a.Verb, status, err)
}

func (e *executor) quiesce(ctx context.Context, vm *ledger.VM) {
	if e.act(ctx, vm) && e.quiet(ctx, vm) {
		e.advance(ctx, vm, record.PhaseDrained)
	}
}

func (e *executor) reboot(ctx context.Context, vm *ledger.VM) {
	if e.act(ctx, vm) {
		e.advance(ctx, vm, maintenance.After(vm))
	}
}

// join puts a released VM into its target, or back into its old pool when the
// target was removed meanwhile.
func (e *executor) join(ctx context.Context, vm *ledger.VM) {
	target := vm.Drain.Target
	e.cfg.Follower.View(func(st *ledger.State) {
		if _, ok := st.Services[target]; !ok {
			target = vm.Pool
		}
	})
	e.decide(ctx, vm, record.VMJoin{Pool: target}, "released for its new pool")
}

func (e *executor) takeBack(ctx context.Context, vm *ledger.VM) {
	if !e.act(ctx, vm) {
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
func (e *executor) done(vm *ledger.VM, action maintenance.Verb, status platform.OperationStatus, err error) bool {
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
