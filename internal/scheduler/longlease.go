package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A lease ends at a time on the worker's clock, which starts over with each incarnation. An order that was sent to
// an earlier incarnation and reaches a later one therefore grants a lease that ends only MaxLeaseDuration after it was
// carried out: a long lease. It holds for all runs of the incarnation, also for those that start later. Nobody
// reports it, so it is assumed where it is possible:
//
//   - A start without an answer may have reached another incarnation of its worker (mayOutliveLease).
//   - An incarnation may have been granted a long lease before its first report under the owner's token. All its runs
//     may last until MaxLeaseDuration after that report (resolveIncarnation).
//   - An earlier owner may have granted it, or started tasks under it. Owners store which workers have long leases
//     before they start a task there, and a worker that has restarted shortly before a takeover counts as one of
//     them. If such a worker does not answer, the tasks that it may run wait until the long lease has expired.

// maxWallClockSkew is the largest difference between the times of day of two machines.
const maxWallClockSkew = 3 * time.Second

// mayOutliveLease reports whether a run without a known start may still live although the leases on its worker, as
// they were granted, have expired: the worker may have restarted unseen, and the next process may carry the start out
// as long as an order can be late.
func (c *Core) mayOutliveLease(r *run, now time.Time) bool {
	w := r.worker
	if r.startConfirmed || r.stopConfirmed || w.processEnded {
		return false
	}
	if w.unregistered && r.fromCrashRecord && !r.handedOver && !r.isFromEarlierIncarnation() {
		return false
	}
	return now.Before(r.orderedAt.Add(maxOrderDelay + leaseExpiryDelay(c.settings.MaxLeaseDuration)))
}

// isFromEarlierIncarnation reports whether the run was ordered to an earlier incarnation of its worker than its
// reports or its entry name now.
func (r *run) isFromEarlierIncarnation() bool {
	w := r.worker
	return r.incarnation != 0 && (w.incarnation != r.incarnation && !w.restartDetectedAt.IsZero() || w.info.Incarnation != 0 && w.info.Incarnation != r.incarnation)
}

// mayHaveLongLease reports whether a worker's incarnation may have been granted a long lease before this owner's
// first poll: it has restarted, or it is young and an owner may have ordered something to an earlier incarnation.
func (c *Core) mayHaveLongLease(w *worker, now time.Time) bool {
	if !w.restartDetectedAt.IsZero() || c.longLeases.byWorker[w.info.ID] != nil {
		return true
	}
	restarted := w.info.Restarted || !w.entryMatchesReports()
	return (w.wasRemoved || restarted && c.mayHaveEarlierOrders(now)) && c.isYoung(w.incarnation, now)
}

// mayHaveEarlierOrders reports whether orders of earlier owners, or the leases that they granted, may still have an
// effect.
func (c *Core) mayHaveEarlierOrders(now time.Time) bool {
	return now.Before(c.tookOverAt.Add(c.settings.MaxOwnerOverlap + maxOrderDelay + leaseExpiryDelay(c.settings.MaxLeaseDuration)))
}

// isYoung reports whether an order to an earlier incarnation may have granted the given one a lease that has not
// expired. An unknown incarnation counts as young.
func (c *Core) isYoung(incarnation int64, now time.Time) bool {
	age := time.Duration(now.UnixMilli()-incarnation) * time.Millisecond
	return incarnation == 0 || age < maxWallClockSkew+maxOrderDelay+leaseExpiryDelay(c.settings.MaxLeaseDuration)
}

// longLeases are the long leases that workers may have.
type longLeases struct {
	byWorker map[string]*longLease
	// added is set until a new one is in a write, ended until the end of one is.
	added, ended bool
	// silentWorkers are the workers that may run tasks of earlier owners and have not answered yet.
	silentWorkers []*worker
}

// longLease is a long lease that a worker may have.
type longLease struct {
	expiresAt time.Time
	isStored  bool
}

// recordLongLease records that a worker may have a long lease. Unless that is stored already, with its expiry, the
// worker gets no start until it is.
func (c *Core) recordLongLease(w *worker, expiresAt time.Time) {
	w.extendLease(expiresAt)
	if l := c.longLeases.byWorker[w.info.ID]; l == nil || expiresAt.After(l.expiresAt) {
		c.longLeases.byWorker[w.info.ID] = &longLease{expiresAt: expiresAt}
		c.longLeases.added = true
	}
}

// awaitsLongLeaseWrite reports whether a worker's long lease is not stored yet.
func (c *Core) awaitsLongLeaseWrite(w *worker) bool {
	l := c.longLeases.byWorker[w.info.ID]
	return l != nil && !l.isStored
}

