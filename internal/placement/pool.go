// Package placement decides which worker of a pool runs which queued job. It
// has no side effects: a Pool is a snapshot of the folded state, and Plan is a
// function of the snapshot, the queue and the time. The fold checks every
// placement again at its offset, so a decision on an old snapshot may be
// rejected but never exceeds a worker or quota.
//
// A placement has three stages, as in Nomad's scheduler: find feasible workers,
// rank them by how well the job fits, and limit their number, so that the cost
// does not grow with the pool.
package placement

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Standing is how far a worker may be used.
type Standing int

// Standings of a worker.
const (
	// Open workers take as many jobs as fit.
	Open Standing = iota
	// Doubtful workers failed their last job. They take one job at a time,
	// which must be repeatable and not urgent.
	Doubtful
	// Probation workers have returned from quarantine. They take the same jobs
	// as doubtful workers.
	Probation
	// Excluded workers take no job: they are in quarantine or have just refused
	// a start.
	Excluded
)

// Running is a placed job on a worker.
type Running struct {
	Job            string
	Team           string
	Reserved       ledger.Resources
	FullMilliCores int // reserved before any throttling
	Urgent         bool
	Repeatable     bool
	Checkpointable bool
	Started        time.Time
	// ExpectedEnd is when the job is expected to end.
	ExpectedEnd time.Time
	// Pending is set while a preemption of the job is in progress. Freeing is
	// the capacity that it will free, which is not in the worker's Free yet.
	Pending      bool
	Freeing      ledger.Resources
	FreeingSlots int
}

// Throttled returns by how many millicores the job is throttled.
func (r *Running) Throttled() int { return r.FullMilliCores - r.Reserved.MilliCores }

// Worker is a serving VM of the pool.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity ledger.Resources
	Free     ledger.Resources
	// Slots is the number of further jobs that the worker may run at once.
	Slots    int
	Standing Standing
	Running  []Running
	// reservedFor is the starving job that the worker is reserved for, if any.
	reservedFor string
}

// Quota is a team's limit and use in the pool.
type Quota struct {
	Limit ledger.Resources
	Used  ledger.Resources
	// CancellingBatch is set while the team is cancelling a batch of jobs. Its
	// other jobs wait, since they may be cancelled next.
	CancellingBatch bool
}

// Pool is a snapshot of one pool.
type Pool struct {
	Name    string
	Workers []Worker
	Teams   map[string]Quota
	// Admitted lists the distinct sizes of the fleet's VMs that meet the pool's
	// requirements. It is empty while no such VM is known.
	Admitted []ledger.Resources
	// UrgentReserve is the capacity of the pool that is reserved for urgent work,
	// in millicores. It is counted in units of UrgentJobSize, the size of an
	// urgent job, since free cores scattered over the workers cannot start one.
	UrgentReserve int
	UrgentJobSize ledger.Resources

	usableByUrgent int // free capacity for urgent work, in millicores
}

// Job is a queued job.
type Job struct {
	ID             string
	Team           string
	Want           ledger.Resources // what to reserve, after correction
	Declared       ledger.Resources
	Urgent         bool
	Repeatable     bool
	Checkpointable bool
	Submitted      time.Time
	Queued         time.Time
	// RunTime is the expected run time.
	RunTime time.Duration
	// FailedOn lists workers of failed attempts.
	FailedOn []string
}

// Prepare computes what the decisions need. It must be called on a new Pool and
// after changes by the caller.
func (p *Pool) Prepare() {
	p.usableByUrgent = 0
	for i := range p.Workers {
		p.usableByUrgent += p.urgentCapacity(&p.Workers[i])
	}
}

// urgentCapacity returns the part of a worker's free capacity that urgent jobs
// of the size UrgentJobSize can use, in millicores.
func (p *Pool) urgentCapacity(w *Worker) int {
	if w.Standing != Open || w.Slots <= 0 {
		return 0
	}
	return countPieces(w.Free, p.UrgentJobSize, w.Slots) * p.UrgentJobSize.MilliCores
}

func countPieces(free, piece ledger.Resources, slots int) int {
	if piece.MilliCores <= 0 {
		return 0
	}
	n := min(slots, free.MilliCores/piece.MilliCores)
	if piece.MemoryMB > 0 {
		n = min(n, free.MemoryMB/piece.MemoryMB)
	}
	if piece.Accelerators > 0 {
		n = min(n, free.Accelerators/piece.Accelerators)
	}
	return max(0, n)
}

// reserve reserves capacity of a worker for a job.
func (p *Pool) reserve(w *Worker, j *Job, now time.Time) {
	p.usableByUrgent -= p.urgentCapacity(w)
	w.Free = w.Free.Add(j.Want, -1)
	w.Slots--
	w.Running = append(w.Running, Running{
		Job:            j.ID,
		Team:           j.Team,
		Reserved:       j.Want,
		FullMilliCores: j.Want.MilliCores,
		Urgent:         j.Urgent,
		Repeatable:     j.Repeatable,
		Checkpointable: j.Checkpointable,
		Started:        now,
		ExpectedEnd:    now.Add(j.RunTime),
	})
	p.usableByUrgent += p.urgentCapacity(w)
	q := p.Teams[j.Team]
	q.Used = q.Used.Add(j.Want, 1)
	p.Teams[j.Team] = q
}
