package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// pool is the workers of a service that can take starts.
type pool struct {
	workers []*worker
	// reservedForSuspects are kept for tasks that may crash them, and in none of the others.
	reservedForSuspects []*worker
	// busyUntil is until when the service counts as busy with tasks that are no suspects.
	busyUntil time.Time
	// requiredLabels are the labels that the service's jobs ask for.
	requiredLabels     []string
	hasTaskReservation bool // a worker is kept free for a task that fits nowhere
	preemptionSearches int  // for runs that give way to steps that do not last, in this plan
	// lowestPreemptiblePriority is the priority of the least urgent runs that may give way, -1 while it
	// isn't known.
	lowestPreemptiblePriority int
	// maxFree is the most room that any of them may have, to pass over tasks
	// that fit nowhere without a look at each worker.
	maxFree workload.Resources
}

func (c *Core) poolsByService(now time.Time) map[string]*pool {
	pools := map[string]*pool{}
	for _, w := range c.sortedWorkers {
		if !w.canAcceptStarts(now) {
			continue
		}
		p := pools[w.info.Service]
		if p == nil {
			p = &pool{requiredLabels: c.requiredLabels[w.info.Service], lowestPreemptiblePriority: unknownPriority, busyUntil: c.serviceBusyUntil[w.info.Service]}
			pools[w.info.Service] = p
		}
		if w.isReservedForSuspects(now) {
			p.reservedForSuspects = append(p.reservedForSuspects, w)
			continue
		}
		p.workers = append(p.workers, w)
	}
	for _, p := range pools {
		p.updateMaxFree()
	}
	return pools
}

func (p *pool) updateMaxFree() {
	p.maxFree = workload.Resources{}
	for _, w := range p.workers {
		p.maxFree = p.maxFree.Max(w.free())
	}
}

// reserveWorkerFor keeps room for a task that is owed and fits nowhere: one worker that
// could run it gets nothing of lower rank until it fits. Without it each bit of
// room that comes free goes to smaller tasks, and a large one waits for ever.
// The worker with the most room is taken: it gets nothing new, so it stays the
// one with the most room from plan to plan.
//
// Of jobs that have waited long only one at a time keeps a worker. Each of them
// would else close one, and a service with more such jobs than workers stands
// still beside its own free room.
func (p *pool) reserveWorkerFor(s *step) {
	p.hasTaskReservation = true
	if best := p.leastLoadedIndex(s); best >= 0 {
		p.removeAt(best)
	}
}

// leastLoadedIndex is the index of the least loaded worker that could run a task of the
// step but for what ends by itself, -1 if none could.
func (p *pool) leastLoadedIndex(s *step) int {
	best := -1
	for i, w := range p.workers {
		if !s.canEventuallyRunOn(w) {
			continue
		}
		if best < 0 || w.utilization() < p.workers[best].utilization() {
			best = i
		}
	}
	return best
}

// canEventuallyRunOn tells whether a worker could run a task of the step but for what ends there
// by itself.
func (s *step) canEventuallyRunOn(w *worker) bool {
	if !s.spec.Reservation().FitsIn(w.info.Capacity.Sub(w.reservedByLongRunning())) || !w.info.HasLabel(s.spec.RequiredLabel) {
		return false
	}
	return s.spec.MaxPerWorker == 0 || s.liveRunsByWorker[w.info.ID] < s.spec.MaxPerWorker
}

// removeAt takes a worker out of what may get starts in this plan.
func (p *pool) removeAt(i int) {
	p.workers = slices.Delete(p.workers, i, i+1)
	p.updateMaxFree()
}

// reservedByLongRunning is what lasting tasks have reserved; it doesn't come free by itself.
func (w *worker) reservedByLongRunning() workload.Resources {
	var sum workload.Resources
	for _, r := range w.runs {
		if r.step.spec.LongRunning {
			sum = sum.Add(r.step.spec.Reservation())
		}
	}
	return sum
}

