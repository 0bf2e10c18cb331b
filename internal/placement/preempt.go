package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Limits of preemption.
const (
	// throttleDivisor divides the cores of a throttled job. The job keeps a
	// quarter of them, so that it makes progress and renewing its lease is
	// worthwhile.
	throttleDivisor = 4
	// maxVictims bounds the victims of which every combination is tried.
	maxVictims = 8
)

// Preemption checkpoints or throttles a placed job for an urgent one, or
// restores a throttled job.
type Preemption struct {
	Victim string
	Worker string
	Action record.PreemptAction
	// MilliCores is the reservation of a throttled or restored job.
	MilliCores int
	For        string
}

// cost is the cost of a preemption, compared field by field in their order.
type cost struct {
	notRepeatable int           // checkpointed jobs that are not repeatable
	jobs          int           // jobs preempted
	lostProgress  time.Duration // progress that checkpoints may lose
}

func (c cost) compare(o cost) int {
	return cmp.Or(cmp.Compare(c.notRepeatable, o.notRepeatable), cmp.Compare(c.jobs, o.jobs), cmp.Compare(c.lostProgress, o.lostProgress))
}

// PreemptFor chooses the jobs to preempt for an urgent job that fits no worker:
// the cheapest set on one worker, either throttled, which frees only cores, or
// checkpointed. If the team's quota is used up, jobs of the team itself must
// free it. The capacity is reserved in the snapshot, so that other jobs do not
// take it.
func (p *Pool) PreemptFor(j *Job, now time.Time) ([]Preemption, bool) {
	need := deficit{job: j, quota: p.quotaDeficit(j)}
	var best *Worker
	var bestSet []Preemption
	var bestCost cost
	for i := range p.Workers {
		w := &p.Workers[i]
		if w.Standing != Open || !j.Want.Within(w.Capacity) || slices.Contains(j.FailedOn, w.ID) {
			continue
		}
		set, c, ok := w.cheapestPreemption(need, now)
		if ok && (best == nil || c.compare(bestCost) < 0) {
			best, bestSet, bestCost = w, set, c
		}
	}
	if best == nil {
		return nil, false
	}
	p.usableByUrgent -= p.urgentCapacity(best)
	p.applyPreemptions(best, bestSet)
	p.usableByUrgent += p.urgentCapacity(best)
	p.reserve(best, j, now)
	return bestSet, true
}

// deficit is what an urgent job lacks on a worker: capacity, a slot, and the
// part of its team's quota that the team's own jobs must free.
type deficit struct {
	job      *Job
	capacity ledger.Resources
	slot     bool
	quota    ledger.Resources
}

func (n deficit) empty() bool {
	return n.capacity == (ledger.Resources{}) && n.quota == (ledger.Resources{}) && !n.slot
}

// quotaDeficit returns by how much the job exceeds its team's quota after the
// checkpoints in progress.
func (p *Pool) quotaDeficit(j *Job) ledger.Resources {
	q := p.Teams[j.Team]
	deficit := shortfall(q.Used.Add(j.Want, 1), q.Limit)
	if deficit == (ledger.Resources{}) {
		return deficit
	}
	var freeing ledger.Resources
	for i := range p.Workers {
		for _, r := range p.Workers[i].Running {
			if r.Team == j.Team && r.FreeingSlots > 0 {
				freeing = freeing.Add(r.Freeing, 1)
			}
		}
	}
	return shortfall(deficit, freeing)
}

// cheapestPreemption returns the cheapest preemption on the worker that covers
// the deficit.
func (w *Worker) cheapestPreemption(n deficit, now time.Time) ([]Preemption, cost, bool) {
	freeing, freeingSlots := w.beingFreed()
	n.capacity = shortfall(n.job.Want, w.Free.Add(freeing, 1))
	n.slot = w.Slots+freeingSlots <= 0
	if n.empty() {
		return nil, cost{}, true // enough capacity is being freed already
	}
	throttle, throttleCost, canThrottle := w.cheapestVictims(n, record.PreemptThrottle, now)
	checkpoint, checkpointCost, canCheckpoint := w.cheapestVictims(n, record.PreemptCheckpoint, now)
	if canThrottle && (!canCheckpoint || throttleCost.compare(checkpointCost) <= 0) {
		return throttle, throttleCost, true
	}
	return checkpoint, checkpointCost, canCheckpoint
}

// beingFreed returns the capacity and slots that preemptions in progress will
// free.
func (w *Worker) beingFreed() (ledger.Resources, int) {
	var sum ledger.Resources
	slots := 0
	for _, r := range w.Running {
		sum = sum.Add(r.Freeing, 1)
		slots += r.FreeingSlots
	}
	return sum, slots
}

func shortfall(want, free ledger.Resources) ledger.Resources {
	return ledger.Resources{
		MilliCores:   max(0, want.MilliCores-free.MilliCores),
		MemoryMB:     max(0, want.MemoryMB-free.MemoryMB),
		Accelerators: max(0, want.Accelerators-free.Accelerators),
	}
}

// freedBy returns the capacity that the action on a running job frees, and
// whether the action is possible.
func (r *Running) freedBy(action record.PreemptAction) (ledger.Resources, bool) {
	if r.Urgent || r.Pending {
		return ledger.Resources{}, false
	}
	if action == record.PreemptCheckpoint {
		return r.Reserved, r.Checkpointable
	}
	gain := r.Reserved.MilliCores - r.FullMilliCores/throttleDivisor
	return ledger.Resources{MilliCores: gain}, gain > 0 && r.FullMilliCores >= throttleDivisor
}

