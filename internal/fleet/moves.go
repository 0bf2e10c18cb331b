package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Rules of moves between pools. Users weigh what a VM costs in a pool for a
// second, and a move, at a fifteenth of what a well used VM earns in a second. So
// a pool in demand gets VMs early and amply, and keeps them a while.
const (
	// headroomFactor is what a pool gets beyond what it is expected to need, as a share.
	headroomFactor = 1.1
	// moveLeadTime is how long it takes from an order to a worker that serves: emptying
	// the VM, the migration, and the worker's registration.
	moveLeadTime = 2300 * time.Millisecond
	// backlogTargetTime is the time in which waiting work is to be served.
	backlogTargetTime = time.Second
	// poolReleaseDelay is how long a pool keeps what it has needed: a need that comes
	// back within it costs no move.
	poolReleaseDelay = 1200 * time.Millisecond
	// spareReleaseDelay is how long a pool keeps VMs that only the spare pool would get.
	// A VM sent there and back costs about as much as one that idles for 4 s.
	spareReleaseDelay = 4 * time.Second
	// minPoolVMs is how many VMs a pool keeps at least.
	minPoolVMs = 2
	// spreadReserveVMs is how many VMs a pool has beyond those that its lasting tasks
	// must lie on, so that one can be replaced at once.
	spreadReserveVMs = 1
	// maxMovesShare bounds the moves under way at once, as a share of all VMs.
	maxMovesShare = 0.7
	// moveDrainTimeout is how long a move may wait for its VM to be emptied.
	moveDrainTimeout = 1500 * time.Millisecond
	// workerJoinTimeout is how long a worker may take from the list of VMs to its first
	// answer to the owner of its service. One that takes longer counts as lost.
	workerJoinTimeout = 3 * time.Second
	// drainGracePeriod is how long a VM may take to be emptied before its pool counts as
	// short of it. Most are empty, and back, sooner than another could come.
	drainGracePeriod = 1200 * time.Millisecond
	// maxLoadAge is how old a pool's load may be for decisions on it.
	maxLoadAge = 1500 * time.Millisecond
)

// poolLoad is what is known of a pool.
type poolLoad struct {
	load            workload.ServiceLoad
	receivedAt      time.Time
	firstReceivedAt time.Time // of the first load
	demand          demand
	needHistory     []needSample // of the last patientFor
	// forecastNeed is how many VMs are to be there if demand goes on rising. VMs are brought
	// for it, and not kept for it.
	forecastNeed int
}

// needSample is how many VMs a pool needed at a time.
type needSample struct {
	at  time.Time
	vms int
}

// utilization is the share of a VM that is in use.
func (l *poolLoad) utilization(vm workload.VM) float64 {
	w := l.load.Workers[vm.Worker]
	if w.ReducedCapacity != nil {
		return shareOf(w.Reserved, *w.ReducedCapacity)
	}
	return shareOf(w.Reserved, vm.Capacity)
}

// effectiveCapacity is what a VM has in all: what its worker says, which may have shrunk for a
// while, else what the list of VMs says.
func (c *Core) effectiveCapacity(vm workload.VM) workload.Resources {
	if l := c.poolLoads[vm.Pool]; l != nil && l.load.Workers[vm.Worker].ReducedCapacity != nil {
		return *l.load.Workers[vm.Worker].ReducedCapacity
	}
	return vm.Capacity
}

// shareOf is the larger share of processors and memory that r takes of a VM.
func shareOf(r, size workload.Resources) float64 {
	return max(
		float64(r.CPU)/float64(max(1, size.CPU)),
		float64(r.MemoryMB)/float64(max(1, size.MemoryMB)),
	)
}

