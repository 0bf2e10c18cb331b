package jobrunner

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Pauses after refusals and failures.
const (
	// refusalPause keeps new jobs off a worker that refused a start; it doubles
	// with each further refusal, up to maxRefusalPause.
	refusalPause    = time.Second
	maxRefusalPause = 30 * time.Second
	renewRetry      = 500 * time.Millisecond
)

// Done handles the result of an action that Step returned.
func (c *Core) Done(r Result, now time.Time) {
	delete(c.busyKeys, r.Action.Key)
	c.inFlight[r.Action.Lane]--
	switch r.Action.Verb {
	case VerbPropose:
		c.handleProposal(r)
	case VerbStart:
		c.handleStart(r, now)
	case VerbStop, VerbCheckpoint, VerbThrottle:
		c.handleTaskAction(r, now)
	case VerbRenew:
		c.handleRenewal(r, now)
	case VerbStatus:
		c.handleStatus(r, now)
	case VerbUsage:
		c.handleUsage(r, now)
	}
}

// handleProposal drops a decision that did not take effect. If the outcome is
// unknown, the decision may still take effect, so it remains this process's own
// to carry out.
func (c *Core) handleProposal(r Result) {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrRejected) && !errors.Is(r.Err, ErrOutdated) {
		return
	}
	effective := r.Err == nil && r.Outcome.Status == ledger.Effective
	if !effective {
		delete(c.ownRecords, r.Action.Record.ID)
		return
	}
	switch b := r.Action.Record.Body.(type) {
	case record.JobEnd:
		switch b.Result {
		case record.JobUnplaceable:
			c.Stats.Unplaceable++
		case record.JobLapsed:
			c.Stats.Lapsed++
		}
	case record.JobPreempt:
		c.Stats.Preempted++
	case record.VMQuarantine:
		if b.On {
			c.Stats.Quarantined++
		}
	}
}

// currentTask returns the task of the action's job, and false if the job has
// ended or has been placed again since.
func (c *Core) currentTask(a Action) (*task, bool) {
	t, ok := c.tasks[a.Job]
	return t, ok && t.placeID == a.PlaceID
}

// handleStart handles the reply to a start. Only a reply shows whether the task
// was started; without one, the same operation is sent again.
func (c *Core) handleStart(r Result, now time.Time) {
	t, ok := c.currentTask(r.Action)
	if !ok {
		return
	}
	w := c.worker(r.Action.Worker)
	switch {
	case r.Err == nil:
		t.startSent = true
		t.renewedAt = now
		w.refusals = 0
		c.recordStatus(t, r.Status, now)
	case errors.Is(r.Err, ErrOutdated):
	case notExecuted(r.Err):
		t.backOff(now)
	case errors.Is(r.Err, platform.ErrRejected), errors.Is(r.Err, platform.ErrNotFound), errors.Is(r.Err, platform.ErrFenced):
		t.startSent = true
		t.refusalReason = r.Err.Error()
		t.backOff(now)
		w.refusals++
		w.noStartsBefore = now.Add(refusalBackoff(w.refusals))
		c.Stats.Refused++
	default:
		t.startSent, t.startUncertain = true, true
		t.backOff(now)
	}
}

func refusalBackoff(n int) time.Duration {
	d := refusalPause
	for ; n > 1 && d < maxRefusalPause; n-- {
		d *= 2
	}
	return min(d, maxRefusalPause)
}

// notExecuted reports whether the platform certainly did not act.
func notExecuted(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled)
}

// handleTaskAction handles the reply to an action on a running task.
func (c *Core) handleTaskAction(r Result, now time.Time) {
	t, ok := c.currentTask(r.Action)
	if !ok {
		return
	}
	switch {
	case errors.Is(r.Err, ErrOutdated):
		return
	case errors.Is(r.Err, platform.ErrNotFound):
		t.recordMissing(now)
		t.backOff(now)
		return
	case r.Err != nil:
		t.backOff(now)
		return
	}
	c.recordStatus(t, r.Status, now)
	if r.Action.Verb == VerbThrottle {
		c.appliedPreemptions[r.Action.Op.ID] = t.job
	}
	if r.Action.Verb != VerbThrottle && t.ended == nil {
		t.backOff(now) // the task has not ended yet; send the action again
	}
}

// tasksOf returns the tasks on a worker that a renewal or status read covers.
func (c *Core) tasksOf(a Action) []*task {
	var tasks []*task
	for _, job := range a.Jobs {
		if t, ok := c.tasks[job]; ok && t.worker == a.Worker {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// handleRenewal handles the reply to a renewal. If the platform reports a task
// as not running, the status of all of them is read next.
func (c *Core) handleRenewal(r Result, now time.Time) {
	w := c.worker(r.Action.Worker)
	missing := errors.Is(r.Err, platform.ErrNotFound) || errors.Is(r.Err, platform.ErrFenced)
	if r.Err != nil {
		w.noRenewalBefore = now.Add(renewRetry)
	}
	if r.Err != nil && !missing {
		return
	}
	for _, t := range c.tasksOf(r.Action) {
		t.renewedAt = now
		if missing {
			t.statusReadAt, t.statusPause = time.Time{}, firstStatusPause
		}
	}
}

// handleStatus handles the reply to a status read.
func (c *Core) handleStatus(r Result, now time.Time) {
	unknownWorker := errors.Is(r.Err, platform.ErrNotFound)
	statuses := map[string]platform.TaskStatus{}
	for _, s := range r.Statuses {
		statuses[s.ID] = s
	}
	for _, t := range c.tasksOf(r.Action) {
		s, ok := statuses[t.id]
		switch {
		case ok:
			c.recordStatus(t, s, now)
		case r.Err == nil || unknownWorker:
			t.recordMissing(now)
		default:
			t.statusReadAt = now
			continue
		}
		t.statusPause *= 2
	}
}

// handleUsage handles the usage reports. They raise the estimates immediately.
// The report of a throttled task shows less than the task needs and raises
// nothing.
func (c *Core) handleUsage(r Result, now time.Time) {
	if r.Err != nil {
		return
	}
	clear(c.usageReports)
	byID := map[string]*task{}
	for _, t := range c.tasks {
		byID[t.id] = t
	}
	for _, u := range r.Usage {
		t, ok := byID[u.Task]
		if !ok {
			continue
		}
		reported := ledger.Resources{MilliCores: int(u.Cores * milli), MemoryMB: u.MemoryMB}
		c.usageReports[t.id] = reported
		t.peak.MilliCores = max(t.peak.MilliCores, reported.MilliCores)
		t.peak.MemoryMB = max(t.peak.MemoryMB, reported.MemoryMB)
		c.estimates.ObserveRunning(t.shape, usage.Sample{MilliCores: reported.MilliCores, MemoryMB: reported.MemoryMB})
	}
}
