package owner

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// ask runs a question between two steps of the machine. ok is false if the
// partition was not taken over yet or ctx ended before.
func ask[T any](ctx context.Context, o *Owner, question func(c *scheduler.Core, now time.Time) T) (answer T, ok bool) {
	select {
	case <-o.loaded:
	default:
		return answer, false
	}
	answers := make(chan T, 1)
	o.send(ctx, func(c *scheduler.Core, now time.Time) { answers <- question(c, now) })
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// JobState is what an owner knows of a job.
type JobState struct {
	State workload.State
	Known bool // false if there is no such job
}

// State returns a job's state; ok is false if the owner can't tell.
func (o *Owner) State(ctx context.Context, id workload.JobID) (JobState, bool) {
	return ask(ctx, o, func(c *scheduler.Core, _ time.Time) JobState {
		state, known := c.State(id)
		return JobState{State: state, Known: known}
	})
}

// Waiting returns how many jobs of a queue have not begun.
func (o *Owner) Waiting(ctx context.Context, queue string) (int, bool) {
	return ask(ctx, o, func(c *scheduler.Core, _ time.Time) int { return c.Waiting(queue) })
}

// Evacuate empties a worker and tells whether it is empty.
func (o *Owner) Evacuate(ctx context.Context, worker string) (empty, ok bool) {
	return ask(ctx, o, func(c *scheduler.Core, now time.Time) bool { return c.Evacuate(worker, now) })
}

// Loads returns what the services of the partition carry.
func (o *Owner) Loads(ctx context.Context) ([]workload.ServiceLoad, bool) {
	return ask(ctx, o, func(c *scheduler.Core, now time.Time) []workload.ServiceLoad { return c.Loads(now) })
}
