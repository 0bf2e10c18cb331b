package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// placementPool contains the workers of a service that accept starts, for one plan.
type placementPool struct {
	workers []*worker
	// reservedForSuspects are the workers on which only suspects may start. They are not in workers.
	reservedForSuspects []*worker
	// busyUntil is until when the service counts as busy with tasks other than suspects.
	busyUntil time.Time
	// requiredLabels are the labels that jobs of the service have required so far.
	requiredLabels []string
	hasRacks       bool      // its workers are on racks that are watched
	holds          Holds     // of this plan, without those for suspects
	wideHold       *wideHold // of the service
	// unplaceable are the steps that this plan found not to be placeable on the service's workers.
	unplaceable        []*step
	preemptionSearches int // of this plan for steps that are not long-running
	// maxPreemptiblePriority is the highest priority number of any preemptible run, that of the
	// least urgent ones; unknownPriority until it is determined.
	maxPreemptiblePriority int
	// maxFree is the largest free amount of each resource on any of the workers. Tasks that exceed
	// it are skipped without a check of each worker.
	maxFree workload.Resources
}

// placementPoolsByService returns the placement pool of each service that has a worker that accepts
// starts.
func (c *Core) placementPoolsByService(now time.Time) map[string]*placementPool {
	pools := map[string]*placementPool{}
	for _, w := range c.sortedWorkers {
		w.hold = workerHold{}
		if !w.canAcceptStarts(now) || !c.isRackAdmitted(w, now) || c.awaitsLongLeaseWrite(w) {
			continue
		}
		p := pools[w.info.Service]
		if p == nil {
			p = &placementPool{requiredLabels: c.requiredLabels[w.info.Service], maxPreemptiblePriority: unknownPriority, busyUntil: c.serviceBusyUntil[w.info.Service], hasRacks: c.racks.active, wideHold: c.wideHoldOf(w.info.Service)}
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

func (p *placementPool) updateMaxFree() {
	p.maxFree = workload.Resources{}
	for _, w := range p.workers {
		p.maxFree = p.maxFree.Max(w.free())
	}
}

// leastLoadedIndex returns the index of the least loaded worker that can run a task of the step within a known time,
// -1 if there is none.
func (p *placementPool) leastLoadedIndex(s *step, now time.Time) int {
	best := -1
	for i, w := range p.workers {
		if s.placesOn(w, now) == 0 {
			continue
		}
		if best < 0 || w.utilization() < p.workers[best].utilization() {
			best = i
		}
	}
	return best
}

// removeAt excludes a worker from the starts of this plan.
func (p *placementPool) removeAt(i int) {
	p.workers = slices.Delete(p.workers, i, i+1)
	p.updateMaxFree()
}

// reservedByLongRunning returns the resources reserved by long-running tasks that are not being stopped. They
// don't free them on their own.
func (w *worker) reservedByLongRunning() workload.Resources {
	var sum workload.Resources
	for _, r := range w.runs {
		if r.step.spec.LongRunning && r.state != runStopping {
			sum = sum.Add(r.step.spec.Reservation())
		}
	}
	return sum
}

// canAcceptStarts reports whether the worker may get starts at all.
func (w *worker) canAcceptStarts(now time.Time) bool {
	return w.synced && !w.unreachable && !w.unregistered && !w.info.Leaving && w.entryMatchesReports() &&
		w.ordersInFlight < maxOrdersPerWorker && !now.Before(w.startBackoffUntil) &&
		!now.Before(w.drainUntil) && w.failures.allowsStart(now, w.finiteRunCount())
}

func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.reservedResources) }

// bestWorker returns the worker with the highest score for a task, nil if it fits nowhere. It prefers
// workers near the task's data and the most utilized ones, so that large tasks still fit elsewhere.
// The worker where the task failed last gets lastFailurePenalty, and is excluded until avoidUntil
// unless the task is long-running.
func (p *placementPool) bestWorker(s *step, t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.workers {
		if !s.fitsOn(w, now) || w.isHeldAgainst(s, now) {
			continue
		}
		score := s.score(w, now)
		if w.isHeld() {
			score -= heldPenalty
		}
		if p.hasRacks {
			score += s.rackScore(w, t)
		}
		if s.spec.RequiredLabel == "" && p.hasRequiredLabel(w) {
			score -= requiredLabelPenalty
		}
		if w.info.ID == t.avoidWorker {
			if now.Before(t.avoidUntil) && !s.spec.LongRunning {
				continue
			}
			score -= lastFailurePenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// hasRequiredLabel reports whether a worker has a label that some jobs require.
func (p *placementPool) hasRequiredLabel(w *worker) bool {
	return slices.ContainsFunc(p.requiredLabels, w.info.HasLabel)
}

// fitsOn reports whether a worker may run a task of the step now. A step without placement advice may
// run on any worker; one with advice needs a valid ticket.
func (s *step) fitsOn(w *worker, now time.Time) bool {
	if w.ordersInFlight >= maxOrdersPerWorker || !s.spec.Reservation().FitsIn(w.free()) || !s.isSuitable(w) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.liveRunsByWorker[w.info.ID] >= s.spec.MaxPerWorker {
		return false
	}
	return s.validTicket(w.info.ID, now) != nil || s.advice == nil
}

// Weights of a worker's score. localityWeight outweighs any difference in utilization.
const (
	localityWeight      = 10.0
	noServingTaskWeight = 2.0 // for a best-effort task on a worker without a serving task
	lastFailurePenalty  = 5.0 // for the worker where the task failed last
	// heldPenalty keeps long-running tasks off workers that are held for a larger one while others have room.
	heldPenalty = 4.0
	// requiredLabelPenalty keeps tasks that may run anywhere off workers with a label that others
	// require. Otherwise they fill these workers up while other workers are idle. It outweighs
	// colocationWeight, because long-running tasks would occupy the workers for good.
	requiredLabelPenalty = 3.0
	// colocationWeight draws long-running tasks to workers that already run some.
	colocationWeight = 1.0
	// maintenancePenalty keeps long-running tasks off workers that are due for maintenance. It
	// outweighs colocationWeight and utilization, which are at most 2 together.
	maintenancePenalty = 2.5
)

func (s *step) score(w *worker, now time.Time) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.info.HasLabel(s.spec.DataRack) {
		score += localityWeight
	}
	utilization := w.utilization()
	if s.spec.BestEffortCPU {
		// It uses processor time that other tasks leave over, and it slows down serving tasks on
		// its worker.
		score -= utilization
		if !w.hasServingTask() {
			score += noServingTaskWeight
		}
		return score
	}
	if s.spec.LongRunning {
		// Concentrating long-running tasks on few workers leaves the others free to be moved to
		// another pool or maintained.
		if w.hasLongRunningTask() {
			score += colocationWeight
		}
		if now.Before(w.maintenanceDueUntil) {
			score -= maintenancePenalty
		}
	}
	return score + utilization
}

// utilization returns the larger of the reserved fractions of processors and memory.
func (w *worker) utilization() float64 {
	cpu := float64(w.reservedResources.CPU) / float64(max(1, w.info.Capacity.CPU))
	memory := float64(w.reservedResources.MemoryMB) / float64(max(1, w.info.Capacity.MemoryMB))
	return max(cpu, memory)
}

// hasServingTask reports whether a task with a latency target runs on the worker.
func (w *worker) hasServingTask() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.step.spec.LatencyTargetMS > 0 })
}

// finiteRunCount returns how many of the worker's runs end on their own.
func (w *worker) finiteRunCount() int {
	n := 0
	for _, r := range w.runs {
		if !r.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// hasLongRunningTask reports whether a long-running task runs on the worker.
func (w *worker) hasLongRunningTask() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.step.spec.LongRunning })
}

// recordRequiredLabels records the labels that a job requires.
func (c *Core) recordRequiredLabels(submission *workload.Submission) {
	for i := range submission.Spec.Steps {
		label := submission.Spec.Steps[i].RequiredLabel
		if label != "" && !slices.Contains(c.requiredLabels[submission.Service], label) {
			c.requiredLabels[submission.Service] = append(c.requiredLabels[submission.Service], label)
		}
	}
}
