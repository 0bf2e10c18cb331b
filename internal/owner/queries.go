package owner

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// queryCore runs query on the core between two steps. ok is false if the partition is not
// taken over yet or ctx ends before the query has run.
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

// JobStatus is the state of a job as the owner of its partition knows it.
type JobStatus struct {
	State workload.JobState
	Known bool // false if there is no such job
	// Workspace and Queue are those of the job, Prospect is that of their next job.
	Workspace, Queue string
	Prospect         admission.Prospect
	// Stale is set if the job is unknown and the last read of the partition is too old to
	// rule out that it was accepted since.
	Stale bool
}

// unknownJobMaxReadAge is the maximum age of the last read of the partition at which an
// unknown job counts as nonexistent. An accepted job must be known within 3 s.
const unknownJobMaxReadAge = 2200 * time.Millisecond

// mayHaveBeenReplaced reports whether the node's membership may have lapsed. Another owner
// may then run the partition's jobs. A process that was paused learns that only from its
// next join.
func (o *Owner) mayHaveBeenReplaced() bool {
	return !time.Now().Before(o.deps.OwnedUntil(o.partition))
}

// State returns the state of a job. ok is false if the state is uncertain: the job is unknown
// but may have been accepted since the partition was last read, or it has no final state here
// and another owner may run the partition.
func (o *Owner) State(ctx context.Context, id workload.JobID) (JobStatus, bool) {
	s, ok := queryCore(ctx, o, func(c *scheduler.Core, now time.Time) JobStatus {
		state, known := c.JobState(id)
		workspace, queue := c.JobAccess(id)
		return JobStatus{State: state, Known: known, Workspace: workspace, Queue: queue, Prospect: c.Prospect(queue, workspace, now), Stale: !known && now.Sub(o.lastReadSentAt) > unknownJobMaxReadAge}
	})
	mayHaveBeenReplaced := o.mayHaveBeenReplaced()
	if mayHaveBeenReplaced {
		s.Prospect = admission.Prospect{}
	}
	return s, ok && !s.Stale && (s.State.IsTerminal() || !mayHaveBeenReplaced)
}

// WaitingJobs returns the number of jobs of a queue that have not begun.
func (o *Owner) WaitingJobs(ctx context.Context, queue string) (int, bool) {
	return queryCore(ctx, o, func(c *scheduler.Core, _ time.Time) int { return c.WaitingJobs(queue) })
}

// DrainWorkers drains workers and returns their drain states in the same order. ok is false if the states
// are uncertain because another owner may have started tasks on the workers.
func (o *Owner) DrainWorkers(ctx context.Context, workers []string) (states []workload.DrainState, ok bool) {
	states, ok = queryCore(ctx, o, func(c *scheduler.Core, now time.Time) []workload.DrainState {
		states := make([]workload.DrainState, len(workers))
		for i, id := range workers {
			states[i] = c.DrainWorker(id, now)
		}
		return states
	})
	return states, ok && !o.mayHaveBeenReplaced()
}

// Loads returns the load of the partition's services, and marks workers of service as due
// for maintenance. incomingMilliCores are on their way to service, nil if that isn't known.
func (o *Owner) Loads(ctx context.Context, service string, dueForMaintenance []string, incomingMilliCores *int) ([]workload.ServiceLoad, bool) {
	return queryCore(ctx, o, func(c *scheduler.Core, now time.Time) []workload.ServiceLoad {
		c.SetDueForMaintenance(service, dueForMaintenance, now)
		if incomingMilliCores != nil {
			c.SetIncoming(service, *incomingMilliCores, now)
		}
		return c.ServiceLoads(now)
	})
}

// Prospect returns the prospect of the next job of a queue and a workspace. ok is false if the owner can't
// tell because another one may own the partition.
func (o *Owner) Prospect(ctx context.Context, queue, workspace string) (p admission.Prospect, ok bool) {
	p, ok = queryCore(ctx, o, func(c *scheduler.Core, now time.Time) admission.Prospect { return c.Prospect(queue, workspace, now) })
	return p, ok && !o.mayHaveBeenReplaced()
}
