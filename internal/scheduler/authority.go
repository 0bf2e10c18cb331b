package scheduler

import "time"

// An owner that has lost the partition to a next owner may not know it: it is partitioned from the
// store, or its process is paused. Its leases keep runs alive on workers that the next owner can't
// reach, while the next owner would start their tasks elsewhere. Two bounds, computed by both
// owners in the same way, prevent such double runs:
//
//   - An owner starts tasks, renews leases and moves tasks only while it is certain that no next
//     owner has started, or that one started less than Settings.MaxOwnerOverlap ago.
//   - A next owner that can't reach a worker waits for MaxOwnerOverlap plus a lease.
//
// A lease expires at a time on the worker's clock that is computed before the order is sent.
// So an order that is sent late, for example by a paused process, does not extend the lease.

// SetAuthority sets until when the owner may start tasks and renew leases. Without a call
// there is no bound.
func (c *Core) SetAuthority(until time.Time) {
	c.authorityUntil = until
	c.authorityBounded = true
}

// hasAuthority reports whether the owner may start tasks and renew leases.
func (c *Core) hasAuthority(now time.Time) bool {
	return !c.authorityBounded || now.Before(c.authorityUntil)
}

// earlierLeaseExpiry returns until when leases of earlier owners may last for an owner that
// takes over now.
func earlierLeaseExpiry(settings Settings, now time.Time) time.Time {
	return now.Add(settings.MaxOwnerOverlap + leaseExpiryDelay(settings.LeaseDuration))
}
