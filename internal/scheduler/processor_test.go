package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

// What an owner's processor does for its service, on a small VM's 0.4 of a core.
const (
	// answerCost is an order or a poll and its answer. A start is two of them and takes
	// 270 us of a core, measured by BenchmarkOwnerStarts with nothing waiting.
	answerCost = 340 * time.Microsecond
	// rankCost is one job that a plan ranks and lookCost one worker or run that it
	// looks at. On a node with 0.4 of a core a step took 11 ms at 1,650 active jobs,
	// and steps took 350 ms of a second with 1.45 million looks; half of both was
	// other goroutines' time.
	rankCost = 3 * time.Microsecond
	lookCost = 120 * time.Nanosecond
	// stepGap is the pause that the owner's loop makes between two steps.
	stepGap = 3 * time.Millisecond
)

// processor is an owner's share of a core, on which the goroutines of its calls and the
// steps of its loop take turns. Calls are many, so that each step takes up only the few
// answers that were handled since the last.
type processor struct {
	free    time.Time // when what it has to do until now is done
	inbox   []func()
	stepped time.Time // when the last step ended
	due     bool      // a step is due
	counted scheduler.Counts
}

// use takes the processor for a while and returns when that is over.
func (p *processor) use(now time.Time, cost time.Duration) time.Time {
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(cost)
	return p.free
}

// tell hands an answer over once it was handled.
func (p *processor) tell(o *fakeOwner, do func()) {
	p.post(o, p.use(o.w.now, answerCost).Sub(o.w.now), do)
}

// post hands something over after a while, for the next step.
func (p *processor) post(o *fakeOwner, after time.Duration, do func()) {
	o.w.after(after, func() {
		p.inbox = append(p.inbox, do)
		if !p.due {
			p.due = true
			o.w.after(max(0, p.stepped.Add(stepGap).Sub(o.w.now)), func() { p.step(o) })
		}
	})
}

// step takes up what was handed over and steps once.
func (p *processor) step(o *fakeOwner) {
	p.due = false
	if o.dead {
		return
	}
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		do()
	}
	o.step()
	n := o.core.Counts
	cost := time.Duration(n.Ranked-p.counted.Ranked)*rankCost + time.Duration(n.Looks-p.counted.Looks)*lookCost
	p.counted = n
	p.use(o.w.now, cost)
	p.stepped = o.w.now.Add(cost)
}