// SetLoad takes what a service's owner says of it.
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
		l.needHistory = nil // what was needed until now is of no more interest
	}
	l.needHistory = append(l.needHistory, needSample{at: now, vms: l.vmsNeeded(l.demand.rate, size)})
	l.forecastNeed = max(l.needHistory[len(l.needHistory)-1].vms, l.vmsNeeded(l.demand.forecastRate(moveLeadTime), size))
	l.needHistory = slices.DeleteFunc(l.needHistory, func(n needSample) bool { return now.Sub(n.at) > spareReleaseDelay })
}

// vmsNeeded is how many VMs a service needs for what it runs, what arrives at a rate,
// what waits, and what will wait by the time at which VMs that are ordered now are
// there.
func (l *poolLoad) vmsNeeded(rate float64, size workload.Resources) int {
	currentVMs := shareOf(l.load.Reserved.Add(l.load.PendingDemand).Add(l.load.UpcomingDemand), size)
	arrivingVMs := l.demand.vmsForRate(rate, size)
	backlogVMs := shareOf(l.load.PendingDemand, size) + max(0, arrivingVMs-l.usableWorkers())*moveLeadTime.Seconds()
	n := int(math.Ceil(headroomFactor * max(currentVMs, arrivingVMs+backlogVMs/backlogTargetTime.Seconds())))
	return max(n, l.minVMs())
}

// usableWorkers is how many workers do their part.
func (l *poolLoad) usableWorkers() float64 {
	n := 0
	for _, w := range l.load.Workers {
		if w.Usable {
			n++
		}
	}
	return float64(n)
}

// minVMs is how many VMs a service needs for its lasting tasks alone.
func (l *poolLoad) minVMs() int {
	if l.load.MinWorkers == 0 {
		return minPoolVMs
	}
	return max(minPoolVMs, l.load.MinWorkers+spreadReserveVMs)
}

// meanCapacity is the mean capacity of a pool's workers; where it has none, of its VMs or all.
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

// poolBalance is a pool with what it has and needs.
type poolBalance struct {
	pool          string
	vms           int // VMs that are there or on their way
	needed        int // needed now
	keepFromPools int // needed within keepFor: no other pool gets these
	keepFromSpare int // needed within patientFor: nor does the spare pool
	// minVMs is what lasting tasks need at least.
	minVMs int
	// isBelowMin is set below the floor; such pools come first, as large ones in demand
	// would take all there is.
	isBelowMin bool
}

