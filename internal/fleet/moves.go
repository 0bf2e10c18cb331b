package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Parameters of moves between pools. A move costs as much as a VM in a pool does in one second, and
// the work that a well used VM does in that second is worth 15 times as much. So a pool gets VMs as
// soon as its load is forecast to need them, a few more than the forecast, and keeps them for a while.
const (
	// headroomFactor multiplies the number of VMs that a pool is computed to need.
	headroomFactor = 1.1
	// moveLeadTime is the time from an order to a worker that runs tasks: the drain, the migration
	// and the registration of the new worker.
	moveLeadTime = 2300 * time.Millisecond
	// backlogTargetTime is the time within which waiting work should be served.
	backlogTargetTime = time.Second
	// poolReleaseDelay is how long a pool that has needed VMs keeps them from other pools. If it
	// needs them again within this time, no move is necessary.
	poolReleaseDelay = 1200 * time.Millisecond
	// spareReleaseDelay is how long a pool that has needed VMs keeps them if no other pool needs
	// them. A VM that is returned too early costs two moves, and moveLeadTime until it is back.
	spareReleaseDelay = 4 * time.Second
	// minPoolVMs is the least number of VMs of a pool.
	minPoolVMs = 2
	// spreadReserveVMs is how many VMs a pool has beyond those over which its long-running tasks
	// must be spread, so that one of them can be replaced at once.
	spreadReserveVMs = 1
	// moveDrainTimeout is how long a move may wait for its VM to be drained.
	moveDrainTimeout = 1500 * time.Millisecond
	// workerJoinTimeout is how long a worker may take from the first list that names it to its first
	// answer to the owner of its service. After that a worker without an answer counts as lost.
	workerJoinTimeout = 3 * time.Second
	// drainGracePeriod is how long a VM may take to be drained before it no longer counts toward its
	// pool. Most VMs are drained, and back, sooner than another VM could come.
	drainGracePeriod = 1200 * time.Millisecond
	// maxLoadAge is the age up to which a pool's load is used for decisions.
	maxLoadAge = 1500 * time.Millisecond
)

// poolLoad is what is known of the load of a pool.
type poolLoad struct {
	load            workload.ServiceLoad
	receivedAt      time.Time
	firstReceivedAt time.Time // when the first load was received
	demand          demand
	needHistory     []needSample // of the last spareReleaseDelay
	peakNeeds       peakNeeds
	initialVMs      int // the most VMs within spareReleaseDelay after the first load
	// forecastNeed is how many VMs the pool needs if demand goes on rising. The pool gets VMs for the
	// forecast, but does not keep VMs for it.
	forecastNeed int
}

// needSample is how many VMs a pool needed at a time.
type needSample struct {
	at  time.Time
	vms int
}

// utilization returns the share of a VM's capacity that is reserved.
func (l *poolLoad) utilization(vm workload.VM) float64 {
	w := l.load.Workers[vm.Worker]
	if w.ReducedCapacity != nil {
		return shareOf(w.Reserved, *w.ReducedCapacity)
	}
	return shareOf(w.Reserved, vm.Capacity)
}

// effectiveCapacity returns the total capacity of a VM: the reduced capacity that its worker reports,
// if any, otherwise the capacity in the list of VMs.
func (c *Core) effectiveCapacity(vm workload.VM) workload.Resources {
	if l := c.poolLoads[vm.Pool]; l != nil && l.load.Workers[vm.Worker].ReducedCapacity != nil {
		return *l.load.Workers[vm.Worker].ReducedCapacity
	}
	return vm.Capacity
}

// shareOf returns the larger of the shares of CPU and memory that r takes of a VM.
func shareOf(r, size workload.Resources) float64 {
	return max(
		float64(r.CPU)/float64(max(1, size.CPU)),
		float64(r.MemoryMB)/float64(max(1, size.MemoryMB)),
	)
}

