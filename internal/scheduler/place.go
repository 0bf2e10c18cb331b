package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// placeTasks orders starts for the ranked candidates as far as the free capacity allows.
func (c *Core) placeTasks(now time.Time) {
	if !c.planStale && now.Before(c.lastPlanAt.Add(maxPlanInterval)) || !c.takeoverStored || !c.hasAuthority(now) {
		return
	}
	runsUnknown := c.mayHaveUnknownRuns(now)
	c.ranking.onlyNew = runsUnknown
	if runsUnknown && !c.settings.EarlierOwnersInLogOrder {
		return
	}
	c.planStale = false
	c.lastPlanAt = now
	c.Counts.Plans++
	c.refreshRanking(now)
	r := &c.ranking
	pools := c.placementPoolsByService(now)
	r.beginPlan(pools)
	for _, a := range c.accounts {
		a.beginPlan()
	}
	c.updateUnseen(c.mayHaveAnyUnknownRuns(now), now)
	defer c.logBlocked(now)
	defer c.logShares(now)
	defer c.logProspects(now)
	defer c.logPredictionErrors(now)
	defer c.reportHolds(pools, now)
	if !runsUnknown {
		c.placeSuspects(pools, now)
	}
	for _, cand := range r.candidates {
		if !r.mayStart(cand.job) {
			continue
		}
		if cand.class > classStarved && !r.canPlaceMore(cand.servicePlan) || cand.servicePlan.pool == nil || cand.job.finalState.IsTerminal() {
			continue
		}
		c.placeCandidate(cand, now)
		if c.startsInFlight.isFull() {
			c.planStale = true // the rest waits until starts are answered
			c.Counts.TruncatedPlans++
			return
		}
	}
	r.tryAll = false
	if !runsUnknown {
		c.startExitTrials(now)
	}
}

// placeCandidate places the tasks of a candidate's ready steps as far as they fit. For tasks that
// don't fit it tries preemption and, for long-running and starved candidates, holds workers.
func (c *Core) placeCandidate(cand candidate, now time.Time) {
	pool := cand.servicePlan.pool
	for _, s := range cand.steps {
		if s.idleCount == 0 || !s.isReady(now) || c.mayRunOnLongLease(s, now) {
			continue
		}
		c.Counts.PlacementChecks++
		s.acceptsDroppedExits = now.Before(s.hold.infeasibleUntil)
		idleBefore := s.idleCount
		c.placeStep(pool, s, now)
		waiting := s.idleCount - s.idleSuspectCount()
		isBlockedByCap := waiting > 0 && !c.isWithinCap(s, s.minTasksPerStart(), now)
		if isBlockedByCap {
			c.recordBlocked(s, waiting, now)
		}
		lacksCapacity := waiting > 0 && !isBlockedByCap
		if lacksCapacity {
			c.requestMissingTickets(pool, s, now)
		}
		if lacksCapacity || s.idleCount < idleBefore {
			c.serviceBusyUntil[s.job.submission.Service] = now.Add(serviceBusyDuration)
		}
		if lacksCapacity && !c.mayHaveUnknownRunsOf(s.job.submission.Service, now) { // a stopped task of an earlier owner could not start again yet
			c.preempt(pool, cand, s, now)
		}
		if cand.class <= classStarved {
			if lacksCapacity {
				c.holdWorkers(pool, s, now)
			}
			continue
		}
		if !isBlockedByCap {
			cand.servicePlan.consecutiveMisses++
		}
		if s.idleCount < idleBefore {
			cand.servicePlan.consecutiveMisses = 0
			cand.recordStarted(s, idleBefore-s.idleCount)
		}
	}
}

// maxPlanInterval is the longest time between two plans while nothing changes. Due times are
// reached and backoffs end without an event.
const maxPlanInterval = 100 * time.Millisecond

// mayHaveUnknownRuns reports whether runs of an earlier owner may still be unknown on any worker. Starting
// a task of a job that such an owner may have known could run it twice.
func (c *Core) mayHaveUnknownRuns(now time.Time) bool {
	// Until the takeover is stored, a later owner would treat an earlier owner's handover as complete.
	return !c.takeoverStored || c.hasUnresolvedWorkers(now)
}

