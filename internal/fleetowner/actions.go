package fleetowner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// execute carries out one action.
func (o *Owner) execute(ctx context.Context, a fleet.Action) {
	switch a.Verb {
	case fleet.DrainWorker:
		if o.drainsInFlight[a.Worker] {
			return
		}
		o.drainsInFlight[a.Worker] = true
		o.startCall(ctx, func(ctx context.Context) { o.drainWorker(ctx, a) })
	case fleet.MaintainVM, fleet.MoveVM:
		go o.storeAndOrder(ctx, a) // bounded: one a VM
	case fleet.StoreWave:
		go o.storeWave(ctx, a) // bounded: one a wave
	}
}

// unconfirmedDrainRetryDelay is how long an idle worker, which is polled once it is to be emptied, takes
// to answer.
const unconfirmedDrainRetryDelay = 30 * time.Millisecond

// drainWorker asks for a worker to be emptied, and once more where its process has not answered
// lately: the next step would be late for a pool that waits for the VM.
func (o *Owner) drainWorker(ctx context.Context, a fleet.Action) {
	state, requestedAt := o.requestDrain(ctx, a)
	if state == workload.DrainedUnconfirmed {
		wait.Pause(ctx, unconfirmedDrainRetryDelay)
		state, requestedAt = o.requestDrain(ctx, a)
	}
	o.enqueue(ctx, func(c *fleet.Core, _ time.Time) {
		delete(o.drainsInFlight, a.Worker)
		c.HandleDrainResult(a.VM, a.Worker, state, requestedAt)
	})
}

// requestDrain asks a worker's owner, and returns what it said and when it was asked.
func (o *Owner) requestDrain(ctx context.Context, a fleet.Action) (state workload.DrainState, requestedAt time.Time) {
	requestedAt = time.Now()
	state, ok := o.deps.Services.RequestDrain(ctx, a.Pool, a.Worker)
	if !ok {
		return workload.NotDrained, requestedAt
	}
	return state, requestedAt
}

// vmKeyPrefix is the key of what is stored of a VM.
const vmKeyPrefix = "vm/"

// storedOrder is stored before a VM is ordered. A later owner leaves the VM
// alone for a while after it: orders of two holders for one VM must not follow
// each other closely. VMs without one it may order at once.
type storedOrder struct {
	AnnouncedAtMS int64 `json:"at"` // since 1970, by the owner's clock
	// Wave is the number of the wave that it was ordered for, 0 for a move. Owners of
	// earlier versions did not store it.
	Wave int64 `json:"wave"`
}

// storeAndOrder stores that a VM is to be ordered, and then orders it.
func (o *Owner) storeAndOrder(ctx context.Context, a fleet.Action) {
	value, err := json.Marshal(storedOrder{AnnouncedAtMS: time.Now().UnixMilli(), Wave: a.Wave})
	if err == nil {
		err = o.writer.put(ctx, vmKeyPrefix+a.VM, value)
	}
	if err != nil {
		if ctx.Err() == nil {
			o.loseOwnership(errors.Wrap(ErrOwnershipLost, err.Error()))
		}
		return
	}
	o.startCall(ctx, func(ctx context.Context) { o.orderVM(ctx, a) })
}

// orderVM orders a VM, unless the word that it is empty has grown old meanwhile: the
// store may have been away while the order was announced, or calls have waited
// for a slot. The worker is open again then, and an order would end what it runs.
func (o *Owner) orderVM(ctx context.Context, a fleet.Action) {
	if reason := o.orderBlockedReason(a, time.Now()); reason != "" {
		o.logger.Info("VM not ordered", "vm", a.VM, "wave", a.Wave, "pool", a.Pool, "reason", reason)
		o.enqueue(ctx, func(c *fleet.Core, now time.Time) { c.HandleOrderResult(a.VM, fleet.OrderRefused, now) })
		return
	}
	holder := platform.Holder{Node: o.deps.Node, Token: o.epoch}
	var status platform.VMOrderStatus
	var err error
	if a.Verb == fleet.MaintainVM {
		status, err = o.deps.Machines.Maintain(ctx, holder, a.VM, a.Wave)
	} else {
		status, err = o.deps.Machines.Move(ctx, holder, a.VM, a.Pool)
	}
	o.logger.Info("VM ordered", "vm", a.VM, "maintain", a.Verb == fleet.MaintainVM, "wave", a.Wave, "pool", a.Pool,
		"reason", a.Reason, "outcome", status.String(), "error", err)
	if status == platform.VMOrderFenced {
		o.loseOwnership(errors.Wrap(ErrOwnershipLost, "a VM has seen a higher fencing token"))
		return
	}
	o.enqueue(ctx, func(c *fleet.Core, now time.Time) { c.HandleOrderResult(a.VM, orderResultOf(status), now) })
}

// orderBlockedReason tells why an order may not be given any more, "" if it may. Another owner counts
// the VMs that were announced as ordered then, and not later.
func (o *Owner) orderBlockedReason(a fleet.Action, now time.Time) string {
	switch {
	case !a.ValidUntil.IsZero() && hasPassed(a.ValidUntil, now):
		return "the word that it is empty is too old by " + now.Sub(a.ValidUntil).String()
	case o.deps.OwnedUntil != nil && !now.Before(o.deps.OwnedUntil()):
		return "another node may own the fleet"
	}
	return ""
}

// hasPassed tells whether a time has passed on the steady clock or by the time of day. A
// VM that was suspended has a steady clock that knows nothing of it; a time of day
// that was set forward costs one more look at the worker.
func hasPassed(t, now time.Time) bool {
	return now.After(t) || now.Round(0).After(t.Round(0))
}

func orderResultOf(s platform.VMOrderStatus) fleet.OrderResult {
	switch s {
	case platform.VMOrderOK:
		return fleet.OrderAccepted
	case platform.VMOrderBusy, platform.VMOrderRefused:
		return fleet.OrderRefused
	case platform.VMOrderNotDue, platform.VMOrderInvalid:
		return fleet.OrderInvalid
	default:
		return fleet.OrderOutcomeUnknown
	}
}

func (o *Owner) loseOwnership(err error) {
	select {
	case o.ownershipLost <- err:
	default: // one reason is enough
	}
}

// storeWave stores how far a wave is, for a later owner and for operators.
func (o *Owner) storeWave(ctx context.Context, a fleet.Action) {
	value, err := json.Marshal(storedWave{DoneVMs: a.DoneVMs})
	if err == nil {
		err = o.writer.put(ctx, waveKeyPrefix+strconv.FormatInt(a.Wave, 10), value)
	}
	if err != nil {
		if ctx.Err() == nil {
			o.loseOwnership(errors.Wrap(ErrOwnershipLost, err.Error()))
		}
		return
	}
	status, err := o.deps.Store.WriteWaveState(ctx, a.Wave, a.State)
	if status != platform.StoreOK {
		o.logger.Warn("state of a wave can't be stored yet", "wave", a.Wave, "status", status.String(), "error", err)
		wait.Pause(ctx, writeRetryInterval)
		o.enqueue(ctx, func(c *fleet.Core, _ time.Time) { c.HandleStoreFailure(a.Wave) })
		return
	}
	o.logger.Info("wave", "wave", a.Wave, "state", string(a.State), "done", len(a.DoneVMs))
}
