package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// class says what a job can still win; lower ones come first.
type class int

const (
	// classLasting: lasting tasks are owed within seconds however full the
	// service is, and there are few.
	classLasting class = iota
	// classStarved: the oldest job of a service that has waited very long.
	classStarved
	classOnTime // can still be completed within its objective
	classLate   // earns the worth of a late answer
	classPast   // earns nothing any more, and is finished all the same
)

// lateFactor is how many times the objective a job may take to earn anything.
const lateFactor = 3

// starveAfter is how long a job past winning waits before it goes ahead of all
// others: nothing that was accepted may wait for ever.
const starveAfter = 20 * time.Second

// defaultObjective is taken where the queue was removed.
const defaultObjective = 2 * time.Second

// candidate is one occurrence of a job with idle tasks, with what it is ranked by.
type candidate struct {
	job      *job
	steps    []*step
	waiting  *waiting // what waits of its service
	class    class
	priority int
	since    time.Time // when its time began to count
	turn     float64   // of its size, 0 for what has no chance to be in time
	work     float64   // core-seconds that are left, by estimate
}

// oneStarved leaves the oldest starved job of each service ahead of the others, and
// ranks the rest as what they are worth; all of them where the service has one already.
// Under lasting overload all jobs that could still win would otherwise stand behind
// those that can't.
func oneStarved(list []candidate) {
	oldest := map[*waiting]*candidate{}
	for i := range list {
		cand := &list[i]
		if cand.class != classStarved {
			continue
		}
		cand.class = classPast
		o := oldest[cand.waiting]
		if !cand.waiting.starved && (o == nil || cand.since.Before(o.since)) {
			oldest[cand.waiting] = cand
		}
	}
	for w, cand := range oldest {
		cand.class = classStarved
		w.starved = true
	}
}

func (c *Core) rank(j *job, occurrence int, now time.Time) candidate {
	steps := j.occurrence(occurrence)
	cand := candidate{job: j, steps: steps, since: j.since(occurrence), work: workLeft(steps)}
	objective, stretch := defaultObjective, 1.0
	if q := j.queue; q != nil {
		cand.priority = q.Priority
		objective, stretch = q.Objective, q.Stretch
	}
	if j.lasts() {
		cand.class = classLasting
		return cand
	}
	total, left := chains(steps)
	aim := objective + time.Duration(float64(total)*stretch)
	age := now.Sub(cand.since)
	end := age + left
	switch {
	case end <= aim:
		cand.class = classOnTime
	case end <= lateFactor*aim:
		cand.class = classLate
	case age > lateFactor*aim+starveAfter:
		cand.class = classStarved
	default:
		cand.class = classPast
	}
	return cand
}

// since is when the time of an occurrence begins to count: when it was due, or
// when its job was accepted.
func (j *job) since(occurrence int) time.Time {
	if due := j.sub.Spec.Due(occurrence); !due.IsZero() {
		return due
	}
	return time.UnixMilli(j.sub.AcceptedMS)
}

func idleTasks(steps []*step) int {
	n := 0
	for _, s := range steps {
		n += s.idle
	}
	return n
}

func (j *job) lasts() bool {
	return slices.ContainsFunc(j.steps, func(s *step) bool { return s.spec.Lasting })
}

// workLeft is the processor time of all tasks that are not done, by estimate.
func workLeft(steps []*step) float64 {
	work := 0.0
	for _, s := range steps {
		left := float64(len(s.tasks) - s.done)
		work += left * estimate(s.spec).Seconds() * float64(s.spec.Need.CPU) / 1000
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

// chains is the longest chain of work of an occurrence by estimate, in all and of
// what is left.
func chains(steps []*step) (total, left time.Duration) {
	totals := make([]time.Duration, len(steps))
	lefts := make([]time.Duration, len(steps))
	for i, s := range steps {
		for _, d := range s.spec.DependsOn {
			totals[i] = max(totals[i], totals[d])
			lefts[i] = max(lefts[i], lefts[d])
		}
		totals[i] += estimate(s.spec)
		if s.done < len(s.tasks) {
			lefts[i] += estimate(s.spec)
		}
		total = max(total, totals[i])
		left = max(left, lefts[i])
	}
	return total, left
}
