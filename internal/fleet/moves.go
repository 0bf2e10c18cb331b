package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Parameters of moves between pools. The cost of a VM in a pool for one second, and the cost of a
// move, are each weighted as a fifteenth of what a well used VM earns in a second. So a pool in demand
// gets VMs early and amply, and keeps them for a while.
const (
	// headroomFactor multiplies the expected need of a pool.
	headroomFactor = 1.1
	// moveLeadTime is the time from an order to a worker that runs tasks: the drain, the migration
	// and the registration of the new worker.
	moveLeadTime = 2300 * time.Millisecond
	// backlogTargetTime is the time within which waiting work should be served.
	backlogTargetTime = time.Second
	// poolReleaseDelay is how long a pool keeps VMs that it has needed. A need that returns within
	// this time costs no move.
	poolReleaseDelay = 1200 * time.Millisecond
	// spareReleaseDelay is how long a pool keeps VMs that only the spare pool would get. Sending a
	// VM there and back costs about as much as an idle VM does in 4 s.
	spareReleaseDelay = 4 * time.Second
	// minPoolVMs is the least number of VMs that a pool keeps.
	minPoolVMs = 2
	// spreadReserveVMs is how many VMs a pool has beyond those over which its long-running tasks
	// must be spread, so that one of them can be replaced at once.
	spreadReserveVMs = 1
	// maxMovesShare bounds the moves under way at once, as a share of all VMs.
	maxMovesShare = 0.7
	// moveDrainTimeout is how long a move may wait for its VM to be drained.
	moveDrainTimeout = 1500 * time.Millisecond
	// workerJoinTimeout is how long a worker may take from the first list that names it to its first
	// answer to the owner of its service. After that a worker without an answer counts as lost.
	workerJoinTimeout = 3 * time.Second
	// drainGracePeriod is how long a VM may take to be drained before its pool no longer counts it.
	// Most VMs are drained, and back, sooner than another VM could come.
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
	// forecastNeed is how many VMs the pool needs if demand goes on rising. VMs are brought for the
	// forecast, but not kept for it.
	forecastNeed int
}

// needSample is how many VMs a pool needed at a time.
type needSample struct {
	at  time.Time
	vms int
}

// utilization returns the share of a VM that is in use.
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

// SetLoad records the load of a service as reported by its owner.
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
		l.needHistory = nil // what was needed before the fall is stale
	}
	l.needHistory = append(l.needHistory, needSample{at: now, vms: l.vmsNeeded(l.demand.rate, size)})
	l.forecastNeed = max(l.needHistory[len(l.needHistory)-1].vms, l.vmsNeeded(l.demand.forecastRate(moveLeadTime), size))
	l.needHistory = slices.DeleteFunc(l.needHistory, func(n needSample) bool { return now.Sub(n.at) > spareReleaseDelay })
}