// dropExpiredLongLeases drops the long leases that have expired. The next write stores that.
func (c *Core) dropExpiredLongLeases(now time.Time) {
	for id, l := range c.longLeases.byWorker {
		if !now.Before(l.expiresAt) {
			delete(c.longLeases.byWorker, id)
			c.longLeases.ended = true
		}
	}
}

// longLeaseRecords returns the record of the long leases if it differs from the stored one.
func (c *Core) longLeaseRecords() []workload.Record {
	if !c.longLeases.added && !c.longLeases.ended {
		return nil
	}
	leases := &workload.LongLeases{ExpiresAtMS: map[string]int64{}, CheckedAcks: c.checkedAcks()}
	for id, l := range c.longLeases.byWorker {
		leases.ExpiresAtMS[id] = l.expiresAt.UnixMilli()
	}
	return []workload.Record{{LongLeases: leases}}
}

// RestoreLongLeases applies the long leases that an earlier owner stored. It must precede SetWorkers and
// RestoreHandover.
func (c *Core) RestoreLongLeases(leases *workload.LongLeases) {
	for id, checked := range leases.CheckedAcks {
		c.storedAcks[id] = ackState{checkedIncarnation: checked.Incarnation, mayDropExitsUpTo: checked.MayDropExitsUpTo}
	}
	for id, expiresAtMS := range leases.ExpiresAtMS {
		expiresAt := time.UnixMilli(expiresAtMS).Add(maxWallClockSkew)
		if !expiresAt.After(c.tookOverAt) {
			continue
		}
		if latest := c.earlierLongLeaseExpiry(); expiresAt.After(latest) {
			expiresAt = latest
		}
		c.longLeases.byWorker[id] = &longLease{expiresAt: expiresAt, isStored: true}
		c.ensureWorker(id, c.tookOverAt).extendLease(expiresAt)
	}
}

// earlierLongLeaseExpiry returns when long leases under which earlier owners have started tasks have expired.
func (c *Core) earlierLongLeaseExpiry() time.Time {
	return c.tookOverAt.Add(c.settings.MaxOwnerOverlap + leaseExpiryDelay(c.settings.MaxLeaseDuration))
}

// expectLongLease extends the leases of a worker that has not answered this owner if it has restarted shortly before
// the takeover, so that unknown runs of earlier owners may have a long lease there.
func (c *Core) expectLongLease(w *worker, now time.Time) {
	if c.unresolved.has(w.info.ID) && !w.synced && w.restartDetectedAt.IsZero() && w.info.Restarted && c.mayHaveEarlierOrders(now) && c.isYoung(w.info.Incarnation, now) && now.Before(c.earlierLongLeaseExpiry()) {
		c.recordLongLease(w, c.earlierLongLeaseExpiry())
	}
}

// hasLongLeaseWorkers reports whether there are workers that may run tasks of earlier owners under long leases.
func (c *Core) hasLongLeaseWorkers(now time.Time) bool {
	return slices.ContainsFunc(c.longLeases.silentWorkers, func(w *worker) bool { return c.isUnresolved(w, now) })
}

// mayRunOnLongLease reports whether a worker that has not answered may run a task of the step on the order of an
// earlier owner, after all ordinary leases of such owners have expired.
func (c *Core) mayRunOnLongLease(s *step, now time.Time) bool {
	if s.spec.Speculative || s.job.isNew && c.settings.EarlierOwnersInLogOrder {
		return false
	}
	return slices.ContainsFunc(c.longLeases.silentWorkers, func(w *worker) bool {
		return c.isUnresolved(w, now) && c.mayHaveStarted(w, s)
	})
}

// mayHaveStarted reports whether a step's tasks may have started on the worker, by its entry or, without one, by
// its VM.
func (c *Core) mayHaveStarted(w *worker, s *step) bool {
	if w.info.Address == "" {
		service := c.unresolved.services[w.info.ID]
		return service == "" || service == s.job.submission.Service
	}
	return w.info.Service == s.job.submission.Service && (s.spec.RequiredLabel == "" || slices.Contains(w.info.Labels, s.spec.RequiredLabel)) && s.spec.Reservation().FitsIn(w.maxCapacity)
}

// updateLongLeaseWorkers finds the workers that may run tasks of earlier owners under long leases.
func (c *Core) updateLongLeaseWorkers(now time.Time) {
	c.longLeases.silentWorkers = c.longLeases.silentWorkers[:0]
	if !now.Before(c.earlierLongLeaseExpiry()) || c.unresolved.isEmpty() {
		return
	}
	for _, w := range c.sortedWorkers {
		if c.isUnresolved(w, now) {
			c.longLeases.silentWorkers = append(c.longLeases.silentWorkers, w)
		}
	}
}
