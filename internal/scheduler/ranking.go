package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// minRankInterval is the shortest time between two rankings of all jobs. Ranks change
	// by time in steps of an objective, 600 ms and more.
	minRankInterval = 100 * time.Millisecond
	// rankIntervalPerJob is added for each job in the ranking. A job takes some 0.5 us to
	// rank, so that ranking takes a fortieth of a core at most.
	rankIntervalPerJob = 20 * time.Microsecond
	// maxConsecutiveMisses is how many steps of a service may in turn find no room in a plan before
	// it leaves the rest alone; the first plan after each ranking tries all. As many as
	// starts may be in flight: a plan starts no more than that. Chosen, not measured
	// against other bounds.
	maxConsecutiveMisses = 64
)

// ranking is the jobs that have tasks to place, the most worth having first.
//
// It is kept between plans. Ranking all jobs for each plan makes a start cost as much
// as there are jobs waiting: an owner that once falls behind then plans ever more slowly,
// beside workers with room, until no more jobs come. With 2,000 jobs waiting a start
// looked at 157,790 jobs, workers and runs; now what waits beyond maxMisses costs
// nothing between two rankings.
type ranking struct {
	candidates []candidate
	services   map[string]*servicePlan
	rankedAt   time.Time
	stale      bool // another configuration ranks otherwise
	tryAll     bool // the next plan tries all
	// toInsert are steps whose occurrence isn't in the list, or whose place is out of date.
	toInsert []*step
}

// servicePlan is what the plan at work knows of a service whose jobs wait.
type servicePlan struct {
	pool *pool // nil if none of its workers takes starts
	// minDemand is the least that any task asks for, of each resource by itself.
	minDemand         workload.Resources
	consecutiveMisses int // steps in turn that found no room
	// hasStarved is set while the list has a job of the service that goes first as it has
	// waited very long.
	hasStarved bool
}

// refreshRanking ranks all jobs anew, or adds those that are new. Credit falls at the
// objective and ends at three times it, and is earned by whole jobs; so among jobs
// that can still win, the one with the least work left comes first, within its size.
func (c *Core) refreshRanking(now time.Time) {
	r := &c.ranking
	interval := minRankInterval + time.Duration(len(r.candidates))*rankIntervalPerJob
	if r.stale || !now.Before(r.rankedAt.Add(interval)) {
		c.rankAll(now)
		return
	}
	c.insertCandidates(now)
}

// insertCandidates puts occurrences that aren't in the list in their place. Those whose place
// is out of date get a second one, and keep the first until all are ranked anew: a
// plan that comes to it finds their tasks started, or no room as before.
func (c *Core) insertCandidates(now time.Time) {
	r := &c.ranking
	var added []candidate
	for _, s := range r.toInsert {
		j := s.job
		if j.finalState.IsTerminal() || now.Before(j.submission.Spec.DueAt(s.occurrence)) || idleTaskCount(j.occurrenceSteps(s.occurrence)) == 0 {
			continue
		}
		added = append(added, c.newCandidate(j, s.occurrence, now))
	}
	r.toInsert = r.toInsert[:0]
	limitStarvedPerService(added)
	slices.SortStableFunc(added, compareCandidates)
	for _, cand := range added {
		c.assignServedShare(&cand)
		position, _ := slices.BinarySearchFunc(r.candidates, cand, compareCandidates)
		r.candidates = slices.Insert(r.candidates, position, cand)
	}
}

// rankAll makes the list anew. Turns are given in the order of work within each size, so
// it is sorted before and after.
func (c *Core) rankAll(now time.Time) {
	r := &c.ranking
	for _, cand := range r.candidates {
		cand.steps[0].occurrenceRanked = false
	}
	for _, q := range c.shares {
		q.decay(now.Sub(r.rankedAt))
	}
	clear(r.candidates) // jobs that have ended are not to be kept
	*r = ranking{candidates: r.candidates[:0], services: map[string]*servicePlan{}, rankedAt: now, tryAll: true, toInsert: r.toInsert[:0]}
	for _, j := range c.activeJobs {
		if j.finalState.IsTerminal() {
			continue
		}
		for o := range j.submission.Spec.Occurrences() {
			if now.Before(j.submission.Spec.DueAt(o)) {
				break // later ones are due later
			}
			if idleTaskCount(j.occurrenceSteps(o)) > 0 {
				r.candidates = append(r.candidates, c.newCandidate(j, o, now))
			}
		}
	}
	limitStarvedPerService(r.candidates)
	slices.SortStableFunc(r.candidates, compareCandidates)
	for i := range r.candidates {
		c.assignServedShare(&r.candidates[i])
	}
	slices.SortStableFunc(r.candidates, compareCandidates)
}

// assignServedShare gives a job that can still win its turn among the sizes of its queue.
func (c *Core) assignServedShare(cand *candidate) {
	if share := cand.steps[0].share; share != nil && cand.class == classOnTime {
		cand.servedShare = share.nextServedShare(cand.remainingWork)
	}
}

// newCandidate ranks an occurrence and notes what its service waits for.
func (c *Core) newCandidate(j *job, occurrence int, now time.Time) candidate {
	c.Counts.RankedJobs++
	cand := c.rankOccurrence(j, occurrence, now)
	cand.steps[0].occurrenceRanked = true
	plan := c.ranking.services[j.submission.Service]
	if plan == nil {
		plan = &servicePlan{minDemand: cand.steps[0].spec.Reservation()}
		c.ranking.services[j.submission.Service] = plan
	}
	cand.servicePlan = plan
	c.countOccurrenceArrival(cand)
	for _, s := range cand.steps {
		need := s.spec.Reservation()
		plan.minDemand.CPU = min(plan.minDemand.CPU, need.CPU)
		plan.minDemand.MemoryMB = min(plan.minDemand.MemoryMB, need.MemoryMB)
		plan.minDemand.GPU = min(plan.minDemand.GPU, need.GPU)
	}
	return cand
}

// countOccurrenceArrival counts an occurrence as arrived the first time that it is ranked.
func (c *Core) countOccurrenceArrival(cand candidate) {
	if cand.steps[0].share != nil || cand.class == classLongRunning {
		return
	}
	queue := cand.job.submission.Queue
	if c.shares[queue] == nil {
		c.shares[queue] = &queueShares{}
	}
	share := c.shares[queue].addArrival(cand.remainingWork)
	for _, s := range cand.steps {
		s.share = share
	}
}

// recordStarted counts tasks that were started for a job that can still win.
func (cand candidate) recordStarted(s *step, tasks int) {
	if s.share != nil && cand.class == classOnTime {
		s.share.startedWork += float64(tasks) * coreSeconds(s.spec, estimate(s.spec))
	}
}

// compareCandidates orders by what is most worth having.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.servedShare, b.servedShare),
		cmp.Compare(a.remainingWork, b.remainingWork),
	)
}

// requestRerank asks for a new place of a step's occurrence: it has a task to place again, or less
// work left.
func (c *Core) requestRerank(s *step) {
	c.ranking.toInsert = append(c.ranking.toInsert, s)
}

// beginPlan gives the services their pools for a plan.
func (r *ranking) beginPlan(pools map[string]*pool) {
	for service, plan := range r.services {
		plan.pool = pools[service]
		plan.consecutiveMisses = 0
	}
}

// canPlaceMore tells whether a plan is to go on with a service: a task of it may find room.
func (r *ranking) canPlaceMore(plan *servicePlan) bool {
	return plan.pool != nil && (r.tryAll || plan.consecutiveMisses < maxConsecutiveMisses && plan.minDemand.FitsIn(plan.pool.maxFree))
}