// canAcceptStarts tells whether the worker may get starts at all.
func (w *worker) canAcceptStarts(now time.Time) bool {
	return w.synced && !w.unreachable && !w.unregistered && !w.info.Leaving && w.entryMatchesReports() &&
		w.ordersInFlight < maxOrdersPerWorker && !now.Before(w.startBackoffUntil) &&
		!now.Before(w.drainUntil) && w.failures.allowsStart(now, w.finiteRunCount())
}

func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.reserved) }

// bestWorker returns the worker for a task: where its data is, where no attempt of it
// failed, and where the least room is left over, so that large tasks still fit
// elsewhere. nil if it fits nowhere.
func (p *pool) bestWorker(s *step, t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.workers {
		if !s.fitsOn(w, now) {
			continue
		}
		score := s.score(w, now)
		if s.spec.RequiredLabel == "" && p.hasRequiredLabel(w) {
			score -= requiredLabelPenalty
		}
		if w.info.ID == t.avoidWorker {
			if now.Before(t.avoidUntil) && !s.spec.LongRunning {
				continue
			}
			score -= recentFailurePenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// hasRequiredLabel tells whether a worker has a label that some jobs must have.
func (p *pool) hasRequiredLabel(w *worker) bool {
	return slices.ContainsFunc(p.requiredLabels, w.info.HasLabel)
}

// fitsOn tells whether a worker may run a task of the step now.
func (s *step) fitsOn(w *worker, now time.Time) bool {
	if w.ordersInFlight >= maxOrdersPerWorker || !s.spec.Reservation().FitsIn(w.free()) || !w.info.HasLabel(s.spec.RequiredLabel) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.liveRunsByWorker[w.info.ID] >= s.spec.MaxPerWorker {
		return false
	}
	return s.validTicket(w.info.ID, now) != nil || s.tickets == nil
}

// Weights of a worker's score. Being near the data outweighs any fit.
const (
	localityWeight       = 10.0
	noServingTaskWeight  = 2.0 // a filling task beside no serving one
	recentFailurePenalty = 5.0 // against a worker where the task failed last
	// requiredLabelPenalty keeps tasks that may run anywhere off workers with a label that
	// others must have: they fill those up while the rest idles. It outweighs
	// togetherWeight, as lasting tasks would hold them for good.
	requiredLabelPenalty = 3.0
	// colocationWeight draws lasting tasks to workers that have such.
	colocationWeight = 1.0
	// maintenancePenalty keeps lasting tasks off workers that are about to leave. It outweighs
	// togetherWeight and any fit, which are at most 2 together.
	maintenancePenalty = 2.5
)

func (s *step) score(w *worker, now time.Time) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.info.HasLabel(s.spec.DataRack) {
		score += localityWeight
	}
	utilization := w.utilization()
	if s.spec.BestEffortCPU {
		// It lives on what others leave, and disturbs serving tasks beside it.
		score -= utilization
		if !w.hasServingTask() {
			score += noServingTaskWeight
		}
		return score
	}
	if s.spec.LongRunning {
		// Few workers with many lasting tasks leave the others free to be moved
		// to another pool or maintained.
		if w.hasLongRunningTask() {
			score += colocationWeight
		}
		if now.Before(w.maintenanceDueUntil) {
			score -= maintenancePenalty
		}
	}
	return score + utilization
}

// utilization is the larger share of processors and memory in use.
func (w *worker) utilization() float64 {
	cpu := float64(w.reserved.CPU) / float64(max(1, w.info.Capacity.CPU))
	memory := float64(w.reserved.MemoryMB) / float64(max(1, w.info.Capacity.MemoryMB))
	return max(cpu, memory)
}

// hasServingTask tells whether a serving task runs on the worker.
func (w *worker) hasServingTask() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.step.spec.LatencyTargetMS > 0 })
}

// finiteRunCount is how many runs will end by themselves.
func (w *worker) finiteRunCount() int {
	n := 0
	for _, r := range w.runs {
		if !r.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// hasLongRunningTask tells whether a lasting task runs on the worker.
func (w *worker) hasLongRunningTask() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.step.spec.LongRunning })
}
