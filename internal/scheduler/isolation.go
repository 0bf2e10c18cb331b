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
	// busyReserveDivisor is the part of a service's workers, as one in so many, that are kept
	// for suspects at most while the service is busy with other tasks, and idleTrialShare
	// the same while it isn't.
	busyReserveDivisor = 4
	idleReserveDivisor = 2
	// serviceBusyDuration is how long a service counts as busy after other tasks of it have started or
	// found no room.
	serviceBusyDuration = time.Second
	// onlyCandidateRankPenalty is what a crash that speaks against a task alone takes off its rank among
	// suspects, and waitRank the share of its wait, as one in so many, that is added.
	onlyCandidateRankPenalty = time.Second
	waitRankDivisor          = 50
	// suspectsLogInterval is the shortest time between two lines of the log on suspects that wait.
	suspectsLogInterval = 2 * time.Second
	// reservationTTL is how long a worker is kept for suspects after the last wish; each plan
	// that finds one waiting renews it.
	reservationTTL = 500 * time.Millisecond
	// gangReservationTimeout is how long a gang with suspects waits for workers of their own:
	// there may never be enough.
	gangReservationTimeout = 3 * time.Second
)

// plannedIsolatedRun is where and under which number a suspect is going to be started.
type plannedIsolatedRun struct {
	worker      *worker
	incarnation int64 // of the incarnation, as in worker
	runNumber   int64
}

// isReservedForSuspects tells whether the worker takes nothing but suspects.
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

// hasNoCrashCandidate tells whether a crash of the worker could be blamed on none of the tasks
// there: they have all got on for a while. That is so a second after the last start at
// the latest, however long they run.
func (w *worker) hasNoCrashCandidate(now time.Time) bool {
	for _, r := range w.runs {
		if r.isolated || r.isCrashCandidate(now) {
			return false
		}
	}
	return true
}

// suspect is a task that waits for a trial.
type suspect struct {
	step  *step
	index int
	rank  time.Duration
}

func (x suspect) task() *task { return &x.step.tasks[x.index] }

