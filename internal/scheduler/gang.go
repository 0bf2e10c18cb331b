package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// placeGang starts all tasks of a gang in one plan, or none. Members that wait for others reserve
// capacity and do no work, and the platform ends a gang that is not complete in time as `alone`,
// which counts as aborted work.
func (c *Core) placeGang(p *placementPool, s *step, now time.Time) {
	for i := range s.tasks {
		t := s.peek(i)
		if len(t.runs) > 0 || now.Before(t.notBefore) {
			return
		}
	}
	assigned := s.assignInOneRack(p, now)
	if assigned == nil {
		assigned = s.assignWorkers(p.workers, len(s.tasks), nil, now)
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

// defaultGangTimeout applies if the platform does not state its own. It is the value of the known
// deployments.
const defaultGangTimeout = 3 * time.Second

// formingGang is a gang whose members have been ordered and whose starts are not all confirmed.
type formingGang struct {
	step      *step
	runNumber int64 // of all members
	orderedAt time.Time
}

// stopIncompleteGangs stops gangs that won't be complete in time. If a member's start is refused,
// for example by a worker that has just left, or gets no answer, the other members would reserve
// capacity and do no work until the platform's timeout ends them. After an early stop the gang starts
// again sooner.
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
			for _, r := range g.step.peek(i).runs {
				if r.number == g.runNumber {
					c.stopRun(r, "its gang is not complete")
				}
			}
		}
		return true
	})
}

// gangStatus is how far the members of a gang have started.
type gangStatus int

const (
	gangComplete gangStatus = iota
	gangPartial             // the starts of some members are not confirmed yet
	gangBroken              // a member is missing and won't start
)

// gangStatus returns how far the members of one run of a gang have started. A gang with a task that
// is done counts as complete.
func (s *step) gangStatus(runNumber int64) gangStatus {
	status := gangComplete
	for i := range s.tasks {
		t := s.peek(i)
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

// assignInOneRack returns workers in one rack for all tasks of a gang, trying the rack of its data
// first. It returns nil if the gang fits in no rack or asks for none. A gang without SameRack tries
// one rack only, as it may be placed anywhere.
func (s *step) assignInOneRack(p *placementPool, now time.Time) []*worker {
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
		if assigned := s.assignWorkers(members, len(s.tasks), nil, now); assigned != nil {
			return assigned
		}
		if !s.spec.SameRack {
			return nil
		}
	}
	return nil
}

// assignWorkers returns a worker for each of a number of tasks, nil if not all fit. Other tasks of the step
// will start on the workers in taken, which has an entry for each task.
func (s *step) assignWorkers(workers []*worker, tasks int, taken []*worker, now time.Time) []*worker {
	free := map[*worker]workload.Resources{}
	assignedCount := map[*worker]int{}
	for _, w := range workers {
		free[w] = w.free()
	}
	for _, w := range taken {
		free[w] = free[w].Sub(s.spec.Reservation())
		assignedCount[w]++
	}
	assigned := make([]*worker, 0, tasks)
	for range tasks {
		// The members start together. So the bound of orders in flight only decides which workers are preferred.
		var best *worker
		bestIsFull := false
		for _, w := range workers {
			if !s.fitsOn(w, now) || w.isHeldAgainst(s, now) || !s.spec.Reservation().FitsIn(free[w]) {
				continue
			}
			if s.spec.MaxPerWorker > 0 && s.liveRunsByWorker[w.info.ID]+assignedCount[w] >= s.spec.MaxPerWorker {
				continue
			}
			isFull := w.ordersInFlight+assignedCount[w] >= maxOrdersPerWorker
			if best == nil || bestIsFull && !isFull || bestIsFull == isFull && free[w].CPU < free[best].CPU {
				best, bestIsFull = w, isFull
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
