package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// At most 1/busyReserveDivisor of a service's workers are reserved for suspects while the
	// service is busy with other tasks, 1/idleReserveDivisor while it is not, and one worker in any
	// case.
	busyReserveDivisor = 4
	idleReserveDivisor = 2
	// serviceBusyDuration is how long a service counts as busy after tasks other than suspects have
	// started or found no free capacity.
	serviceBusyDuration = time.Second
	// soleCauseRankPenalty lowers a suspect's rank for each crash that only it can have caused.
	// 1/waitRankDivisor of its waiting time is added to its rank.
	soleCauseRankPenalty = time.Second
	waitRankDivisor      = 50
	// suspectsLogInterval is the shortest time between two log lines on waiting suspects.
	suspectsLogInterval = 2 * time.Second
	// suspectReservationTTL is how long a worker stays reserved for suspects after the last request.
	// Each plan with a waiting suspect renews the reservation.
	suspectReservationTTL = 500 * time.Millisecond
	// gangReservationTimeout is how long a gang with suspects waits for reserved workers. There may
	// never be enough.
	gangReservationTimeout = 3 * time.Second
)

// plannedIsolatedRun is the worker and the run number planned for a suspect.
type plannedIsolatedRun struct {
	worker      *worker
	incarnation int64 // of the worker when it was planned
	runNumber   int64
}

// isReservedForSuspects reports whether only suspects may start on the worker: it is reserved for
// them or has an isolated run.
func (w *worker) isReservedForSuspects(now time.Time) bool {
	if now.Before(w.reservedForSuspectsUntil) {
		return true
	}
	for _, r := range w.runs {
		if r.isolated {
			return true
		}
	}
	return false
}

// hasNoCrashCandidate reports whether no run on the worker could be blamed for a crash now, because
// all their tasks have made progress. Unless a suspect runs there or a start is unconfirmed, that is
// true at the latest a second after the last start, however long the runs take.
func (w *worker) hasNoCrashCandidate(now time.Time) bool {
	for _, r := range w.runs {
		if r.isolated || r.isCrashCandidate(now) {
			return false
		}
	}
	return true
}

// suspect is a suspect task that waits for an isolated run.
type suspect struct {
	step  *step
	index int
	rank  time.Duration
}

func (x suspect) task() *task { return x.step.task(x.index) }

// placeSuspects starts suspects, each on a worker where it is the only crash candidate. The planned
// worker is stored before the start. If this owner is lost before it has recorded the outcome, the
// next owner restores the run on that worker and determines the outcome.
func (c *Core) placeSuspects(pools map[string]*placementPool, now time.Time) {
	suspectCount, reservedCount := 0, 0
	byService := c.suspectsByService(now)
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		p, suspects := pools[service], byService[service]
		if p == nil {
			continue
		}
		for _, x := range suspects {
			if c.startsInFlight.isFull() {
				return
			}
			c.placeSuspect(p, x, now)
		}
		suspectCount += len(suspects)
		reservedCount += len(p.reservedForSuspects)
	}
	c.logWaitingSuspects(suspectCount, reservedCount, now)
}

// suspectsByService returns the suspects that may be started now by service, highest rank first.
// Gangs are left out.
func (c *Core) suspectsByService(now time.Time) map[string][]suspect {
	byService := map[string][]suspect{}
	c.stepsWithCrashes = slices.DeleteFunc(c.stepsWithCrashes, func(s *step) bool { return s.job.finalState.IsTerminal() })
	for _, s := range c.stepsWithCrashes {
		if s.idleCount == 0 || s.spec.Gang || !s.isReady(now) || c.mayRunOnLongLease(s, now) {
			continue
		}
		for i := range s.tasks {
			if t := s.peek(i); c.isTaskStartable(s, t, now) && t.isSuspect() {
				service := s.job.submission.Service
				byService[service] = append(byService[service], suspect{s, i, t.suspectRank(now)})
			}
		}
	}
	for _, list := range byService {
		slices.SortStableFunc(list, func(a, b suspect) int { return cmp.Compare(b.rank, a.rank) })
	}
	return byService
}

// placeSuspect starts a suspect's isolated run as planned, or plans one if there is no plan or its
// worker is no longer available.
func (c *Core) placeSuspect(p *placementPool, x suspect, now time.Time) {
	s, t := x.step, x.task()
	if !c.admitSuspect(s, now) {
		return
	}
	if !c.ensureAdvice(p, s, now) {
		c.requestAdviceFor(p, s, now)
		p.reserveForSuspects(s, now)
		return
	}
	if t.plannedIsolatedRun != nil && p.canStartPlanned(s, t.plannedIsolatedRun, now) {
		c.startIsolatedRun(s, x.index, t.checkpoint, now)
		return
	}
	c.dropIsolatedRunRecords(s, t)
	w := p.bestReservedWorker(s, now)
	if w == nil {
		p.reserveForSuspects(s, now)
		w = p.bestReservedWorker(s, now)
	}
	switch {
	case w != nil:
		c.planIsolatedRun(w, s, t, s.nextRunNumber(c.settings.Epoch), now)
	case s.needsAdvice():
		// Only other workers than the reserved ones may have a valid ticket.
		c.requestAdvice(p, s, true, now)
	}
}

