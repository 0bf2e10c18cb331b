package jobrunner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
)

const (
	defaultLease = document.DefaultLease
	milli        = 1000
)

// keep renews the leases of a worker's tasks in one call, and asks for their
// status when one is due. The first keeper renews after a third of the lease,
// the second after two thirds: when the first dies, its last renewal lasts
// beyond the second's next one.
func (c *Core) keep(st *ledger.State, id string, tasks []*task, rank int, lease time.Duration, now time.Time) {
	var jobs, renew []string
	var fence uint64
	due, look := false, false
	for _, t := range tasks {
		if t.ended != nil {
			continue
		}
		j := st.Jobs[t.job]
		jobs = append(jobs, t.job)
		look = look || c.looksDue(j, t, lease, now)
		if !t.known || t.verified.Before(c.wakeAt) {
			continue
		}
		renew = append(renew, t.id)
		fence = max(fence, j.Fence, j.CancelFence)
		if j.Preempt != nil {
			fence = max(fence, j.Preempt.Fence)
		}
		due = due || now.Sub(t.renewedAt) >= lease*time.Duration(1+min(rank, keepers-1))/renewShare
	}
	if due && !now.Before(c.worker(id).renewAfter) && c.emit(Action{
		Verb:   VerbRenew,
		Lane:   LaneTasks,
		Key:    "renew/" + id,
		Worker: id,
		Jobs:   jobs,
		Tasks:  renew,
		Lease:  lease,
		Fence:  platform.Offset(fence),
	}) {
		return
	}
	if look && !c.busy["renew/"+id] {
		c.emit(Action{Verb: VerbStatus, Lane: LaneTasks, Key: "status/" + id, Worker: id, Jobs: jobs})
	}
}

// looksDue reports whether the task's status is wanted.
func (c *Core) looksDue(j *ledger.Job, t *task, lease time.Duration, now time.Time) bool {
	if now.Sub(t.lookedAt) < min(t.lookPause, lease/renewShare) {
		return false
	}
	switch {
	case t.verified.Before(c.wakeAt):
		// Not seen since the process woke. One that is to be started by this
		// process is shown by the reply to the start.
		return !t.mine || t.sent && t.uncertain || t.known
	case !t.missing.IsZero():
		return true
	case t.lookPause <= lease/renewShare:
		return true
	}
	expected := j.StartedAt.Add(c.runTime(j))
	return t.lookedAt.Before(expected.Add(lookMargin)) && !now.Before(expected.Add(lookMargin))
}

// noteStatus takes the platform's word on a task.
func (c *Core) noteStatus(t *task, s platform.TaskStatus, now time.Time) {
	if !t.known && t.mine {
		c.Stats.Started++
		c.Stats.StartWaits = append(c.Stats.StartWaits, StartWait{Urgent: t.urgent, Wait: now.Sub(t.submitted)})
	}
	t.known = true
	t.verified, t.lookedAt = now, now
	t.missing = time.Time{}
	t.retry, t.retryAt = 0, time.Time{}
	if s.Phase != platform.TaskRunning {
		ended := s
		t.ended = &ended
	}
}

// noteMissing notes that the platform does not know the task.
func (t *task) noteMissing(now time.Time) {
	t.lookedAt = now
	if t.missing.IsZero() {
		t.missing = now
	}
}
