package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// minRankInterval is the shortest time between two rankings of all jobs. The passing of time
	// changes a job's rank only when the job exceeds its target, which is 600 ms or more, or a limit
	// derived from it.
	minRankInterval = 100 * time.Millisecond
	// rankIntervalPerJob is added for each job in the ranking. Ranking a job takes about 0.5 us, so
	// rankings use a fortieth of a core at most.
	rankIntervalPerJob = 20 * time.Microsecond
	// maxConsecutiveMisses is how many steps of a service in a row may find no free capacity before
	// a plan skips the rest of the service. The first plan after each ranking tries all. It equals
	// maxStartsInFlight, because a plan starts no more than that.
	maxConsecutiveMisses = 64
)

// ranking holds the jobs that have tasks to place, in the order in which they are placed.
//
// It is kept between plans. If each plan ranked all jobs, the cost of a start would grow with the
// number of waiting jobs: an overloaded owner would plan ever more slowly, though workers have free
// capacity, until no more jobs arrive. With 2,000 jobs waiting, a start examined 157,790 jobs,
// workers and runs. With the kept ranking, the steps that a plan skips after maxConsecutiveMisses cost
// nothing between two rankings.
type ranking struct {
	candidates []candidate
	services   map[string]*servicePlan
	rankedAt   time.Time
	stale      bool // the configuration has changed
	tryAll     bool // the next plan tries all candidates
	// onlyNew is set while runs of earlier owners may be unknown: only new jobs may start.
	onlyNew bool
	// toInsert are steps whose occurrence is not in candidates or is at an outdated position.
	toInsert []*step
}

// servicePlan is the state of a service with waiting jobs in the current plan.
type servicePlan struct {
	pool *placementPool // nil if none of its workers accepts starts
	// minDemand is, for each resource separately, the smallest demand of any ranked task.
	minDemand         workload.Resources
	consecutiveMisses int // steps in a row that found no free capacity
	// hasStarved is set while the ranking has a candidate of the service in classStarved.
	hasStarved bool
}

// refreshRanking ranks all jobs again if the last ranking is stale or old enough, and otherwise
// inserts new ones. Only completed jobs earn credit: full credit until the job's target, less until
// maxLateFactor times the target, then none. So among jobs of one size that can be completed in time
// the one with the least remaining work comes first.
func (c *Core) refreshRanking(now time.Time) {
	r := &c.ranking
	interval := minRankInterval + time.Duration(len(r.candidates))*rankIntervalPerJob
	if r.stale || !now.Before(r.rankedAt.Add(interval)) {
		c.rankAll(now)
		return
	}
	c.insertCandidates(now)
}

// insertCandidates inserts the occurrences of toInsert into the ranking. An occurrence at an outdated
// position gets a second entry and keeps the first until the next ranking of all jobs. A plan that
// reaches the outdated entry finds its tasks started, or no free capacity as before.
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
	limitStarvedPerService(added, now)
	slices.SortStableFunc(added, compareCandidates)
	for _, cand := range added {
		c.assignServedRatio(&cand)
		c.assignTurn(&cand)
		position, _ := slices.BinarySearchFunc(r.candidates, cand, compareCandidates)
		r.candidates = slices.Insert(r.candidates, position, cand)
	}
}

// rankAll rebuilds the ranking. Served ratios are assigned in the order of remaining work within each
// size, so candidates is sorted both before and after that.
func (c *Core) rankAll(now time.Time) {
	r := &c.ranking
	for _, cand := range r.candidates {
		cand.steps[0].occurrenceRanked = false
	}
	for _, q := range c.shares {
		q.decay(now.Sub(r.rankedAt))
	}
	clear(r.candidates) // don't retain jobs that have ended
	*r = ranking{candidates: r.candidates[:0], services: map[string]*servicePlan{}, rankedAt: now, tryAll: true, onlyNew: r.onlyNew, toInsert: r.toInsert[:0]}
	for _, j := range c.activeJobs {
		if j.finalState.IsTerminal() {
			continue
		}
		j.closeDoneOccurrences()
		for _, o := range j.openDue(now) {
			if idleTaskCount(o.steps) > 0 {
				r.candidates = append(r.candidates, c.newCandidate(j, o.number, now))
			}
		}
	}
	limitStarvedPerService(r.candidates, now)
	slices.SortStableFunc(r.candidates, compareCandidates)
	for i := range r.candidates {
		c.assignServedRatio(&r.candidates[i])
	}
	slices.SortStableFunc(r.candidates, compareCandidates)
	c.assignTurns(now)
	c.updateProspects(now)
}