// planMoves brings VMs where they are needed: from pools that need them less,
// and from the spare pool; what no pool needs goes back to it.
func (c *Core) planMoves(now time.Time) {
	balances := c.balances(now)
	limitToFairShare(balances, c.availableSpares(now))
	slices.SortFunc(balances, func(a, b poolBalance) int {
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
	moves += c.startMovesForUnmetRequirements(balances, maxMoves-moves, now)
	for _, b := range balances {
		for missing := b.needed - b.vms; missing > 0 && moves < maxMoves; missing-- {
			vm, ok := c.findDonor(balances, b.pool, now)
			if !ok {
				break
			}
			c.startMove(vm, b.pool, balances, now, fmt.Sprintf("%s has %d usable VMs and needs %d", b.pool, b.vms, b.needed))
			moves++
		}
	}
	if c.sparePool == "" {
		return
	}
	for i := range balances {
		for balances[i].vms > balances[i].keepFromSpare && moves < maxMoves {
			vm, ok := c.leastUsedVM(balances[i].pool, true, now)
			if !ok {
				break
			}
			b := balances[i]
			c.startMove(vm, c.sparePool, balances, now, fmt.Sprintf("%s has %d usable VMs and has needed %d for a while", b.pool, b.vms, b.keepFromSpare))
			moves++
		}
	}
}

func (c *Core) startMove(vm workload.VM, targetPool string, balances []poolBalance, now time.Time, reason string) {
	c.operations[vm.ID] = &operation{vm: vm.ID, reason: reason, sourcePool: vm.Pool, worker: vm.Worker, targetPool: targetPool, phaseSince: now, moveExpiresAt: now.Add(moveDrainTimeout)}
	for i := range balances {
		if balances[i].pool == vm.Pool {
			balances[i].vms--
		}
		if balances[i].pool == targetPool {
			balances[i].vms++
		}
	}
}

// balances lists the pools whose load is known.
func (c *Core) balances(now time.Time) []poolBalance {
	var list []poolBalance
	for pool, l := range c.poolLoads {
		if pool == c.sparePool || now.Sub(l.receivedAt) > maxLoadAge {
			continue
		}
		b := poolBalance{pool: pool, minVMs: l.minVMs()}
		for _, vm := range c.vms {
			n := c.countFor(vm, pool, now)
			b.vms += n
			if op := c.operations[vm.ID]; n > 0 && op != nil && op.wave != 0 && op.hadLongRunning {
				// It is about to be maintained, or is, and its lasting tasks need another
				// one for seconds. With the floor's alone they would wait for each
				// other, and the wave's next VMs for them.
				b.minVMs++
			}
		}
		b.needed, b.keepFromPools, b.keepFromSpare = max(l.forecastNeed, b.minVMs), b.minVMs, b.minVMs
		for _, n := range l.needHistory {
			b.keepFromSpare = max(b.keepFromSpare, n.vms)
			if now.Sub(n.at) <= poolReleaseDelay {
				b.keepFromPools = max(b.keepFromPools, n.vms)
			}
		}
		b.isBelowMin = b.vms < b.minVMs
		if now.Sub(l.firstReceivedAt) < spareReleaseDelay {
			b.keepFromSpare = max(b.keepFromSpare, b.vms) // not long enough known to be idle
		}
		list = append(list, b)
	}
	return list
}

// countFor is 1 for a VM that a pool has or will have when what is under way ends.
func (c *Core) countFor(vm workload.VM, pool string, now time.Time) int {
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

// hasUsableWorker tells whether a VM's worker does its part for its pool, or is about to.
// The platform lists VMs as up whose worker has crashed or is cut off.
func (c *Core) hasUsableWorker(vm workload.VM, now time.Time) bool {
	if now.Sub(c.workerFirstListedAt[vm.Worker]) < workerJoinTimeout {
		return true
	}
	l := c.poolLoads[vm.Pool]
	return l != nil && l.load.Workers[vm.Worker].Usable
}

// isAvailableSpare tells whether a VM of the spare pool can be had.
func (c *Core) isAvailableSpare(vm workload.VM, now time.Time) bool {
	isAway := vm.State == workload.VMMoving || vm.State == workload.VMMaintenance
	return c.sparePool != "" && vm.Pool == c.sparePool && c.operations[vm.ID] == nil && !isAway && c.canOrder(vm.ID, now)
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

// findDonor finds a VM for a pool: first a spare one, then one that idles in a pool
// that has more than it needs.
func (c *Core) findDonor(balances []poolBalance, targetPool string, now time.Time) (workload.VM, bool) {
	if vm, ok := c.bestSpareVM(targetPool, now); ok {
		return vm, true
	}
	for i := len(balances) - 1; i >= 0; i-- {
		b := balances[i]
		if b.pool == targetPool || b.vms <= b.keepFromPools {
			continue
		}
		if vm, ok := c.leastUsedVM(b.pool, false, now); ok {
			return vm, true
		}
	}
	return workload.VM{}, false
}

// isMovable tells whether a VM may be taken from its pool, whose load is l: it does
// its part there and has no lasting task, which would have to be stopped.
func (c *Core) isMovable(vm workload.VM, l *poolLoad, now time.Time) bool {
	if vm.State != workload.VMUp || vm.Worker == "" || c.operations[vm.ID] != nil || !c.canOrder(vm.ID, now) {
		return false
	}
	load, known := l.load.Workers[vm.Worker]
	return known && load.Usable && load.LongRunningRuns == 0
}

// leastUsedVM finds the VM of a pool that is emptied soonest: the one with the least
// in use. Lasting tasks would have to be stopped, so VMs with such are left.
// With bare, nothing at all may run there.
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