// cheapestVictims returns the cheapest set of running jobs that covers the
// deficit by one action, of all combinations of at most maxVictims candidates.
func (w *Worker) cheapestVictims(n deficit, action record.PreemptAction, now time.Time) ([]Preemption, cost, bool) {
	if action == record.PreemptThrottle && (n.slot || n.capacity.MemoryMB > 0 || n.capacity.Accelerators > 0) {
		return nil, cost{}, false
	}
	victims := w.victims(n.job.Team, action, now)
	var best uint
	var bestCost cost
	found := false
	for mask := uint(1); mask < 1<<len(victims); mask++ {
		if found && bits.OnesCount(mask) > bestCost.jobs && bestCost.notRepeatable == 0 {
			continue
		}
		var freed, ownTeamFreed ledger.Resources
		var c cost
		for i := range victims {
			if mask&(1<<i) != 0 {
				freed = freed.Add(victims[i].freed, 1)
				ownTeamFreed = ownTeamFreed.Add(victims[i].ownTeamFreed, 1)
				c = c.plus(victims[i].cost)
			}
		}
		if n.capacity.Within(freed) && n.quota.Within(ownTeamFreed) && (!found || c.compare(bestCost) < 0) {
			best, bestCost, found = mask, c, true
		}
	}
	var set []Preemption
	for i, v := range victims {
		if best&(1<<i) != 0 {
			set = append(set, v.preemption(w, n.job, action))
		}
	}
	return set, bestCost, found
}

func (c cost) plus(o cost) cost {
	return cost{notRepeatable: c.notRepeatable + o.notRepeatable, jobs: c.jobs + o.jobs, lostProgress: c.lostProgress + o.lostProgress}
}

// victim is a running job that can be preempted.
type victim struct {
	running      *Running
	freed        ledger.Resources
	ownTeamFreed ledger.Resources // part of freed that counts towards the urgent job's team
	cost         cost
}

// victims returns the jobs that the action is possible on, the largest first
// and at most maxVictims.
func (w *Worker) victims(team string, action record.PreemptAction, now time.Time) []victim {
	var list []victim
	for i := range w.Running {
		r := &w.Running[i]
		freed, ok := r.freedBy(action)
		if !ok {
			continue
		}
		v := victim{running: r, freed: freed, cost: cost{jobs: 1}}
		if r.Team == team {
			v.ownTeamFreed = freed
		}
		if action == record.PreemptCheckpoint {
			v.cost.lostProgress = now.Sub(r.Started)
			v.cost.notRepeatable = intOf(!r.Repeatable)
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(b.freed.MilliCores, a.freed.MilliCores),
			cmp.Compare(b.freed.MemoryMB, a.freed.MemoryMB),
			cmp.Compare(a.running.Job, b.running.Job),
		)
	})
	return list[:min(len(list), maxVictims)]
}

func (v victim) preemption(w *Worker, j *Job, action record.PreemptAction) Preemption {
	pre := Preemption{Victim: v.running.Job, Worker: w.ID, Action: action, For: j.ID}
	if action == record.PreemptThrottle {
		pre.MilliCores = v.running.Reserved.MilliCores - v.freed.MilliCores
	}
	return pre
}

// restoreThrottled restores the cores of throttled jobs where free capacity is
// not reserved for urgent work.
func (p *Pool) restoreThrottled(pol Policy) []Preemption {
	var list []Preemption
	for i := range p.Workers {
		w := &p.Workers[i]
		for k := range w.Running {
			r := &w.Running[k]
			gain := ledger.Resources{MilliCores: r.Throttled()}
			if gain.MilliCores <= 0 || r.Pending || !p.canRestore(w, r, gain, pol) {
				continue
			}
			list = append(list, Preemption{
				Victim:     r.Job,
				Worker:     w.ID,
				Action:     record.PreemptRestore,
				MilliCores: r.FullMilliCores,
			})
			p.usableByUrgent -= p.urgentCapacity(w)
			w.Free = w.Free.Add(gain, -1)
			p.usableByUrgent += p.urgentCapacity(w)
			q := p.Teams[r.Team]
			q.Used = q.Used.Add(gain, 1)
			p.Teams[r.Team] = q
			r.Reserved = r.Reserved.Add(gain, 1)
			r.Pending = true
		}
	}
	return list
}

func (p *Pool) canRestore(w *Worker, r *Running, gain ledger.Resources, pol Policy) bool {
	q := p.Teams[r.Team]
	if !gain.Within(w.Free) || !q.Used.Add(gain, 1).Within(q.Limit) {
		return false
	}
	return pol.IgnoreUrgentReserve || !p.takesUrgentReserve(w, gain, 0)
}

// applyPreemptions marks the victims as pending and adds the capacity and quota
// that they free.
func (p *Pool) applyPreemptions(w *Worker, set []Preemption) {
	for _, pre := range set {
		for i := range w.Running {
			r := &w.Running[i]
			if r.Job != pre.Victim {
				continue
			}
			freed, _ := r.freedBy(pre.Action)
			w.Free = w.Free.Add(freed, 1)
			q := p.Teams[r.Team]
			q.Used = q.Used.Add(freed, -1)
			p.Teams[r.Team] = q
			if pre.Action == record.PreemptCheckpoint {
				w.Slots++
			}
			r.Pending = true
			r.Reserved = r.Reserved.Add(freed, -1)
		}
	}
}
