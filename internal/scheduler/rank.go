package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// rankClass is the first criterion of a job's rank. Lower classes come first.
type rankClass int

const (
	// classLongRunning: jobs with long-running tasks. There are few, and their tasks must start within
	// seconds even if the service is full.
	classLongRunning rankClass = iota
	// classStarved: the oldest job of a service among those that have waited for starvationTimeout
	// after they could no longer earn credit.
	classStarved
	classOnTime // can still be completed within its target
	classLate   // earns reduced credit
	// classBeyondWeight: could earn credit, but its workspace has handed in more jobs than its weight
	// allows.
	classBeyondWeight
	classExpired // earns no credit any more, but is still completed
)

// maxLateFactor is the multiple of its target within which a job must be completed to earn credit.
const maxLateFactor = admission.LateFactor

// starvationTimeout is how long a job that can no longer earn credit waits before it is ranked as
// starved. No accepted job may wait forever.
const starvationTimeout = 20 * time.Second

// defaultObjective applies if the job's queue was removed.
const defaultObjective = 2 * time.Second

// candidate is one occurrence of a job with idle tasks, and the criteria of its rank.
type candidate struct {
	job            *job
	steps          []*step
	servicePlan    *servicePlan // of its service
	class          rankClass
	priority       int
	objectiveStart time.Time // when the time to its target began to count
	turn           int       // of its workspace, 0 while the service isn't divided
	servedRatio    float64   // of its job size, 0 if it can't be completed in time
	remainingWork  float64   // estimated core-seconds
}

// limitStarvedPerService keeps the oldest starved candidate of each service that can be placed in
// classStarved and moves the others to classExpired, all of them if the ranking already has a starved
// one of the service. Otherwise, under sustained overload, all jobs that can still earn credit would wait
// behind jobs that can't.
func limitStarvedPerService(list []candidate, now time.Time) {
	oldest := map[*servicePlan]*candidate{}
	for i := range list {
		cand := &list[i]
		if cand.class != classStarved {
			continue
		}
		cand.class = classExpired
		o := oldest[cand.servicePlan]
		if !cand.servicePlan.hasStarved && !cand.isUnplaceable(now) && (o == nil || cand.objectiveStart.Before(o.objectiveStart)) {
			oldest[cand.servicePlan] = cand
		}
	}
	for plan, cand := range oldest {
		cand.class = classStarved
		plan.hasStarved = true
	}
}

// isUnplaceable reports whether the last plan that tried the candidate found a step of it not to be placeable.
func (cand *candidate) isUnplaceable(now time.Time) bool {
	return slices.ContainsFunc(cand.steps, func(s *step) bool { return now.Before(s.hold.infeasibleUntil) })
}

func (c *Core) rankOccurrence(j *job, occurrence int, now time.Time) candidate {
	steps := j.occurrenceSteps(occurrence)
	cand := candidate{job: j, steps: steps, objectiveStart: j.objectiveStart(occurrence), remainingWork: remainingWork(steps)}
	objective, stretch := defaultObjective, 1.0
	if q := j.queue; q != nil {
		cand.priority = q.Priority
		objective, stretch = q.Objective, q.Stretch
	}
	if j.hasLongRunningTask() {
		cand.class = classLongRunning
		return cand
	}
	criticalPath, remainingPath := criticalPaths(steps)
	target := objective + time.Duration(float64(criticalPath)*stretch)
	age := now.Sub(cand.objectiveStart)
	projected := age + remainingPath
	switch {
	case projected <= target:
		cand.class = classOnTime
	case projected <= maxLateFactor*target:
		cand.class = classLate
	case age > maxLateFactor*target+starvationTimeout:
		cand.class = classStarved
	default:
		cand.class = classExpired
	}
	if j.isBeyondWeight && (cand.class == classOnTime || cand.class == classLate) {
		cand.class = classBeyondWeight
	}
	return cand
}

// objectiveStart returns when the time of an occurrence begins to count: its due time, or the time
// its job was first handed in if it has none.
func (j *job) objectiveStart(occurrence int) time.Time {
	if due := j.submission.Spec.DueAt(occurrence); !due.IsZero() {
		return due
	}
	return j.submission.FirstHandedInAt()
}

func idleTaskCount(steps []*step) int {
	n := 0
	for _, s := range steps {
		n += s.idleCount
	}
	return n
}

func (j *job) hasLongRunningTask() bool {
	return slices.ContainsFunc(j.submission.Spec.Steps, func(s workload.Step) bool { return s.LongRunning })
}

// remainingWork returns the estimated processor time of all tasks that are not done, in
// core-seconds.
func remainingWork(steps []*step) float64 {
	work := 0.0
	for _, s := range steps {
		undone := float64(len(s.tasks) - s.doneCount)
		work += undone * estimate(s.spec).Seconds() * float64(s.spec.Resources.CPU) / 1000
	}
	return work
}

// defaultEstimate applies to tasks without an estimate.
const defaultEstimate = time.Second

func estimate(s *workload.Step) time.Duration {
	if s.EstimateMS <= 0 {
		return defaultEstimate
	}
	return time.Duration(s.EstimateMS) * time.Millisecond
}

// criticalPaths returns the estimated duration of an occurrence's longest chain of steps, in total
// and without the steps that are done.
func criticalPaths(steps []*step) (total, remaining time.Duration) {
	totalUpTo := make([]time.Duration, len(steps))
	remainingUpTo := make([]time.Duration, len(steps))
	for i, s := range steps {
		for _, d := range s.spec.DependsOn {
			totalUpTo[i] = max(totalUpTo[i], totalUpTo[d])
			remainingUpTo[i] = max(remainingUpTo[i], remainingUpTo[d])
		}
		totalUpTo[i] += estimate(s.spec)
		if s.doneCount < len(s.tasks) {
			remainingUpTo[i] += estimate(s.spec)
		}
		total = max(total, totalUpTo[i])
		remaining = max(remaining, remainingUpTo[i])
	}
	return total, remaining
}
