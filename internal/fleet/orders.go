package fleet

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// earlierOrder is an earlier owner's order for a VM.
type earlierOrder struct {
	wave       int64     // 0 for a move, UnknownWave if it is unknown
	quietUntil time.Time // no order is given for the VM before then
}

// UnknownWave stands for the wave of an order whose purpose is unknown.
const UnknownWave = -1

// RecordEarlierOrder records that an earlier owner ordered a VM at orderedAt, by the clock of
// that owner, for a wave or, if wave is 0, to another pool.
func (c *Core) RecordEarlierOrder(vm string, wave int64, orderedAt time.Time) {
	quietUntil := orderedAt.Add(c.settings.EarlierOrderQuietPeriod + maxClockSkew)
	if latest := c.startedAt.Add(c.settings.EarlierOrderQuietPeriod + inFlightOrderSlack); quietUntil.After(latest) {
		quietUntil = latest
	}
	c.earlierOrders[vm] = earlierOrder{wave: wave, quietUntil: quietUntil}
}

// canOrder reports whether the quiet period after an earlier owner's order for a VM has ended.
func (c *Core) canOrder(vm string, now time.Time) bool {
	return !now.Before(c.earlierOrders[vm].quietUntil)
}

// isSpare reports whether a VM is known to be in the spare pool. After an order that was or may have been
// carried out it may be in another pool and run tasks, until a later list shows where it is.
func (c *Core) isSpare(vm workload.VM) bool {
	_, unlisted := c.unlistedOrders[vm.ID]
	return c.sparePool != "" && vm.Pool == c.sparePool && !unlisted
}

// isDrained reports whether the worker of a VM is known to run nothing. DrainedUnconfirmed means
// that the worker's process has not answered lately. A replacement worker may already run tasks on
// the VM, and the list may not show it yet. DrainedUnconfirmed therefore counts only with a recent
// list that was requested after the first such answer.
func (c *Core) isDrained(op *operation, now time.Time) bool {
	if now.Sub(op.drainRequestedAt) >= drainStateValidity {
		return false
	}
	return op.drainState == workload.Drained ||
		op.drainState == workload.DrainedUnconfirmed && c.vmListRequestedAt.After(op.drainStateSince) && now.Sub(c.vmListRequestedAt) < maxVMListAge
}

// maxVMListAge is the maximum age of a VM list that is trusted to name the VM's current worker. A
// new worker takes longer to start, to register and to get its first task.
const maxVMListAge = 600 * time.Millisecond

// drainStateValidity is how long a drain state counts after its request. The worker's owner starts
// no task on the worker for longer than this after the last drain request.
const drainStateValidity = time.Second

func (c *Core) issueOrder(op *operation, now time.Time) {
	op.phase = phaseOrderInFlight
	op.phaseSince = now
	a := Action{Verb: MoveVM, VM: op.vm, Pool: op.targetPool, Reason: op.reason}
	if op.wave != 0 {
		a = Action{Verb: MaintainVM, VM: op.vm, Wave: op.wave, Reason: "drained for maintenance"}
	}
	switch vm := c.vmsByID[op.vm]; {
	case vm.Worker == "" && !c.isSpare(vm):
		a.Reason = string(HeldByMissingWorker)
		a.ValidUntil = c.vmListRequestedAt.Add(drainStateValidity)
	case op.drainState != workload.NotDrained:
		a.ValidUntil = op.drainRequestedAt.Add(drainStateValidity)
	}
	c.actions = append(c.actions, a)
}

// HandleDrainResult records the answer to a DrainWorker requested at requestedAt. The answer's age
// counts from the request. If it counted from the arrival, a process that was suspended in between
// would treat the answer as fresh although the worker accepts tasks again and runs some.
func (c *Core) HandleDrainResult(vm, worker string, state workload.DrainState, requestedAt time.Time) {
	op := c.operations[vm]
	if op == nil || op.phase != phaseDraining || op.worker != worker {
		return
	}
	if state != op.drainState {
		op.drainStateSince = requestedAt
	}
	op.drainState = state
	op.drainRequestedAt = requestedAt
}

// OrderResult is the outcome of an order for a VM.
type OrderResult int

// Results of an order.
const (
	OrderAccepted       OrderResult = iota
	OrderRefused                    // not carried out, may be retried
	OrderTurnedAway                 // not carried out, as the platform is busy; may be retried
	OrderLapsed                     // not sent, as the drain state had lapsed; may be retried
	OrderInvalid                    // no longer applicable, or never was
	OrderOutcomeUnknown             // may have been carried out
)

// HandleOrderResult records the outcome of a MaintainVM or MoveVM. An order that was not carried out,
// or one with an unknown outcome, is repeated after another drain request.
func (c *Core) HandleOrderResult(vm string, result OrderResult, now time.Time) {
	op := c.operations[vm]
	if op == nil || op.phase != phaseOrderInFlight {
		return
	}
	age := now.Sub(op.phaseSince)
	if op.drainState != workload.NotDrained {
		age = now.Sub(op.drainRequestedAt)
	}
	op.phaseSince = now
	if result == OrderAccepted || result == OrderOutcomeUnknown {
		c.unlistedOrders[vm] = now
	}
	switch result {
	case OrderLapsed:
		c.lapsedOrders++
		c.pipeline.recordOverload(now)
	case OrderTurnedAway:
		c.turnedAwayOrders++
		c.pipeline.recordOverload(now)
	}
	switch result {
	case OrderAccepted:
		c.acceptedOrders++
		c.pipeline.recordOrdered(age, now)
		op.phase = phaseAwaitingReturn
		if s := c.waves[op.wave]; s != nil {
			s.doneVMs[vm] = true
			c.dirtyWaves[op.wave] = true
		}
	case OrderRefused, OrderTurnedAway, OrderLapsed, OrderOutcomeUnknown:
		// If the order was carried out, its repetition is answered as accepted.
		op.phase = phaseDraining
		op.drainState = workload.NotDrained
		op.retryAt = now.Add(orderRetryInterval)
	case OrderInvalid:
		if s := c.waves[op.wave]; s != nil {
			s.doneVMs[vm] = true
			c.dirtyWaves[op.wave] = true
		}
		delete(c.operations, vm)
	}
}
