package scheduler

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Pauses after a refused start.
const (
	fullBackoff        = 150 * time.Millisecond // of a worker that reported that it is full
	unhealthyBackoff   = 500 * time.Millisecond // of a worker that reported that it is unhealthy, or was not reached
	refusedTaskBackoff = 300 * time.Millisecond // of the task
)

// OrderResult is the outcome of a StartOrder, StopOrder or ThrottleOrder.
type OrderResult struct {
	Worker string
	Task   workload.TaskKey
	Run    int64
	Token  int64
	Answer workload.WorkerAnswer
}

// applyAnswer applies what an answer states about the worker itself, and returns the run of
// the order, nil if the run is no longer on the worker. stale is set for an order that was
// sent before a restart of the worker was detected: either incarnation may have answered. An answer
// with a clock below that of the run's lease shows such a restart.
func (c *Core) applyAnswer(result OrderResult, now time.Time) (r *run, stale bool) {
	w := c.workers[result.Worker]
	if w == nil {
		return nil, false
	}
	w.ordersInFlight--
	if isFromWorker(result.Answer.Status) {
		w.lastHeardAt = now
	}
	if result.Token < w.token {
		return w.findRun(result.Task, result.Run), true
	}
	r = w.findRun(result.Task, result.Run)
	if r != nil && result.Answer.ClockMS != 0 && result.Answer.ClockMS < r.minClockMS {
		c.handleRestart(w, 0, fmt.Sprintf("its clock went backwards, from %d to %d ms or less", r.minClockMS, result.Answer.ClockMS), now)
		return r, true
	}
	w.recordClock(result.Answer.ClockMS, now)
	switch result.Answer.Status {
	case workload.WorkerFenced:
		c.handleFenced(w, result.Token)
	case workload.WorkerReplaced:
		c.handleReplaced(w, now)
	}
	return w.findRun(result.Task, result.Run), false
}

// HandleStartResult handles the outcome of a start.
func (c *Core) HandleStartResult(result OrderResult, now time.Time) {
	c.startsInFlight.resolve(startID{result.Task, result.Run}, result.Answer.Status != workload.WorkerOutcomeUnknown)
	r, stale := c.applyAnswer(result, now)
	if r == nil || r.state == runRunning {
		return // a poll has listed the run already
	}
	if stale && (result.Answer.Status == workload.WorkerOK || result.Answer.Status == workload.WorkerOutcomeUnknown) {
		return // the first report of the new incarnation shows whether the run has started
	}
	switch result.Answer.Status {
	case workload.WorkerOK:
		c.Counts.StartedRuns++
		c.racks.recordAnswerDelay(now.Sub(r.orderedAt))
		r.worker.recordHeard(r.orderedAt, now)
		r.startConfirmed = true
		if r.state != runStopping {
			r.state = runRunning
		}
		r.stateChangedAt = now
		c.endExitTrial(r)
	case workload.WorkerOutcomeUnknown:
		switch r.state {
		case runStarting:
			c.markStartUnanswered(r, answerReason(result.Answer), now)
		case runStopping:
			r.stateChangedAt = now
			r.worker.nextPollAt = now
		}
	default:
		c.handleRefusedStart(r.worker, r, result, now)
	}
}

// handleRefusedStart handles a start that certainly had no effect.
func (c *Core) handleRefusedStart(w *worker, r *run, result OrderResult, now time.Time) {
	c.Counts.RefusedStarts++
	c.recordDecision(Decision{Verb: "refused", Job: result.Task.Job, Task: result.Task.String(), Worker: w.info.ID, Run: result.Run, Reason: answerReason(result.Answer)})
	t := r.task()
	t.notBefore = now.Add(refusedTaskBackoff)
	c.removeRun(r)
	switch result.Answer.Status {
	case workload.WorkerFull:
		w.startBackoffUntil = now.Add(fullBackoff)
	case workload.WorkerUnhealthy:
		w.startBackoffUntil = now.Add(unhealthyBackoff)
	case workload.WorkerNotSent, workload.WorkerConnRefused:
		w.startBackoffUntil = now.Add(unhealthyBackoff)
		if !w.pollInFlight {
			w.markUnreachable(now)
		}
	case workload.WorkerInvalidTicket:
		r.step.dropTicket(w.info.ID)
	}
}

// stopRun marks a run as stopping and sends the stop immediately, also if the start has not
// been answered yet: an accepted stop keeps the run from starting later.
func (c *Core) stopRun(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	c.recordDecision(Decision{Verb: "stopping", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: reason})
	r.state = runStopping
	c.sendStop(r, time.Time{})
}

// sendStop sends a stop unless one is in flight, was accepted, or was sent or answered less
// than stopRetryInterval ago. A zero now skips the interval.
func (c *Core) sendStop(r *run, now time.Time) {
	if r.stopInFlight || r.stopConfirmed || !now.IsZero() && now.Before(r.lastStopAt.Add(stopRetryInterval)) {
		return
	}
	r.stopInFlight = true
	r.lastStopAt = now
	r.worker.ordersInFlight++
	c.orders.Stops = append(c.orders.Stops, StopOrder{Worker: r.worker.info, Task: r.taskKey(), Run: r.number, Token: r.worker.token})
}

// HandleStopResult handles the outcome of a stop.
func (c *Core) HandleStopResult(result OrderResult, now time.Time) {
	r, stale := c.applyAnswer(result, now)
	if r == nil || stale {
		return
	}
	r.stopInFlight = false
	r.lastStopAt = now
	if result.Answer.Status == workload.WorkerOK {
		r.stopConfirmed = true
		r.stateChangedAt = now
		r.worker.nextPollAt = now
	}
}

// HandleThrottleResult handles the outcome of a throttle. One that was not accepted is
// ordered again after the worker's next answered poll.
func (c *Core) HandleThrottleResult(result OrderResult, now time.Time) {
	r, stale := c.applyAnswer(result, now)
	if r == nil {
		return
	}
	r.throttleInFlight = false
	if stale || result.Answer.Status != workload.WorkerOK {
		r.orderedSpeedPercent = -1
	}
}

// answerReason returns a worker's answer as logged.
func answerReason(a workload.WorkerAnswer) string {
	if a.Err == nil {
		return a.Status.String()
	}
	return a.Status.String() + ": " + a.Err.Error()
}
