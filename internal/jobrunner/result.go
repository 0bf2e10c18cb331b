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
	// with each further refusal.
	refusalPause    = time.Second
	maxRefusalPause = 30 * time.Second
	renewRetry      = 500 * time.Millisecond
)

// Done takes the result of an action that Step returned.
func (c *Core) Done(r Result, now time.Time) {
	delete(c.busy, r.Action.Key)
	c.inFlight[r.Action.Lane]--
	switch r.Action.Verb {
	case VerbPropose:
		c.proposed(r)
	case VerbStart:
		c.started(r, now)
	case VerbStop, VerbCheckpoint, VerbThrottle:
		c.acted(r, now)
	case VerbRenew:
		c.renewed(r, now)
	case VerbStatus:
		c.looked(r, now)
	case VerbUsage:
		c.measured(r, now)
	}
}

// proposed forgets a decision that did not take effect. One whose outcome is
// unknown may yet do so, and is still this process's own to carry out.
func (c *Core) proposed(r Result) {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrRejected) && !errors.Is(r.Err, ErrOutdated) {
		return
	}
	effective := r.Err == nil && r.Outcome.Status == ledger.Effective
	if !effective {
		delete(c.own, r.Action.Record.ID)
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
			c.Stats.SetAside++
		}
	}
}

// current returns the memory of the task that the action was for, if the job
// has not been placed anew since.
func (c *Core) current(a Action) (*task, bool) {
	t, ok := c.tasks[a.Job]
	return t, ok && t.placeID == a.PlaceID
}

// started takes the reply to a start. Only a reply says whether the task was
// started; without one the same operation is sent again.
func (c *Core) started(r Result, now time.Time) {
	t, ok := c.current(r.Action)
	if !ok {
		return
	}
	w := c.worker(r.Action.Worker)
	switch {
	case r.Err == nil:
		t.sent = true
		t.renewedAt = now
		w.refusals = 0
		c.noteStatus(t, r.Status, now)
	case errors.Is(r.Err, ErrOutdated):
	case notSent(r.Err):
		t.backOff(now)
	case errors.Is(r.Err, platform.ErrRejected), errors.Is(r.Err, platform.ErrNotFound), errors.Is(r.Err, platform.ErrFenced):
		t.sent = true
		t.refused = r.Err.Error()
		t.backOff(now)
		w.refusals++
		w.closedUntil = now.Add(refusalTerm(w.refusals))
		c.Stats.Refused++
	default:
		t.sent, t.uncertain = true, true
		t.backOff(now)
	}
}

func refusalTerm(n int) time.Duration {
	d := refusalPause
	for ; n > 1 && d < maxRefusalPause; n-- {
		d *= 2
	}
	return min(d, maxRefusalPause)
}

// notSent reports that the platform certainly did not act.
func notSent(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled)
}

// acted takes the reply to an action on a running task.
func (c *Core) acted(r Result, now time.Time) {
	t, ok := c.current(r.Action)
	if !ok {
		return
	}
	switch {
	case errors.Is(r.Err, ErrOutdated):
		return
	case errors.Is(r.Err, platform.ErrNotFound):
		t.noteMissing(now)
		t.backOff(now)
		return
	case r.Err != nil:
		t.backOff(now)
		return
	}
	c.noteStatus(t, r.Status, now)
	if r.Action.Verb == VerbThrottle {
		c.applied[r.Action.Op.ID] = t.job
	}
	if r.Action.Verb != VerbThrottle && t.ended == nil {
		t.backOff(now) // the task is still at it; ask again
	}
}

// tasksOf returns the tasks on a worker that a renewal or status was for.
func (c *Core) tasksOf(a Action) []*task {
	var tasks []*task
	for _, job := range a.Jobs {
		if t, ok := c.tasks[job]; ok && t.worker == a.Worker {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// renewed takes the reply to a renewal. A task that the platform names as not
// running has ended: its status is asked for.
func (c *Core) renewed(r Result, now time.Time) {
	w := c.worker(r.Action.Worker)
	missing := errors.Is(r.Err, platform.ErrNotFound) || errors.Is(r.Err, platform.ErrFenced)
	if r.Err != nil {
		w.renewAfter = now.Add(renewRetry)
	}
	if r.Err != nil && !missing {
		return
	}
	for _, t := range c.tasksOf(r.Action) {
		t.renewedAt = now
		if missing {
			t.lookedAt, t.lookPause = time.Time{}, firstLook
		}
	}
}

// looked takes a worker's status.
func (c *Core) looked(r Result, now time.Time) {
	unknownWorker := errors.Is(r.Err, platform.ErrNotFound)
	shown := map[string]platform.TaskStatus{}
	for _, s := range r.Statuses {
		shown[s.ID] = s
	}
	for _, t := range c.tasksOf(r.Action) {
		s, ok := shown[t.id]
		switch {
		case ok:
			c.noteStatus(t, s, now)
		case r.Err == nil || unknownWorker:
			t.noteMissing(now)
		default:
			t.lookedAt = now
			continue
		}
		t.lookPause *= 2
	}
}

// measured takes the usage reports. They raise the estimates at once; a
// throttled task shows less than it needs, which raises nothing.
func (c *Core) measured(r Result, now time.Time) {
	if r.Err != nil {
		return
	}
	clear(c.reports)
	byID := map[string]*task{}
	for _, t := range c.tasks {
		byID[t.id] = t
	}
	for _, u := range r.Usage {
		t, ok := byID[u.Task]
		if !ok {
			continue
		}
		seen := ledger.Resources{MilliCores: int(u.Cores * milli), MemoryMB: u.MemoryMB}
		c.reports[t.id] = seen
		t.peak.MilliCores = max(t.peak.MilliCores, seen.MilliCores)
		t.peak.MemoryMB = max(t.peak.MemoryMB, seen.MemoryMB)
		c.estimates.Running(t.shape, usage.Sample{MilliCores: seen.MilliCores, MemoryMB: seen.MemoryMB})
	}
}
