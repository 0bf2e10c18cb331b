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
	seats := s.seatInOneRack(p, now)
	if seats == nil {
		seats = s.seat(p.workers, now)
	}
	if seats == nil {
		return
	}
	number := s.nextRun(c.cfg.Epoch)
	for i, w := range seats {
		c.start(w, s, i, number, s.checkpoint, now)
	}
	p.measure()
}

// seatInOneRack finds workers in one rack, first in that of the data. A gang
// that doesn't ask for one rack may lie anywhere.
func (s *step) seatInOneRack(p *pool, now time.Time) []*worker {
	if !s.spec.SameRack && s.spec.Rack == "" {
		return nil
	}
	racks := []string{}
	for _, w := range p.workers {
		if rack := w.info.Rack(); !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	slices.SortStableFunc(racks, func(a, b string) int {
		if (a == s.spec.Rack) == (b == s.spec.Rack) {
			return 0
		}
		if a == s.spec.Rack {
			return -1
		}
		return 1
	})
	for _, rack := range racks {
		members := slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return w.info.Rack() != rack })
		if seats := s.seat(members, now); seats != nil {
			return seats
		}
		if !s.spec.SameRack {
			return nil
		}
	}
	return nil
}

// seat finds a worker for each task at once, nil if not all fit.
func (s *step) seat(workers []*worker, now time.Time) []*worker {
	free := map[*worker]workload.Resources{}
	taken := map[*worker]int{}
	for _, w := range workers {
		free[w] = w.free()
	}
	seats := make([]*worker, 0, len(s.tasks))
	for range s.tasks {
		var best *worker
		for _, w := range workers {
			if !s.fits(w, now) || !s.spec.Reserve().Fits(free[w]) || w.orders+taken[w] >= maxOrders {
				continue
			}
			if s.spec.MaxPerWorker > 0 && s.perWorker[w.info.ID]+taken[w] >= s.spec.MaxPerWorker {
				continue
			}
			if best == nil || free[w].CPU < free[best].CPU {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		free[best] = free[best].Sub(s.spec.Reserve())
		taken[best]++
		seats = append(seats, best)
	}
	return seats
}
