package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Rules of preemption.
const (
	// preemptAfter is how long an urgent task waits for room before other runs are
	// stopped for it: most room comes free by itself sooner, and a stop takes as
	// long again.
	preemptAfter = 250 * time.Millisecond
	// lastingAfter is the same for a lasting task: it earns by the second, so that
	// a short wait costs little.
	lastingAfter = time.Second
	// preemptWorth is how much work a preemption may throw away, as a share of the
	// work that it makes room for.
	preemptWorth = 0.5
	// lastingLoss is how many core-seconds it may throw away for a lasting task:
	// about what one does in four seconds.
	lastingLoss = 20.0
	// maxSearches is how many steps a plan looks for runs for that give way, in each
	// service. A search looks at all runs of the service; without a bound a plan costs
	// as much as steps wait, and an owner with a hundred of them does little else.
	// Lasting steps are few and owed within seconds, and are searched for beside it.
	maxSearches = 4
	// searchPause is how long a step waits after a search that found nothing: as long
	// as its patience, so that the searches of a plan reach all steps in turn.
	searchPause = preemptAfter
	// unknownPriority is that of a pool that wasn't looked at yet.
	unknownPriority = -1
)

// preempt stops runs of less urgent queues where a step's tasks find no room.
// Without it a lasting task that has to start again, or an urgent job, waits on a
// full service until what is less urgent has ended.
func (c *Core) preempt(p *pool, cand candidate, s *step, now time.Time) {
	if s.waits.IsZero() {
		s.waits = now
	}
	patience := preemptAfter
	if s.spec.Lasting {
		patience = lastingAfter
	}
	if cand.class > classOnTime || s.spec.Gang || s.spec.Fills || now.Before(s.waits.Add(patience)) || now.Before(s.searchAfter) {
		return
	}
	if c.lowestPriority(p) <= cand.priority || !s.spec.Lasting && p.searches >= maxSearches {
		return
	}
	if !s.spec.Lasting {
		p.searches++
	}
	c.Counts.Looks += len(p.workers)
	if p.comingSeats(s) >= s.idle {
		return // room is being made
	}
	var best []*run
	bestLoss := preemptWorth * coreSeconds(s.spec, estimate(s.spec))
	if s.spec.Lasting {
		bestLoss = lastingLoss
	}
	for _, w := range p.workers {
		victims, loss := c.victims(w, s, cand.priority, now)
		if victims != nil && loss < bestLoss {
			best, bestLoss = victims, loss
		}
	}
	if best == nil {
		s.searchAfter = now.Add(searchPause)
	}
	for _, r := range best {
		c.stop(r, "gives way to "+s.key(0).StepName()+", which is more urgent")
	}
}

// lowestPriority is the priority of the least urgent runs of a pool that may give way,
// the highest number.
func (c *Core) lowestPriority(p *pool) int {
	if p.lowest != unknownPriority {
		return p.lowest
	}
	p.lowest = 0
	for _, w := range p.workers {
		c.Counts.Looks += len(w.runs)
		for _, r := range w.runs {
			if c.givesWay(r, p.lowest) {
				p.lowest = r.step.job.queue.Priority
			}
		}
	}
	return p.lowest
}

// victims are the runs to stop on a worker so that a task of the step fits, and
// the core-seconds of work that this throws away; nil if it can't be made to fit.
func (c *Core) victims(w *worker, s *step, priority int, now time.Time) ([]*run, float64) {
	if s.seatsLeft(w) == 0 {
		return nil, 0
	}
	c.Counts.Looks += len(w.runs)
	var list []*run
	for _, r := range w.runs {
		if c.givesWay(r, priority) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *run) int { return cmp.Compare(a.unsaved(now), b.unsaved(now)) })
	free, loss := w.free(), 0.0
	for i, r := range list {
		free = free.Add(r.step.spec.Reserve())
		loss += r.unsaved(now)
		if s.spec.Reserve().Fits(free) {
			return list[:i+1], loss
		}
	}
	return nil, 0
}

// givesWay tells whether a run may be stopped for a task of a priority. Lasting
// tasks have a budget of their own, members of a gang would end the others.
func (c *Core) givesWay(r *run, priority int) bool {
	spec := r.step.spec
	if r.state != runRunning || spec.Lasting || spec.Gang || spec.Speculative {
		return false
	}
	q := r.step.job.queue
	return q != nil && q.Priority > priority
}

// unsaved is the work in core-seconds that is lost if the run is stopped now. A
// stop leaves a checkpoint where the task makes them.
func (r *run) unsaved(now time.Time) float64 {
	if r.step.spec.Checkpoints {
		return 0
	}
	return coreSeconds(r.step.spec, now.Sub(r.orderedAt))
}

func coreSeconds(s *workload.Step, d time.Duration) float64 {
	return d.Seconds() * float64(s.Need.CPU) / 1000
}

// comingSeats is how many tasks of the step fit once the runs that are being
// stopped have ended.
func (p *pool) comingSeats(s *step) int {
	seats := 0
	for _, w := range p.workers {
		free := w.free()
		for _, r := range w.runs {
			if r.state == runStopping {
				free = free.Add(r.step.spec.Reserve())
			}
		}
		for n := 0; n < s.seatsLeft(w) && s.spec.Reserve().Fits(free); n++ {
			free = free.Sub(s.spec.Reserve())
			seats++
		}
	}
	return seats
}

// seatsLeft is how many of the step's idle tasks a worker may get, however much
// room it has.
func (s *step) seatsLeft(w *worker) int {
	if !w.info.HasLabel(s.spec.Label) {
		return 0
	}
	if s.spec.MaxPerWorker == 0 {
		return s.idle
	}
	return max(0, min(s.idle, s.spec.MaxPerWorker-s.perWorker[w.info.ID]))
}
