package scheduler

import (
	"slices"
	"time"
)

// placeGangWithSuspects starts a gang with suspects: the suspects on reserved workers, the other
// members anywhere. A crash ends the whole gang, and the crashed worker shows which members ran
// there.
func (c *Core) placeGangWithSuspects(p *placementPool, s *step, now time.Time) {
	var suspects, others []int
	for i := range s.tasks {
		t := s.peek(i)
		if !c.isTaskStartable(s, t, now) {
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
	planned := make([]*worker, len(suspects))
	for k, i := range suspects {
		planned[k] = s.peek(i).plannedIsolatedRun.worker
	}
	otherWorkers := s.assignWorkers(p.workers, len(others), planned, now)
	if otherWorkers == nil {
		return
	}
	runNumber := s.peek(suspects[0]).plannedIsolatedRun.runNumber
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

// canStartPlannedGang reports whether the suspects of a gang can be started as planned.
func (p *placementPool) canStartPlannedGang(s *step, suspects []int, now time.Time) bool {
	var plannedWorkers []*worker
	for _, i := range suspects {
		plan := s.peek(i).plannedIsolatedRun
		if plan == nil || plan.incarnation != plan.worker.incarnation || !p.contains(plan.worker) || !plan.worker.hasNoCrashCandidate(now) {
			return false
		}
		if !slices.Contains(plannedWorkers, plan.worker) {
			plannedWorkers = append(plannedWorkers, plan.worker)
		}
	}
	return s.assignWorkers(plannedWorkers, len(suspects), nil, now) != nil
}

// planGangSuspects plans the workers for the suspects of a gang. Several suspects may share a
// worker. After gangReservationTimeout it uses any workers that are not reserved.
func (c *Core) planGangSuspects(p *placementPool, s *step, suspects []int, now time.Time) {
	if s.waitingForIsolationSince.IsZero() {
		s.waitingForIsolationSince = now
	}
	assigned := s.assignWorkers(p.readyReservedWorkers(now), len(suspects), nil, now)
	if assigned == nil {
		p.reserveForSuspects(s, now)
		assigned = s.assignWorkers(p.readyReservedWorkers(now), len(suspects), nil, now)
	}
	if assigned == nil && !now.Before(s.waitingForIsolationSince.Add(gangReservationTimeout)) {
		assigned = s.assignWorkers(p.workers, len(suspects), nil, now)
	}
	if assigned == nil {
		return
	}
	runNumber := s.nextRunNumber(c.settings.Epoch)
	for k, i := range suspects {
		c.dropIsolatedRunRecords(s, s.task(i))
		c.planIsolatedRun(assigned[k], s, s.task(i), runNumber, now)
	}
}
