package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// maxCandidates bounds the feasible workers that are ranked for one job. The
// search starts at a worker derived from the job's ID, so the bound does not
// favour the first workers.
const maxCandidates = 64

// Rank is the order of preference among feasible workers.
type Rank int

// Orders of preference.
const (
	// BestFit fills workers up, which keeps large free capacities for large and
	// urgent jobs.
	BestFit Rank = iota
	// Spread balances the load of the workers.
	Spread
	// FirstFit takes the first worker that fits. It is a baseline for
	// measurements.
	FirstFit
)

// Policy selects the ranking and disables parts of the decisions for baselines.
type Policy struct {
	Rank Rank
	// IgnoreUrgentReserve places other jobs into the capacity reserved for urgent work.
	IgnoreUrgentReserve bool
	// NoPreempt starts urgent jobs only in free capacity.
	NoPreempt bool
	// OrderBySubmission orders the queue by time of submission instead of by the teams'
	// shares.
	OrderBySubmission bool
	// NoAging reserves no worker for starving jobs.
	NoAging bool
	// MinMin orders the queue by expected run time, shortest first, after HMHS
	// (Chen et al.); see docs/adr/0018.
	MinMin bool
}

// obstacle is the reason why a worker cannot take a job now.
type obstacle int

const (
	fits obstacle = iota
	excluded
	onProbation
	failedBefore
	noSlot
	noCores
	noMemory
	noAccelerators
	reservedForUrgent
	reservedForStarving
	obstacleCount
)

// obstacle returns why the worker cannot take the job, or fits.
func (p *Pool) obstacle(w *Worker, j *Job, pol Policy) obstacle {
	switch {
	case w.Standing == Excluded:
		return excluded
	case w.Slots <= 0:
		return noSlot
	case w.Free.MilliCores < j.Want.MilliCores:
		return noCores
	case w.Free.MemoryMB < j.Want.MemoryMB:
		return noMemory
	case w.Free.Accelerators < j.Want.Accelerators:
		return noAccelerators
	case w.reservedFor != "" && w.reservedFor != j.ID && !j.Urgent:
		return reservedForStarving
	case w.Standing != Open && (len(w.Running) > 0 || j.Urgent || !j.Repeatable):
		return onProbation
	case slices.Contains(j.FailedOn, w.ID):
		return failedBefore
	case !j.Urgent && !pol.IgnoreUrgentReserve && p.takesUrgentReserve(w, j.Want, 1):
		return reservedForUrgent
	}
	return fits
}

// takesUrgentReserve reports whether additional use of the worker would take
// capacity that is reserved for urgent work.
func (p *Pool) takesUrgentReserve(w *Worker, extra ledger.Resources, slots int) bool {
	if p.UrgentReserve <= 0 {
		return false
	}
	before := p.urgentCapacity(w)
	after := Worker{Free: w.Free.Add(extra, -1), Slots: w.Slots - slots, Standing: w.Standing}
	lost := before - p.urgentCapacity(&after)
	return lost > 0 && p.usableByUrgent-lost < p.UrgentReserve
}

// findWorker returns the best worker for the job, or nil.
func (p *Pool) findWorker(j *Job, pol Policy) *Worker {
	n := len(p.Workers)
	if n == 0 {
		return nil
	}
	start := 0
	if pol.Rank != FirstFit && n > maxCandidates {
		start = int(xxhash.Sum64String(j.ID) % uint64(n))
	}
	var best *Worker
	bestScore := math.Inf(-1)
	candidates := 0
	for i := range n {
		w := &p.Workers[(start+i)%n]
		if p.obstacle(w, j, pol) != fits {
			continue
		}
		if pol.Rank == FirstFit {
			return w
		}
		if s := score(w, j, pol.Rank); s > bestScore {
			best, bestScore = w, s
		}
		if candidates++; candidates == maxCandidates {
			break
		}
	}
	return best
}

// Penalties in a score. The fullness is between 0 and 1.
const (
	doubtPenalty       = 4.0
	acceleratorPenalty = 2.0
)

// score returns the rank of a feasible worker; higher is better.
func score(w *Worker, j *Job, rank Rank) float64 {
	s := fullness(w, j)
	if rank == Spread {
		s = -s
	}
	if w.Standing != Open {
		s -= doubtPenalty
	}
	if j.Want.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		s -= acceleratorPenalty
	}
	return s
}

// fullness returns how full the worker would be with the job: the mean of the
// used shares of cores and memory. A worker that both resources fill is
// preferred over one on which the rest of one resource would be stranded.
func fullness(w *Worker, j *Job) float64 {
	left := w.Free.Add(j.Want, -1)
	return 1 - (share(left.MilliCores, w.Capacity.MilliCores)+share(left.MemoryMB, w.Capacity.MemoryMB))/2
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Place finds a worker for one job and reserves its capacity in the snapshot.
func (p *Pool) Place(j *Job, pol Policy, now time.Time) Decision {
	if reason := p.UnplaceableReason(j); reason != "" {
		return Decision{Job: j.ID, Kind: Unplaceable, Reason: reason}
	}
	if !p.quotaAllows(j) || p.waitsForCancellations(j) {
		return Decision{Job: j.ID, Kind: Waits}
	}
	w := p.findWorker(j, pol)
	if w == nil && p.failedEverywhere(j) {
		retried := *j
		retried.FailedOn = nil
		w = p.findWorker(&retried, pol)
	}
	if w == nil {
		return Decision{Job: j.ID, Kind: Waits}
	}
	p.reserve(w, j, now)
	return Decision{Job: j.ID, Kind: Placed, Worker: w.ID, Reserved: j.Want}
}

func (p *Pool) quotaAllows(j *Job) bool {
	q := p.Teams[j.Team]
	return q.Used.Add(j.Want, 1).Within(q.Limit)
}

func (p *Pool) waitsForCancellations(j *Job) bool {
	return p.Teams[j.Team].CancellingBatch && !j.Urgent
}

// failedEverywhere reports whether the job has failed on every worker that
// could take it; it may then be placed on them again.
func (p *Pool) failedEverywhere(j *Job) bool {
	if len(j.FailedOn) == 0 {
		return false
	}
	for i := range p.Workers {
		w := &p.Workers[i]
		if w.Standing != Excluded && j.Want.Within(w.Capacity) && !slices.Contains(j.FailedOn, w.ID) {
			return false
		}
	}
	return true
}

// Kind is the kind of a decision about a job.
type Kind int

// Kinds of decision.
const (
	Waits Kind = iota
	Placed
	Unplaceable
)

// Decision is a decision about one job.
type Decision struct {
	Job      string
	Kind     Kind
	Worker   string
	Reserved ledger.Resources
	// Reason is set for Unplaceable. For Waits, Explain returns the reason,
	// since it is not needed in every round.
	Reason string
}