// isTaskStartable reports whether a task is idle, may be started now, has all its recorded crashes
// stored and awaits no proof.
func (c *Core) isTaskStartable(s *step, t *task, now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && t.crashesStoredInWrite <= c.storedWriteSeq &&
		(len(t.crashes) == 0 || !t.awaitsProof(s.spec.LongRunning, now))
}

// canStartPlanned reports whether the worker of a planned isolated run is still available for it.
func (p *placementPool) canStartPlanned(s *step, planned *plannedIsolatedRun, now time.Time) bool {
	w := planned.worker
	return planned.incarnation == w.incarnation && slices.Contains(p.reservedForSuspects, w) && s.fitsOn(w, now) && w.hasNoCrashCandidate(now)
}

// planIsolatedRun plans an isolated run on a worker and queues the plan to be stored. The plan is
// stored as a crash record with IsolatedRunPending: no crash has happened, and DetectedAtMS is the
// time of the planning. If the worker crashes, the record of the crash replaces it.
func (c *Core) planIsolatedRun(w *worker, s *step, t *task, runNumber int64, now time.Time) {
	t.plannedIsolatedRun = &plannedIsolatedRun{worker: w, incarnation: w.incarnation, runNumber: runNumber}
	w.isolatedRunPlannedUntil = now.Add(suspectReservationTTL)
	w.reservedForSuspectsUntil = w.isolatedRunPlannedUntil
	t.addCrash(workload.Crash{Worker: w.info.ID, Incarnation: w.incarnation, Address: w.info.Address, Run: runNumber, DetectedAtMS: now.UnixMilli(), IsolatedRunPending: true})
	c.queueCrashWrite(s, t)
}

// startIsolatedRun starts the planned isolated run of a suspect.
func (c *Core) startIsolatedRun(s *step, index int, checkpoint string, now time.Time) {
	c.Counts.IsolatedRuns++
	t := s.task(index)
	planned := t.plannedIsolatedRun
	t.plannedIsolatedRun = nil
	planned.worker.isolatedRunPlannedUntil = time.Time{}
	c.startRun(planned.worker, s, index, planned.runNumber, checkpoint, now).isolated = true
}

// dropIsolatedRunRecords drops a task's planned isolated run and the records with IsolatedRunPending.
// It is called when the plan is abandoned and when the run has ended without a crash.
func (c *Core) dropIsolatedRunRecords(s *step, t *task) {
	t.plannedIsolatedRun = nil
	countBefore := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(crash workload.Crash) bool { return crash.IsolatedRunPending })
	if len(t.crashes) < countBefore {
		c.queueCrashWrite(s, t)
	}
}

// restoreRunFromCrashRecord restores the run of a stored crash record whose outcome is unknown: the
// record of a pending isolated run or of an unconfirmed crash. A run with an unconfirmed crash is not
// added to the worker's runs.
func (c *Core) restoreRunFromCrashRecord(s *step, index int, crash workload.Crash) {
	w := c.ensureWorker(crash.Worker, c.tookOverAt)
	if w.info.Address == "" {
		// The worker may not be registered. A replacement at its address shows that its process
		// has ended.
		w.info = workload.Worker{ID: crash.Worker, Address: crash.Address, Service: s.job.submission.Service}
	}
	if w.findRun(s.taskKey(index), crash.Run) != nil {
		return
	}
	r := &run{
		step: s, index: index, number: crash.Run, worker: w, incarnation: crash.Incarnation, state: runUnconfirmed,
		stateChangedAt: c.tookOverAt, orderedAt: c.tookOverAt, orderedSpeedPercent: fullSpeedPercent,
		isolated: crash.IsolatedRunPending, fromCrashRecord: true,
		mayBeStoppingUntil: c.tookOverAt.Add(c.settings.MaxStopDuration + stopSlack),
	}
	if crash.IsolatedRunPending {
		r.isolationPlannedAt = time.UnixMilli(crash.DetectedAtMS)
	}
	if crash.Unconfirmed {
		w.blamedRuns = append(w.blamedRuns, r)
		w.crashUnconfirmedUntil = c.tookOverAt.Add(unconfirmedCrashTimeout)
		return
	}
	w.extendLease(earlierLeaseExpiry(c.settings, c.tookOverAt))
	w.addRun(r) // it counts as live until the worker has answered or its leases have expired
}

