package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// drainRequestTTL is how long a worker stays closed after the last wish to empty it.
// Who empties it repeats the wish several times in that; if that process dies,
// the worker takes work again.
const drainRequestTTL = 2 * time.Second

// drainReason and others name why runs are stopped.
const (
	ownerDrainReason    = "its VM is to be emptied"
	workerLeavingReason = "its worker is leaving"
)

// maxRemainingToFinish is how long a task may still have to run so that it is let finish
// rather than moved: a move costs a stop, a restart and what was done since the
// last checkpoint.
const maxRemainingToFinish = 1500 * time.Millisecond

// Times of a worker that is being emptied and runs nothing: one that is idle isn't polled
// otherwise.
const (
	// drainedPollInterval is the pause between polls.
	drainedPollInterval = 100 * time.Millisecond
	// drainedAnswerMaxAge is how long an answer shows that its process is there.
	drainedAnswerMaxAge = 300 * time.Millisecond
)

// DrainWorker closes a worker for a while and empties it. It is vacant once nothing runs
// there any more, nor can begin, and all its ends are stored: those that are not go with
// it.
func (c *Core) DrainWorker(id string, now time.Time) workload.DrainState {
	// One that isn't listed yet is closed, too: tasks would start there with the next list.
	w := c.ensureWorker(id, now)
	if !now.Before(w.drainUntil) {
		c.recordDecision(Decision{Verb: "evacuating", Worker: id, Reason: "asked for", AlwaysLogged: true})
	}
	w.drainUntil = now.Add(drainRequestTTL)
	switch {
	case len(w.runs) > 0 || c.unresolvedWorkers[id]:
		return workload.NotDrained
	case w.unregistered && !w.synced:
		return workload.DrainedUnconfirmed
	case !w.synced || w.lastExitSeen != w.ackAllowed || c.isPlacementBlocked(now):
		return workload.NotDrained
	case w.unregistered || w.unreachable || now.Sub(w.lastAnsweredPollSentAt) > drainedAnswerMaxAge:
		return workload.DrainedUnconfirmed
	}
	return workload.Drained
}

// isDrainingAndIdle tells whether a worker is being emptied and runs nothing any more: its VM may
// leave at any time.
func (w *worker) isDrainingAndIdle(now time.Time) bool {
	return now.Before(w.drainUntil) && len(w.runs) == 0
}

// maintenanceMarkTTL is how long the word counts that a worker is about to leave. The fleet's
// owner repeats it several times a second.
const maintenanceMarkTTL = time.Second

// SetDueForMaintenance takes the workers of a service whose VMs are due for maintenance. They run
// on, but lasting tasks that must move go elsewhere if they can: on one of these each of
// them would move a second time, and a step bears only one move after the other.
func (c *Core) SetDueForMaintenance(service string, ids []string, now time.Time) {
	for _, id := range ids {
		if w := c.workers[id]; w != nil && w.info.Service == service {
			w.maintenanceDueUntil = now.Add(maintenanceMarkTTL)
		}
	}
}

// evictRuns moves on what can't be let finish on workers that are to be empty.
func (c *Core) evictRuns(now time.Time) {
	if !c.hasAuthority(now) {
		return // a successor may move others of the same step
	}
	for _, w := range c.sortedWorkers {
		draining := now.Before(w.drainUntil)
		if !draining {
			w.endDrain()
		}
		if !draining && !w.info.Leaving {
			continue
		}
		for _, r := range w.runs {
			if r.state == runRunning && r.shouldEvict(draining, now) {
				reason := workerLeavingReason
				if draining {
					reason = ownerDrainReason
					r.stoppedForDrain = true
				}
				c.stopRun(r, reason)
			}
		}
	}
}

// endDrain ends the closing of a worker. One that was emptied has most likely left
// with its VM, though it is listed for seconds yet: it counts as silent until it
// has answered a poll. A start there would be refused, which costs a task its
// pause and a gang all its members.
func (w *worker) endDrain() {
	if w.drainUntil.IsZero() {
		return
	}
	w.drainUntil = time.Time{}
	if len(w.runs) == 0 {
		w.unreachable = true
	}
}

// shouldEvict tells whether a run is to be stopped so that it goes on elsewhere.
// The budget of a lasting step counts only where its worker could go on.
func (r *run) shouldEvict(draining bool, now time.Time) bool {
	spec := r.step.spec
	if spec.LongRunning {
		return !draining || r.worker.info.Leaving || r.step.canLoseTask(r.index)
	}
	if spec.Gang || !spec.Checkpoints {
		return false
	}
	remaining := estimate(spec) - now.Sub(r.orderedAt)
	return remaining > maxRemainingToFinish
}

// canRetryStop tells whether a stop without an answer may be sent again to a worker that
// still lists the run. Where a lasting task was to move with its VM, another one of its
// step may be away by now, as its worker has failed or left: the budget counts anew.
func (c *Core) canRetryStop(r *run, now time.Time) bool {
	if r.stoppedForDrain && !c.hasAuthority(now) {
		return false
	}
	if !r.stoppedForDrain || !r.step.spec.LongRunning || r.worker.info.Leaving || r.step.job.finalState.IsTerminal() {
		return true
	}
	return r.step.canLoseTask(r.index)
}

// canLoseTask tells whether the step bears the loss of one more task: all others
// must be fully at work but for fewer than the number that it may miss.
func (s *step) canLoseTask(index int) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for i := range s.tasks {
		if i != index && !s.tasks[i].isFullyAvailable() {
			unavailable++
		}
	}
	return unavailable < s.spec.MaxUnavailable
}

// isFullyAvailable tells whether a lasting task does its full work, and surely goes on.
func (t *task) isFullyAvailable() bool {
	for _, r := range t.runs {
		if r.state == runRunning && r.speedPercent >= fullSpeedPercent && !r.worker.unreachable && r.confirmedRunning {
			return true
		}
	}
	return false
}
