package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Limits of one planning round.
const (
	// maxRound bounds the decisions of one round, so that a burst of
	// submissions neither floods the log nor delays urgent work behind it.
	maxRound = 64
	// StarvingAfter is the time in the queue after which a worker is reserved
	// for a job.
	StarvingAfter = 5 * time.Minute
	// maxReservedShare bounds the workers reserved for starving jobs, as a
	// share of the pool.
	maxReservedShare = 0.25
)

// Round is the result of one planning round.
type Round struct {
	Decisions []Decision // about jobs that do not wait
	// Preemptions free capacity for urgent jobs that fit no worker, and restore
	// the cores of throttled jobs.
	Preemptions []Preemption
}

// Plan decides on the queue in one pass. It modifies the snapshot.
func Plan(p *Pool, queue []Job, pol Policy, now time.Time) Round {
	var r Round
	reserveForStarving(p, queue, pol, now)
	unplacedShapes := map[shape]bool{}
	urgentWaits, restored := false, false
	next := queueOrder(p, queue, pol)
	for j := next(); j != nil && len(r.Decisions) < maxRound; j = next() {
		if !j.Urgent && !restored && !urgentWaits {
			r.Preemptions = append(r.Preemptions, p.restoreThrottled(pol)...)
			restored = true
		}
		if !unplacedShapes[shapeOf(j)] && !r.decide(p, j, pol, now) {
			unplacedShapes[shapeOf(j)] = true
			urgentWaits = urgentWaits || j.Urgent && p.quotaAllows(j)
		}
	}
	if !restored && !urgentWaits {
		r.Preemptions = append(r.Preemptions, p.restoreThrottled(pol)...)
	}
	return r
}

// decide decides about the job and reports whether it was placed, found
// unplaceable, or given capacity by preemption.
func (r *Round) decide(p *Pool, j *Job, pol Policy, now time.Time) bool {
	d := p.Place(j, pol, now)
	if d.Kind != Waits {
		r.Decisions = append(r.Decisions, d)
		return true
	}
	if !j.Urgent || pol.NoPreempt {
		return false
	}
	pre, ok := p.PreemptFor(j, now)
	r.Preemptions = append(r.Preemptions, pre...)
	return ok
}

// shape identifies jobs that fit the same workers: once a job of a shape has
// found no worker in a round, the others of the shape are not tried.
type shape struct {
	team       string
	want       ledger.Resources
	urgent     bool
	repeatable bool
	id         string // set only for jobs with failed attempts
}

func shapeOf(j *Job) shape {
	s := shape{team: j.Team, want: j.Want, urgent: j.Urgent, repeatable: j.Repeatable}
	if len(j.FailedOn) > 0 {
		s.id = j.ID
	}
	return s
}

// queueOrder returns an iterator over the queue: urgent jobs first, then the
// next job of the team that holds the smallest share of its quota. In the order
// of submission, one team's burst would keep the other teams waiting.
func queueOrder(p *Pool, queue []Job, pol Policy) func() *Job {
	sorted := make([]*Job, 0, len(queue))
	for i := range queue {
		sorted = append(sorted, &queue[i])
	}
	slices.SortFunc(sorted, func(a, b *Job) int {
		if a.Urgent != b.Urgent {
			return cmp.Compare(intOf(b.Urgent), intOf(a.Urgent))
		}
		if pol.MinMin {
			return cmp.Or(cmp.Compare(a.RunTime, b.RunTime), cmp.Compare(a.ID, b.ID))
		}
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	urgent := 0
	for urgent < len(sorted) && sorted[urgent].Urgent {
		urgent++
	}
	if pol.OrderBySubmission || pol.MinMin {
		urgent = len(sorted)
	}
	return byTeamShare(p, sorted[:urgent], sorted[urgent:])
}

func intOf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// byTeamShare returns an iterator over first in its order, then over rest by
// the teams' shares.
func byTeamShare(p *Pool, first, rest []*Job) func() *Job {
	teams := map[string][]*Job{}
	var names []string
	for _, j := range rest {
		if _, ok := teams[j.Team]; !ok {
			names = append(names, j.Team)
		}
		teams[j.Team] = append(teams[j.Team], j)
	}
	slices.Sort(names)
	return func() *Job {
		if len(first) > 0 {
			j := first[0]
			first = first[1:]
			return j
		}
		best := ""
		bestShare := 0.0
		for _, name := range names {
			if len(teams[name]) == 0 {
				continue
			}
			if s := dominantShare(p.Teams[name]); best == "" || s < bestShare {
				best, bestShare = name, s
			}
		}
		if best == "" {
			return nil
		}
		j := teams[best][0]
		teams[best] = teams[best][1:]
		return j
	}
}

// dominantShare returns the largest share of its quota that a team holds of any
// resource.
func dominantShare(q Quota) float64 {
	return max(
		share(q.Used.MilliCores, q.Limit.MilliCores),
		share(q.Used.MemoryMB, q.Limit.MemoryMB),
		share(q.Used.Accelerators, q.Limit.Accelerators),
	)
}

// reserveForStarving reserves one worker for each job that has waited for
// StarvingAfter. Without it, a job that needs most of a worker would wait
// forever while small jobs take all capacity that is freed.
func reserveForStarving(p *Pool, queue []Job, pol Policy, now time.Time) {
	if pol.NoAging || len(p.Workers) < 2 {
		return
	}
	var starving []*Job
	for i := range queue {
		if now.Sub(queue[i].Queued) >= StarvingAfter && p.UnplaceableReason(&queue[i]) == "" {
			starving = append(starving, &queue[i])
		}
	}
	slices.SortFunc(starving, func(a, b *Job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	limit := max(1, int(maxReservedShare*float64(len(p.Workers))))
	for _, j := range starving {
		if limit == 0 {
			return
		}
		if !p.quotaAllows(j) {
			continue // waits for its team's quota, not for a worker
		}
		if w := p.firstToBeFree(j, now); w != nil {
			w.reservedFor = j.ID
			limit--
		}
	}
}

// firstToBeFree returns the worker on which the job is expected to fit first,
// or nil.
func (p *Pool) firstToBeFree(j *Job, now time.Time) *Worker {
	var best *Worker
	var bestAt time.Time
	for i := range p.Workers {
		w := &p.Workers[i]
		if w.reservedFor != "" || w.Standing != Open || !j.Want.Within(w.Capacity) || slices.Contains(j.FailedOn, w.ID) {
			continue
		}
		at := w.freeAt(j.Want, now)
		if best == nil || at.Before(bestAt) {
			best, bestAt = w, at
		}
	}
	return best
}

// freeAt returns when the capacity is expected to be free if nothing else is
// placed on the worker until then.
func (w *Worker) freeAt(want ledger.Resources, now time.Time) time.Time {
	free, slots := w.Free, w.Slots
	ends := slices.Clone(w.Running)
	slices.SortFunc(ends, func(a, b Running) int {
		return cmp.Or(a.ExpectedEnd.Compare(b.ExpectedEnd), cmp.Compare(a.Job, b.Job))
	})
	at := now
	for _, r := range ends {
		if slots > 0 && want.Within(free) {
			return at
		}
		free = free.Add(r.Reserved, 1)
		slots++
		if r.ExpectedEnd.After(at) {
			at = r.ExpectedEnd
		}
	}
	return at
}