// SetLoad records the load of a pool as reported by the owner of its service's jobs.
func (c *Core) SetLoad(load workload.ServiceLoad, now time.Time) {
	l := c.poolLoads[load.Service]
	if l == nil {
		l = &poolLoad{firstReceivedAt: now}
		c.poolLoads[load.Service] = l
	}
	l.load = load
	l.receivedAt = now
	size := c.meanCapacity(load.Service)
	if l.demand.observe(load.ArrivedWork, now) {
		l.needHistory = nil // the samples from before the fall are stale
	}
	l.needHistory = append(l.needHistory, needSample{at: now, vms: l.vmsNeeded(l.demand.rate, l.demand.rate, size)})
	l.peakNeeds.add(l.needHistory[len(l.needHistory)-1].vms, now)
	l.forecastNeed = max(l.needHistory[len(l.needHistory)-1].vms, l.vmsNeeded(l.demand.rate, l.demand.forecastRate(moveLeadTime), size))
	l.needHistory = slices.DeleteFunc(l.needHistory, func(n needSample) bool { return now.Sub(n.at) > spareReleaseDelay })
}

// vmsNeeded returns how many VMs of the given size a pool needs: headroomFactor times the larger of
//   - the VMs for the known demand: running, pending and upcoming tasks
//   - the VMs that jobs arriving at rateThen keep busy, and those that serve within backlogTargetTime
//     the pending tasks and the work that queues up before VMs ordered now arrive
//
// rateThen is the rate when VMs ordered now arrive. It returns minVMs if that is more.
func (l *poolLoad) vmsNeeded(rateNow, rateThen float64, size workload.Resources) int {
	knownDemandVMs := shareOf(l.load.Reserved.Add(l.load.PendingDemand).Add(l.load.UpcomingDemand), size)
	arrivingVMs := l.demand.vmsForRate(rateThen, size)
	meanArrivingVMs := l.demand.vmsForRate((rateNow+rateThen)/2, size)
	backlogVMs := shareOf(l.load.PendingDemand, size) + max(0, meanArrivingVMs-l.usableWorkers())*moveLeadTime.Seconds()
	n := int(math.Ceil(headroomFactor * max(knownDemandVMs, arrivingVMs+backlogVMs/backlogTargetTime.Seconds())))
	return max(n, l.minVMs())
}

func (l *poolLoad) usableWorkers() float64 {
	n := 0
	for _, w := range l.load.Workers {
		if w.Usable {
			n++
		}
	}
	return float64(n)
}

// minVMs returns the least number of VMs of a pool, including those for its long-running tasks.
func (l *poolLoad) minVMs() int {
	if l.load.MinWorkers == 0 {
		return minPoolVMs
	}
	return max(minPoolVMs, l.load.MinWorkers+spreadReserveVMs)
}

// meanCapacity returns the mean capacity of a pool's workers if it was reported with the pool's load,
// otherwise the mean of the pool's VMs, otherwise the mean of all VMs.
func (c *Core) meanCapacity(pool string) workload.Resources {
	if l := c.poolLoads[pool]; l != nil && l.load.MeanWorkerCapacity != (workload.Resources{}) {
		return l.load.MeanWorkerCapacity
	}
	var poolTotal, total workload.Resources
	poolVMs := 0
	for _, vm := range c.vms {
		total = total.Add(vm.Capacity)
		if vm.Pool == pool {
			poolTotal = poolTotal.Add(vm.Capacity)
			poolVMs++
		}
	}
	if poolVMs > 0 {
		return workload.Resources{CPU: poolTotal.CPU / poolVMs, MemoryMB: poolTotal.MemoryMB / poolVMs}
	}
	n := max(1, len(c.vms))
	return workload.Resources{CPU: total.CPU / n, MemoryMB: total.MemoryMB / n}
}

