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
	// stopped for it. Most capacity is freed sooner without a stop, and a stop takes as long again.
	preemptionDelay = 250 * time.Millisecond
	// longRunningPreemptionDelay is the same for a long-running task, which earns credit by the
	// second, so that a short wait costs little.
	longRunningPreemptionDelay = time.Second
	// maxLossRatio is the largest loss of work by a preemption, as a share of the estimated work of
	// the task that it is made for.
	maxLossRatio = 0.5
	// maxLossForLongRunning is the largest loss for a long-running task in core-seconds: about what
	// one does in four seconds.
	maxLossForLongRunning = 20.0
	// maxPreemptionSearches bounds the steps for which one plan searches for preemptible runs, in
	// each service. A search examines all runs of the service. Without the bound a plan costs as
	// much as there are steps waiting, and an owner with a hundred of them does little else.
	// Long-running steps are few and must start within seconds, so they are not counted.
	maxPreemptionSearches = 4
	// preemptionSearchInterval is how long a step waits after a search that found nothing. It
	// equals preemptionDelay, so that the searches of successive plans reach all steps.
	preemptionSearchInterval = preemptionDelay
	// unknownPriority is the lowestPreemptiblePriority of a pool for which it is not determined
	// yet.
	unknownPriority = -1
)

// preempt stops runs of less urgent queues if a step's tasks find no free capacity. Otherwise a
// long-running task that has to restart, or an urgent job, waits on a full service until less
// urgent work has ended.
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

// maxPreemptiblePriority returns the priority of the least urgent preemptible runs of a pool,
// which is the highest number, 0 if there are none.
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

// isPreemptible reports whether a run may be stopped for a task of the given priority. Long-running
// tasks have a budget of their own, and stopping a member of a gang would end the others.
func (c *Core) isPreemptible(r *run, priority int) bool {
	spec := r.step.spec
	if r.state != runRunning || spec.LongRunning || spec.Gang || spec.Speculative {
		return false
	}
	q := r.step.job.queue
	return q != nil && q.Priority > priority
}

// unsavedWork returns the core-seconds of work that are lost if the run is stopped now. A stop
// leaves a checkpoint if the task makes them.
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
	if !w.info.HasLabel(s.spec.RequiredLabel) {
		return 0
	}
	if s.spec.MaxPerWorker == 0 {
		return s.idleCount
	}
	return max(0, min(s.idleCount, s.spec.MaxPerWorker-s.liveRunsByWorker[w.info.ID]))
}
