package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// pool is the workers of a service that can take starts.
type pool struct {
	workers []*worker
	// trials are kept for tasks that may crash them, and in none of the others.
	trials []*worker
	// busyUntil is until when the service counts as busy with tasks that are no suspects.
	busyUntil time.Time
	// required are the labels that the service's jobs ask for.
	required []string
	kept     bool // a worker is kept free for a task that fits nowhere
	searches int  // for runs that give way to steps that do not last, in this plan
	// lowest is the priority of the least urgent runs that may give way, -1 while it
	// isn't known.
	lowest int
	// roomiest is the most room that any of them may have, to pass over tasks
	// that fit nowhere without a look at each worker.
	roomiest workload.Resources
}

func (c *Core) pools(now time.Time) map[string]*pool {
	pools := map[string]*pool{}
	for _, w := range c.order {
		if !w.takes(now) {
			continue
		}
		p := pools[w.info.Service]
		if p == nil {
			p = &pool{required: c.required[w.info.Service], lowest: unknownPriority, busyUntil: c.busyUntil[w.info.Service]}
			pools[w.info.Service] = p
		}
		if w.keptForTrial(now) {
			p.trials = append(p.trials, w)
			continue
		}
		p.workers = append(p.workers, w)
	}
	for _, p := range pools {
		p.measure()
	}
	return pools
}

func (p *pool) measure() {
	p.roomiest = workload.Resources{}
	for _, w := range p.workers {
		p.roomiest = p.roomiest.Max(w.free())
	}
}

// keepRoom keeps room for a task that is owed and fits nowhere: one worker that
// could run it gets nothing of lower rank until it fits. Without it each bit of
// room that comes free goes to smaller tasks, and a large one waits for ever.
// The worker with the most room is taken: it gets nothing new, so it stays the
// one with the most room from plan to plan.
//
// Of jobs that have waited long only one at a time keeps a worker. Each of them
// would else close one, and a service with more such jobs than workers stands
// still beside its own free room.
func (p *pool) keepRoom(s *step) {
	p.kept = true
	if best := p.leastLoaded(s); best >= 0 {
		p.remove(best)
	}
}

// leastLoaded is the index of the least loaded worker that could run a task of the
// step but for what ends by itself, -1 if none could.
func (p *pool) leastLoaded(s *step) int {
	best := -1
	for i, w := range p.workers {
		if !s.couldRunOn(w) {
			continue
		}
		if best < 0 || w.load() < p.workers[best].load() {
			best = i
		}
	}
	return best
}

// couldRunOn tells whether a worker could run a task of the step but for what ends there
// by itself.
func (s *step) couldRunOn(w *worker) bool {
	if !s.spec.Reserve().Fits(w.info.Capacity.Sub(w.lastingUse())) || !w.info.HasLabel(s.spec.Label) {
		return false
	}
	return s.spec.MaxPerWorker == 0 || s.perWorker[w.info.ID] < s.spec.MaxPerWorker
}

// remove takes a worker out of what may get starts in this plan.
func (p *pool) remove(i int) {
	p.workers = slices.Delete(p.workers, i, i+1)
	p.measure()
}

// lastingUse is what lasting tasks have reserved; it doesn't come free by itself.
func (w *worker) lastingUse() workload.Resources {
	var sum workload.Resources
	for _, r := range w.runs {
		if r.step.spec.Lasting {
			sum = sum.Add(r.step.spec.Reserve())
		}
	}
	return sum
}

// takes tells whether the worker may get starts at all.
func (w *worker) takes(now time.Time) bool {
	return w.synced && !w.unreachable && !w.missing && !w.info.Draining && w.entryAgrees() &&
		w.orders < maxOrders && !now.Before(w.fullUntil) &&
		!now.Before(w.evacuateUntil) && w.trust.allows(now, w.passing())
}

func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.used) }

// best returns the worker for a task: where its data is, where no attempt of it
// failed, and where the least room is left over, so that large tasks still fit
// elsewhere. nil if it fits nowhere.
func (p *pool) best(s *step, t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.workers {
		if !s.fits(w, now) {
			continue
		}
		score := s.score(w, now)
		if s.spec.Label == "" && p.isRequired(w) {
			score -= requiredWeight
		}
		if w.info.ID == t.avoid {
			if now.Before(t.avoidUntil) && !s.spec.Lasting {
				continue
			}
			score -= avoidWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// isRequired tells whether a worker has a label that some jobs must have.
func (p *pool) isRequired(w *worker) bool {
	return slices.ContainsFunc(p.required, w.info.HasLabel)
}

// fits tells whether a worker may run a task of the step now.
func (s *step) fits(w *worker, now time.Time) bool {
	if w.orders >= maxOrders || !s.spec.Reserve().Fits(w.free()) || !w.info.HasLabel(s.spec.Label) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.perWorker[w.info.ID] >= s.spec.MaxPerWorker {
		return false
	}
	return s.ticketFor(w.info.ID, now) != nil || s.tickets == nil
}

// Weights of a worker's score. Being near the data outweighs any fit.
const (
	nearWeight  = 10.0
	quietWeight = 2.0 // a filling task beside no serving one
	avoidWeight = 5.0 // against a worker where the task failed last
	// requiredWeight keeps tasks that may run anywhere off workers with a label that
	// others must have: they fill those up while the rest idles. It outweighs
	// togetherWeight, as lasting tasks would hold them for good.
	requiredWeight = 3.0
	// togetherWeight draws lasting tasks to workers that have such.
	togetherWeight = 1.0
	// leavingWeight keeps lasting tasks off workers that are about to leave. It outweighs
	// togetherWeight and any fit, which are at most 2 together.
	leavingWeight = 2.5
)

func (s *step) score(w *worker, now time.Time) float64 {
	score := 0.0
	if s.spec.Rack != "" && w.info.HasLabel(s.spec.Rack) {
		score += nearWeight
	}
	used := w.load()
	if s.spec.Fills {
		// It lives on what others leave, and disturbs serving tasks beside it.
		score -= used
		if !w.serves() {
			score += quietWeight
		}
		return score
	}
	if s.spec.Lasting {
		// Few workers with many lasting tasks leave the others free to be moved
		// to another pool or maintained.
		if w.lasts() {
			score += togetherWeight
		}
		if now.Before(w.leavingUntil) {
			score -= leavingWeight
		}
	}
	return score + used
}

// load is the larger share of processors and memory in use.
func (w *worker) load() float64 {
	cpu := float64(w.used.CPU) / float64(max(1, w.info.Capacity.CPU))
	memory := float64(w.used.MemoryMB) / float64(max(1, w.info.Capacity.MemoryMB))
	return max(cpu, memory)
}

// serves tells whether a serving task runs on the worker.
func (w *worker) serves() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.step.spec.TargetMS > 0 })
}

// passing is how many runs will end by themselves.
func (w *worker) passing() int {
	n := 0
	for _, r := range w.runs {
		if !r.step.spec.Lasting {
			n++
		}
	}
	return n
}

// lasts tells whether a lasting task runs on the worker.
func (w *worker) lasts() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.step.spec.Lasting })
}
