package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Setting aside workers that fail what they start. Tasks fail by their own fault
// too, a few in a hundred, so one failure says little and several in a row
// within a short time, of several jobs, say much.
const (
	minFailuresToSuspend = 3
	minJobsToSuspend     = 2
	failureStreakTimeout = 6 * time.Second // a failure longer ago says nothing of now
	minSuspension        = 2 * time.Second
	maxSuspension        = 16 * time.Second
	// probationDuration is how long after a suspension one failure suffices for the
	// next, and only a few runs are given at once.
	probationDuration = 4 * time.Second
	maxProbationRuns  = 2
	// earlyFailureWindow is how soon after its start a lasting task must fail to count:
	// such tasks fail at any time by themselves.
	earlyFailureWindow = 2 * time.Second
)

// failureTracker is what a worker's ends say of it.
type failureTracker struct {
	consecutiveFailures int // in a row
	lastFailureAt       time.Time
	firstJob            workload.JobID
	distinctJobs        int
	suspendedUntil      time.Time
	suspension          time.Duration
	probationUntil      time.Time
}

// allowsStart tells whether the worker may get a start. runs are those that will end
// by themselves.
func (t *failureTracker) allowsStart(now time.Time, finiteRuns int) bool {
	if now.Before(t.suspendedUntil) {
		return false
	}
	return !now.Before(t.probationUntil) || finiteRuns < maxProbationRuns
}

// recordExit takes the end of a run that took a while.
func (t *failureTracker) recordExit(reason workload.ExitReason, s *step, duration time.Duration, now time.Time) {
	if reason == workload.ExitDone {
		*t = failureTracker{}
		return
	}
	if reason != workload.ExitFailed || s.spec.LongRunning && duration > earlyFailureWindow {
		return
	}
	if now.Sub(t.lastFailureAt) > failureStreakTimeout {
		t.consecutiveFailures, t.distinctJobs = 0, 0
	}
	t.consecutiveFailures++
	t.lastFailureAt = now
	switch {
	case t.distinctJobs == 0:
		t.firstJob = s.job.id
		t.distinctJobs = 1
	case t.firstJob != s.job.id:
		t.distinctJobs = minJobsToSuspend
	}
	suspicious := t.consecutiveFailures >= minFailuresToSuspend && t.distinctJobs >= minJobsToSuspend
	if suspicious || now.Before(t.probationUntil) {
		t.suspension = min(maxSuspension, max(minSuspension, 2*t.suspension))
		t.suspendedUntil = now.Add(t.suspension)
		t.probationUntil = t.suspendedUntil.Add(probationDuration)
	}
}
