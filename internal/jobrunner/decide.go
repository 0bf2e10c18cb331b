package jobrunner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
	"github.com/yuccadrift/yuccadrift/internal/quarantine"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Pauses between plans of a pool.
const (
	// busyPause applies while jobs are queued, idlePause otherwise.
	busyPause = 50 * time.Millisecond
	idlePause = time.Second
	// takeoverPause applies to pools for which another steward ranks higher.
	takeoverPause = 500 * time.Millisecond
	// maxRank is the number of stewards that plan a pool; those with a rank
	// above 0 only take over undone work.
	maxRank = 4
)

// planDue reports whether the pool must be planned now, and records the plan.
func (c *Core) planDue(st *ledger.State, pool string, rank int, now time.Time) bool {
	if rank >= maxRank {
		return false
	}
	pause := idlePause
	if st.Queued(pool) > 0 {
		pause = busyPause
	}
	if rank > 0 {
		pause = max(pause, takeoverPause)
	}
	if now.Sub(c.plannedAt[pool]) < pause {
		return false
	}
	c.plannedAt[pool] = now
	return true
}

// planPool decides on a pool's queue, preemptions and quarantines. A steward of
// a rank above 0 decides only on work that has been undone for long enough.
func (c *Core) planPool(st *ledger.State, pool string, rank int, now time.Time) {
	c.learnUsage(st, pool)
	assessment := quarantine.Assessment{}
	if !c.cfg.NoQuarantine {
		assessment = quarantine.Assess(st, pool, now)
	}
	cancelling := teamsCancellingBatch(st, pool, now)
	knowledge := placement.Knowledge{
		CancellingBatch: func(team string) bool { return cancelling[team] && !c.cfg.NoBatchCancelWait },
		Want:            c.reservation,
		RunTime:         c.runTime,
		Standing:        func(vm *ledger.VM) placement.Standing { return c.standing(vm, assessment, now) },
		Measured:        func(worker string) ledger.Resources { return c.measuredUse(st, worker) },
		Applied:         func(id string) bool { return c.appliedPreemptions[id] != "" },
	}
	p, queue := placement.FromState(st, pool, knowledge)
	queue = slices.DeleteFunc(queue, func(j placement.Job) bool {
		key := "job/" + j.ID
		return c.busyKeys["propose/"+key] || !c.responsibleFor("place/"+j.ID+"/"+j.Queued.String(), rank, now)
	})
	round := placement.Plan(p, queue, c.cfg.Policy, now)
	for _, d := range round.Decisions {
		c.proposeDecision(st, d, now)
	}
	for _, pre := range round.Preemptions {
		c.proposePreemption(st, pre, rank, now)
	}
	c.proposeQuarantines(st, assessment, rank, now)
	c.checkpointForDrains(st, pool, rank, now)
}

func (c *Core) reservation(j *ledger.Job) ledger.Resources {
	if c.cfg.NoCorrection {
		return ledger.Resources{MilliCores: j.Spec.MilliCores, MemoryMB: j.Spec.MemoryMB, Accelerators: j.Spec.Accelerators}
	}
	return c.estimates.Size(usage.ShapeOf(j.Spec))
}

func (c *Core) runTime(j *ledger.Job) time.Duration {
	return c.estimates.RunTime(usage.ShapeOf(j.Spec), j.Spec.RunTime)
}

// standing returns how far a worker may be used now.
func (c *Core) standing(vm *ledger.VM, assessment quarantine.Assessment, now time.Time) placement.Standing {
	switch {
	case vm.Quarantined || now.Before(c.worker(vm.ID).noStartsBefore):
		return placement.Excluded
	case assessment.Probation[vm.ID]:
		return placement.Probation
	case assessment.Doubtful[vm.ID]:
		return placement.Doubtful
	}
	return placement.Open
}

// measuredUse returns the sum of the last usage reports of a worker's tasks. A
// task without a report counts as its reservation, and so does a throttled
// task, whose report may be older than the throttling.
func (c *Core) measuredUse(st *ledger.State, worker string) ledger.Resources {
	var sum ledger.Resources
	for _, j := range st.WorkerJobs(worker) {
		reported, ok := c.usageReports[TaskID(j.ID, j.Attempt)]
		if !ok || j.MilliCores < j.FullMilliCores {
			reported = j.Reserved()
		}
		sum = sum.Add(reported, 1)
	}
	return sum
}

