package scheduler

import "time"

// An owner that was replaced may not know it: it is cut off from the store, or stands still.
// Its leases keep runs alive on workers that its successor can't reach, and the successor
// would start their tasks elsewhere. Two bounds that both reckon alike keep them apart:
//
//   - An owner starts tasks, renews leases and moves tasks only while it is known that no
//     successor has begun, or has begun less than Settings.Overlap ago.
//   - A successor waits, where it can't reach a worker, for that long and a lease.
//
// A lease ends at a time of the worker's clock that was reckoned before the order was sent.
// So an order that is sent late, as by a process that stood still, has no later lease.

// SetAuthority sets until when the owner may start tasks and renew leases. Without a call
// there is no bound.
func (c *Core) SetAuthority(until time.Time) {
	c.authorityUntil = until
	c.authorityBounded = true
}

// hasAuthority tells whether the owner may start tasks and renew leases.
func (c *Core) hasAuthority(now time.Time) bool {
	return !c.authorityBounded || now.Before(c.authorityUntil)
}

// earlierLeaseExpiry is until when leases of earlier owners may last, for an owner that begins now.
func earlierLeaseExpiry(settings Settings, now time.Time) time.Time {
	return now.Add(settings.MaxOwnerOverlap + leaseExpiryDelay(settings.LeaseDuration))
}
