package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// settlingTime is how long after the takeover workers may not have answered yet. On an owner of thousands of
// workers the first answers take two seconds.
const settlingTime = 3 * time.Second

// ServiceLoads returns the load and the waiting demand of each service.
func (c *Core) ServiceLoads(now time.Time) []workload.ServiceLoad {
	byService := map[string]*workload.ServiceLoad{}
	loadOf := func(service string) *workload.ServiceLoad {
		l := byService[service]
		if l == nil {
			l = &workload.ServiceLoad{Service: service, Settling: now.Sub(c.tookOverAt) < settlingTime, Workers: map[string]workload.WorkerLoad{}}
			byService[service] = l
		}
		return l
	}
	largest := c.addWorkerLoads(loadOf, now)
	for _, l := range byService {
		l.MeanWorkerCapacity = l.MeanWorkerCapacity.DividedBy(len(l.Workers))
	}
	for service, work := range c.arrivedWork {
		loadOf(service).ArrivedWork = work
	}
	budgets := capBudgets{}
	for _, j := range c.activeJobs {
		if j.finalState.IsTerminal() {
			continue
		}
		l := loadOf(j.submission.Service)
		for _, o := range j.openDue(now.Add(upcomingWindow)) {
			cand := c.rankOccurrence(j, o.number, now)
			for _, s := range cand.steps {
				// More workers like these would not run a task that is larger than any of them.
				if capacity, ok := largest[l.Service]; !ok || s.spec.Reservation().FitsIn(capacity) {
					budgets.addStepDemand(l, s, cand.class, now)
				}
				c.addUnmetRequirement(l, s, now)
			}
		}
	}
	for service, n := range c.waitingSuspects() {
		addSuspectDemand(loadOf(service), n)
	}
	list := make([]workload.ServiceLoad, 0, len(byService))
	for _, l := range byService {
		list = append(list, *l)
	}
	return list
}

// addWorkerLoads adds the registered workers and their capacities to the loads of their services. It returns the
// largest capacity of each resource that a worker of a service has, by service.
func (c *Core) addWorkerLoads(loadOf func(service string) *workload.ServiceLoad, now time.Time) map[string]workload.Resources {
	largest := map[string]workload.Resources{}
	for _, w := range c.sortedWorkers {
		if w.unregistered {
			continue
		}
		l := loadOf(w.info.Service)
		l.Reserved = l.Reserved.Add(w.reservedResources)
		report := w.loadReport(now)
		report.Usable = report.Usable && !c.isRackDark(w, now)
		l.Workers[w.info.ID] = report
		l.MeanWorkerCapacity = l.MeanWorkerCapacity.Add(w.info.Capacity)
		largest[w.info.Service] = largest[w.info.Service].Max(w.maxCapacity)
	}
	return largest
}

// suspectsPerVM is the number of suspects waiting for an isolated run for which a service
// requests one more VM, up to as many VMs as it has workers. An isolated run that crashes its
// worker makes that worker unavailable for seconds, so without more VMs a long queue of suspects
// would take minutes on a small service.
const suspectsPerVM = 5

// addSuspectDemand adds the demand of waiting suspects.
func addSuspectDemand(l *workload.ServiceLoad, waiting int) {
	vms := min(waiting/suspectsPerVM, len(l.Workers))
	l.PendingDemand = l.PendingDemand.Add(l.MeanWorkerCapacity.Times(vms))
}

// waitingSuspects returns the number of suspects that wait for an isolated run, by service.
func (c *Core) waitingSuspects() map[string]int {
	waiting := map[string]int{}
	for _, s := range c.stepsWithCrashes {
		if !s.job.finalState.IsTerminal() {
			waiting[s.job.submission.Service] += s.idleSuspectCount()
		}
	}
	return waiting
}

// isUsable reports whether the worker answers and may get starts now or soon.
func (w *worker) isUsable(now time.Time) bool {
	return w.synced && !w.unreachable && !w.info.Leaving && w.acks.mayDropExitsUpTo == 0 && !now.Before(w.failures.suspendedUntil)
}

// loadReport returns the worker's load. Runs of long-running tasks are also counted separately,
// because they are the hardest to move.
func (w *worker) loadReport(now time.Time) workload.WorkerLoad {
	l := workload.WorkerLoad{Usable: w.isUsable(now), Runs: len(w.runs), Reserved: w.reservedResources}
	if capacity := w.info.Capacity; capacity != w.maxCapacity {
		l.ReducedCapacity = &capacity
	}
	for _, r := range w.runs {
		if r.step.spec.LongRunning {
			l.LongRunningRuns++
		}
	}
	return l
}

// upcomingWindow is how long before its due time an occurrence counts as upcoming demand: about
// the time that a VM takes to move to another pool.
const upcomingWindow = 3 * time.Second

