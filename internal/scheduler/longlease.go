package scheduler

import "time"

// A lease ends at a time on the worker's clock, which starts over with each incarnation. An order that was sent to
// an earlier incarnation and reaches a later one therefore grants a lease that ends only MaxLeaseDuration after it was
// carried out: a long lease. It holds for all runs of the incarnation, also for those that start later. Nobody
// reports it, so it is assumed where it is possible:
//
//   - A start without an answer may have reached another incarnation of its worker (mayOutliveLease).
//   - An incarnation may have been granted a long lease before its first report under the owner's token. All its runs
//     may last until MaxLeaseDuration after that report (resolveIncarnation).

// maxOrderTimeout is the longest time until an order is answered or given up. A given-up order is carried out
// later only if the worker has it already.
const maxOrderTimeout = 1500 * time.Millisecond

// mayOutliveLease reports whether a run without a known start may still live although the leases on its worker, as
// they were granted, have expired.
func (c *Core) mayOutliveLease(r *run, now time.Time) bool {
	if r.startConfirmed || r.stopConfirmed {
		return false
	}
	lease := leaseExpiryDelay(c.settings.LeaseDuration)
	longLease := leaseExpiryDelay(c.settings.MaxLeaseDuration)
	switch {
	case r.isFromEarlierIncarnation():
		return now.Before(r.orderedAt.Add(maxOrderDelay + longLease))
	case !r.worker.unregistered:
		return now.Before(r.orderedAt.Add(maxOrderDelay + lease))
	default:
		// The worker may have restarted unseen. A long-running task must not be down for that long.
		return !r.step.spec.LongRunning && !r.fromCrashRecord && now.Before(r.orderedAt.Add(maxOrderTimeout+longLease))
	}
}

// isFromEarlierIncarnation reports whether the run was ordered to an earlier incarnation of its worker than its
// reports or its entry name now.
func (r *run) isFromEarlierIncarnation() bool {
	w := r.worker
	return r.incarnation != 0 && (w.incarnation != r.incarnation && !w.restartDetectedAt.IsZero() || w.info.Incarnation != 0 && w.info.Incarnation != r.incarnation)
}
