package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Knowledge is what the caller knows beyond the folded state. Nil functions
// stand for defaults from the folded state.
type Knowledge struct {
	// Want returns the resources to reserve for a job.
	Want func(*ledger.Job) ledger.Resources
	// RunTime returns the expected run time of a job.
	RunTime func(*ledger.Job) time.Duration
	// Standing returns how far a serving worker may be used.
	Standing func(*ledger.VM) Standing
	// Measured returns the last measured use of the worker's tasks, or zero if
	// unknown.
	Measured func(worker string) ledger.Resources
	// CancellingBatch reports whether a team is cancelling a batch of jobs.
	CancellingBatch func(team string) bool
	// Applied reports whether the platform has carried out a preemption.
	Applied func(id string) bool
}

func (k Knowledge) withDefaults() Knowledge {
	if k.Want == nil {
		k.Want = declared
	}
	if k.RunTime == nil {
		k.RunTime = func(j *ledger.Job) time.Duration { return j.Spec.RunTime }
	}
	if k.Standing == nil {
		k.Standing = func(vm *ledger.VM) Standing {
			switch {
			case vm.Quarantined:
				return Excluded
			case vm.ProbationLeft > 0:
				return Probation
			}
			return Open
		}
	}
	if k.Measured == nil {
		k.Measured = func(string) ledger.Resources { return ledger.Resources{} }
	}
	if k.CancellingBatch == nil {
		k.CancellingBatch = func(string) bool { return false }
	}
	if k.Applied == nil {
		k.Applied = func(string) bool { return true }
	}
	return k
}

func declared(j *ledger.Job) ledger.Resources {
	return ledger.Resources{MilliCores: j.Spec.MilliCores, MemoryMB: j.Spec.MemoryMB, Accelerators: j.Spec.Accelerators}
}

