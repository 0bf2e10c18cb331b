package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// rankInterval is the shortest time between two rankings of all jobs. Ranks change
	// by time in steps of an objective, 600 ms and more.
	rankInterval = 100 * time.Millisecond
	// rankIntervalEach is added for each job in the ranking. A job takes some 0.5 us to
	// rank, so that ranking takes a fortieth of a core at most.
	rankIntervalEach = 20 * time.Microsecond
	// maxMisses is how many steps of a service may in turn find no room in a plan before
	// it leaves the rest alone; the first plan after each ranking tries all. As many as
	// starts may be in flight: a plan starts no more than that. Chosen, not measured
	// against other bounds.
	maxMisses = 64
)

// ranking is the jobs that have tasks to place, the most worth having first.
//
// It is kept between plans. Ranking all jobs for each plan makes a start cost as much
// as there are jobs waiting: an owner that once falls behind then plans ever more slowly,
// beside workers with room, until no more jobs come. With 2,000 jobs waiting a start
// looked at 157,790 jobs, workers and runs; now what waits beyond maxMisses costs
// nothing between two rankings.
type ranking struct {
	list     []candidate
	services map[string]*waiting
	madeAt   time.Time
	stale    bool // another configuration ranks otherwise
	whole    bool // the next plan tries all
	// fresh are steps whose occurrence isn't in the list, or whose place is out of date.
	fresh []*step
}

// waiting is what the plan at work knows of a service whose jobs wait.
type waiting struct {
	pool *pool // nil if none of its workers takes starts
	// least is the least that any task asks for, of each resource by itself.
	least  workload.Resources
	misses int // steps in turn that found no room
	// starved is set while the list has a job of the service that goes first as it has
	// waited very long.
	starved bool
}

// refreshRanking ranks all jobs anew, or adds those that are new. Credit falls at the
// objective and ends at three times it, and is earned by whole jobs; so among jobs
// that can still win, the one with the least work left comes first, within its size.
func (c *Core) refreshRanking(now time.Time) {
	r := &c.ranking
	pause := rankInterval + time.Duration(len(r.list))*rankIntervalEach
	if r.stale || !now.Before(r.madeAt.Add(pause)) {
		c.rankAll(now)
		return
	}
	c.insertFresh(now)
}

// insertFresh puts occurrences that aren't in the list in their place. Those whose place
// is out of date get a second one, and keep the first until all are ranked anew: a
// plan that comes to it finds their tasks started, or no room as before.
func (c *Core) insertFresh(now time.Time) {
	r := &c.ranking
	var added []candidate
	for _, s := range r.fresh {
		j := s.job
		if j.final.Ended() || now.Before(j.sub.Spec.Due(s.occurrence)) || idleTasks(j.occurrence(s.occurrence)) == 0 {
			continue
		}
		added = append(added, c.add(j, s.occurrence, now))
	}
	r.fresh = r.fresh[:0]
	oneStarved(added)
	slices.SortStableFunc(added, compareCandidates)
	for _, cand := range added {
		c.takeTurn(&cand)
		at, _ := slices.BinarySearchFunc(r.list, cand, compareCandidates)
		r.list = slices.Insert(r.list, at, cand)
	}
}

// rankAll makes the list anew. Turns are given in the order of work within each size, so
// it is sorted before and after.
func (c *Core) rankAll(now time.Time) {
	r := &c.ranking
	for _, cand := range r.list {
		cand.steps[0].ranked = false
	}
	for _, q := range c.shares {
		q.age(now.Sub(r.madeAt))
	}
	clear(r.list) // jobs that have ended are not to be kept
	*r = ranking{list: r.list[:0], services: map[string]*waiting{}, madeAt: now, whole: true, fresh: r.fresh[:0]}
	for _, j := range c.active {
		if j.final.Ended() {
			continue
		}
		for o := range j.sub.Spec.Occurrences() {
			if now.Before(j.sub.Spec.Due(o)) {
				break // later ones are due later
			}
			if idleTasks(j.occurrence(o)) > 0 {
				r.list = append(r.list, c.add(j, o, now))
			}
		}
	}
	oneStarved(r.list)
	slices.SortStableFunc(r.list, compareCandidates)
	for i := range r.list {
		c.takeTurn(&r.list[i])
	}
	slices.SortStableFunc(r.list, compareCandidates)
}

// takeTurn gives a job that can still win its turn among the sizes of its queue.
func (c *Core) takeTurn(cand *candidate) {
	if share := cand.steps[0].share; share != nil && cand.class == classOnTime {
		cand.turn = share.turn(cand.work)
	}
}

// add ranks an occurrence and notes what its service waits for.
func (c *Core) add(j *job, occurrence int, now time.Time) candidate {
	c.Counts.Ranked++
	cand := c.rank(j, occurrence, now)
	cand.steps[0].ranked = true
	w := c.ranking.services[j.sub.Service]
	if w == nil {
		w = &waiting{least: cand.steps[0].spec.Reserve()}
		c.ranking.services[j.sub.Service] = w
	}
	cand.waiting = w
	c.enter(cand)
	for _, s := range cand.steps {
		need := s.spec.Reserve()
		w.least.CPU = min(w.least.CPU, need.CPU)
		w.least.MemoryMB = min(w.least.MemoryMB, need.MemoryMB)
		w.least.GPU = min(w.least.GPU, need.GPU)
	}
	return cand
}

// enter counts an occurrence as arrived the first time that it is ranked.
func (c *Core) enter(cand candidate) {
	if cand.steps[0].share != nil || cand.class == classLasting {
		return
	}
	queue := cand.job.sub.Queue
	if c.shares[queue] == nil {
		c.shares[queue] = &queueShares{}
	}
	share := c.shares[queue].arrive(cand.work)
	for _, s := range cand.steps {
		s.share = share
	}
}

// started counts tasks that were started for a job that can still win.
func (cand candidate) started(s *step, tasks int) {
	if s.share != nil && cand.class == classOnTime {
		s.share.started += float64(tasks) * coreSeconds(s.spec, estimate(s.spec))
	}
}

// compareCandidates orders by what is most worth having.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.turn, b.turn),
		cmp.Compare(a.work, b.work),
	)
}

// rerank asks for a new place of a step's occurrence: it has a task to place again, or less
// work left.
func (c *Core) rerank(s *step) {
	c.ranking.fresh = append(c.ranking.fresh, s)
}

// begin gives the services their pools for a plan.
func (r *ranking) begin(pools map[string]*pool) {
	for service, w := range r.services {
		w.pool = pools[service]
		w.misses = 0
	}
}

// open tells whether a plan is to go on with a service: a task of it may find room.
func (r *ranking) open(w *waiting) bool {
	return w.pool != nil && (r.whole || w.misses < maxMisses && w.least.Fits(w.pool.roomiest))
}