// poolPlan is how many VMs a pool has, needs and keeps.
type poolPlan struct {
	pool               string
	vms                int // VMs counted toward the pool, see countedPool
	needed             int // VMs that the pool needs by the forecast
	minBeforeDonating  int // VMs needed in the last poolReleaseDelay; other pools get VMs beyond these
	minBeforeReturning int // VMs needed in the last spareReleaseDelay; the spare pool gets VMs beyond these
	// minVMs is the least number of VMs, which includes those for long-running tasks.
	minVMs int
	// isBelowMin is set if vms is below minVMs. Such pools come first; otherwise the pools that lack
	// the most VMs would take them all.
	isBelowMin bool
}

// planMoves starts moves of VMs to the pools that are short of them, from the spare pool and from pools
// that have more than they have needed lately, and moves of VMs that no pool needs to the spare pool.
func (c *Core) planMoves(now time.Time) {
	plans := c.poolPlans(now)
	limitToFairShare(plans, c.availableSpares(now))
	slices.SortFunc(plans, func(a, b poolPlan) int {
		if a.isBelowMin != b.isBelowMin {
			if a.isBelowMin {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.needed-b.vms, a.needed-a.vms), cmp.Compare(a.pool, b.pool))
	})
	inside := c.inPipeline()
	candidates := &moveCandidates{}
	inside += c.startMovesForUnmetRequirements(plans, c.pipeline.room(inside), now)
	for i := range plans {
		p := &plans[i]
		for missing := p.needed - p.vms; missing > 0 && c.pipeline.room(inside) > 0; missing-- {
			vm, ok := c.findVMFor(candidates, plans, p.pool, now)
			if !ok {
				break
			}
			c.startMove(vm, p.pool, plans, now, fmt.Sprintf("%s counts %d VMs and needs %d", p.pool, p.vms, p.needed))
			inside++
		}
	}
	if c.sparePool == "" {
		return
	}
	for i := range plans {
		p := &plans[i]
		for p.vms > p.minBeforeReturning && c.pipeline.returnRoom(inside) > 0 {
			vm, ok := c.leastUsedVM(candidates, p.pool, true, now)
			if !ok {
				break
			}
			c.startMove(vm, c.sparePool, plans, now, fmt.Sprintf("%s counts %d VMs and has needed %d for a while", p.pool, p.vms, p.minBeforeReturning))
			inside++
		}
	}
}

func (c *Core) startMove(vm workload.VM, targetPool string, plans []poolPlan, now time.Time, reason string) {
	c.operations[vm.ID] = &operation{vm: vm.ID, reason: reason, sourcePool: vm.Pool, worker: vm.Worker, targetPool: targetPool, phaseSince: now, begunAt: now, moveExpiresAt: now.Add(moveDrainTimeout)}
	for i := range plans {
		if plans[i].pool == vm.Pool {
			plans[i].vms--
		}
		if plans[i].pool == targetPool {
			plans[i].vms++
		}
	}
}

// poolPlans returns the plans of all pools with a recent load, except the spare pool.
func (c *Core) poolPlans(now time.Time) []poolPlan {
	counts := c.countVMs(now)
	var list []poolPlan
	for pool, l := range c.poolLoads {
		if pool == c.sparePool || now.Sub(l.receivedAt) > maxLoadAge {
			continue
		}
		// A VM with long-running tasks in a wave is or will soon be under maintenance, and its tasks need
		// another VM for seconds. With only minVMs, the tasks of two such VMs would wait for each other, and
		// the wave's next VMs would wait for them.
		p := poolPlan{pool: pool, vms: counts[pool].vms, minVMs: l.minVMs() + counts[pool].longRunningInWave}
		p.needed, p.minBeforeDonating, p.minBeforeReturning = max(l.forecastNeed, p.minVMs), p.minVMs, p.minVMs
		for _, n := range l.needHistory {
			p.minBeforeReturning = max(p.minBeforeReturning, n.vms)
			if now.Sub(n.at) <= poolReleaseDelay {
				p.minBeforeDonating = max(p.minBeforeDonating, n.vms)
			}
		}
		p.isBelowMin = p.vms < p.minVMs
		if now.Sub(l.firstReceivedAt) < spareReleaseDelay {
			l.initialVMs = max(l.initialVMs, p.vms)
			p.minBeforeReturning = max(p.minBeforeReturning, p.vms) // loads have not been received for long enough
		}
		list = append(list, p)
	}
	c.holdVMs(list, now)
	return list
}

