package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

// What an owner's processor does for its service, on a small VM's 0.4 of a core.
const (
	// callCost is an order or a poll and its answer. A start is two of them and takes
	// 270 us of a core, measured by BenchmarkOwnerStarts with nothing waiting.
	callCost = 340 * time.Microsecond
	// rankCost is one job that a plan ranks and lookCost one worker or run that it
	// looks at. On a node with 0.4 of a core a step took 11 ms at 1,650 active jobs,
	// and steps took 350 ms of a second with 1.45 million looks; half of both was
	// other goroutines' time.
	rankCost  = 3 * time.Microsecond
	checkCost = 120 * time.Nanosecond
	// stepPause is the pause that the owner's loop makes between two steps.
	stepPause = 3 * time.Millisecond
)

// processor is an owner's share of a core, on which the goroutines of its calls and the
// steps of its loop take turns. Calls are many, so that each step takes up only the few
// answers that were handled since the last.
type processor struct {
	busyUntil       time.Time // when what it has to do until now is done
	pendingActions  []func()
	lastStepEndedAt time.Time // when the last step ended
	stepScheduled   bool      // a step is due
	lastCounts      scheduler.Counts
}

// occupy takes the processor for a while and returns when that is over.
func (p *processor) occupy(now time.Time, cost time.Duration) time.Time {
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(cost)
	return p.busyUntil
}

// deliverAnswer hands an answer over once it was handled.
func (p *processor) deliverAnswer(o *fakeOwner, action func()) {
	p.deliverAfter(o, p.occupy(o.world.now, callCost).Sub(o.world.now), action)
}

// deliverAfter hands something over after a while, for the next step.
func (p *processor) deliverAfter(o *fakeOwner, delay time.Duration, action func()) {
	o.world.after(delay, func() {
		p.pendingActions = append(p.pendingActions, action)
		if !p.stepScheduled {
			p.stepScheduled = true
			o.world.after(max(0, p.lastStepEndedAt.Add(stepPause).Sub(o.world.now)), func() { p.step(o) })
		}
	})
}

// step takes up what was handed over and steps once.
func (p *processor) step(o *fakeOwner) {
	p.stepScheduled = false
	if o.dead {
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
