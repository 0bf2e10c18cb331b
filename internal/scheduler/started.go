package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Pauses after an order that was refused.
const (
	fullPause      = 150 * time.Millisecond // a worker said that it is full
	unhealthyPause = 500 * time.Millisecond // a worker said that it is unhealthy
	refusedPause   = 300 * time.Millisecond // a task whose start was refused
)

// OrderResult is the outcome of a StartOrder, StopOrder or PaceOrder.
type OrderResult struct {
	Worker string
	Task   workload.TaskKey
	Run    int64
	Token  int64
	Answer workload.WorkerAnswer
}

// answered looks up what an outcome is about, and takes what it says of the
// worker itself. The run is nil if it is no longer known there. stale is set for an
// order that was sent before a restart of the worker was known: either incarnation may
// have answered it.
func (c *Core) answered(o OrderResult, now time.Time) (r *run, stale bool) {
	w := c.workers[o.Worker]
	if w == nil {
		return nil, false
	}
	w.orders--
	if o.Token < w.token {
		return w.find(o.Task, o.Run), true
	}
	w.heard(o.Answer.Clock, now)
	switch o.Answer.Status {
	case workload.WorkerFenced:
		c.fenced(w, o.Token)
	case workload.WorkerReplaced:
		c.replaced(w, now)
	}
	return w.find(o.Task, o.Run), false
}

// Started takes the outcome of a start.
func (c *Core) Started(o OrderResult, now time.Time) {
	c.starting.done(startID{o.Task, o.Run}, o.Answer.Status != workload.WorkerUnknown)
	r, stale := c.answered(o, now)
	if r == nil || r.state == runRunning {
		return // a poll has told already
	}
	if stale && (o.Answer.Status == workload.WorkerOK || o.Answer.Status == workload.WorkerUnknown) {
		return // the first list of the new incarnation tells
	}
	switch o.Answer.Status {
	case workload.WorkerOK:
		c.Counts.Started++
		r.confirmed = true
		if r.state != runStopping {
			r.state = runRunning
		}
		r.since = now
	case workload.WorkerUnknown:
		switch r.state {
		case runStarting:
			c.doubt(r, reasonOf(o.Answer), now)
		case runStopping:
			r.since = now
			r.worker.holdAfter = now
		}
	default:
		c.refused(r.worker, r, o, now)
	}
}

// refused takes a start that certainly did nothing.
func (c *Core) refused(w *worker, r *run, o OrderResult, now time.Time) {
	c.Counts.Refused++
	c.note(Decision{Verb: "refused", Job: o.Task.Job, Task: o.Task.String(), Worker: w.info.ID, Run: o.Run, Reason: reasonOf(o.Answer)})
	t := r.task()
	t.notBefore = now.Add(refusedPause)
	c.remove(r)
	switch o.Answer.Status {
	case workload.WorkerFull:
		w.fullUntil = now.Add(fullPause)
	case workload.WorkerUnhealthy:
		w.fullUntil = now.Add(unhealthyPause)
	case workload.WorkerNotSent, workload.WorkerDown:
		w.fullUntil = now.Add(unhealthyPause)
		if !w.holding {
			w.markUnreachable(now)
		}
	case workload.WorkerTicket:
		r.step.dropTicket(w.info.ID)
	}
}

// stop wants a run to end. The order goes out at once where the run is known to
// be there; else once the start has been answered.
func (c *Core) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	c.note(Decision{Verb: "stopping", Job: r.step.job.id, Task: r.key().String(), Worker: r.worker.info.ID, Run: r.number, Reason: reason})
	r.state = runStopping
	c.sendStop(r, time.Time{})
}

// sendStop sends the stop unless one is in flight, was answered or was sent
// just now. A zero time sends at once.
func (c *Core) sendStop(r *run, now time.Time) {
	if r.stopping || r.stopped || !now.IsZero() && now.Before(r.stopSentAt.Add(stopRetry)) {
		return
	}
	r.stopping = true
	r.stopSentAt = now
	r.worker.orders++
	c.out.Stops = append(c.out.Stops, StopOrder{Worker: r.worker.info, Task: r.key(), Run: r.number, Token: r.worker.token})
}

// Stopped takes the outcome of a stop.
func (c *Core) Stopped(o OrderResult, now time.Time) {
	r, stale := c.answered(o, now)
	if r == nil || stale {
		return
	}
	r.stopping = false
	r.stopSentAt = now
	if o.Answer.Status == workload.WorkerOK {
		r.stopped = true
		r.since = now
		r.worker.holdAfter = now
	}
}

// Paced takes the outcome of a pace. One that was not taken is ordered again
// when the worker next lists the run.
func (c *Core) Paced(o OrderResult, now time.Time) {
	r, stale := c.answered(o, now)
	if r == nil {
		return
	}
	r.pacing = false
	if stale || o.Answer.Status != workload.WorkerOK {
		r.paced = -1
	}
}

// reasonOf says how a worker answered, for the log.
func reasonOf(a workload.WorkerAnswer) string {
	if a.Err == nil {
		return a.Status.String()
	}
	return a.Status.String() + ": " + a.Err.Error()
}
