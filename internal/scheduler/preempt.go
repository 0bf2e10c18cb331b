package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Limits of preemption.
const (
	// preemptionDelay is how long an urgent task waits for free capacity before other runs are
	// stopped for it. Capacity is mostly freed sooner without a stop, and stopping a run takes about
	// as long as this delay.
	preemptionDelay = 250 * time.Millisecond
	// longRunningPreemptionDelay is the same for a long-running task. It earns credit for each second
	// that it runs, so a short delay costs little.
	longRunningPreemptionDelay = time.Second
	// maxLossRatio is the largest loss of work by a preemption, as a fraction of the estimated work
	// of the preempting task.
	maxLossRatio = 0.5
	// maxLossForLongRunning is the largest loss for a long-running task in core-seconds: about 4 s of
	// a typical long-running task.
	maxLossForLongRunning = 20.0
	// maxPreemptionSearches bounds the steps for which one plan searches for preemptible runs, in
	// each service. A search examines all runs of the service. Without the bound the cost of a plan
	// grows with the number of waiting steps: an owner with a hundred of them spends most of its time
	// on searches. Long-running steps are few and must start within seconds, so they are not counted.
	maxPreemptionSearches = 4
	// preemptionSearchInterval is how long a step pauses after a search that found nothing, so that
	// later plans search for other steps.
	preemptionSearchInterval = preemptionDelay
	// unknownPriority is the maxPreemptiblePriority of a placement pool before it is determined.
	unknownPriority = -1
)

// preempt stops runs of less urgent queues if a step's tasks find no free capacity. Otherwise, in a
// full service, an urgent job or a long-running task that has to restart would wait until less urgent
// work has ended.
func (c *Core) preempt(p *placementPool, cand candidate, s *step, now time.Time) {
	if s.waitingForCapacitySince.IsZero() {
		s.waitingForCapacitySince = now
	}
	delay := preemptionDelay
	if s.spec.LongRunning {
		delay = longRunningPreemptionDelay
	}
	if cand.class > classOnTime || s.spec.Gang || s.spec.BestEffortCPU || now.Before(s.waitingForCapacitySince.Add(delay)) || now.Before(s.nextPreemptionSearchAt) {
		return
	}
	if c.maxPreemptiblePriority(p) <= cand.priority || !s.spec.LongRunning && p.preemptionSearches >= maxPreemptionSearches {
		return
	}
	if !s.spec.LongRunning {
		p.preemptionSearches++
	}
	c.requestAdviceFor(p, s, now)
	c.Counts.PlacementChecks += len(p.workers)
	if p.tasksFittingAfterStops(s) >= s.idleCount {
		return // the stops in progress free enough capacity
	}
	var bestVictims []*run
	bestLoss := maxLossRatio * coreSeconds(s.spec, estimate(s.spec))
	if s.spec.LongRunning {
		bestLoss = maxLossForLongRunning
	}
	for _, w := range p.workers {
		if w.isHeld() {
			continue
		}
		victims, loss := c.preemptionVictims(w, s, cand.priority, now)
		if victims != nil && loss < bestLoss {
			bestVictims, bestLoss = victims, loss
		}
	}
	if bestVictims == nil {
		s.nextPreemptionSearchAt = now.Add(preemptionSearchInterval)
	}
	for _, r := range bestVictims {
		c.stopRun(r, "preempted by "+s.taskKey(0).StepName()+", which is more urgent")
	}
}

// maxPreemptiblePriority returns the highest priority number of any preemptible run in the placement
// pool, 0 if there is none. A lower number is more urgent.
func (c *Core) maxPreemptiblePriority(p *placementPool) int {
	if p.maxPreemptiblePriority != unknownPriority {
		return p.maxPreemptiblePriority
	}
	p.maxPreemptiblePriority = 0
	for _, w := range p.workers {
		c.Counts.PlacementChecks += len(w.runs)
		for _, r := range w.runs {
			if c.isPreemptible(r, p.maxPreemptiblePriority) {
				p.maxPreemptiblePriority = r.step.job.queue.Priority
			}
		}
	}
	return p.maxPreemptiblePriority
}

// preemptionVictims returns the runs to stop on a worker so that a task of the step fits, and the
// core-seconds of work that are lost with them; nil if the task can't be made to fit.
func (c *Core) preemptionVictims(w *worker, s *step, priority int, now time.Time) ([]*run, float64) {
	if s.placementLimit(w) == 0 {
		return nil, 0
	}
	c.Counts.PlacementChecks += len(w.runs)
	var preemptible []*run
	for _, r := range w.runs {
		if c.isPreemptible(r, priority) {
			preemptible = append(preemptible, r)
		}
	}
	slices.SortStableFunc(preemptible, func(a, b *run) int { return cmp.Compare(a.unsavedWork(now), b.unsavedWork(now)) })
	free, loss := w.free(), 0.0
	for i, r := range preemptible {
		free = free.Add(r.step.spec.Reservation())
		loss += r.unsavedWork(now)
		if s.spec.Reservation().FitsIn(free) {
			return preemptible[:i+1], loss
		}
	}
	return nil, 0
}

// isPreemptible reports whether a run may be stopped for a task of the given priority: the run is in
// runRunning and its queue is less urgent. Long-running tasks are excluded, as their MaxUnavailable
// limits the stops; members of gangs, as stopping one would end the others; and steps that allow
// speculative copies.
func (c *Core) isPreemptible(r *run, priority int) bool {
	spec := r.step.spec
	if r.state != runRunning || spec.LongRunning || spec.Gang || spec.Speculative {
		return false
	}
	q := r.step.job.queue
	return q != nil && q.Priority > priority
}

// unsavedWork returns the core-seconds of work that are lost if the run is stopped now: none if the
// task makes checkpoints, because a stop leaves one.
func (r *run) unsavedWork(now time.Time) float64 {
	if r.step.spec.Checkpoints {
		return 0
	}
	return coreSeconds(r.step.spec, now.Sub(r.orderedAt))
}

func coreSeconds(s *workload.Step, d time.Duration) float64 {
	return d.Seconds() * float64(s.Resources.CPU) / 1000
}

// tasksFittingAfterStops returns how many tasks of the step fit once the runs that are being
// stopped have ended.
func (p *placementPool) tasksFittingAfterStops(s *step) int {
	fitting := 0
	for _, w := range p.workers {
		if w.isHeld() {
			continue
		}
		free := w.free()
		for _, r := range w.runs {
			if r.state == runStopping {
				free = free.Add(r.step.spec.Reservation())
			}
		}
		for n := 0; n < s.placementLimit(w) && s.spec.Reservation().FitsIn(free); n++ {
			free = free.Sub(s.spec.Reservation())
			fitting++
		}
	}
	return fitting
}

// placementLimit returns how many of the step's idle tasks a worker may get, regardless of its free
// capacity.
func (s *step) placementLimit(w *worker) int {
	if !s.mayRunOn(w) {
		return 0
	}
	if s.spec.MaxPerWorker == 0 {
		return s.idleCount
	}
	return max(0, min(s.idleCount, s.spec.MaxPerWorker-s.liveRunsByWorker[w.info.ID]))
}
