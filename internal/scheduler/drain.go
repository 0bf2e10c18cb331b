package scheduler

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// drainRequestTTL is how long a worker stays closed after the last drain request. The requester
// repeats the request several times within it. If the requester's process dies, the worker accepts
// starts again.
const drainRequestTTL = 2 * time.Second

// Reasons for stopping runs.
const (
	ownerDrainReason    = "its VM is being drained"
	workerLeavingReason = "its worker is leaving"
)

// maxRemainingToFinish is the longest estimated remaining time for which a task may finish rather
// than move. A move costs a stop, a restart and the work since the last checkpoint.
const maxRemainingToFinish = 1500 * time.Millisecond

// Timing of polls to a draining worker that runs nothing. An idle worker is not polled otherwise.
const (
	// drainedPollInterval is the pause between polls.
	drainedPollInterval = 100 * time.Millisecond
	// drainedAnswerMaxAge is how long an answer proves that the worker's process is there.
	drainedAnswerMaxAge = 300 * time.Millisecond
)

// DrainWorker closes a worker to starts for drainRequestTTL and returns its drain state. The worker
// is drained once nothing runs or can start there and all its exits are stored. Exits that are not
// stored are lost with the VM.
func (c *Core) DrainWorker(id string, now time.Time) workload.DrainState {
	// A worker that is not registered yet is closed too. Otherwise tasks would start there as
	// soon as it is.
	w := c.ensureWorker(id, now)
	if !now.Before(w.drainUntil) {
		if len(w.runs) > 0 {
			c.recordDecision(Decision{Verb: "evacuating", Worker: id, Reason: "drain requested", AlwaysLogged: true})
		}
		w.drainBegunAt, w.drainWaitLoggedAt = now, now
	}
	w.drainUntil = now.Add(drainRequestTTL)
	state, waitsFor := c.drainState(w, now)
	if waitsFor != "" && now.Sub(w.drainWaitLoggedAt) >= drainWaitLogInterval {
		w.drainWaitLoggedAt = now
		if len(w.runs) > 0 {
			r := w.runs[0]
			waitsFor = fmt.Sprintf("%s: %d, the first of task %s in state %d for %s", waitsFor, len(w.runs), r.taskKey(), r.state, now.Sub(r.stateChangedAt))
		}
		c.recordDecision(Decision{Verb: "evacuation-waits", Worker: id, Reason: waitsFor, Age: now.Sub(w.drainBegunAt), AlwaysLogged: true})
	}
	return state
}

// drainWaitLogInterval is the time between two log lines on what a drain waits for.
const drainWaitLogInterval = 5 * time.Second

// drainState returns the drain state of a worker, and what its drain waits for, "" if it is drained.
func (c *Core) drainState(w *worker, now time.Time) (state workload.DrainState, waitsFor string) {
	switch {
	case len(w.runs) > 0:
		return workload.NotDrained, "it has runs"
	case c.isUnresolved(w, now):
		return workload.NotDrained, "it may run tasks of an earlier owner"
	case w.unregistered && !w.synced:
		return workload.DrainedUnconfirmed, "it is not registered"
	case !w.synced:
		return workload.NotDrained, "it has not answered"
	case w.lastExitSeen != w.ackAllowed:
		return workload.NotDrained, "its exits are not stored"
	case c.mayHaveUnknownRunsOf(w.info.Service, now):
		return workload.NotDrained, "the runs of an earlier owner are not known"
	case w.unregistered || w.unreachable || now.Sub(w.lastAnsweredPollSentAt) > drainedAnswerMaxAge:
		return workload.DrainedUnconfirmed, "it has not answered lately"
	}
	return workload.Drained, ""
}

// isDrainingAndIdle reports whether a worker is draining and runs nothing. Its VM may leave at any
// time.
func (w *worker) isDrainingAndIdle(now time.Time) bool {
	return now.Before(w.drainUntil) && len(w.runs) == 0
}

// maintenanceMarkTTL is how long a worker counts as due for maintenance. The owner of the fleet
// repeats the mark several times a second.
const maintenanceMarkTTL = time.Second

// SetDueForMaintenance marks the workers of a service whose VMs are due for maintenance. Their runs
// continue, but long-running tasks that must move avoid these workers if they can. There each would
// have to move a second time, and MaxUnavailable allows a step few moves at a time.
func (c *Core) SetDueForMaintenance(service string, ids []string, now time.Time) {
	for _, id := range ids {
		if w := c.workers[id]; w != nil && w.info.Service == service {
			w.maintenanceDueUntil = now.Add(maintenanceMarkTTL)
		}
	}
}

// evictRuns stops the runs on draining and leaving workers that can't be left to finish, so that
// they continue elsewhere.
func (c *Core) evictRuns(now time.Time) {
	if !c.hasAuthority(now) {
		return // a later owner may move other tasks of the same step
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

// endDrain ends the drain of a worker. A drained worker has most likely left with its VM, though it
// stays registered for some seconds. So a worker without runs counts as unreachable until it answers a
// poll. A start there would be refused: a task would have to wait for its backoff, and a gang would
// be stopped as a whole.
func (w *worker) endDrain() {
	if w.drainUntil.IsZero() {
		return
	}
	w.drainEndedAt = w.drainUntil
	w.drainUntil = time.Time{}
	if len(w.runs) == 0 {
		w.unreachable = true
	}
}

// shouldEvict reports whether a run must be stopped so that it continues elsewhere. MaxUnavailable of
// a long-running step applies only while the worker itself is not leaving.
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

// canRetryStop reports whether an unanswered stop may be sent again to a worker that still lists
// the run. If a long-running task was stopped for a drain, another task of its step may have become
// unavailable since, because its worker failed or left, so MaxUnavailable is checked again.
func (c *Core) canRetryStop(r *run, now time.Time) bool {
	if r.stoppedForDrain && !c.hasAuthority(now) {
		return false
	}
	if !r.stoppedForDrain || !r.step.spec.LongRunning || r.worker.info.Leaving || r.step.job.finalState.IsTerminal() {
		return true
	}
	return r.step.canLoseTask(r.index)
}

// canLoseTask reports whether the step tolerates the loss of one more task: fewer than
// MaxUnavailable of the others may be less than fully available. A MaxUnavailable of 0 is no bound.
func (s *step) canLoseTask(index int) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for i := range s.tasks {
		if i != index && !s.peek(i).isFullyAvailable() {
			unavailable++
		}
	}
	return unavailable < s.spec.MaxUnavailable
}

// isFullyAvailable reports whether a long-running task runs at full speed on a worker that answers
// and is known not to be stopping.
func (t *task) isFullyAvailable() bool {
	for _, r := range t.runs {
		if r.state == runRunning && r.speedPercent >= fullSpeedPercent && !r.worker.unreachable && r.confirmedRunning {
			return true
		}
	}
	return false
}
