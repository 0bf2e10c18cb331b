package heldqueue

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// maxAttempts bounds the memory of first attempts: with some 100 bytes each, 0.4 MB.
	maxAttempts = 4096
	// maxAttemptAge is how long a first attempt is remembered: the attempts of a caller that is refused
	// each time span up to 22 s.
	maxAttemptAge = 30 * time.Second
)

// Attempts remembers when jobs were first handed in that could not be stored then. The memory is bounded; a
// job that is forgotten counts as handed in by its next attempt. It is not safe for concurrent use.
type Attempts struct {
	first map[workload.JobID]time.Time
	order []workload.JobID // by the time of their recording
}

// NewAttempts returns an empty memory.
func NewAttempts() *Attempts { return &Attempts{first: map[workload.JobID]time.Time{}} }

// Record remembers an attempt. It reports whether the job was not known before.
func (a *Attempts) Record(id workload.JobID, at, now time.Time) (isNew bool) {
	a.forget(now)
	first, known := a.first[id]
	if !known {
		a.order = append(a.order, id)
	}
	if !known || at.Before(first) {
		a.first[id] = at
	}
	return !known
}

// First returns the time of a job's first attempt, or at if none before it is known.
func (a *Attempts) First(id workload.JobID, at time.Time) time.Time {
	if first, known := a.first[id]; known && first.Before(at) {
		return first
	}
	return at
}

// forget drops the oldest entries beyond the bounds.
func (a *Attempts) forget(now time.Time) {
	n := 0
	for n < len(a.order) && (len(a.order)-n >= maxAttempts || now.Sub(a.first[a.order[n]]) > maxAttemptAge) {
		delete(a.first, a.order[n])
		n++
	}
	a.order = append(a.order[:0], a.order[n:]...)
}