// endIsolatedRun records that an isolated run has ended without a crash of its worker.
func (c *Core) endIsolatedRun(r *run) {
	if r.isolated {
		r.isolated = false
		c.dropIsolatedRunRecords(r.step, r.task())
	}
}

// bestReservedWorker returns the ready reserved worker with the fewest runs that fits the step, nil
// if there is none.
func (p *placementPool) bestReservedWorker(s *step, now time.Time) *worker {
	var best *worker
	for _, w := range p.readyReservedWorkers(now) {
		if s.fitsOn(w, now) && (best == nil || len(w.runs) < len(best.runs)) {
			best = w
		}
	}
	return best
}

// contains reports whether a worker is in the placement pool, reserved for suspects or not.
func (p *placementPool) contains(w *worker) bool {
	return slices.Contains(p.reservedForSuspects, w) || slices.Contains(p.workers, w)
}

// reserveForSuspects renews the reservations of workers that can run the step's suspects within a known time and
// reserves one more worker up to maxReservedForSuspects. If no reserved worker can run them, for
// example because none has the required label, it exceeds the bound. Otherwise the suspects would
// wait forever. It reserves nothing for a step that can't be placed.
func (p *placementPool) reserveForSuspects(s *step, now time.Time) {
	if s.coveringWorkers(slices.DeleteFunc(slices.Concat(p.reservedForSuspects, p.workers), func(w *worker) bool { return !s.mayRunOn(w) }), now) == nil {
		return
	}
	capable := 0
	for _, w := range p.reservedForSuspects {
		if s.placesOn(w, now) > 0 {
			w.reservedForSuspectsUntil = now.Add(suspectReservationTTL)
			capable++
		}
	}
	if capable > 0 && len(p.reservedForSuspects) >= p.maxReservedForSuspects(now) {
		return
	}
	i := p.leastLoadedIndex(s, now)
	if i < 0 {
		return
	}
	p.workers[i].reservedForSuspectsUntil = now.Add(suspectReservationTTL)
	p.reservedForSuspects = append(p.reservedForSuspects, p.workers[i])
	p.removeAt(i)
}

// suspectRank returns the rank of a suspect; higher ranks start first. Suspects that are the least
// likely to crash a worker come first: most of them are cleared within half a second, while a suspect
// that crashes its worker makes that worker unavailable for seconds.
//
// The rank starts at zero and is computed over the uncleared crashes, oldest first. A crash that only
// the task can have caused lowers it by soleCauseRankPenalty. Any other crash raises it to the age of
// the run at the crash if it is lower, because tasks that crash workers do so at their start. So such
// a crash cancels the penalties of earlier ones. Finally 1/waitRankDivisor of the time since the
// latest crash or planned isolated run is added, so that no suspect waits forever.
func (t *task) suspectRank(now time.Time) time.Duration {
	rank, latestCrashMS := time.Duration(0), int64(0)
	for _, crash := range t.crashes {
		latestCrashMS = max(latestCrashMS, crash.DetectedAtMS)
		switch {
		case crash.Cleared || crash.IsolatedRunPending:
		case crash.SoleCause:
			rank -= soleCauseRankPenalty
		default:
			rank = max(rank, time.Duration(crash.RunAgeMS)*time.Millisecond)
		}
	}
	return rank + now.Sub(time.UnixMilli(latestCrashMS))/waitRankDivisor
}

// logWaitingSuspects logs, at most every suspectsLogInterval, how many suspects the plan had to place
// and how many workers are reserved for them. Nothing else shows why the suspects' jobs make no
// progress. The number includes suspects that the plan has just started and leaves out gangs. A plan
// that ends early because startsInFlight is full logs nothing.
func (c *Core) logWaitingSuspects(waiting, reserved int, now time.Time) {
	if waiting == 0 || now.Before(c.suspectsLoggedAt.Add(suspectsLogInterval)) {
		return
	}
	c.suspectsLoggedAt = now
	c.recordDecision(Decision{Verb: "suspects-wait", Reason: fmt.Sprintf("%d tasks that may crash workers wait for an isolated run, %d workers are reserved for suspects", waiting, reserved), AlwaysLogged: true})
}

// maxReservedForSuspects returns how many workers of the placement pool may be reserved for suspects.
func (p *placementPool) maxReservedForSuspects(now time.Time) int {
	workerCount := len(p.workers) + len(p.reservedForSuspects)
	if now.Before(p.busyUntil) {
		return max(1, workerCount/busyReserveDivisor)
	}
	return max(1, workerCount/idleReserveDivisor)
}

// readyReservedWorkers returns the reserved workers that have no crash candidate and no planned
// isolated run.
func (p *placementPool) readyReservedWorkers(now time.Time) []*worker {
	var ready []*worker
	for _, w := range p.reservedForSuspects {
		if w.hasNoCrashCandidate(now) && !now.Before(w.isolatedRunPlannedUntil) {
			ready = append(ready, w)
		}
	}
	return ready
}