// poolCount is how many VMs count toward a pool, and how many of them had long-running tasks when their wave
// took them.
type poolCount struct{ vms, longRunningInWave int }

// poolCounts are the counts of all pools.
type poolCounts map[string]poolCount

// countVMs counts the VMs of all pools in one pass.
func (c *Core) countVMs(now time.Time) poolCounts {
	counts := poolCounts{}
	for _, vm := range c.vms {
		op := c.operations[vm.ID]
		pool, ok := c.countedPool(vm, op, now)
		if !ok {
			continue
		}
		count := counts[pool]
		count.vms++
		if op != nil && op.wave != 0 && op.hadLongRunning {
			count.longRunningInWave++
		}
		counts[pool] = count
	}
	return counts
}

// countedPool returns the pool toward which a VM counts, and false if it counts toward none. A VM that is being
// moved counts toward the target pool. Other VMs count toward their own pool, also under maintenance, except those
// that have been draining for longer than drainGracePeriod and those without a usable worker.
func (c *Core) countedPool(vm workload.VM, op *operation, now time.Time) (pool string, ok bool) {
	if op != nil && op.wave == 0 {
		return op.targetPool, true
	}
	switch vm.State {
	case workload.VMMaintenance, workload.VMMoving:
		return vm.Pool, true
	case workload.VMDown:
		return vm.Pool, c.isSettling(now) // it may be about to start, with all others
	case workload.VMUp:
		isSlowDrain := op != nil && op.phase == phaseDraining && now.Sub(op.phaseSince) > drainGracePeriod
		return vm.Pool, !isSlowDrain && (op != nil || c.hasUsableWorker(vm, now))
	}
	return "", false
}

// isSettling reports whether this owner of the fleet has begun so lately that VMs and workers may not be known yet.
func (c *Core) isSettling(now time.Time) bool { return now.Sub(c.startedAt) < workerJoinTimeout }

// hasUsableWorker reports whether the worker of a VM is usable according to its pool's load, or was
// first listed less than workerJoinTimeout ago. The list alone is not enough: the platform lists VMs as
// up whose worker has crashed or is cut off. While the pool's load or the list is not known to be whole, a
// worker that is missing there counts as usable.
func (c *Core) hasUsableWorker(vm workload.VM, now time.Time) bool {
	if c.isSettling(now) || now.Sub(c.workerFirstListedAt[vm.Worker]) < workerJoinTimeout {
		return true
	}
	l := c.poolLoads[vm.Pool]
	return l != nil && (l.load.Settling || l.load.Workers[vm.Worker].Usable)
}

// isAvailableSpare reports whether a VM is in the spare pool and can be ordered now.
func (c *Core) isAvailableSpare(vm workload.VM, now time.Time) bool {
	isUnavailable := vm.State == workload.VMMoving || vm.State == workload.VMMaintenance
	return c.isSpare(vm) && c.operations[vm.ID] == nil && !isUnavailable && c.canOrder(vm.ID, now)
}

func (c *Core) availableSpares(now time.Time) int {
	n := 0
	for _, vm := range c.vms {
		if c.isAvailableSpare(vm, now) {
			n++
		}
	}
	return n
}

// isMovable reports whether a VM may be taken from its pool, whose load is l. Its worker must be usable
// and have no long-running task, which a move would stop.
func (c *Core) isMovable(vm workload.VM, l *poolLoad, now time.Time) bool {
	if vm.State != workload.VMUp || vm.Worker == "" || c.operations[vm.ID] != nil || !c.canOrder(vm.ID, now) {
		return false
	}
	load, known := l.load.Workers[vm.Worker]
	return known && load.Usable && load.LongRunningRuns == 0
}
