package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// overtakenThreshold is how many starts later than one without an answer one must be that was
// answered for the first to count as lost: as many as may be in flight. On a node that
// is behind all answers come late, but about in the order of their starts.
const overtakenThreshold = maxStartsInFlight

// overtakenStartTimeout is how long an overtaken start may be without an answer before its
// worker is asked: many times an order and its answer, and a third of a short task. Its
// time-out is a second, in which the task may neither run nor be started elsewhere.
const overtakenStartTimeout = 200 * time.Millisecond

// startID names one start of a task.
type startID struct {
	task workload.TaskKey
	run  int64
}

// startTracker counts the starts that wait for an answer and whose number is bounded.
// Those whose answer is lost are not among them: an answer is given up after a
// second, and at 1,600 starts a second one lost answer of twenty-five would take all
// places that there are, so that tasks wait beside free workers.
type startTracker struct {
	unanswered   map[startID]int64 // the start's number
	queue        []sentStart       // those that wait, and some that were answered
	lastSent     int64             // the latest start's number
	lastAnswered int64             // the number of the latest start that was answered
	overtaken    []*run            // overtaken, and not asked about yet
}

type sentStart struct {
	run    *run
	number int64
}

func (r *run) startID() startID { return startID{r.taskKey(), r.number} }

func (f *startTracker) add(r *run) {
	if f.unanswered == nil {
		f.unanswered = map[startID]int64{}
	}
	f.lastSent++
	f.unanswered[r.startID()] = f.lastSent
	f.queue = append(f.queue, sentStart{r, f.lastSent})
}

// resolve takes a start that was answered or given up.
func (f *startTracker) resolve(id startID, answered bool) {
	number, known := f.unanswered[id]
	delete(f.unanswered, id)
	if known && answered {
		f.lastAnswered = max(f.lastAnswered, number)
	}
	for len(f.queue) > 0 {
		first := f.queue[0]
		id := first.run.startID()
		if f.unanswered[id] == first.number {
			if f.lastAnswered-first.number < overtakenThreshold {
				return
			}
			delete(f.unanswered, id)
			f.overtaken = append(f.overtaken, first.run)
		}
		f.queue = f.queue[1:]
	}
}

// isFull tells whether no more starts may be sent.
func (f *startTracker) isFull() bool { return len(f.unanswered) >= maxStartsInFlight }

// pollOvertakenStarts has the workers asked about starts whose answer seems to be lost.
func (c *Core) pollOvertakenStarts(now time.Time) {
	for len(c.startsInFlight.overtaken) > 0 {
		r := c.startsInFlight.overtaken[0]
		if now.Before(r.orderedAt.Add(overtakenStartTimeout)) {
			return
		}
		c.startsInFlight.overtaken = c.startsInFlight.overtaken[1:]
		if r.state == runStarting {
			c.markStartUnanswered(r, "overtaken by later starts", now)
		}
	}
}

// markStartUnanswered notes that a start has no answer, and has the worker asked at once.
func (c *Core) markStartUnanswered(r *run, reason string, now time.Time) {
	c.Counts.UnansweredStarts++
	c.recordDecision(Decision{Verb: "uncertain", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "start without an answer: " + reason, AlwaysLogged: true})
	r.state = runUnanswered
	r.stateChangedAt = now
	r.worker.lateStartUntil = r.orderedAt.Add(maxOrderDelay)
	r.worker.nextPollAt = now
	r.worker.pollAnswerDueAt = now // the poll under way may wait for an end for long
}
