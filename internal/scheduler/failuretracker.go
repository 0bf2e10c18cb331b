package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Suspension of workers on which tasks fail. A few percent of the tasks fail by their own fault, so
// one failure is weak evidence against a worker. Several consecutive failures of several jobs within
// a short time are strong evidence.
const (
	minFailuresToSuspend = 3
	minJobsToSuspend     = 2
	failureStreakTimeout = 6 * time.Second // older failures don't count
	minSuspension        = 2 * time.Second
	maxSuspension        = 16 * time.Second
	// probationDuration is how long after a suspension a single failure causes the next one, and
	// only maxProbationRuns runs that end on their own are allowed at once.
	probationDuration = 4 * time.Second
	maxProbationRuns  = 2
	// earlyFailureWindow is how soon after its start a long-running task must fail to count. Such
	// tasks fail at any time by their own fault.
	earlyFailureWindow = 2 * time.Second
)

// failureTracker suspends a worker based on how its runs ended.
type failureTracker struct {
	consecutiveFailures int
	lastFailureAt       time.Time
	firstJob            workload.JobID
	distinctJobs        int
	suspendedUntil      time.Time
	suspension          time.Duration
	probationUntil      time.Time
}

// allowsStart reports whether the worker may get a start. finiteRuns is how many of its runs end on
// their own.
func (t *failureTracker) allowsStart(now time.Time, finiteRuns int) bool {
	if now.Before(t.suspendedUntil) {
		return false
	}
	return !now.Before(t.probationUntil) || finiteRuns < maxProbationRuns
}

// recordExit records the exit of a run that took the given duration.
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
