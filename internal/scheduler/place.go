package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// place orders starts: feasible, rank, limit, over the room that is known now.
func (c *Core) place(now time.Time) {
	if !c.dirtyPlan && now.Before(c.plannedAt.Add(planInterval)) || c.blocked(now) {
		return
	}
	c.dirtyPlan = false
	c.plannedAt = now
	c.Counts.Plans++
	c.refreshRanking(now)
	r := &c.ranking
	r.begin(c.pools(now))
	for _, cand := range r.list {
		if cand.class > classStarved && !r.open(cand.waiting) || cand.waiting.pool == nil || cand.job.final.Ended() {
			continue
		}
		c.placeCandidate(cand, now)
		if c.starting >= maxInFlight {
			c.dirtyPlan = true // the rest waits for answers
			c.Counts.CutShort++
			return
		}
	}
	r.whole = false
}

// placeCandidate places what it can of an occurrence.
func (c *Core) placeCandidate(cand candidate, now time.Time) {
	pool := cand.waiting.pool
	for _, s := range cand.steps {
		if s.idle == 0 || !s.ready(now) {
			continue
		}
		c.Counts.Looks++
		idle := s.idle
		c.placeStep(pool, s, now)
		if s.idle > 0 {
			c.preempt(pool, cand, s, now)
		}
		if cand.class <= classStarved {
			if s.idle > 0 && (s.spec.Lasting || !pool.kept) {
				pool.keepRoom(s)
			}
			continue
		}
		cand.waiting.misses++
		if s.idle < idle {
			cand.waiting.misses = 0
			cand.started(s, idle-s.idle)
		}
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
	best := -1
	for i, w := range p.workers {
		if !s.spec.Reserve().Fits(w.info.Capacity.Sub(w.lastingUse())) || !w.info.HasLabel(s.spec.Label) {
			continue
		}
		if s.spec.MaxPerWorker > 0 && s.perWorker[w.info.ID] >= s.spec.MaxPerWorker {
			continue
		}
		if best < 0 || w.load() < p.workers[best].load() {
			best = i
		}
	}
	if best >= 0 {
		p.workers = slices.Delete(p.workers, best, best+1)
		p.measure()
	}
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

// planInterval is the longest pause between two plans while nothing changes:
// due times and pauses run out without a message.
const planInterval = 100 * time.Millisecond

// blocked tells whether an earlier owner's runs may still be unknown. Starting a
// task then could run it twice.
func (c *Core) blocked(now time.Time) bool {
	if !c.opened {
		return true // a later owner must not take an earlier one's word for the last
	}
	if !now.Before(c.blockedUntil) {
		return false
	}
	if c.doubtful {
		return true
	}
	for id := range c.suspects {
		if w := c.workers[id]; w == nil || !w.synced {
			return true
		}
	}
	return false
}

// pool is the workers of a service that can take starts.
type pool struct {
	workers []*worker
	// required are the labels that the service's jobs ask for.
	required []string
	kept     bool // a worker is kept free for a task that fits nowhere
	searches int  // for runs that give way, in this plan
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
			p = &pool{required: c.required[w.info.Service], lowest: unknownPriority}
			pools[w.info.Service] = p
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
		free := w.free()
		p.roomiest.CPU = max(p.roomiest.CPU, free.CPU)
		p.roomiest.MemoryMB = max(p.roomiest.MemoryMB, free.MemoryMB)
		p.roomiest.GPU = max(p.roomiest.GPU, free.GPU)
	}
}

// takes tells whether the worker may get starts at all.
func (w *worker) takes(now time.Time) bool {
	return w.synced && !w.silent && !w.missing && !w.info.Draining &&
		w.orders < maxOrders && !now.Before(w.fullUntil) &&
		!now.Before(w.evacuateUntil) && w.trust.allows(now, w.passing())
}

func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.used) }

// placeStep starts the idle tasks of a step as far as there is room.
func (c *Core) placeStep(p *pool, s *step, now time.Time) {
	if !s.spec.Reserve().Fits(p.roomiest) {
		return
	}
	if !c.advised(p, s, now) {
		return
	}
	if s.spec.Gang {
		c.placeGang(p, s, now)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			continue
		}
		if c.starting >= maxInFlight {
			return
		}
		c.Counts.Looks += len(p.workers)
		w := p.best(s, t, now)
		if w == nil {
			if t.avoid != "" {
				continue // another task of the step may have more choice
			}
			return
		}
		c.start(w, s, i, s.nextRun(c.cfg.Epoch), t.checkpoint, now)
		p.measure()
	}
}

// nextRun numbers a run above all earlier ones of the step: those of earlier
// owners have lower epochs.
func (s *step) nextRun(epoch int64) int64 {
	s.lastRun++
	return epoch*runStep + s.lastRun
}

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
		score := s.score(w)
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
)

func (s *step) score(w *worker) float64 {
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

// start orders a run.
func (c *Core) start(w *worker, s *step, index int, number int64, checkpoint string, now time.Time) {
	r := &run{step: s, index: index, number: number, worker: w, state: runStarting, since: now, orderedAt: now, paced: fullPace, checkpoint: checkpoint}
	begun := s.job.begun
	w.add(r)
	w.orders++
	c.starting++
	order := workload.Start{
		Task:       r.key(),
		Run:        number,
		Payload:    s.job.sub.Spec.Payload,
		LeaseUntil: c.grant(w, now),
		Token:      w.token,
		Checkpoint: checkpoint,
	}
	if t := s.ticketFor(w.info.ID, now); t != nil {
		order.Ticket = t.Text
	}
	c.out.Starts = append(c.out.Starts, StartOrder{Worker: w.info, Start: order})
	verb := "placed"
	if !begun {
		verb = "first-placed"
	}
	c.note(Decision{Verb: verb, Job: s.job.id, Task: r.key().String(), Queue: s.job.sub.Queue, Worker: w.info.ID, Run: number, Age: now.Sub(time.UnixMilli(s.job.sub.AcceptedMS))})
}