// mayHaveAnyUnknownRuns reports whether runs of an earlier owner may still be unknown, be it only on workers
// with long leases.
func (c *Core) mayHaveAnyUnknownRuns(now time.Time) bool {
	return c.mayHaveUnknownRuns(now) || c.hasLongLeaseWorkers(now)
}

// mayHaveUnknownRunsOf is mayHaveAnyUnknownRuns for the tasks of one service.
func (c *Core) mayHaveUnknownRunsOf(service string, now time.Time) bool {
	return c.mayHaveUnknownRuns(now) || slices.ContainsFunc(c.longLeases.silentWorkers, func(w *worker) bool {
		return c.isUnresolved(w, now) && (w.info.Service == "" || w.info.Service == service)
	})
}

// placeStep starts the idle tasks of a step as far as there is free capacity. A gang starts as a
// whole or not at all. Suspects that are not in a gang are left to placeSuspects.
func (c *Core) placeStep(p *placementPool, s *step, now time.Time) {
	hasSuspects := s.idleSuspectCount() > 0
	if hasSuspects && c.mayHaveUnknownRuns(now) {
		return
	}
	if !hasSuspects && !s.spec.Reservation().FitsIn(p.maxFree) || !c.isWithinCap(s, s.minTasksPerStart(), now) {
		return
	}
	if !c.ensureAdvice(p, s, now) {
		return
	}
	if hasSuspects && s.spec.Gang {
		c.placeGangWithSuspects(p, s, now)
		return
	}
	if s.spec.Gang {
		c.placeGang(p, s, now)
		return
	}
	for i := range s.tasks {
		t := s.peek(i)
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.isSuspect() {
			continue
		}
		if c.startsInFlight.isFull() || !c.isWithinCap(s, 1, now) {
			return
		}
		c.Counts.PlacementChecks += len(p.workers)
		w := p.bestWorker(s, t, now)
		if w == nil {
			if t.avoidWorker != "" {
				continue // other tasks of the step may run on the avoided worker
			}
			return
		}
		c.startRun(w, s, i, s.nextRunNumber(c.settings.Epoch), t.checkpoint, now)
		p.updateMaxFree()
	}
}

// minTasksPerStart returns how many tasks of the step start at least together.
func (s *step) minTasksPerStart() int {
	if s.spec.Gang {
		return len(s.tasks)
	}
	return 1
}

// nextRunNumber returns a run number above all earlier ones of the step. Runs of earlier owners
// have lower epochs.
func (s *step) nextRunNumber(epoch int64) int64 {
	s.lastRunSeq++
	return epoch*runNumbersPerEpoch + s.lastRunSeq
}

// startRun adds a run to a worker and orders its start.
func (c *Core) startRun(w *worker, s *step, index int, runNumber int64, checkpoint string, now time.Time) *run {
	r := &run{step: s, index: index, number: runNumber, worker: w, incarnation: w.incarnation, state: runStarting, stateChangedAt: now, orderedAt: now, orderedSpeedPercent: fullSpeedPercent, checkpoint: checkpoint, minClockMS: w.minClockMS(now)}
	jobHadBegun := s.job.started
	if c.hasUnresolvedWorkers(now) {
		c.Counts.EarlyStarts++
	}
	w.addRun(r)
	w.ordersInFlight++
	c.startsInFlight.add(r)
	c.chargeStart(r)
	order := workload.Start{
		Task:             r.taskKey(),
		Run:              runNumber,
		Payload:          s.job.submission.Spec.Payload,
		LeaseExpiresAtMS: c.grantLease(w, now),
		Token:            w.token,
		Checkpoint:       checkpoint,
	}
	if t := s.validTicket(w.info.ID, now); t != nil {
		order.Ticket = t.text
	}
	c.orders.Starts = append(c.orders.Starts, StartOrder{Worker: w.info, Start: order})
	verb := "placed"
	if !jobHadBegun {
		c.measurePrediction(s.job, true, now)
		verb = "first-placed"
	}
	c.recordDecision(Decision{Verb: verb, Job: s.job.id, Task: r.taskKey().String(), Queue: s.job.submission.Queue, Workspace: s.job.submission.Workspace, Worker: w.info.ID, Run: runNumber, Age: now.Sub(time.UnixMilli(s.job.submission.AcceptedAtMS))})
	return r
}