// proposeDecision proposes a placement, or the end of a job that can never be
// placed.
func (c *Core) proposeDecision(st *ledger.State, d placement.Decision, now time.Time) {
	switch d.Kind {
	case placement.Unplaceable:
		c.propose(st, jobSubject(d.Job), record.JobEnd{Result: record.JobUnplaceable, Reason: d.Reason}, now)
	case placement.Placed:
		id, ok := c.propose(st, jobSubject(d.Job), record.JobPlace{
			Worker:     d.Worker,
			MilliCores: d.Reserved.MilliCores,
			MemoryMB:   d.Reserved.MemoryMB,
			Attempt:    st.Jobs[d.Job].Attempt + 1,
		}, now)
		if ok {
			c.ownRecords[id] = now
		}
	}
}

// proposePreemption proposes to preempt a job for an urgent one, or to restore
// its cores. A preemption for an urgent job does not wait for a takeover: its
// placement has waited already, and a second wait would exceed the bound.
func (c *Core) proposePreemption(st *ledger.State, pre placement.Preemption, rank int, now time.Time) {
	if pre.For == "" && !c.responsibleFor("restore/"+pre.Victim+"/"+st.Jobs[pre.Victim].PlaceID, rank, now) {
		return
	}
	id, ok := c.propose(st, jobSubject(pre.Victim), record.JobPreempt{Action: pre.Action, MilliCores: pre.MilliCores, For: pre.For}, now)
	if ok {
		c.ownRecords[id] = now
	}
}

// proposeQuarantines proposes which workers enter and leave quarantine.
func (c *Core) proposeQuarantines(st *ledger.State, assessment quarantine.Assessment, rank int, now time.Time) {
	for _, f := range assessment.ToQuarantine {
		if c.responsibleFor("set-aside/"+f.Worker+"/"+f.Jobs[0], rank, now) {
			c.propose(st, vmSubject(f.Worker), record.VMQuarantine{On: true, Evidence: f.Jobs}, now)
		}
	}
	for _, id := range assessment.ToRelease {
		if c.responsibleFor("let-back/"+id+"/"+st.VMs[id].QuarantineChanged.String(), rank, now) {
			c.propose(st, vmSubject(id), record.VMQuarantine{}, now)
		}
	}
}

func vmSubject(id string) record.Subject { return record.Subject{Kind: record.SubjectVM, Name: id} }

// learnUsage adds the peaks of newly ended jobs to the estimates. They are read
// from the folded state, so a steward that has just started learns from every
// job in it.
func (c *Core) learnUsage(st *ledger.State, pool string) {
	var ended []*ledger.Job
	for _, j := range st.PoolJobs(pool) {
		if j.Ended() && !c.countedJobs[j.ID] {
			ended = append(ended, j)
		}
	}
	slices.SortFunc(ended, func(a, b *ledger.Job) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range ended {
		c.countedJobs[j.ID] = true
		if !j.Succeeded() {
			continue
		}
		s := usage.Sample{MilliCores: j.PeakMilliCores, MemoryMB: j.PeakMemoryMB}
		if j.Attempt == 1 && j.MilliCores == j.FullMilliCores {
			s.Ran, s.Declared = j.EndedAt.Sub(j.StartedAt), j.Spec.RunTime
		}
		c.estimates.ObserveSucceeded(usage.ShapeOf(j.Spec), s)
	}
}

// checkpointForDrains checkpoints the jobs on draining workers if the document
// asks for it. Jobs that cannot be checkpointed are left to finish.
func (c *Core) checkpointForDrains(st *ledger.State, pool string, rank int, now time.Time) {
	svc, ok := st.Services[pool]
	if !ok || svc.Doc.Jobs.OnDrain != document.LongJobsCheckpoint {
		return
	}
	vms := st.PoolVMs(pool)
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		if vms[id].Phase != record.PhaseDraining {
			continue
		}
		for _, j := range Tasks(st, id) {
			checkpointing := j.Preempt != nil && j.Preempt.Action == record.PreemptCheckpoint
			if j.Spec.Checkpointable && !checkpointing && c.responsibleFor("clear/"+id+"/"+j.PlaceID, rank, now) {
				c.propose(st, jobSubject(j.ID), record.JobPreempt{Action: record.PreemptCheckpoint, For: id}, now)
			}
		}
	}
}

// requestUsage requests the usage reports at each usageInterval while there are
// tasks.
func (c *Core) requestUsage(now time.Time) {
	if len(c.tasks) == 0 || now.Sub(c.usageRequestedAt) < usageInterval {
		return
	}
	if c.emit(Action{Verb: VerbUsage, Lane: LaneTasks, Key: "usage"}) {
		c.usageRequestedAt = now
	}
}
