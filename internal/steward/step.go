package steward

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// step carries out the step of the VM's phase and reports whether a decision
// took effect, so that the next step can follow at once. It does not wait: an
// unfinished step is tried again later.
func (e *executor) step(ctx context.Context, id string) bool {
	vm, ok := e.vm(id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ActionTimeout)
	defer cancel()
	if result := e.sendAction(ctx, &vm); !maintenance.StepComplete(&vm, result, e.checkHealth(ctx, &vm)) {
		e.handleOverdue(ctx, &vm)
		return false
	}
	switch maintenance.Next(&vm) {
	case maintenance.StepQuiesce:
		return e.requestsFinished(ctx, &vm) &&
			e.proposeForVM(ctx, &vm, record.VMAdvance{To: maintenance.After(&vm)}, "no job and no request is left on the VM")
	case maintenance.StepDecide, maintenance.StepReboot:
		return e.proposeForVM(ctx, &vm, record.VMAdvance{To: maintenance.After(&vm)}, "the previous step is done")
	case maintenance.StepJoin:
		return e.join(ctx, &vm)
	case maintenance.StepReturn:
		return e.proposeForVM(ctx, &vm, record.VMUp{}, "seen healthy")
	}
	return false
}

// handleOverdue records a VM as down if it is out of service for far longer
// than expected, so that its pool can get a replacement. If the VM is already
// down, it is skipped in its wave. If the VM returns later, the drain
// continues.
func (e *executor) handleOverdue(ctx context.Context, vm *ledger.VM) {
	if !maintenance.Overdue(vm, time.Now()) {
		return
	}
	if !vm.Down {
		e.proposeForVM(ctx, vm, record.VMDown{Cause: "did not come back from " + string(vm.Phase)}, "out for too long")
		return
	}
	e.skipInWave(ctx, vm)
}

// skipInWave removes an overdue VM from its wave.
func (e *executor) skipInWave(ctx context.Context, vm *ledger.VM) {
	if vm.Drain == nil || vm.Drain.Wave == "" || !e.MayDecide() {
		return
	}
	var w *pool.Wave
	var seen uint64
	e.cfg.Follower.View(func(st *ledger.State) {
		seen = st.Offset
		if wave, ok := st.Waves[vm.Drain.Wave]; ok && wave.Active() && wave.VMs[vm.ID] == ledger.WaveOut {
			w = &pool.Wave{ID: wave.ID, Revision: wave.Revision}
		}
	})
	if w == nil {
		return
	}
	reason := fmt.Sprintf("did not come back: %s since %s", vm.Phase, vm.PhaseSince.Format(time.RFC3339))
	e.proposer.propose(ctx, seen, pool.OnWave(w, record.WaveSkip{VM: vm.ID, Reason: reason}, "out for too long"))
}

// sendAction sends the action of the VM's step to the platform.
func (e *executor) sendAction(ctx context.Context, vm *ledger.VM) maintenance.Result {
	a, ok := maintenance.ActionOf(vm)
	if !ok {
		return maintenance.ResultDone
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
	if err != nil {
		e.cfg.Logger.Debug("action not confirmed", "vm", vm.ID, "action", a.Verb, "error", err)
	}
	result := ResultOf(status, err)
	e.metrics.observeAction(a.Verb, result)
	return result
}

// ResultOf returns the result that a reply proves. A lost reply means unknown
// and never failed: after any error the action is sent again under the same
// operation ID.
func ResultOf(status platform.OperationStatus, err error) maintenance.Result {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return maintenance.ResultNotFound
	case err != nil:
		return maintenance.ResultUnknown
	case status == platform.OperationDone:
		return maintenance.ResultDone
	case status == platform.OperationFailed:
		return maintenance.ResultFailed
	}
	return maintenance.ResultRunning
}

// checkHealth reports whether the VM is healthy. It checks the VM only for
// reboots and returns; other steps do not depend on the result.
func (e *executor) checkHealth(ctx context.Context, vm *ledger.VM) bool {
	switch maintenance.Next(vm) {
	case maintenance.StepReboot, maintenance.StepReturn:
		return e.cfg.Health.Check(ctx, vm.Address) == nil
	}
	return true
}

// join moves a released VM into its target pool, or back into its old pool if
// the target was removed in the meantime.
func (e *executor) join(ctx context.Context, vm *ledger.VM) bool {
	target := vm.Drain.Target
	e.cfg.Follower.View(func(st *ledger.State) {
		if _, ok := st.Services[target]; !ok {
			target = vm.Pool
		}
	})
	return e.proposeForVM(ctx, vm, record.VMJoin{Pool: target}, "released for its target pool")
}

func (e *executor) proposeForVM(ctx context.Context, vm *ledger.VM, body record.Body, why string) bool {
	if !e.MayDecide() {
		return false
	}
	return e.proposer.propose(ctx, uint64(vm.Revision), pool.OnVM(&pool.VM{VM: *vm}, body, vm.ID, why))
}
