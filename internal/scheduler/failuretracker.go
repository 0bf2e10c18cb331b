package scheduler

import (
	"slices"
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
	// maxWorkersBlamed is on how many workers the runs of a step may fail before further failures are no evidence
	// against a worker: they follow the step. On each of these workers the first failure counts. A run that succeeds
	// starts the count anew.
	maxWorkersBlamed = 2
	// A long-running task that fails early more than immediateRestarts times in a row restarts after
	// minRestartBackoff, doubled for each further time up to maxRestartBackoff.
	immediateRestarts = 3
	minRestartBackoff = 250 * time.Millisecond
	maxRestartBackoff = 4 * time.Second
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

// recordExit records the exit of a run on a worker, which took the given duration.
func (w *worker) recordExit(reason workload.ExitReason, s *step, duration time.Duration, now time.Time) {
	switch {
	case reason == workload.ExitDone:
		w.failures = failureTracker{}
		s.failedOn = nil
	case reason != workload.ExitFailed:
	case s.isLateFailure(duration):
		s.failedOn = nil
	case s.blamesWorker(w.info.ID):
		w.failures.recordFailure(s, now)
	}
}

// isLateFailure reports whether a run that failed after a time says nothing about its worker, as it is one of a
// long-running task that has been at work.
func (s *step) isLateFailure(runDuration time.Duration) bool {
	return s.spec.LongRunning && runDuration > earlyFailureWindow
}

// blamesWorker records that a run of the step failed on a worker, and reports whether that is evidence against the
// worker.
func (s *step) blamesWorker(worker string) bool {
	if len(s.failedOn) >= maxWorkersBlamed || slices.Contains(s.failedOn, worker) {
		return false
	}
	s.failedOn = append(s.failedOn, worker)
	return true
}

// delayRestart sets the earliest time of the next start of a long-running task whose run failed after a time.
func (t *task) delayRestart(s *step, runDuration time.Duration, now time.Time) {
	if s.isLateFailure(runDuration) {
		t.earlyFailures = 0
		return
	}
	if t.earlyFailures++; t.earlyFailures <= immediateRestarts {
		return
	}
	backoff := minRestartBackoff
	for n := immediateRestarts + 1; n < t.earlyFailures && backoff < maxRestartBackoff; n++ {
		backoff *= 2
	}
	t.notBefore = now.Add(min(backoff, maxRestartBackoff))
}

// recordFailure records a failure of a step's run that is evidence against the worker.
func (t *failureTracker) recordFailure(s *step, now time.Time) {
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