// vmsNeeded returns how many VMs a service needs for what it runs, for what arrives at a rate, for what
// waits, and for what will wait by the time VMs that are ordered now arrive.
func (l *poolLoad) vmsNeeded(rate float64, size workload.Resources) int {
	knownDemandVMs := shareOf(l.load.Reserved.Add(l.load.PendingDemand).Add(l.load.UpcomingDemand), size)
	arrivingVMs := l.demand.vmsForRate(rate, size)
	backlogVMs := shareOf(l.load.PendingDemand, size) + max(0, arrivingVMs-l.usableWorkers())*moveLeadTime.Seconds()
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

// minVMs returns how many VMs a service needs at least, also for its long-running tasks.
func (l *poolLoad) minVMs() int {
	if l.load.MinWorkers == 0 {
		return minPoolVMs
	}
	return max(minPoolVMs, l.load.MinWorkers+spreadReserveVMs)
}

// meanCapacity returns the mean capacity of a pool's workers as reported by the pool's owner, otherwise
// the mean of the pool's VMs, otherwise the mean of all VMs.
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

// poolPlan is what a pool has and what it needs.
type poolPlan struct {
	pool               string
	vms                int // usable VMs that are there or in transit
	needed             int // VMs needed now
	minBeforeDonating  int // VMs needed within poolReleaseDelay; other pools get none of these
	minBeforeReturning int // VMs needed within spareReleaseDelay; the spare pool gets none of these
	// minVMs is the least number of VMs, which includes those for long-running tasks.
	minVMs int
	// isBelowMin is set if vms is below minVMs. Such pools come first; otherwise large pools in
	// demand would take all VMs.
	isBelowMin bool
}

// planMoves moves VMs to the pools that need them, from the spare pool and from pools that need them
// less, and returns VMs that their pool does not need to the spare pool.
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
	moves := 0
	maxMoves := int(math.Ceil(maxMovesShare * float64(len(c.vms))))
	for _, op := range c.operations {
		if op.wave == 0 {
			moves++
		}
	}
	moves += c.startMovesForUnmetRequirements(plans, maxMoves-moves, now)
	for _, b := range plans {
		for missing := b.needed - b.vms; missing > 0 && moves < maxMoves; missing-- {
			vm, ok := c.findVMFor(plans, b.pool, now)
			if !ok {
				break
			}
			c.startMove(vm, b.pool, plans, now, fmt.Sprintf("%s has %d usable VMs and needs %d", b.pool, b.vms, b.needed))
			moves++
		}
	}
	if c.sparePool == "" {
		return
	}
	for i := range plans {
		for plans[i].vms > plans[i].minBeforeReturning && moves < maxMoves {
			vm, ok := c.leastUsedVM(plans[i].pool, true, now)
			if !ok {
				break
			}
			b := plans[i]
			c.startMove(vm, c.sparePool, plans, now, fmt.Sprintf("%s has %d usable VMs and has needed %d for a while", b.pool, b.vms, b.minBeforeReturning))
			moves++
		}
	}
}

func (c *Core) startMove(vm workload.VM, targetPool string, plans []poolPlan, now time.Time, reason string) {
	c.operations[vm.ID] = &operation{vm: vm.ID, reason: reason, sourcePool: vm.Pool, worker: vm.Worker, targetPool: targetPool, phaseSince: now, moveExpiresAt: now.Add(moveDrainTimeout)}
	for i := range plans {
		if plans[i].pool == vm.Pool {
			plans[i].vms--
		}
		if plans[i].pool == targetPool {
			plans[i].vms++
		}
	}
}

// poolPlans returns the balances of all pools but the spare pool whose load is not older than maxLoadAge.
func (c *Core) poolPlans(now time.Time) []poolPlan {
	var list []poolPlan
	for pool, l := range c.poolLoads {
		if pool == c.sparePool || now.Sub(l.receivedAt) > maxLoadAge {
			continue
		}
		b := poolPlan{pool: pool, minVMs: l.minVMs()}
		for _, vm := range c.vms {
			n := c.countToward(vm, pool, now)
			b.vms += n
			if op := c.operations[vm.ID]; n > 0 && op != nil && op.wave != 0 && op.hadLongRunning {
				// This VM is or will soon be under maintenance, and its long-running tasks need another VM
				// for seconds. With only minVMs they would wait for each other, and the wave's next VMs
				// would wait for them.
				b.minVMs++
			}
		}
		b.needed, b.minBeforeDonating, b.minBeforeReturning = max(l.forecastNeed, b.minVMs), b.minVMs, b.minVMs
		for _, n := range l.needHistory {
			b.minBeforeReturning = max(b.minBeforeReturning, n.vms)
			if now.Sub(n.at) <= poolReleaseDelay {
				b.minBeforeDonating = max(b.minBeforeDonating, n.vms)
			}
		}
		b.isBelowMin = b.vms < b.minVMs
		if now.Sub(l.firstReceivedAt) < spareReleaseDelay {
			b.minBeforeReturning = max(b.minBeforeReturning, b.vms) // not known for long enough to count as idle
		}
		list = append(list, b)
	}
	return list
}

