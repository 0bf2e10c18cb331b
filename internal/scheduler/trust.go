package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Setting aside workers that fail what they start. Tasks fail by their own fault
// too, a few in a hundred, so one failure says little and several in a row
// within a short time, of several jobs, say much.
const (
	failuresInRow  = 3
	jobsInRow      = 2
	failureMemory  = 6 * time.Second // a failure longer ago says nothing of now
	firstSuspend   = 2 * time.Second
	longestSuspend = 16 * time.Second
	// probation is how long after a suspension one failure suffices for the
	// next, and only a few runs are given at once.
	probation     = 4 * time.Second
	probationRuns = 2
	// earlyFailure is how soon after its start a lasting task must fail to count:
	// such tasks fail at any time by themselves.
	earlyFailure = 2 * time.Second
)

// trust is what a worker's ends say of it.
type trust struct {
	failures       int // in a row
	failedAt       time.Time
	firstJob       workload.JobID
	jobs           int
	suspendUntil   time.Time
	suspend        time.Duration
	probationUntil time.Time
}

// allows tells whether the worker may get a start. runs are those that will end
// by themselves.
func (t *trust) allows(now time.Time, runs int) bool {
	if now.Before(t.suspendUntil) {
		return false
	}
	return !now.Before(t.probationUntil) || runs < probationRuns
}

// count takes the end of a run that took a while.
func (t *trust) count(how workload.How, s *step, took time.Duration, now time.Time) {
	if how == workload.EndDone {
		*t = trust{}
		return
	}
	if how != workload.EndFailed || s.spec.Lasting && took > earlyFailure {
		return
	}
	if now.Sub(t.failedAt) > failureMemory {
		t.failures, t.jobs = 0, 0
	}
	t.failures++
	t.failedAt = now
	switch {
	case t.jobs == 0:
		t.firstJob = s.job.id
		t.jobs = 1
	case t.firstJob != s.job.id:
		t.jobs = jobsInRow
	}
	suspicious := t.failures >= failuresInRow && t.jobs >= jobsInRow
	if suspicious || now.Before(t.probationUntil) {
		t.suspend = min(longestSuspend, max(firstSuspend, 2*t.suspend))
		t.suspendUntil = now.Add(t.suspend)
		t.probationUntil = t.suspendUntil.Add(probation)
	}
}
