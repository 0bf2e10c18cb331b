package fleetowner

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// execute starts the actions of a step. The drains of a pool are requested in one call.
func (o *Owner) execute(ctx context.Context, actions []fleet.Action) {
	drains := drainsByPool{}
	for _, a := range actions {
		switch a.Verb {
		case fleet.DrainWorker:
			drains[a.Pool] = append(drains[a.Pool], a)
		case fleet.MaintainVM, fleet.MoveVM:
			go o.storeAndOrder(ctx, a) // at most one per VM
		case fleet.StoreWave:
			o.queueWaveStore(ctx, a)
		}
	}
	for pool, list := range drains {
		o.startDrains(ctx, pool, list)
	}
}

// drainsByPool are the DrainWorker actions of a step by pool.
type drainsByPool map[string][]fleet.Action

// startDrains requests drains of a pool's workers, unless a request for the pool is in flight. Then the next
// step requests them: an owner that is behind is not asked again before it has answered.
func (o *Owner) startDrains(ctx context.Context, pool string, drains []fleet.Action) {
	if o.drainsInFlight[pool] {
		return
	}
	o.drainsInFlight[pool] = true
	go func() {
		results := o.drainWorkers(ctx, pool, drains)
		o.enqueue(ctx, func(c *fleet.Core, _ time.Time) {
			delete(o.drainsInFlight, pool)
			for _, r := range results {
				c.HandleDrainResult(r.action.VM, r.action.Worker, r.state, r.requestedAt)
			}
		})
	}()
}

// drainResult is the answer to a DrainWorker that was requested at requestedAt.
type drainResult struct {
	action      fleet.Action
	state       workload.DrainState
	requestedAt time.Time
}

// unconfirmedDrainRetryDelay is how long an idle worker takes to answer its owner, which polls it only
// once it is being drained.
const unconfirmedDrainRetryDelay = 30 * time.Millisecond

// drainWorkers requests the drains of a pool's workers, and once more those of workers whose process has not
// answered lately: at the next step, the repetition would delay a pool that waits for the VM.
func (o *Owner) drainWorkers(ctx context.Context, pool string, drains []fleet.Action) []drainResult {
	results := o.requestDrains(ctx, pool, drains)
	var unconfirmed []fleet.Action
	for _, r := range results {
		if r.state == workload.DrainedUnconfirmed {
			unconfirmed = append(unconfirmed, r.action)
		}
	}
	if len(unconfirmed) == 0 {
		return results
	}
	wait.Pause(ctx, unconfirmedDrainRetryDelay)
	results = slices.DeleteFunc(results, func(r drainResult) bool { return r.state == workload.DrainedUnconfirmed })
	return append(results, o.requestDrains(ctx, pool, unconfirmed)...)
}

// requestDrains requests drains from the owner of a pool's workers. Without an answer the states are NotDrained.
func (o *Owner) requestDrains(ctx context.Context, pool string, drains []fleet.Action) []drainResult {
	requestedAt := time.Now()
	workers := make([]string, len(drains))
	for i, a := range drains {
		workers[i] = a.Worker
	}
	states, ok := o.deps.Services.RequestDrains(ctx, pool, workers)
	results := make([]drainResult, len(drains))
	for i, a := range drains {
		results[i] = drainResult{action: a, requestedAt: requestedAt}
		if ok && i < len(states) {
			results[i].state = states[i]
		}
	}
	return results
}

// vmKeyPrefix begins the keys of stored orders.
const vmKeyPrefix = "vm/"

// storedOrder is stored before a VM is ordered. A later owner gives no order for the VM for a while after
// it, because the platform requires a pause between orders of two holders for one VM. A VM without a stored
// order may be ordered at once.
type storedOrder struct {
	OrderedAtMS int64 `json:"at"` // Unix time in ms, by the owner's clock
	// Wave is the number of the wave that the VM was ordered for, 0 for a move. Owners of earlier
	// versions did not store it.
	Wave int64 `json:"wave"`
}

// storeAndOrder stores that a VM will be ordered, and then orders it.
func (o *Owner) storeAndOrder(ctx context.Context, a fleet.Action) {
	value, err := json.Marshal(storedOrder{OrderedAtMS: time.Now().UnixMilli(), Wave: a.Wave})
	if err == nil {
		err = o.writer.put(ctx, vmKeyPrefix+a.VM, value)
	}
	if err != nil {
		if ctx.Err() == nil {
			o.loseOwnership(errors.Wrap(ErrOwnershipLost, err.Error()))
		}
		return
	}
	select {
	case o.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-o.orderSlots }()
	o.orderVM(ctx, a)
}

