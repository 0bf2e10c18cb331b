package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// updateUnseen bounds, for each workspace, what runs of earlier owners reserve that this owner may not
// know yet: no more than each task that may have such a run, and no more than the workers hold on which
// they would be. Best-effort tasks reserve no processor on their worker and count against a cap all the
// same, so that the workers' processors don't bound them.
//
// Jobs of earlier owners get no starts meanwhile, so the bound only falls, and may be old.
func (c *Core) updateUnseen(runsUnknown bool, now time.Time) {
	if !runsUnknown && c.unseenUpdatedAt.IsZero() || runsUnknown && now.Before(c.unseenUpdatedAt.Add(maxPlanInterval)) {
		return
	}
	c.unseenUpdatedAt = time.Time{}
	for _, a := range c.accounts {
		a.unseen, a.unseenBestEffort = workload.Resources{}, workload.Resources{}
	}
	if !runsUnknown {
		return
	}
	c.unseenUpdatedAt = now
	isBlanket := c.mayHaveUnknownRuns(now)
	for _, j := range c.jobs {
		if j.account == nil || !j.account.isCapped || j.isNew {
			continue
		}
		for s := range j.openSteps() {
			if !isBlanket && !c.mayRunOnLongLease(s, now) {
				continue
			}
			j.account.addUnseen(s.spec, s.maxUnseenRuns())
		}
		closed := j.closedDueOccurrences(now)
		for i := range j.submission.Spec.Steps {
			spec := &j.submission.Spec.Steps[i]
			j.account.addUnseen(spec, closed*spec.Count)
		}
	}
	capacity, isKnown := c.unresolvedCapacitySum()
	for _, a := range c.accounts {
		if isKnown {
			a.unseen = a.unseen.Min(capacity)
		}
		a.unseen = a.unseen.Add(a.unseenBestEffort)
	}
}

// addUnseen adds the reservations of runs of a step that may be unknown.
func (a *account) addUnseen(spec *workload.Step, runs int) {
	reservation := spec.Reservation()
	a.unseen = a.unseen.Add(reservation.Times(runs))
	a.unseenBestEffort = a.unseenBestEffort.Add(spec.Resources.Sub(reservation).Times(runs))
}

// unresolvedCapacitySum returns what all workers together hold that may have unknown runs. ok is false if
// not all of them, or their capacities, are known.
func (c *Core) unresolvedCapacitySum() (sum workload.Resources, ok bool) {
	if c.unresolved.mayLackWorkers {
		return workload.Resources{}, false
	}
	for id, capacity := range c.unresolved.capacities {
		if w := c.workers[id]; w != nil {
			capacity = capacity.Max(w.maxCapacity)
		}
		if capacity.CPU == 0 || capacity.MemoryMB == 0 {
			return workload.Resources{}, false
		}
		sum = sum.Add(capacity)
	}
	return sum, true
}

// maxUnseenRuns returns how many runs of the step on workers that have not answered may be unknown at
// most. A task has one run at a time, or two if it may have a speculative copy; a task that is done has
// none, unless another copy or member of its gang ended first.
func (s *step) maxUnseenRuns() int {
	n := 0
	for i := range s.tasks {
		t := s.peek(i)
		limit := 1
		if s.spec.Speculative {
			limit = 2
		}
		if t.done && !s.spec.Speculative && !s.spec.Gang {
			limit = 0
		}
		n += max(0, limit-len(t.runs))
	}
	return n
}

// waitsLogInterval is the time between two log lines on jobs that wait for workers, and from the takeover
// to the first: most workers answer within a second.
const waitsLogInterval = time.Second

// maxLoggedWorkers bounds the workers that such a line names.
const maxLoggedWorkers = 5

// logWaitingForWorkers logs, while jobs of before the takeover wait for workers that have not answered,
// how many jobs there are and for which workers they wait.
func (c *Core) logWaitingForWorkers(now time.Time) {
	if now.Before(c.tookOverAt.Add(waitsLogInterval)) || now.Before(c.waitsLoggedAt.Add(waitsLogInterval)) || !c.hasUnresolvedWorkers(now) && !c.hasLongLeaseWorkers(now) {
		return
	}
	c.waitsLoggedAt = now
	jobs := c.JobsWaitingForWorkers(now)
	if jobs == 0 {
		return
	}
	silent := c.unresolved.ids()
	named := strings.Join(silent[:min(len(silent), maxLoggedWorkers)], " ")
	reason := fmt.Sprintf("%d jobs wait until %d workers have answered or their leases have expired in %d ms: %s", jobs, len(silent), c.earlierLeasesExpireAt.Sub(now).Milliseconds(), named)
	if !c.hasUnresolvedWorkers(now) {
		reason = fmt.Sprintf("%d jobs wait until %d workers have answered that may have restarted, or their long leases have expired in %d ms, the first of them %s", jobs, len(c.longLeases.silentWorkers), c.earlierLongLeaseExpiry().Sub(now).Milliseconds(), c.longLeases.silentWorkers[0].info.ID)
	}
	if c.unresolved.mayLackWorkers {
		reason = fmt.Sprintf("%d jobs wait until the workers of earlier owners are known or their leases have expired in %d ms", jobs, c.earlierLeasesExpireAt.Sub(now).Milliseconds())
	}
	c.recordDecision(Decision{Verb: "waits-for-workers", Age: now.Sub(c.tookOverAt), Reason: reason})
}

// JobsWaitingForWorkers returns the number of jobs with ready tasks that don't start because a worker
// that has not answered may run them on the order of an earlier owner.
func (c *Core) JobsWaitingForWorkers(now time.Time) int {
	if !c.hasUnresolvedWorkers(now) && !c.hasLongLeaseWorkers(now) {
		return 0
	}
	return c.readyEarlierJobs(now)
}

// readyEarlierJobs returns the number of jobs with ready tasks that an earlier owner may have started.
func (c *Core) readyEarlierJobs(now time.Time) int {
	n, isBlanket := 0, c.hasUnresolvedWorkers(now)
	for _, j := range c.activeJobs {
		if j.finalState.IsTerminal() || c.settings.EarlierOwnersInLogOrder && j.isNew {
			continue
		}
		for s := range j.openSteps() {
			if s.idleCount > 0 && s.isReady(now) && (isBlanket || c.mayRunOnLongLease(s, now)) {
				n++
				break
			}
		}
	}
	return n
}
