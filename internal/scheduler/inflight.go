package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// overtakenBy is how many starts later than one without an answer one must be that was
// answered for the first to count as lost: as many as may be in flight. On a node that
// is behind all answers come late, but about in the order of their starts.
const overtakenBy = maxInFlight

// startPatience is how long an overtaken start may be without an answer before its
// worker is asked: many times an order and its answer, and a third of a short task. Its
// time-out is a second, in which the task may neither run nor be started elsewhere.
const startPatience = 200 * time.Millisecond

// startID names one start of a task.
type startID struct {
	task workload.TaskKey
	run  int64
}

// inFlight counts the starts that wait for an answer and whose number is bounded.
// Those whose answer is lost are not among them: an answer is given up after a
// second, and at 1,600 starts a second one lost answer of twenty-five would take all
// places that there are, so that tasks wait beside free workers.
type inFlight struct {
	waiting  map[startID]int64 // the start's number
	order    []sentStart       // those that wait, and some that were answered
	sent     int64             // the latest start's number
	answered int64             // the number of the latest start that was answered
	lost     []*run            // overtaken, and not asked about yet
}

type sentStart struct {
	run    *run
	number int64
}

func (r *run) startID() startID { return startID{r.key(), r.number} }

func (f *inFlight) add(r *run) {
	if f.waiting == nil {
		f.waiting = map[startID]int64{}
	}
	f.sent++
	f.waiting[r.startID()] = f.sent
	f.order = append(f.order, sentStart{r, f.sent})
}

// done takes a start that was answered or given up.
func (f *inFlight) done(id startID, answered bool) {
	number, known := f.waiting[id]
	delete(f.waiting, id)
	if known && answered {
		f.answered = max(f.answered, number)
	}
	for len(f.order) > 0 {
		first := f.order[0]
		id := first.run.startID()
		if f.waiting[id] == first.number {
			if f.answered-first.number < overtakenBy {
				return
			}
			delete(f.waiting, id)
			f.lost = append(f.lost, first.run)
		}
		f.order = f.order[1:]
	}
}

// full tells whether no more starts may be sent.
func (f *inFlight) full() bool { return len(f.waiting) >= maxInFlight }

// doubtStarts has the workers asked about starts whose answer seems to be lost.
func (c *Core) doubtStarts(now time.Time) {
	for len(c.starting.lost) > 0 {
		r := c.starting.lost[0]
		if now.Before(r.orderedAt.Add(startPatience)) {
			return
		}
		c.starting.lost = c.starting.lost[1:]
		if r.state == runStarting {
			c.doubt(r, "overtaken by later starts", now)
		}
	}
}

// doubt notes that a start has no answer, and has the worker asked at once.
func (c *Core) doubt(r *run, reason string, now time.Time) {
	c.Counts.Uncertain++
	c.note(Decision{Verb: "uncertain", Job: r.step.job.id, Task: r.key().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "start without an answer: " + reason, Critical: true})
	r.state = runUncertain
	r.since = now
	r.worker.lateUntil = r.orderedAt.Add(lateOrder)
	r.worker.holdAfter = now
	r.worker.overdueAt = now // the poll under way may wait for an end for long
}
