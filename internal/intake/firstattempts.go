package intake

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// noteTimeout bounds the message to the owner's node on an attempt. A lost one costs a job its place among
// the others, no more.
const noteTimeout = 300 * time.Millisecond

// FirstAttemptAt returns when a job was first handed in that could not be stored then, or at if no earlier
// attempt is known.
func (r *Router) FirstAttemptAt(id workload.JobID, at time.Time) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.firstAttempts.Age(id, now)
	if first := now.Add(-age); age > 0 && first.Before(at) {
		return first
	}
	return at
}

// withFirstAttempt returns a submission's record with the time of the job's first attempt, if an earlier one
// than the record's is known. Other records are returned as they are.
func (r *Router) withFirstAttempt(record workload.Record) workload.Record {
	if record.Submission == nil {
		return record
	}
	known := record.Submission.FirstHandedInAt()
	first := r.FirstAttemptAt(record.Job, known)
	if !first.Before(known) {
		return record
	}
	submission := *record.Submission
	submission.FirstAttemptAtMS = first.UnixMilli()
	record.Submission = &submission
	return record
}

// rememberAttempt remembers that a submission was not stored. The node of the partition's owner is told,
// since the caller's next attempt reaches another node, which stores the job through the owner's node.
func (r *Router) rememberAttempt(partition int, record workload.Record) {
	if record.Submission == nil {
		return
	}
	now := time.Now()
	age := now.Sub(record.Submission.FirstHandedInAt())
	r.mu.Lock()
	isNew := r.firstAttempts.Record(record.Job, age, now)
	r.mu.Unlock()
	owner := r.peers.Owner(partition)
	if !isNew || owner == "" {
		return
	}
	select {
	case r.noteSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.noteSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		if err := r.peers.NoteAttempt(ctx, owner, record.Job, age); err != nil {
			r.logger.Debug("the owner's node was not told of a job that was not stored", "job", record.Job, "address", owner, "error", err)
		}
	}()
}

// ServeAttempt remembers for another node that a job was handed in a time ago and not stored.
func (r *Router) ServeAttempt(id workload.JobID, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstAttempts.Record(id, age, time.Now())
}
