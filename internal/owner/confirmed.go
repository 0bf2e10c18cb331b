package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// confirmedWorkers passes a list of workers on only once the group has confirmed the
// ownership by a join that was sent after the list was read. An owner that was
// replaced without knowing could otherwise start a task on a worker that
// registered since, which the next owner has not held yet and so not closed to it:
// the task would run twice. With the rule the next owner, which reads the list
// after that join, has that worker on it and holds it before it starts anything.
//
// Nor does it pass on a list that was read before the ownership began: a node that
// owned nothing for a while has not read since, and its list still shows workers as
// ready that have said long ago that they leave. Where the last owner left a report of its
// runs nothing else waits for a later read.
type confirmedWorkers struct {
	ownedSince              time.Time         // when the ownership began
	deliveredVersion        int64             // version of the list passed on last
	pending                 registry.Snapshot // waits for its confirmation if it is another one
	confirmRequestedVersion int64             // version for which a confirmation was asked for
}

// shouldRequestConfirmation tells, once for each list, that a confirmation is waited for.
func (c *confirmedWorkers) shouldRequestConfirmation() bool {
	if c.pending.Version == c.deliveredVersion || c.pending.Version == c.confirmRequestedVersion || c.pending.ReadSentAt.Before(c.ownedSince) {
		return false
	}
	c.confirmRequestedVersion = c.pending.Version
	return true
}

// next returns a list that was not passed on yet. confirmed is when the latest
// join that confirmed the ownership was sent. ok is false if there is none.
func (c *confirmedWorkers) next(readSnapshot func() registry.Snapshot, confirmedAt time.Time) (list []workload.Worker, ok bool) {
	if c.pending.Version == c.deliveredVersion || c.pending.ReadSentAt.Before(c.ownedSince) {
		c.pending = readSnapshot()
	}
	if c.pending.Version == c.deliveredVersion || c.pending.ReadSentAt.Before(c.ownedSince) || confirmedAt.Before(c.pending.ReadAnsweredAt) {
		return nil, false
	}
	c.deliveredVersion = c.pending.Version
	return c.pending.Workers, true
}
