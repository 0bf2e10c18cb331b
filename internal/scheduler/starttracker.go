package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// overtakenThreshold is the distance in starts after which an unanswered start is overtaken: its
// answer counts as lost once a start that was sent that many starts later is answered. It equals
// the number of starts that may be in flight. On an overloaded node all answers are late, but
// arrive roughly in the order of their starts.
const overtakenThreshold = maxStartsInFlight

// overtakenStartTimeout is how long an overtaken start may be unanswered before its worker is
// polled: many times the round trip of an order, and a third of a short task. The order's
// own timeout is a second, in which the task may neither run nor start elsewhere.
const overtakenStartTimeout = 200 * time.Millisecond

// startID identifies one start of a task.
type startID struct {
	task workload.TaskKey
	run  int64
}

// startTracker counts the unanswered starts, which maxStartsInFlight bounds. Starts whose
// answer counts as lost are not counted. An answer times out after a second, so at 1,600 starts
// a second a loss of one answer in 25 would use up the bound, and tasks would wait although
// workers have free capacity.
type startTracker struct {
	unanswered   map[startID]int64 // sequence number of the start
	queue        []sentStart       // unanswered starts in order, and some answered ones
	lastSent     int64             // sequence number of the latest start
	lastAnswered int64             // sequence number of the latest answered start
	overtaken    []*run            // runs whose start was overtaken and whose worker was not polled for it yet
}

// sentStart is a start and its sequence number.
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

// resolve removes a start that was answered or given up, and moves starts that were
// overtaken to f.overtaken.
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

// release stops counting a start whose answer is not expected any more, and reports whether it was
// counted.
func (f *startTracker) release(r *run) bool {
	_, known := f.unanswered[r.startID()]
	f.resolve(r.startID(), false)
	return known
}

// isFull reports whether maxStartsInFlight is reached.
func (f *startTracker) isFull() bool { return len(f.unanswered) >= maxStartsInFlight }

// pollOvertakenStarts schedules polls of the workers with overtaken starts.
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

// markStartUnanswered records that a start got no answer and schedules an immediate poll.
func (c *Core) markStartUnanswered(r *run, reason string, now time.Time) {
	c.Counts.UnansweredStarts++
	c.recordDecision(Decision{Verb: "uncertain", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "start without an answer: " + reason, AlwaysLogged: true})
	r.state = runUnconfirmed
	r.stateChangedAt = now
	r.worker.lateStartUntil = r.orderedAt.Add(maxOrderDelay)
	r.worker.nextPollAt = now
	r.worker.pollAnswerDueAt = now // the poll in flight may wait long for an exit
}
