package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Setting aside workers that fail what they start. Tasks fail by their own fault
// too, a few in a thousand, so one failure says little and several in a row,
// of several jobs, say much.
const (
	failuresInRow  = 3
	jobsInRow      = 2
	firstSuspend   = 2 * time.Second
	longestSuspend = 16 * time.Second
	probationRuns  = 1 // at once, until one is done
)

// trust is what a worker's ends say of it.
type trust struct {
	failures     int // in a row
	firstJob     workload.JobID
	jobs         int
	suspendUntil time.Time
	suspend      time.Duration
	probation    bool
}

// allows tells whether the worker may get a start.
func (t *trust) allows(now time.Time, runs int) bool {
	if now.Before(t.suspendUntil) {
		return false
	}
	return !t.probation || runs < probationRuns
}

// count takes an end.
func (t *trust) count(e workload.RunEnd, s *step, now time.Time) {
	switch e.How {
	case workload.EndDone:
		*t = trust{}
	case workload.EndFailed:
		t.failures++
		if t.jobs == 0 {
			t.firstJob = s.job.id
			t.jobs = 1
		} else if t.firstJob != s.job.id {
			t.jobs = jobsInRow
		}
		if t.failures >= failuresInRow && t.jobs >= jobsInRow || t.probation {
			t.suspend = min(longestSuspend, max(firstSuspend, 2*t.suspend))
			t.suspendUntil = now.Add(t.suspend)
			t.probation = true
		}
	}
}
