package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// evacuateFor is how long a worker stays closed after the last wish to empty it.
// Who empties it repeats the wish several times in that; if that process dies,
// the worker takes work again.
const evacuateFor = 2 * time.Second

// drainReason and others name why runs are stopped.
const (
	evacuationReason = "its VM is to be emptied"
	drainReason      = "its worker is leaving"
)

// shortRest is how long a task may still have to run so that it is let finish
// rather than moved: a move costs a stop, a restart and what was done since the
// last checkpoint.
const shortRest = 1500 * time.Millisecond

// Times of a worker that is being emptied and runs nothing: one that is idle isn't polled
// otherwise.
const (
	// vacantPoll is the pause between polls.
	vacantPoll = 100 * time.Millisecond
	// vacantSeen is how long an answer shows that its process is there.
	vacantSeen = 300 * time.Millisecond
)

// Evacuate closes a worker for a while and empties it. It is vacant once nothing runs
// there any more, nor can begin, and all its ends are stored: those that are not go with
// it.
func (c *Core) Evacuate(id string, now time.Time) workload.Vacancy {
	// One that isn't listed yet is closed, too: tasks would start there with the next list.
	w := c.worker(id, now)
	if !now.Before(w.evacuateUntil) {
		c.note(Decision{Verb: "evacuating", Worker: id, Reason: "asked for", Critical: true})
	}
	w.evacuateUntil = now.Add(evacuateFor)
	switch {
	case len(w.runs) > 0 || c.unheld[id]:
		return workload.Occupied
	case w.missing && !w.synced:
		return workload.VacantUnseen
	case !w.synced || w.seen != w.acked || c.blocked(now):
		return workload.Occupied
	case w.missing || w.unreachable || now.Sub(w.toldAt) > vacantSeen:
		return workload.VacantUnseen
	}
	return workload.Vacant
}

// isVacated tells whether a worker is being emptied and runs nothing any more: its VM may
// leave at any time.
func (w *worker) isVacated(now time.Time) bool {
	return now.Before(w.evacuateUntil) && len(w.runs) == 0
}

// leavingFor is how long the word counts that a worker is about to leave. The fleet's
// owner repeats it several times a second.
const leavingFor = time.Second

// SetLeaving takes the workers of a service whose VMs are due for maintenance. They run
// on, but lasting tasks that must move go elsewhere if they can: on one of these each of
// them would move a second time, and a step bears only one move after the other.
func (c *Core) SetLeaving(service string, ids []string, now time.Time) {
	for _, id := range ids {
		if w := c.workers[id]; w != nil && w.info.Service == service {
			w.leavingUntil = now.Add(leavingFor)
		}
	}
}

// evacuate moves on what can't be let finish on workers that are to be empty.
func (c *Core) evacuate(now time.Time) {
	if !c.hasAuthority(now) {
		return // a successor may move others of the same step
	}
	for _, w := range c.order {
		evacuating := now.Before(w.evacuateUntil)
		if !evacuating {
			w.reopen()
		}
		if !evacuating && !w.info.Draining {
			continue
		}
		for _, r := range w.runs {
			if r.state == runRunning && r.movesNow(evacuating, now) {
				reason := drainReason
				if evacuating {
					reason = evacuationReason
					r.evacuated = true
				}
				c.stop(r, reason)
			}
		}
	}
}

// reopen ends the closing of a worker. One that was emptied has most likely left
// with its VM, though it is listed for seconds yet: it counts as silent until it
// has answered a poll. A start there would be refused, which costs a task its
// pause and a gang all its members.
func (w *worker) reopen() {
	if w.evacuateUntil.IsZero() {
		return
	}
	w.evacuateUntil = time.Time{}
	if len(w.runs) == 0 {
		w.unreachable = true
	}
}

// movesNow tells whether a run is to be stopped so that it goes on elsewhere.
// The budget of a lasting step counts only where its worker could go on.
func (r *run) movesNow(evacuating bool, now time.Time) bool {
	spec := r.step.spec
	if spec.Lasting {
		return !evacuating || r.worker.info.Draining || r.step.mayMiss(r.index)
	}
	if spec.Gang || !spec.Checkpoints {
		return false
	}
	rest := estimate(spec) - now.Sub(r.orderedAt)
	return rest > shortRest
}

// mayStopAgain tells whether a stop without an answer may be sent again to a worker that
// still lists the run. Where a lasting task was to move with its VM, another one of its
// step may be away by now, as its worker has failed or left: the budget counts anew.
func (c *Core) mayStopAgain(r *run, now time.Time) bool {
	if r.evacuated && !c.hasAuthority(now) {
		return false
	}
	if !r.evacuated || !r.step.spec.Lasting || r.worker.info.Draining || r.step.job.final.Ended() {
		return true
	}
	return r.step.mayMiss(r.index)
}

// mayMiss tells whether the step bears the loss of one more task: all others
// must be fully at work but for fewer than the number that it may miss.
func (s *step) mayMiss(index int) bool {
	if s.spec.MayMiss == 0 {
		return true
	}
	away := 0
	for i := range s.tasks {
		if i != index && !s.tasks[i].atWork() {
			away++
		}
	}
	return away < s.spec.MayMiss
}

// atWork tells whether a lasting task does its full work, and surely goes on.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.state == runRunning && r.percent >= fullPace && !r.worker.unreachable && r.sure {
			return true
		}
	}
	return false
}