// placeSuspects starts suspects, each where it is the only one. Where it is started is
// stored before: an owner that is lost just then takes along what it saw, and the next one
// asks what has become of that worker.
func (c *Core) placeSuspects(pools map[string]*pool, now time.Time) {
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

// suspectsByService are those that may be tried now, by service, in the order in which they are.
func (c *Core) suspectsByService(now time.Time) map[string][]suspect {
	byService := map[string][]suspect{}
	c.stepsWithCrashes = slices.DeleteFunc(c.stepsWithCrashes, func(s *step) bool { return s.job.finalState.IsTerminal() })
	for _, s := range c.stepsWithCrashes {
		if s.idleCount == 0 || s.spec.Gang || !s.isReady(now) {
			continue
		}
		for i := range s.tasks {
			if t := &s.tasks[i]; c.isTaskStartable(t, now) && t.isSuspect() {
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

// placeSuspect starts a suspect where that was planned, or plans it.
func (c *Core) placeSuspect(p *pool, x suspect, now time.Time) {
	s, t := x.step, x.task()
	if !c.ensureAdvice(p, s, now) {
		return
	}
	if t.plannedIsolatedRun != nil && p.canStartPlanned(s, t.plannedIsolatedRun, now) {
		c.startIsolatedRun(s, x.index, t.checkpoint, now)
		return
	}
	c.dropPendingCrashes(s, t)
	w := p.bestReservedWorker(s, now)
	if w == nil {
		p.reserveForSuspects(s, now)
		w = p.bestReservedWorker(s, now)
	}
	if w != nil {
		c.planIsolatedRun(w, s, t, s.nextRunNumber(c.settings.Epoch), now)
	}
}

// isTaskStartable tells whether an idle task may be started, and what is known of its
// crashes is stored.
func (c *Core) isTaskStartable(t *task, now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && t.crashesStoredInWrite <= c.storedWriteSeq
}

// canStartPlanned tells whether a worker can still be had for a trial that was planned there.
func (p *pool) canStartPlanned(s *step, planned *plannedIsolatedRun, now time.Time) bool {
	w := planned.worker
	return planned.incarnation == w.incarnation && slices.Contains(p.reservedForSuspects, w) && s.fitsOn(w, now) && w.hasNoCrashCandidate(now)
}

// planIsolatedRun has it stored that a suspect is going to be started on a worker.
func (c *Core) planIsolatedRun(w *worker, s *step, t *task, runNumber int64, now time.Time) {
	t.plannedIsolatedRun = &plannedIsolatedRun{worker: w, incarnation: w.incarnation, runNumber: runNumber}
	w.isolatedRunPlannedUntil = now.Add(reservationTTL)
	w.reservedForSuspectsUntil = w.isolatedRunPlannedUntil
	t.addCrash(workload.Crash{Worker: w.info.ID, Incarnation: w.incarnation, Address: w.info.Address, Run: runNumber, DetectedAtMS: now.UnixMilli(), IsolatedRunPending: true})
	c.queueCrashWrite(s, t)
}

// startIsolatedRun starts a suspect as planned.
func (c *Core) startIsolatedRun(s *step, index int, checkpoint string, now time.Time) {
	c.Counts.IsolatedRuns++
	t := &s.tasks[index]
	planned := t.plannedIsolatedRun
	t.plannedIsolatedRun = nil
	planned.worker.isolatedRunPlannedUntil = time.Time{}
	c.startRun(planned.worker, s, index, planned.runNumber, checkpoint, now).isolated = true
}

// dropPendingCrashes forgets a trial that was planned or has ended without a crash.
func (c *Core) dropPendingCrashes(s *step, t *task) {
	t.plannedIsolatedRun = nil
	countBefore := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(crash workload.Crash) bool { return crash.IsolatedRunPending })
	if len(t.crashes) < countBefore {
		c.queueCrashWrite(s, t)
	}
}

// restoreOpenCrash takes a crash that an earlier owner noted and did not live to see cleared up.
func (c *Core) restoreOpenCrash(s *step, index int, crash workload.Crash) {
	w := c.ensureWorker(crash.Worker, c.tookOverAt)
	if w.info.Address == "" {
		// It may be on no list any more, and its successor tells at its address.
		w.info = workload.Worker{ID: crash.Worker, Address: crash.Address, Service: s.job.submission.Service}
	}
	if w.findRun(s.taskKey(index), crash.Run) != nil {
		return
	}
	r := &run{
		step: s, index: index, number: crash.Run, worker: w, incarnation: crash.Incarnation, state: runUnanswered,
		stateChangedAt: c.tookOverAt, orderedAt: c.tookOverAt, orderedSpeedPercent: fullSpeedPercent,
		isolated: crash.IsolatedRunPending, restored: true,
		mayBeStoppingUntil: c.tookOverAt.Add(c.settings.MaxStopDuration + stopSlack),
	}
	if crash.IsolatedRunPending {
		r.isolationPlannedAt = time.UnixMilli(crash.DetectedAtMS)
	}
	if crash.Unconfirmed {
		w.blamedRuns = append(w.blamedRuns, r)
		w.crashUnconfirmedUntil = c.tookOverAt.Add(successorTimeout)
		return
	}
	w.extendLease(earlierLeaseExpiry(c.settings, c.tookOverAt))
	w.addRun(r) // it counts as under way until the worker has answered, or is gone
}

// endIsolatedRun takes that a trial has ended without a crash of its worker.
func (c *Core) endIsolatedRun(r *run) {
	if r.isolated {
		r.isolated = false
		c.dropPendingCrashes(r.step, r.task())
	}
}

// bestReservedWorker returns a kept worker that is ready for a suspect of the step, the
// emptiest; nil if there is none.
func (p *pool) bestReservedWorker(s *step, now time.Time) *worker {
	var best *worker
	for _, w := range p.readyReservedWorkers(now) {
		if s.fitsOn(w, now) && (best == nil || len(w.runs) < len(best.runs)) {
			best = w
		}
	}
	return best
}

// contains tells whether a worker takes starts, of suspects or others.
func (p *pool) contains(w *worker) bool {
	return slices.Contains(p.reservedForSuspects, w) || slices.Contains(p.workers, w)
}

// reserveForSuspects keeps workers for a step's suspects: those that are kept already and could
// run one, and one more if there may be. Where none of those could, as for want of its
// label, there is one more in any case; the suspect would else wait for ever.
func (p *pool) reserveForSuspects(s *step, now time.Time) {
	capable := 0
	for _, w := range p.reservedForSuspects {
		if s.canEventuallyRunOn(w) {
			w.reservedForSuspectsUntil = now.Add(reservationTTL)
			capable++
		}
	}
	if capable > 0 && len(p.reservedForSuspects) >= p.maxReserved(now) {
		return
	}
	i := p.leastLoadedIndex(s)
	if i < 0 {
		return
	}
	p.workers[i].reservedForSuspectsUntil = now.Add(reservationTTL)
	p.reservedForSuspects = append(p.reservedForSuspects, p.workers[i])
	p.removeAt(i)
}

// suspectRank ranks suspects, those that are the least likely to crash a worker first:
// most of them are cleared in half a second, and one that crashes takes its worker with it
// for seconds. What crashes its workers does so at its start, so a task that had run for
// longer at its crash is less likely to blame; one with a crash that speaks against it
// alone comes last. Who waits moves up, so that none waits for ever.
func (t *task) suspectRank(now time.Time) time.Duration {
	rank, latestCrashMS := time.Duration(0), int64(0)
	for _, crash := range t.crashes {
		latestCrashMS = max(latestCrashMS, crash.DetectedAtMS)
		switch {
		case crash.Cleared || crash.IsolatedRunPending:
		case crash.SoleCause:
			rank -= onlyCandidateRankPenalty
		default:
			rank = max(rank, time.Duration(crash.RunAgeMS)*time.Millisecond)
		}
	}
	return rank + now.Sub(time.UnixMilli(latestCrashMS))/waitRankDivisor
}

// logWaitingSuspects logs now and then how many suspects wait: nothing else tells why their jobs
// don't get on.
func (c *Core) logWaitingSuspects(waiting, reserved int, now time.Time) {
	if waiting == 0 || now.Before(c.suspectsLoggedAt.Add(suspectsLogInterval)) {
		return
	}
	c.suspectsLoggedAt = now
	c.recordDecision(Decision{Verb: "suspects-wait", Reason: fmt.Sprintf("%d tasks that may crash workers wait for a trial, %d workers are kept for such", waiting, reserved), AlwaysLogged: true})
}

// maxReserved is how many workers are kept for suspects at most.
func (p *pool) maxReserved(now time.Time) int {
	workerCount := len(p.workers) + len(p.reservedForSuspects)
	if now.Before(p.busyUntil) {
		return max(1, workerCount/busyReserveDivisor)
	}
	return max(1, workerCount/idleReserveDivisor)
}

// readyReservedWorkers are the kept workers that are ready.
func (p *pool) readyReservedWorkers(now time.Time) []*worker {
	var ready []*worker
	for _, w := range p.reservedForSuspects {
		if w.hasNoCrashCandidate(now) && !now.Before(w.isolatedRunPlannedUntil) {
			ready = append(ready, w)
		}
	}
	return ready
}

// placeGangWithSuspects starts a gang with suspects: these on kept workers, the others
// anywhere. A crash ends the whole gang, and its worker tells who was there.
func (c *Core) placeGangWithSuspects(p *pool, s *step, now time.Time) {
	var suspects, others []int
	for i := range s.tasks {
		t := &s.tasks[i]
		if !c.isTaskStartable(t, now) {
			return
		}
		if t.isSuspect() {
			suspects = append(suspects, i)
		} else {
			others = append(others, i)
		}
	}
	if !p.canStartPlannedGang(s, suspects, now) {
		c.planGangSuspects(p, s, suspects, now)
		return
	}
	otherWorkers := s.assignWorkers(p.workers, len(others), now)
	if otherWorkers == nil {
		return
	}
	runNumber := s.tasks[suspects[0]].plannedIsolatedRun.runNumber
	for _, i := range suspects {
		c.startIsolatedRun(s, i, s.checkpoint, now)
	}
	for i, w := range otherWorkers {
		c.startRun(w, s, others[i], runNumber, s.checkpoint, now)
	}
	s.waitingForIsolationSince = time.Time{}
	c.formingGangs = append(c.formingGangs, formingGang{step: s, runNumber: runNumber, orderedAt: now})
	p.updateMaxFree()
}

// canStartPlannedGang tells whether the suspects of a gang can be started as planned.
func (p *pool) canStartPlannedGang(s *step, suspects []int, now time.Time) bool {
	var plannedWorkers []*worker
	for _, i := range suspects {
		plan := s.tasks[i].plannedIsolatedRun
		if plan == nil || plan.incarnation != plan.worker.incarnation || !p.contains(plan.worker) || !plan.worker.hasNoCrashCandidate(now) {
			return false
		}
		if !slices.Contains(plannedWorkers, plan.worker) {
			plannedWorkers = append(plannedWorkers, plan.worker)
		}
	}
	return s.assignWorkers(plannedWorkers, len(suspects), now) != nil
}

// planGangSuspects plans where the suspects of a gang are started. Several of them may
// share a worker; where there are never enough, they go to any.
func (c *Core) planGangSuspects(p *pool, s *step, suspects []int, now time.Time) {
	if s.waitingForIsolationSince.IsZero() {
		s.waitingForIsolationSince = now
	}
	assigned := s.assignWorkers(p.readyReservedWorkers(now), len(suspects), now)
	if assigned == nil {
		p.reserveForSuspects(s, now)
		assigned = s.assignWorkers(p.readyReservedWorkers(now), len(suspects), now)
	}
	if assigned == nil && !now.Before(s.waitingForIsolationSince.Add(gangReservationTimeout)) {
		assigned = s.assignWorkers(p.workers, len(suspects), now)
	}
	if assigned == nil {
		return
	}
	runNumber := s.nextRunNumber(c.settings.Epoch)
	for k, i := range suspects {
		c.dropPendingCrashes(s, &s.tasks[i])
		c.planIsolatedRun(assigned[k], s, &s.tasks[i], runNumber, now)
	}
}
