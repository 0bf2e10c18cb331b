// Package placement decides which worker of a pool runs which queued job. It is
// pure: a Pool is a snapshot of the folded state, and Plan is a function of the
// snapshot, the queue and the time. The fold checks every placement again at
// its offset, so a decision on an old snapshot costs a refusal and never an
// overfilled worker or quota.
//
// A placement passes three stages, a habit of Nomad's scheduler: feasible
// workers are found, ranked by how well the job fits, and their number is
// limited so that large pools cost no more.
package placement

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Standing says how far a worker may be used.
type Standing int

// Standings of a worker.
const (
	// Open workers take as many jobs as fit.
	Open Standing = iota
	// Doubtful workers failed their latest job: one job at a time, none that is
	// not repeatable.
	Doubtful
	// Probation is for workers let back from quarantine: as Doubtful.
	Probation
	// SetAside workers take no job: in quarantine, or they just refused a start.
	SetAside
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
	// ExpectedEnd is when it is expected to end.
	ExpectedEnd time.Time
	// Pending is set while an action that makes room is under way. Coming is
	// the room that it will free, which is not in the worker's Free yet.
	Pending      bool
	Freeing      ledger.Resources
	FreeingSlots int
}

// Throttled returns how many thousandths of a core a throttled job gave up.
func (r *Running) Throttled() int { return r.FullMilliCores - r.Reserved.MilliCores }

// Worker is a serving VM of the pool.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity ledger.Resources
	Free     ledger.Resources
	// Slots is how many more jobs it may run at once.
	Slots    int
	Standing Standing
	Running  []Running
	// reservedFor is a starving job that the worker's room is kept for.
	reservedFor string
}

// Quota is what a team may hold and holds in the pool.
type Quota struct {
	Limit ledger.Resources
	Used  ledger.Resources
	// Settling is set while the team is cancelling many jobs: its others wait,
	// since the next cancellation may be theirs.
	Settling bool
}

// Pool is a snapshot of one pool.
type Pool struct {
	Name    string
	Workers []Worker
	Teams   map[string]Quota
	// Admitted lists the sizes of the fleet's VMs that the pool's needs admit,
	// each once. Empty while no such VM is known.
	Admitted []ledger.Resources
	// UrgentHold is the room kept free of other work, in thousandths of a core
	// over the pool. It counts in pieces of UrgentPiece, the size of an urgent
	// job: free cores scattered in crumbs over the workers start none.
	UrgentHold  int
	UrgentPiece ledger.Resources

	usableByUrgent int // room for urgent work, in thousandths of a core
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

// Prepare computes what the decisions need; call it once on a new Pool.
func (p *Pool) Prepare() {
	p.usableByUrgent = 0
	for i := range p.Workers {
		p.usableByUrgent += p.urgentCapacity(&p.Workers[i])
	}
}

// urgentCapacity returns the part of a worker's free room that urgent jobs of the
// usual size can use, in thousandths of a core.
func (p *Pool) urgentCapacity(w *Worker) int {
	if w.Standing != Open || w.Slots <= 0 {
		return 0
	}
	return countPieces(w.Free, p.UrgentPiece, w.Slots) * p.UrgentPiece.MilliCores
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

// reserve reserves a worker's room for a job.
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