// assignServedRatio sets the served ratio of a candidate that can be completed in time.
func (c *Core) assignServedRatio(cand *candidate) {
	if stats := cand.steps[0].sizeStats; stats != nil && cand.class == classOnTime {
		cand.servedRatio = stats.nextServedRatio(cand.remainingWork)
	}
}

// newCandidate ranks an occurrence and includes its demand in its service's minDemand.
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
	c.countOccurrenceArrival(cand, now)
	for _, s := range cand.steps {
		need := s.spec.Reservation()
		plan.minDemand.CPU = min(plan.minDemand.CPU, need.CPU)
		plan.minDemand.MemoryMB = min(plan.minDemand.MemoryMB, need.MemoryMB)
		plan.minDemand.GPU = min(plan.minDemand.GPU, need.GPU)
	}
	return cand
}

// countOccurrenceArrival counts an occurrence as arrived when it is first ranked.
func (c *Core) countOccurrenceArrival(cand candidate, now time.Time) {
	if cand.steps[0].sizeStats != nil || cand.class == classLongRunning {
		return
	}
	queue := cand.job.submission.Queue
	if c.shares[queue] == nil {
		c.shares[queue] = &queueShares{}
	}
	stats := c.shares[queue].addArrival(cand.remainingWork)
	c.recordWorkArrival(cand)
	c.predictWait(cand, now)
	for _, s := range cand.steps {
		s.sizeStats = stats
	}
}

// recordStarted counts the work of a candidate's started tasks if the candidate can be completed in
// time.
func (cand candidate) recordStarted(s *step, tasks int) {
	if s.sizeStats != nil && cand.class == classOnTime {
		s.sizeStats.startedWork += float64(tasks) * coreSeconds(s.spec, estimate(s.spec))
	}
}

// compareCandidates orders candidates by class, priority, turn of the workspace, served ratio and remaining
// work.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.turn, b.turn),
		cmp.Compare(a.servedRatio, b.servedRatio),
		cmp.Compare(a.remainingWork, b.remainingWork),
	)
}

// requestRerank requests a new position for a step's occurrence, which has a task to place again or
// less work left.
func (c *Core) requestRerank(s *step) {
	c.ranking.toInsert = append(c.ranking.toInsert, s)
}

// mayStart reports whether a job may start now.
func (r *ranking) mayStart(j *job) bool { return j.isOrdered && (j.isNew || !r.onlyNew) }

// waitsForWorkers reports whether a job waits until the runs of earlier owners are known. Jobs whose records
// are not read in order yet wait for some milliseconds only and keep their place.
func (r *ranking) waitsForWorkers(j *job) bool { return r.onlyNew && j.isOrdered && !j.isNew }

// beginPlan sets the services' placement pools for a new plan.
func (r *ranking) beginPlan(pools map[string]*placementPool) {
	for service, plan := range r.services {
		plan.pool = pools[service]
		plan.consecutiveMisses = 0
	}
}

// canPlaceMore reports whether a plan must try more steps of a service because a task may still fit.
func (r *ranking) canPlaceMore(plan *servicePlan) bool {
	return plan.pool != nil && (r.tryAll || plan.consecutiveMisses < maxConsecutiveMisses && plan.minDemand.FitsIn(plan.pool.maxFree))
}