// capBudgets are what workspaces could still reserve under their caps, by workspace, while the demand
// of their tasks is added up. Capacity for tasks beyond a cap would stay unused.
type capBudgets map[*account]workload.Resources

// tasksWithinCap returns how many of a step's waiting tasks fit the rest of its workspace's budget, and
// takes them from it.
func (b capBudgets) tasksWithinCap(s *step) int {
	waiting := s.idleCount - s.idleSuspectCount()
	a := s.job.account
	if a == nil || !a.isCapped || waiting == 0 {
		return waiting
	}
	if _, ok := b[a]; !ok {
		b[a] = a.remainingUnderCap()
	}
	n := 0
	for ; n < waiting && s.spec.Resources.FitsIn(b[a]); n++ {
		b[a] = b[a].Sub(s.spec.Resources)
	}
	return n
}

// addStepDemand adds the pending or upcoming demand of a step's waiting tasks, and raises MinWorkers if
// the step needs more workers.
func (b capBudgets) addStepDemand(l *workload.ServiceLoad, s *step, jobClass rankClass, now time.Time) {
	if s.spec.LongRunning && s.spec.MaxPerWorker > 0 {
		l.MinWorkers = max(l.MinWorkers, (len(s.tasks)+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
	}
	if jobClass > classOnTime {
		return
	}
	isReady := s.isReady(now)
	if !isReady && len(s.spec.DependsOn) > 0 {
		return
	}
	need := s.spec.Reservation().Times(b.tasksWithinCap(s))
	if !isReady {
		l.UpcomingDemand = l.UpcomingDemand.Add(need)
		return
	}
	l.PendingDemand = l.PendingDemand.Add(need)
	addLabelDemand(l, s.spec.RequiredLabel, need)
	addLabelDemand(l, s.spec.DataRack, need)
}

func addLabelDemand(l *workload.ServiceLoad, label string, need workload.Resources) {
	if label == "" || need == (workload.Resources{}) {
		return
	}
	if l.DemandByLabel == nil {
		l.DemandByLabel = map[string]workload.Resources{}
	}
	l.DemandByLabel[label] = l.DemandByLabel[label].Add(need)
}

// addUnmetRequirement adds the requirement of a step whose tasks wait because no worker is large
// enough, no worker has the required label, or the workers with that label are full.
func (c *Core) addUnmetRequirement(l *workload.ServiceLoad, s *step, now time.Time) {
	if s.idleCount == s.idleSuspectCount() || !s.isReady(now) || len(l.UnmetRequirements) >= maxUnmetRequirements {
		return
	}
	unmet := workload.UnmetRequirement{Label: s.spec.RequiredLabel, Resources: s.spec.Reservation(), NoFeasibleWorker: true}
	if slices.ContainsFunc(l.UnmetRequirements, func(reported workload.UnmetRequirement) bool {
		return reported.Label == unmet.Label && unmet.Resources.FitsIn(reported.Resources)
	}) {
		return // a VM that meets the reported requirement meets this one
	}
	hasUsableWorker := false // until a worker has answered, none is known to be missing
	for _, w := range c.sortedWorkers {
		if w.info.Service != s.job.submission.Service || !w.isUsable(now) {
			continue
		}
		hasUsableWorker = true
		if !w.info.HasLabel(unmet.Label) {
			continue
		}
		feasible := unmet.Resources.FitsIn(w.info.Capacity.Sub(w.reservedByLongRunning()))
		if unmet.Resources.FitsIn(w.free()) || feasible && unmet.Label == "" {
			return
		}
		if feasible {
			unmet.NoFeasibleWorker = false
		}
	}
	if hasUsableWorker && (unmet.NoFeasibleWorker || unmet.Label != "") {
		l.UnmetRequirements = append(l.UnmetRequirements, unmet)
	}
}

// maxUnmetRequirements bounds the requirements in one report. The rest follow once these are met.
const maxUnmetRequirements = 8

// recordArrivedWork adds a new job to the arrived work of its service. It omits long-running
// tasks, which are part of the reserved resources, and repeated jobs, whose occurrences follow one
// after the other and are part of the pending and upcoming demand.
func (c *Core) recordArrivedWork(j *job) {
	if j.submission.Spec.Repeat > 0 {
		return
	}
	work := c.arrivedWork[j.submission.Service]
	work.Jobs++
	for i := range j.submission.Spec.Steps {
		s := &j.submission.Spec.Steps[i]
		if s.LongRunning {
			continue
		}
		ms := int64(s.Count) * estimate(s).Milliseconds()
		work.CoreMS += ms * int64(s.Resources.CPU) / 1000
		work.MBMS += ms * int64(s.Resources.MemoryMB)
	}
	c.arrivedWork[j.submission.Service] = work
}
