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

// Attempts remembers when jobs were first handed in that could not be stored then. It takes and returns ages,
// which hold although the clocks of nodes differ and are set. The memory is bounded; a job that is forgotten
// counts as handed in by its next attempt. It is not safe for concurrent use.
type Attempts struct {
	first map[workload.JobID]time.Time
	order []workload.JobID // by the time of their recording
}

// NewAttempts returns an empty memory.
func NewAttempts() *Attempts { return &Attempts{first: map[workload.JobID]time.Time{}} }

// Record remembers an attempt of some age. It reports whether the job was not known before.
func (a *Attempts) Record(id workload.JobID, age time.Duration, now time.Time) (isNew bool) {
	a.forget(now)
	at := now.Add(-min(max(0, age), maxAttemptAge))
	first, known := a.first[id]
	if !known {
		a.order = append(a.order, id)
	}
	if !known || at.Before(first) {
		a.first[id] = at
	}
	return !known
}

// Age returns the time since a job's first attempt, 0 if none is known or it is too long ago to be one of the same
// caller's.
func (a *Attempts) Age(id workload.JobID, now time.Time) time.Duration {
	first, known := a.first[id]
	age := now.Sub(first)
	if !known || age > maxAttemptAge {
		return 0
	}
	return age
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