// FromState returns a snapshot of a service's pool and queue, which shares no
// memory with the state.
func FromState(st *ledger.State, service string, k Knowledge) (*Pool, []Job) {
	k = k.withDefaults()
	p := &Pool{Name: service, Teams: map[string]Quota{}}
	svc, ok := st.Services[service]
	if !ok {
		return p, nil
	}
	for _, q := range svc.Doc.Quotas {
		p.Teams[q.Team] = Quota{
			Limit:           ledger.Resources{MilliCores: q.MilliCores, MemoryMB: q.MemoryMB, Accelerators: q.Accelerators},
			Used:            st.TeamUse(service, q.Team),
			CancellingBatch: k.CancellingBatch(q.Team),
		}
	}
	for _, vm := range st.PoolVMs(service) {
		if vm.Serving() {
			p.Workers = append(p.Workers, newWorker(st, vm, svc.Doc.Limits.Slots, k))
		}
	}
	slices.SortFunc(p.Workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	var queue []Job
	for _, j := range st.PoolJobs(service) {
		p.growUrgentJobSize(j)
		if j.Status == ledger.JobQueued {
			queue = append(queue, newJob(j, k))
		}
	}
	slices.SortFunc(queue, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	if len(queue) > 0 {
		p.Admitted = admitted(st, svc.Doc.Pool)
	}
	p.clampReservations(queue)
	p.setUrgentReserve(svc.Doc.Jobs.UrgentMilliCores)
	p.Prepare()
	return p, queue
}

func newWorker(st *ledger.State, vm *ledger.VM, slots int, k Knowledge) Worker {
	w := Worker{
		ID:       vm.ID,
		Zone:     vm.Zone,
		Rack:     vm.Rack,
		Capacity: vm.Resources(),
		Standing: k.Standing(vm),
	}
	var used ledger.Resources
	for _, j := range st.WorkerJobs(vm.ID) {
		r := newRunning(j, k)
		used = used.Add(r.Reserved, 1)
		if r.Freeing != (ledger.Resources{}) && r.FreeingSlots == 0 {
			used = used.Add(r.Freeing, 1)
		}
		w.Running = append(w.Running, r)
	}
	slices.SortFunc(w.Running, func(a, b Running) int { return cmp.Compare(a.Job, b.Job) })
	measured := k.Measured(vm.ID)
	used.MilliCores = max(used.MilliCores, measured.MilliCores)
	used.MemoryMB = max(used.MemoryMB, measured.MemoryMB)
	w.Free = w.Capacity.Add(used, -1)
	if slots <= 0 {
		slots = document.DefaultSlots
	}
	w.Slots = slots - len(w.Running)
	return w
}

// newRunning returns a placed job. While the platform has not carried out a
// throttle, the job still holds the cores that it will free.
func newRunning(j *ledger.Job, k Knowledge) Running {
	r := Running{
		Job:            j.ID,
		Team:           j.Spec.Team,
		Reserved:       j.Reserved(),
		FullMilliCores: j.FullMilliCores,
		Urgent:         j.Spec.Urgent,
		Repeatable:     j.Spec.Repeatable,
		Checkpointable: j.Spec.Checkpointable,
		Started:        j.StartedAt,
		ExpectedEnd:    j.StartedAt.Add(k.RunTime(j)),
	}
	if j.Preempt == nil {
		return r
	}
	switch j.Preempt.Action {
	case record.PreemptCheckpoint:
		r.Pending, r.Freeing, r.FreeingSlots = true, r.Reserved, 1
	case record.PreemptThrottle:
		if !k.Applied(j.Preempt.ID) {
			r.Pending, r.Freeing = true, ledger.Resources{MilliCores: r.Throttled()}
		}
	}
	return r
}

func newJob(j *ledger.Job, k Knowledge) Job {
	q := Job{
		ID:             j.ID,
		Team:           j.Spec.Team,
		Want:           k.Want(j),
		Declared:       declared(j),
		Urgent:         j.Spec.Urgent,
		Repeatable:     j.Spec.Repeatable,
		Checkpointable: j.Spec.Checkpointable,
		Submitted:      j.SubmittedAt,
		Queued:         j.QueuedAt,
		RunTime:        k.RunTime(j),
	}
	for _, f := range j.Failures {
		q.FailedOn = append(q.FailedOn, f.Worker)
	}
	return q
}

// admitted returns the sizes of VMs that meet the pool's requirements, sorted.
func admitted(st *ledger.State, needs document.Pool) []ledger.Resources {
	seen := map[ledger.Resources]bool{}
	for _, vm := range st.VMs {
		if vm.Cores >= needs.MinCores && vm.MemoryMB >= needs.MinMemoryMB && vm.Accelerators >= needs.MinAccelerators {
			seen[vm.Resources()] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b ledger.Resources) int {
		return cmp.Or(
			cmp.Compare(a.MilliCores, b.MilliCores),
			cmp.Compare(a.MemoryMB, b.MemoryMB),
			cmp.Compare(a.Accelerators, b.Accelerators),
		)
	})
}

// maxOfEach returns the maximum of each resource over the sizes.
func maxOfEach(sizes []ledger.Resources) ledger.Resources {
	var m ledger.Resources
	for _, r := range sizes {
		m.MilliCores = max(m.MilliCores, r.MilliCores)
		m.MemoryMB = max(m.MemoryMB, r.MemoryMB)
		m.Accelerators = max(m.Accelerators, r.Accelerators)
	}
	return m
}

// clampReservations keeps jobs with corrected sizes placeable. A job fits with
// its declared size, so the correction must not make it wait forever: beyond
// the declared size, it reserves at most the quota and the smallest worker that
// the declared size fits.
func (p *Pool) clampReservations(queue []Job) {
	for i := range queue {
		j := &queue[i]
		limit := p.Teams[j.Team].Limit
		for _, size := range p.Admitted {
			if j.Declared.Within(size) {
				limit.MilliCores = min(limit.MilliCores, size.MilliCores)
				limit.MemoryMB = min(limit.MemoryMB, size.MemoryMB)
				break
			}
		}
		j.Want.MilliCores = min(j.Want.MilliCores, max(limit.MilliCores, j.Declared.MilliCores))
		j.Want.MemoryMB = min(j.Want.MemoryMB, max(limit.MemoryMB, j.Declared.MemoryMB))
	}
}

// growUrgentJobSize raises UrgentJobSize to the size of an urgent job.
func (p *Pool) growUrgentJobSize(j *ledger.Job) {
	if !j.Spec.Urgent {
		return
	}
	d := declared(j)
	p.UrgentJobSize.MilliCores = max(p.UrgentJobSize.MilliCores, d.MilliCores)
	p.UrgentJobSize.MemoryMB = max(p.UrgentJobSize.MemoryMB, d.MemoryMB)
	p.UrgentJobSize.Accelerators = max(p.UrgentJobSize.Accelerators, d.Accelerators)
}

// setUrgentReserve sets the capacity reserved for urgent work. If the pool has
// no urgent jobs, UrgentJobSize is half of the smallest worker.
func (p *Pool) setUrgentReserve(milliCores int) {
	p.UrgentReserve = milliCores
	if milliCores <= 0 || len(p.Workers) == 0 {
		return
	}
	smallest := p.Workers[0].Capacity.MilliCores
	for i := range p.Workers {
		smallest = min(smallest, p.Workers[i].Capacity.MilliCores)
	}
	if p.UrgentJobSize.MilliCores == 0 {
		p.UrgentJobSize = ledger.Resources{MilliCores: smallest / 2}
	}
	p.UrgentJobSize.MilliCores = max(1, min(p.UrgentJobSize.MilliCores, smallest, milliCores))
}
