package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// rankClass says what a job can still win; lower ones come first.
type rankClass int

const (
	// classLongRunning: lasting tasks are owed within seconds however full the
	// service is, and there are few.
	classLongRunning rankClass = iota
	// classStarved: the oldest job of a service that has waited very long.
	classStarved
	classOnTime  // can still be completed within its objective
	classLate    // earns the worth of a late answer
	classExpired // earns nothing any more, and is finished all the same
)

// maxLateFactor is how many times the objective a job may take to earn anything.
const maxLateFactor = 3

// starvationTimeout is how long a job past winning waits before it goes ahead of all
// others: nothing that was accepted may wait for ever.
const starvationTimeout = 20 * time.Second

// defaultObjective is taken where the queue was removed.
const defaultObjective = 2 * time.Second

// candidate is one occurrence of a job with idle tasks, with what it is ranked by.
type candidate struct {
	job            *job
	steps          []*step
	servicePlan    *servicePlan // what waits of its service
	class          rankClass
	priority       int
	objectiveStart time.Time // when its time began to count
	servedShare    float64   // of its size, 0 for what has no chance to be in time
	remainingWork  float64   // core-seconds that are left, by estimate
}

// limitStarvedPerService leaves the oldest starved job of each service ahead of the others, and
// ranks the rest as what they are worth; all of them where the service has one already.
// Under lasting overload all jobs that could still win would otherwise stand behind
// those that can't.
func limitStarvedPerService(list []candidate) {
	oldest := map[*servicePlan]*candidate{}
	for i := range list {
		cand := &list[i]
		if cand.class != classStarved {
			continue
		}
		cand.class = classExpired
		o := oldest[cand.servicePlan]
		if !cand.servicePlan.hasStarved && (o == nil || cand.objectiveStart.Before(o.objectiveStart)) {
			oldest[cand.servicePlan] = cand
		}
	}
	for plan, cand := range oldest {
		cand.class = classStarved
		plan.hasStarved = true
	}
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
	return cand
}

// objectiveStart is when the time of an occurrence begins to count: when it was due, or
// when its job was accepted.
func (j *job) objectiveStart(occurrence int) time.Time {
	if due := j.submission.Spec.DueAt(occurrence); !due.IsZero() {
		return due
	}
	return time.UnixMilli(j.submission.AcceptedAtMS)
}

func idleTaskCount(steps []*step) int {
	n := 0
	for _, s := range steps {
		n += s.idleCount
	}
	return n
}

func (j *job) hasLongRunningTask() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.spec.LongRunning })
}

// remainingWork is the processor time of all tasks that are not done, by estimate.
func remainingWork(steps []*step) float64 {
	work := 0.0
	for _, s := range steps {
		undone := float64(len(s.tasks) - s.doneCount)
		work += undone * estimate(s.spec).Seconds() * float64(s.spec.Resources.CPU) / 1000
	}
	return work
}

// defaultEstimate is taken for a task without an estimate.
const defaultEstimate = time.Second

func estimate(s *workload.Step) time.Duration {
	if s.EstimateMS <= 0 {
		return defaultEstimate
	}
	return time.Duration(s.EstimateMS) * time.Millisecond
}

// criticalPaths is the longest chain of work of an occurrence by estimate, in all and of
// what is left.
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
