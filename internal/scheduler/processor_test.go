package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

// Costs of an owner's work on a small VM with 0.4 of a core.
const (
	// callCost is the cost of an order or a poll and its answer. A start is two of them and takes
	// 270 us of a core in BenchmarkOwnerStarts without a backlog.
	callCost = 340 * time.Microsecond
	// rankCost is the cost of ranking one job, checkCost that of one placement check of a worker
	// or run. On a node with 0.4 of a core a step took 11 ms at 1,650 active jobs, and steps took
	// 350 ms of a second with 1.45 million checks; half of both was other goroutines' time.
	rankCost  = 3 * time.Microsecond
	checkCost = 120 * time.Nanosecond
	// stepPause is the pause of the owner's loop between two steps.
	stepPause = 3 * time.Millisecond
)

// processor models an owner's share of a core, which the goroutines of its calls and the steps of its
// loop use. There are many calls, so each step handles only the few answers since the last step.
type processor struct {
	busyUntil       time.Time // when the work so far is done
	pendingActions  []func()
	lastStepEndedAt time.Time
	stepScheduled   bool
	lastCounts      scheduler.Counts
}

// occupy adds work to the processor and returns when the work is done.
func (p *processor) occupy(now time.Time, cost time.Duration) time.Time {
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(cost)
	return p.busyUntil
}

// deliverAnswer delivers an answer once the processor has handled it.
func (p *processor) deliverAnswer(o *fakeOwner, action func()) {
	p.deliverAfter(o, p.occupy(o.world.now, callCost).Sub(o.world.now), action)
}

// deliverAfter queues an action for the next step after a delay.
func (p *processor) deliverAfter(o *fakeOwner, delay time.Duration, action func()) {
	o.world.after(delay, func() {
		p.pendingActions = append(p.pendingActions, action)
		if !p.stepScheduled {
			p.stepScheduled = true
			o.world.after(max(0, p.lastStepEndedAt.Add(stepPause).Sub(o.world.now)), func() { p.step(o) })
		}
	})
}

// step runs the pending actions and steps the owner once.
func (p *processor) step(o *fakeOwner) {
	p.stepScheduled = false
	if o.stopped {
		return
	}
	actions := p.pendingActions
	p.pendingActions = nil
	for _, action := range actions {
		action()
	}
	o.step()
	counts := o.core.Counts
	cost := time.Duration(counts.RankedJobs-p.lastCounts.RankedJobs)*rankCost + time.Duration(counts.PlacementChecks-p.lastCounts.PlacementChecks)*checkCost
	p.lastCounts = counts
	p.occupy(o.world.now, cost)
	p.lastStepEndedAt = o.world.now.Add(cost)
}
