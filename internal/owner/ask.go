package owner

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// queryCore runs a question between two steps of the machine. ok is false if the
// partition was not taken over yet or ctx ended before.
func queryCore[T any](ctx context.Context, o *Owner, query func(c *scheduler.Core, now time.Time) T) (result T, ok bool) {
	select {
	case <-o.loaded:
	default:
		return result, false
	}
	results := make(chan T, 1)
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { results <- query(c, now) })
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// JobStatus is what an owner knows of a job.
type JobStatus struct {
	State workload.JobState
	Known bool // false if there is no such job
	// Stale is set if the job isn't known and may have been taken lately.
	Stale bool
}

// unknownJobMaxReadAge is how old what was read of the partition may be for a job that is
// not in it to count as none. An accepted job must be known within 3 s.
const unknownJobMaxReadAge = 2200 * time.Millisecond

// mayHaveBeenReplaced tells whether the node's membership may have lapsed, so that another owner
// has gone on with the partition's jobs. A process that was paused learns that only from
// its next join.
func (o *Owner) mayHaveBeenReplaced() bool {
	return !time.Now().Before(o.deps.OwnedUntil(o.partition))
}

// State returns a job's state; ok is false if the owner can't tell. That is so for
// an unknown job while the partition can't be read, or is read late: it may have
// been taken. It is so for a job that goes on while another owner may have ended it.
func (o *Owner) State(ctx context.Context, id workload.JobID) (JobStatus, bool) {
	s, ok := queryCore(ctx, o, func(c *scheduler.Core, now time.Time) JobStatus {
		state, known := c.JobState(id)
		return JobStatus{State: state, Known: known, Stale: !known && now.Sub(o.lastReadSentAt) > unknownJobMaxReadAge}
	})
	return s, ok && !s.Stale && (s.State.IsTerminal() || !o.mayHaveBeenReplaced())
}

// WaitingJobs returns how many jobs of a queue have not begun.
func (o *Owner) WaitingJobs(ctx context.Context, queue string) (int, bool) {
	return queryCore(ctx, o, func(c *scheduler.Core, _ time.Time) int { return c.WaitingJobs(queue) })
}

// DrainWorker empties a worker and tells whether it is vacant. ok is false if the owner can't
// tell, as while another one may have started tasks there.
func (o *Owner) DrainWorker(ctx context.Context, worker string) (state workload.DrainState, ok bool) {
	state, ok = queryCore(ctx, o, func(c *scheduler.Core, now time.Time) workload.DrainState { return c.DrainWorker(worker, now) })
	return state, ok && !o.mayHaveBeenReplaced()
}

// Loads returns what the services of the partition carry, and takes which workers of one
// of them are about to leave.
func (o *Owner) Loads(ctx context.Context, service string, dueForMaintenance []string) ([]workload.ServiceLoad, bool) {
	return queryCore(ctx, o, func(c *scheduler.Core, now time.Time) []workload.ServiceLoad {
		c.SetDueForMaintenance(service, dueForMaintenance, now)
		return c.ServiceLoads(now)
	})
}
