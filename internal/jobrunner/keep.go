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

// renewLeases renews the leases of a worker's tasks in one call, or reads their
// status if it is due. The steward of rank 0 renews after a third of the lease,
// other stewards after two thirds: if the first dies, its last renewal lasts
// until the next one of the second.
func (c *Core) renewLeases(st *ledger.State, id string, tasks []*task, rank int, lease time.Duration, now time.Time) {
	var jobs, renew []string
	var fence uint64
	renewalDue, statusWanted := false, false
	for _, t := range tasks {
		if t.ended != nil {
			continue
		}
		j := st.Jobs[t.job]
		jobs = append(jobs, t.job)
		statusWanted = statusWanted || c.statusDue(j, t, lease, now)
		if !t.known || t.verifiedAt.Before(c.resumedAt) {
			continue
		}
		renew = append(renew, t.id)
		fence = max(fence, j.Fence, j.CancelFence)
		if j.Preempt != nil {
			fence = max(fence, j.Preempt.Fence)
		}
		renewalDue = renewalDue || now.Sub(t.renewedAt) >= lease*time.Duration(1+min(rank, leaseRenewers-1))/renewFraction
	}
	if renewalDue && !now.Before(c.worker(id).noRenewalBefore) && c.emit(Action{
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
	if statusWanted && !c.busyKeys["renew/"+id] {
		c.emit(Action{Verb: VerbStatus, Lane: LaneTasks, Key: "status/" + id, Worker: id, Jobs: jobs})
	}
}

// statusDue reports whether the task's status must be read.
func (c *Core) statusDue(j *ledger.Job, t *task, lease time.Duration, now time.Time) bool {
	if now.Sub(t.statusReadAt) < min(t.statusPause, lease/renewFraction) {
		return false
	}
	switch {
	case t.verifiedAt.Before(c.resumedAt):
		// Not seen since the process resumed. A task that this process is about
		// to start is confirmed by the reply to the start.
		return !t.ownPlacement || t.startSent && t.startUncertain || t.known
	case !t.missingSince.IsZero():
		return true
	case t.statusPause <= lease/renewFraction:
		return true
	}
	expected := j.StartedAt.Add(c.runTime(j))
	return t.statusReadAt.Before(expected.Add(statusMargin)) && !now.Before(expected.Add(statusMargin))
}

// recordStatus records the status that the platform reports for a task.
func (c *Core) recordStatus(t *task, s platform.TaskStatus, now time.Time) {
	if !t.known && t.ownPlacement {
		c.Stats.Started++
		c.Stats.StartWaits = append(c.Stats.StartWaits, StartWait{Urgent: t.urgent, Wait: now.Sub(t.submitted)})
	}
	t.known = true
	t.verifiedAt, t.statusReadAt = now, now
	t.missingSince = time.Time{}
	t.retryPause, t.retryAt = 0, time.Time{}
	if s.Phase != platform.TaskRunning {
		ended := s
		t.ended = &ended
	}
}

// recordMissing records that the platform does not know the task.
func (t *task) recordMissing(now time.Time) {
	t.statusReadAt = now
	if t.missingSince.IsZero() {
		t.missingSince = now
	}
}
