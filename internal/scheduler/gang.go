package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// placeGang starts all tasks of a gang at once, or none. Members that wait for
// others hold their room and get nothing done; a gang that can't be completed in
// time ends `alone`, which is broken off work.
func (c *Core) placeGang(p *pool, s *step, now time.Time) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if len(t.runs) > 0 || now.Before(t.notBefore) {
			return
		}
	}
	assigned := s.assignInOneRack(p, now)
	if assigned == nil {
		assigned = s.assignWorkers(p.workers, len(s.tasks), now)
	}
	if assigned == nil {
		return
	}
	runNumber := s.nextRunNumber(c.settings.Epoch)
	for i, w := range assigned {
		c.startRun(w, s, i, runNumber, s.checkpoint, now)
	}
	c.formingGangs = append(c.formingGangs, formingGang{step: s, runNumber: runNumber, orderedAt: now})
	p.updateMaxFree()
}

// defaultGangTimeout is taken where the platform does not tell its own; it is what
// the known deployments have.
const defaultGangTimeout = 3 * time.Second

// formingGang is a gang whose members have been ordered and are not all known to be
// there.
type formingGang struct {
	step      *step
	runNumber int64 // of all members
	orderedAt time.Time
}

// stopIncompleteGangs stops gangs that will not be complete in time. A member that is
// refused, as by a worker that has just left, or whose start gets no answer,
// leaves the others waiting: they hold their room, get nothing done and are ended
// when the platform's time for it is over. Stopped at once, they cost what a stop
// takes, and the gang starts anew.
func (c *Core) stopIncompleteGangs(now time.Time) {
	c.formingGangs = slices.DeleteFunc(c.formingGangs, func(g formingGang) bool {
		switch g.step.gangStatus(g.runNumber) {
		case gangComplete:
			return true
		case gangPartial:
			if now.Before(g.orderedAt.Add(c.settings.GangTimeout / 2)) {
				return false
			}
		}
		for i := range g.step.tasks {
			for _, r := range g.step.tasks[i].runs {
				if r.number == g.runNumber {
					c.stopRun(r, "its gang is not complete")
				}
			}
		}
		return true
	})
}

// gangStatus is how much of a gang is there.
type gangStatus int

const (
	gangComplete gangStatus = iota
	gangPartial             // some members are not known to be there yet
	gangBroken              // a member is not there and won't be
)

// gangStatus tells how much of a run of a gang is there. Of one that has ended as
// done nothing is waited for.
func (s *step) gangStatus(runNumber int64) gangStatus {
	status := gangComplete
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			return gangComplete
		}
		k := slices.IndexFunc(t.runs, func(r *run) bool { return r.number == runNumber })
		if k < 0 {
			return gangBroken
		}
		if !t.runs[k].startConfirmed {
			status = gangPartial
		}
	}
	return status
}

// assignInOneRack finds workers in one rack, first in that of the data. A gang
// that doesn't ask for one rack may lie anywhere.
func (s *step) assignInOneRack(p *pool, now time.Time) []*worker {
	if !s.spec.SameRack && s.spec.DataRack == "" {
		return nil
	}
	racks := []string{}
	for _, w := range p.workers {
		if rack := w.info.Rack(); !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	slices.SortStableFunc(racks, func(a, b string) int {
		if (a == s.spec.DataRack) == (b == s.spec.DataRack) {
			return 0
		}
		if a == s.spec.DataRack {
			return -1
		}
		return 1
	})
	for _, rack := range racks {
		members := slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return w.info.Rack() != rack })
		if assigned := s.assignWorkers(members, len(s.tasks), now); assigned != nil {
			return assigned
		}
		if !s.spec.SameRack {
			return nil
		}
	}
	return nil
}

// assignWorkers finds a worker for each of a number of tasks at once, nil if not all fit.
func (s *step) assignWorkers(workers []*worker, tasks int, now time.Time) []*worker {
	free := map[*worker]workload.Resources{}
	assignedCount := map[*worker]int{}
	for _, w := range workers {
		free[w] = w.free()
	}
	assigned := make([]*worker, 0, tasks)
	for range tasks {
		var best *worker
		for _, w := range workers {
			if !s.fitsOn(w, now) || !s.spec.Reservation().FitsIn(free[w]) || w.ordersInFlight+assignedCount[w] >= maxOrdersPerWorker {
				continue
			}
			if s.spec.MaxPerWorker > 0 && s.liveRunsByWorker[w.info.ID]+assignedCount[w] >= s.spec.MaxPerWorker {
				continue
			}
			if best == nil || free[w].CPU < free[best].CPU {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		free[best] = free[best].Sub(s.spec.Reservation())
		assignedCount[best]++
		assigned = append(assigned, best)
	}
	return assigned
}