// countToward returns 1 if a pool has a VM, or will have it when the current operation ends, and 0
// otherwise.
func (c *Core) countToward(vm workload.VM, pool string, now time.Time) int {
	op := c.operations[vm.ID]
	if op != nil && op.wave == 0 {
		if op.targetPool == pool {
			return 1
		}
		return 0
	}
	if vm.Pool != pool {
		return 0
	}
	switch vm.State {
	case workload.VMMaintenance, workload.VMMoving:
		return 1
	case workload.VMUp:
		isSlowDrain := op != nil && op.phase == phaseDraining && now.Sub(op.phaseSince) > drainGracePeriod
		if !isSlowDrain && (op != nil || c.hasUsableWorker(vm, now)) {
			return 1
		}
	}
	return 0
}

// hasUsableWorker reports whether the worker of a VM is usable for its pool or has only just been
// listed. The platform lists VMs as up whose worker has crashed or is cut off.
func (c *Core) hasUsableWorker(vm workload.VM, now time.Time) bool {
	if now.Sub(c.workerFirstListedAt[vm.Worker]) < workerJoinTimeout {
		return true
	}
	l := c.poolLoads[vm.Pool]
	return l != nil && l.load.Workers[vm.Worker].Usable
}

// isAvailableSpare reports whether a VM is in the spare pool and can be ordered now.
func (c *Core) isAvailableSpare(vm workload.VM, now time.Time) bool {
	isUnavailable := vm.State == workload.VMMoving || vm.State == workload.VMMaintenance
	return c.sparePool != "" && vm.Pool == c.sparePool && c.operations[vm.ID] == nil && !isUnavailable && c.canOrder(vm.ID, now)
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

// findVMFor finds a VM for a pool: a spare VM, otherwise the least used VM of a pool that has more than
// it needs.
func (c *Core) findVMFor(plans []poolPlan, targetPool string, now time.Time) (workload.VM, bool) {
	if vm, ok := c.bestSpareVM(targetPool, now); ok {
		return vm, true
	}
	for i := len(plans) - 1; i >= 0; i-- {
		b := plans[i]
		if b.pool == targetPool || b.vms <= b.minBeforeDonating {
			continue
		}
		if vm, ok := c.leastUsedVM(b.pool, false, now); ok {
			return vm, true
		}
	}
	return workload.VM{}, false
}

// isMovable reports whether a VM may be taken from its pool, whose load is l: its worker is usable and
// has no long-running task, which would have to be stopped.
func (c *Core) isMovable(vm workload.VM, l *poolLoad, now time.Time) bool {
	if vm.State != workload.VMUp || vm.Worker == "" || c.operations[vm.ID] != nil || !c.canOrder(vm.ID, now) {
		return false
	}
	load, known := l.load.Workers[vm.Worker]
	return known && load.Usable && load.LongRunningRuns == 0
}

// leastUsedVM finds the movable VM of a pool that can be drained soonest: the VM with the least in use.
// With onlyIdle, nothing at all may run on it.
func (c *Core) leastUsedVM(pool string, onlyIdle bool, now time.Time) (workload.VM, bool) {
	l := c.poolLoads[pool]
	if l == nil || now.Sub(l.receivedAt) > maxLoadAge {
		return workload.VM{}, false
	}
	best, leastUse := -1, 0.0
	for i, vm := range c.vms {
		if vm.Pool != pool || !c.isMovable(vm, l, now) || onlyIdle && l.load.Workers[vm.Worker].Runs > 0 {
			continue
		}
		if use := l.utilization(vm); best < 0 || use < leastUse {
			best, leastUse = i, use
		}
	}
	if best < 0 {
		return workload.VM{}, false
	}
	return c.vms[best], true
}
