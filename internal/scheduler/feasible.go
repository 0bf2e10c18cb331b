package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/feasibility"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// All that keeps a worker from other tasks asks here whether the task can run there at all: its whole gang, on workers
// that may run it, beside the long-running tasks, within a known time.
const (
	// maxRoomWait is the longest remaining time of a run whose room counts as available.
	maxRoomWait = 30 * time.Second
	// A run older than overdueFactor times its estimate and overdueSlack does not count as one that ends on its own:
	// estimates are rough, but its end is not known any more.
	overdueFactor = 4
	overdueSlack  = 5 * time.Second
)

// startRequest returns the tasks of the step that start together.
func (s *step) startRequest() feasibility.Request {
	return feasibility.Request{Tasks: s.minTasksPerStart(), Each: s.spec.Reservation(), MaxPerWorker: s.spec.MaxPerWorker}
}

// mayRunOn reports whether a worker may run the step's tasks, however full it is: it is suitable and, if the step needs
// advice, was approved.
func (s *step) mayRunOn(w *worker) bool {
	return s.isSuitable(w) && (!s.needsAdvice() || s.advice.isApproved(w))
}

// isSuitable reports whether a worker has the label that the step requires and tells how the step's runs end. A step that
// can't be placed on other workers does without the latter, or it would wait for ever.
func (s *step) isSuitable(w *worker) bool {
	return w.info.HasLabel(s.spec.RequiredLabel) && (w.acks.mayDropExitsUpTo == 0 || s.mayStartAgain() || s.acceptsDroppedExits)
}

// remainingTime returns how long a run is estimated to take yet, and false if it does not end on its own within
// maxRoomWait.
func (r *run) remainingTime(now time.Time) (time.Duration, bool) {
	if r.state == runStopping {
		return 0, true
	}
	if r.step.spec.LongRunning {
		return 0, false
	}
	estimated, age := estimate(r.step.spec), now.Sub(r.orderedAt)
	if age > overdueFactor*estimated+overdueSlack {
		return 0, false
	}
	remaining := estimated - age
	if remaining <= 0 {
		remaining = age / 2 // the estimate was too low
	}
	return remaining, remaining <= maxRoomWait
}

// roomOn returns what a worker offers to the step once the runs there that end on their own have ended, without
// what it is held for.
func (s *step) roomOn(w *worker, now time.Time) feasibility.Room {
	return feasibility.Room{Free: w.roomWithoutEndingRuns(now).Sub(w.hold.claimed), TasksOfStep: s.liveRunsByWorker[w.info.ID]}
}

// roomWithoutEndingRuns returns a worker's capacity without what its runs keep that don't end on their own. It is
// computed once in each plan, and again after a start there.
func (w *worker) roomWithoutEndingRuns(now time.Time) workload.Resources {
	if w.hold.roomKnown {
		return w.hold.room
	}
	room := w.info.Capacity
	for _, r := range w.runs {
		if _, ends := r.remainingTime(now); !ends {
			room = room.Sub(r.step.spec.Reservation())
		}
	}
	w.hold.room, w.hold.roomKnown = room, true
	return room
}

// placesOn returns how many of the tasks that start together a worker can run within a known time.
func (s *step) placesOn(w *worker, now time.Time) int {
	if !s.mayRunOn(w) {
		return 0
	}
	return s.startRequest().Places(s.roomOn(w, now))
}

// roomWait returns how long it is estimated to take until a worker has free capacity for an amount. The runs that end
// on their own must free as much.
func (w *worker) roomWait(needed workload.Resources, now time.Time) time.Duration {
	free := w.free()
	if needed.FitsIn(free) {
		return 0
	}
	type end struct {
		after time.Duration
		freed workload.Resources
	}
	var ends []end
	for _, r := range w.runs {
		if remaining, ok := r.remainingTime(now); ok {
			ends = append(ends, end{remaining, r.step.spec.Reservation()})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.after, b.after) })
	for _, e := range ends {
		if free = free.Add(e.freed); needed.FitsIn(free) {
			return e.after
		}
	}
	return maxRoomWait
}

// coveringWorkers returns the workers, from the first one on, that have places for all tasks of the step that start
// together, nil if all of them have too few.
func (s *step) coveringWorkers(workers []*worker, now time.Time) []*worker {
	rooms := make([]feasibility.Room, len(workers))
	for i, w := range workers {
		rooms[i] = s.roomOn(w, now)
	}
	count, ok := s.startRequest().Cover(rooms)
	if !ok {
		return nil
	}
	return workers[:count]
}
