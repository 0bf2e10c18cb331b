package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// confirmedWorkers delivers a list of workers only after the membership group has confirmed
// the ownership by a join that was sent after the list was read. An owner that was replaced
// without knowing it could otherwise start a task on a worker that registered since. The
// successor may not have polled that worker yet, so the worker would still accept the order
// and the task would run twice. With the rule the successor reads the list after that join,
// finds the worker on it and polls the worker before it starts anything.
//
// A list that was read before the ownership began is not delivered either. A node that
// owned nothing for a while has not read the list since, so it may show workers as ready
// that have announced long ago that they leave. A takeover with a handover does not wait
// for a later read by other means.
type confirmedWorkers struct {
	ownedSince              time.Time         // when the ownership began
	deliveredVersion        int64             // version of the list delivered last
	pending                 registry.Snapshot // awaits confirmation if its version is not deliveredVersion
	confirmRequestedVersion int64             // version for which a confirmation was requested
}

// shouldRequestConfirmation reports, once for each list, whether the list awaits a
// confirmation.
func (c *confirmedWorkers) shouldRequestConfirmation() bool {
	if c.pending.Version == c.deliveredVersion || c.pending.Version == c.confirmRequestedVersion || c.pending.ReadSentAt.Before(c.ownedSince) {
		return false
	}
	c.confirmRequestedVersion = c.pending.Version
	return true
}

// next returns a confirmed list that was not delivered yet. confirmedAt is when the latest
// join that confirmed the ownership was sent. ok is false if there is no such list.
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
