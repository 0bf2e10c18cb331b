package fleet

import "time"

// A VM passes through a pipeline before it moves or is maintained: its drain is requested, the order is
// stored, and the order is sent while the drain state is valid. If more VMs are in the pipeline than it
// finishes within drainStateValidity, the states of all lapse before their orders, each drain is repeated,
// and no VM is ever ordered. So the number of VMs in it follows how soon it finishes them, as the window of
// a congested connection does: it grows with each VM that is ordered soon, and halves when an order takes so
// long that others will lapse, lapses, or is turned away.
const (
	initialPipelineLimit = 32.0
	minPipelineLimit     = 8.0
	// soonOrdered and lateOrdered are ages of a drain state at the answer to the order. Between them the
	// limit stays.
	soonOrdered = drainStateValidity / 4
	// probingGrowth is by how much the limit grows with a VM ordered soon, until the first halving.
	probingGrowth = 0.5
	lateOrdered   = drainStateValidity / 2
	// returnShare is the part of the limit up to which VMs that no pool needs are returned. The rest is
	// for pools that are short of VMs.
	returnShare = 0.5
)

// pipeline bounds the VMs that are being drained or ordered at once. Its zero value is not usable.
type pipeline struct {
	limit float64
	// isProbing is set until the first halving. Until then the limit grows by half with each limit's worth of
	// VMs, later by one.
	isProbing bool
	halvedAt  time.Time
}

func newPipeline() pipeline { return pipeline{limit: initialPipelineLimit, isProbing: true} }

// recordOrdered records that a VM was ordered, age after its drain was requested or, without one, after the
// order was issued.
func (p *pipeline) recordOrdered(age time.Duration, now time.Time) {
	switch {
	case age >= lateOrdered:
		p.recordOverload(now)
	case age > soonOrdered:
	case p.isProbing:
		p.limit += probingGrowth
	default:
		p.limit += 1 / p.limit
	}
}

// recordOverload records that an order was late, has lapsed or was turned away. The VMs that were in the pipeline at
// the same time count as one overload.
func (p *pipeline) recordOverload(now time.Time) {
	if now.Sub(p.halvedAt) < drainStateValidity {
		return
	}
	p.isProbing = false
	p.halvedAt = now
	p.limit = max(minPipelineLimit, p.limit/2)
}

// room returns how many more VMs may enter the pipeline beside those that are in it.
func (p *pipeline) room(inside int) int { return max(0, int(p.limit)-inside) }

// returnRoom returns how many more VMs that no pool needs may enter it.
func (p *pipeline) returnRoom(inside int) int { return max(0, int(p.limit*returnShare)-inside) }

// PipelineState tells how the pipeline of VM orders keeps up.
type PipelineState struct {
	Limit  int // VMs that may be in it at once
	Inside int // VMs that are being drained or ordered
	// Oldest is how long the VM that has been in it the longest has been.
	Oldest time.Duration
	// Lapsed counts the orders that were not sent because the drain state had lapsed, TurnedAway those
	// that the platform didn't take, Ordered those that were carried out.
	Lapsed, TurnedAway, Ordered int
}

// PipelineState returns the state of the pipeline at now.
func (c *Core) PipelineState(now time.Time) PipelineState {
	s := PipelineState{Limit: int(c.pipeline.limit), Lapsed: c.lapsedOrders, TurnedAway: c.turnedAwayOrders, Ordered: c.acceptedOrders}
	for _, op := range c.operations {
		if op.phase == phaseAwaitingReturn {
			continue
		}
		s.Inside++
		s.Oldest = max(s.Oldest, now.Sub(op.begunAt))
	}
	return s
}

// inPipeline returns how many VMs are being drained or ordered.
func (c *Core) inPipeline() int {
	n := 0
	for _, op := range c.operations {
		if op.phase != phaseAwaitingReturn {
			n++
		}
	}
	return n
}