// orderVM orders a VM unless checkOrder returns a reason against it. The store may have been unavailable while
// the order was being stored, or the call may have waited for a slot. By then the worker may accept tasks
// again, and the order would end them.
func (o *Owner) orderVM(ctx context.Context, a fleet.Action) {
	if result, reason := o.checkOrder(a, time.Now()); reason != "" {
		o.logger.Debug("VM not ordered", "vm", a.VM, "wave", a.Wave, "pool", a.Pool, "reason", reason)
		o.enqueue(ctx, func(c *fleet.Core, now time.Time) { c.HandleOrderResult(a.VM, result, now) })
		return
	}
	// The platform's protocol calls the owner the lease holder, and its epoch the fencing token.
	issuer := platform.OrderIssuer{Node: o.deps.Node, Token: o.epoch}
	var status platform.VMOrderStatus
	var err error
	if a.Verb == fleet.MaintainVM {
		status, err = o.deps.VMs.Maintain(ctx, issuer, a.VM, a.Wave)
	} else {
		status, err = o.deps.VMs.Move(ctx, issuer, a.VM, a.Pool)
	}
	// Logged also for orders that were refused or failed; the outcome tells them apart.
	o.logger.Info("VM ordered", "vm", a.VM, "maintain", a.Verb == fleet.MaintainVM, "wave", a.Wave, "pool", a.Pool,
		"reason", a.Reason, "outcome", status.String(), "error", err)
	if status == platform.VMOrderFenced {
		o.loseOwnership(errors.Wrap(ErrOwnershipLost, "a VM has seen a higher fencing token"))
		return
	}
	o.enqueue(ctx, func(c *fleet.Core, now time.Time) { c.HandleOrderResult(a.VM, orderResultOf(status), now) })
}

// checkOrder returns why an order must not be sent any more and its result then, "" if it may be sent. A later
// owner counts the quiet period of the VM from the stored time of the order, and would not detect an order that
// is sent much later.
func (o *Owner) checkOrder(a fleet.Action, now time.Time) (result fleet.OrderResult, reason string) {
	switch {
	case !a.ValidUntil.IsZero() && hasPassed(a.ValidUntil, now):
		return fleet.OrderLapsed, "the drain state has been invalid for " + now.Sub(a.ValidUntil).String()
	case o.deps.OwnedUntil != nil && !now.Before(o.deps.OwnedUntil()):
		return fleet.OrderRefused, "another node may own the fleet"
	}
	return fleet.OrderAccepted, ""
}

// hasPassed reports whether t has passed by the monotonic clock or by the wall clock. The monotonic clock
// does not count the time for which a VM was suspended. If the wall clock was set forward, the order is
// refused and costs one more drain request.
func hasPassed(t, now time.Time) bool {
	return now.After(t) || now.Round(0).After(t.Round(0))
}

func orderResultOf(s platform.VMOrderStatus) fleet.OrderResult {
	switch s {
	case platform.VMOrderOK:
		return fleet.OrderAccepted
	case platform.VMOrderBusy:
		return fleet.OrderRefused
	case platform.VMOrderRefused:
		return fleet.OrderTurnedAway
	case platform.VMOrderNotDue, platform.VMOrderInvalid:
		return fleet.OrderInvalid
	default:
		return fleet.OrderOutcomeUnknown
	}
}

func (o *Owner) loseOwnership(err error) {
	select {
	case o.ownershipLost <- err:
	default: // Run returns on the first error
	}
}

// queueWaveStore stores the progress of a wave after the write of its earlier progress has ended. Of the progress
// that arrives meanwhile, only the latest is stored.
func (o *Owner) queueWaveStore(ctx context.Context, a fleet.Action) {
	if o.waveStoresInFlight[a.Wave] {
		o.nextWaveStores[a.Wave] = a
		return
	}
	o.waveStoresInFlight[a.Wave] = true
	go func() {
		o.storeWave(ctx, a)
		o.enqueue(ctx, func(*fleet.Core, time.Time) {
			delete(o.waveStoresInFlight, a.Wave)
			if next, ok := o.nextWaveStores[a.Wave]; ok {
				delete(o.nextWaveStores, a.Wave)
				o.queueWaveStore(ctx, next)
			}
		})
	}()
}

// storeWave stores the progress of a wave for a later owner, and its state for operators.
func (o *Owner) storeWave(ctx context.Context, a fleet.Action) {
	value, err := json.Marshal(storedWave{DoneVMs: a.DoneVMs, FirstSeenAtMS: a.FirstSeenAt.UnixMilli()})
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
		o.logger.Warn("failed to store the state of a wave, retrying", "wave", a.Wave, "status", status.String(), "error", err)
		wait.Pause(ctx, writeRetryInterval)
		o.enqueue(ctx, func(c *fleet.Core, _ time.Time) { c.HandleStoreFailure(a.Wave) })
		return
	}
	o.logger.Info("wave", "wave", a.Wave, "state", string(a.State), "done", len(a.DoneVMs))
}
