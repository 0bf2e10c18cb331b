package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// planWaves starts the maintenance of VMs, as many at once as each wave needs to finish in time, at most
// its MaxConcurrent.
func (c *Core) planWaves(now time.Time) {
	for _, n := range c.waveNumbers() {
		s := c.waves[n]
		if s.reportedState == workload.WaveCompleted {
			continue
		}
		pending := c.pendingVMs(s)
		if len(pending) == 0 {
			continue
		}
		c.startLongRunningMaintenance(s, pending, now)
		for c.vmsUnderMaintenance(s, now) < c.targetConcurrency(s, len(pending), now) {
			vm, ok := c.cheapestVM(pending, now)
			if !ok {
				break
			}
			c.startMaintenance(s, vm, now)
		}
	}
}

func (c *Core) startMaintenance(s *waveProgress, vm workload.VM, now time.Time) {
	l := c.poolLoads[vm.Pool]
	hasLongRunning := l != nil && l.load.Workers[vm.Worker].LongRunningRuns > 0
	c.operations[vm.ID] = &operation{vm: vm.ID, sourcePool: vm.Pool, worker: vm.Worker, wave: s.wave.Number, hadLongRunning: hasLongRunning, phaseSince: now, begunAt: now}
}

// maxLongRunningDrainsPerPool is how many VMs with long-running tasks are drained at once in each pool.
// MaxUnavailable lets only a task or two of a step be unavailable at a time, so such VMs are drained one
// after another, however many drains have begun. With three, steps without a task on the first VM can move
// their tasks away from the others meanwhile.
const maxLongRunningDrainsPerPool = 3

// startLongRunningMaintenance starts the maintenance of VMs with long-running tasks from the start of the
// wave. Draining one takes about a second, during which others of its pool must wait: 25 of them in a pool
// take 25 s. As the VMs with the highest maintenanceCost they would otherwise come last, and end after the
// wave's window.
func (c *Core) startLongRunningMaintenance(s *waveProgress, pending []workload.VM, now time.Time) {
	pendingByPool := map[string][]workload.VM{}
	startedByPool := map[string]int{}
	for _, vm := range pending {
		l := c.poolLoads[vm.Pool]
		if l == nil || l.load.Workers[vm.Worker].LongRunningRuns == 0 {
			continue
		}
		if op := c.operations[vm.ID]; op != nil {
			startedByPool[vm.Pool]++
			continue
		}
		pendingByPool[vm.Pool] = append(pendingByPool[vm.Pool], vm)
	}
	concurrencyLeft := s.wave.MaxConcurrent - c.vmsUnderMaintenance(s, now)
	for _, pool := range slices.Sorted(maps.Keys(pendingByPool)) {
		for ; concurrencyLeft > 0 && startedByPool[pool] < maxLongRunningDrainsPerPool; startedByPool[pool]++ {
			vm, ok := c.cheapestVM(pendingByPool[pool], now)
			if !ok {
				break
			}
			c.startMaintenance(s, vm, now)
			concurrencyLeft--
		}
	}
}

// pendingVMs returns the listed VMs of a wave whose maintenance has not been ordered.
func (c *Core) pendingVMs(s *waveProgress) []workload.VM {
	var pending []workload.VM
	for _, id := range s.wave.VMs {
		vm, known := c.vmsByID[id]
		if s.doneVMs[id] || !known {
			continue
		}
		pending = append(pending, vm)
	}
	return pending
}

// WorkersByPool lists workers by their pool.
type WorkersByPool map[string][]string

// WorkersDueForMaintenance returns the workers whose VMs belong to a wave and have not had their maintenance
// ordered.
func (c *Core) WorkersDueForMaintenance() WorkersByPool {
	workers := WorkersByPool{}
	for _, s := range c.waves {
		for _, vm := range c.pendingVMs(s) {
			if vm.Worker != "" && vm.Pool != c.sparePool {
				workers[vm.Pool] = append(workers[vm.Pool], vm.Worker)
			}
		}
	}
	return workers
}

// targetConcurrency returns how many VMs of a wave must be under maintenance at once for the wave to be done
// within waveTargetShare of its window, at most MaxConcurrent. It is not higher than necessary because each
// VM takes capacity from its pool.
func (c *Core) targetConcurrency(s *waveProgress, vmsLeft int, now time.Time) int {
	targetTime := time.Duration(float64(s.wave.Window) * waveTargetShare)
	timeLeft := max(time.Second, targetTime-now.Sub(s.firstSeenAt))
	timePerVM := c.settings.MaintenanceTime + drainAndReturnTime
	n := int(math.Ceil(float64(vmsLeft) * float64(timePerVM) / float64(timeLeft)))
	slowDrains := 0
	for _, op := range c.operations {
		if op.wave == s.wave.Number && op.phase == phaseDraining && now.Sub(op.phaseSince) > slowDrainThreshold {
			slowDrains++ // the drain waits for tasks on other VMs; another VM is maintained meanwhile
		}
	}
	return min(n+slowDrains, max(1, s.wave.MaxConcurrent))
}

// vmsUnderMaintenance returns how many VMs of a wave are under maintenance or being drained for it. VMs that
// an earlier owner ordered for the wave count as well: by the list, or, if the order is too recent for the
// list, by the record stored before the order. An earlier owner's moves don't count: at a peak it may just
// have moved more VMs than MaxConcurrent, and the wave would make no progress for seconds after each change
// of owner. While the list lacks VMs, those that aren't listed may be under maintenance.
func (c *Core) vmsUnderMaintenance(s *waveProgress, now time.Time) int {
	n, count := s.wave.Number, 0
	for _, id := range s.wave.VMs {
		op := c.operations[id]
		isOurs := op != nil && op.wave == n
		vm, isListed := c.vmsByID[id]
		if isOurs || c.lacksVMs && !isListed || vm.State == workload.VMMaintenance || op == nil && c.earlierOrders[id].canBelongTo(n) && !c.canOrder(id, now) {
			count++
		}
	}
	return count
}

// canBelongTo reports whether the order may have been given for a wave.
func (o earlierOrder) canBelongTo(wave int64) bool { return o.wave == wave || o.wave == UnknownWave }

// cheapestVM returns the VM with the lowest maintenanceCost of those that can be ordered now.
func (c *Core) cheapestVM(pending []workload.VM, now time.Time) (workload.VM, bool) {
	best, lowestCost := -1, 0.0
	for i, vm := range pending {
		if c.operations[vm.ID] != nil || !c.canOrder(vm.ID, now) || vm.State != workload.VMUp && !(vm.State == workload.VMDown && vm.Worker == "") {
			continue
		}
		cost := c.maintenanceCost(vm)
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	if best < 0 {
		return workload.VM{}, false
	}
	return pending[best], true
}

// unavailableVMCost is added to the maintenanceCost of a VM for each VM of its pool with an operation under
// way.
const unavailableVMCost = 1.0

// maintenanceCost returns a measure of what the pool of a VM loses while the VM is unavailable. It is 0 for a
// VM without a worker and for a spare VM. For others it grows with the utilization, the number of
// long-running tasks and the operations on VMs of the pool.
func (c *Core) maintenanceCost(vm workload.VM) float64 {
	if vm.Worker == "" || vm.Pool == c.sparePool {
		return 0
	}
	cost := 0.1
	if l := c.poolLoads[vm.Pool]; l != nil {
		cost += l.utilization(vm)
		cost += float64(l.load.Workers[vm.Worker].LongRunningRuns)
	}
	for _, op := range c.operations {
		if op.sourcePool == vm.Pool {
			cost += unavailableVMCost
		}
	}
	return cost
}

// queueWaveStores queues a StoreWave for each wave whose progress has changed.
func (c *Core) queueWaveStores() {
	for _, n := range c.waveNumbers() {
		s := c.waves[n]
		if s.wave.VMs == nil {
			continue // only an earlier owner's record of the wave has been read so far
		}
		state := workload.WaveRunning
		if len(c.vms) > 0 && len(c.pendingVMs(s)) == 0 && !c.hasOrderInFlight(n) && !c.mayListMoreVMs(s) {
			state = workload.WaveCompleted
		}
		if state == s.reportedState && !c.dirtyWaves[n] {
			continue
		}
		s.reportedState = state
		delete(c.dirtyWaves, n)
		doneVMs := make([]string, 0, len(s.doneVMs))
		for vm := range s.doneVMs {
			doneVMs = append(doneVMs, vm)
		}
		slices.Sort(doneVMs)
		c.actions = append(c.actions, Action{Verb: StoreWave, Wave: n, State: state, DoneVMs: doneVMs, FirstSeenAt: s.firstSeenAt})
	}
}

// mayListMoreVMs reports whether VMs of a wave are not listed and may exist all the same: the list lacks VMs, or was
// requested before an owner learned of the wave, and VMs may have been added since.
func (c *Core) mayListMoreVMs(s *waveProgress) bool {
	if !c.lacksVMs && !c.vmListRequestedAt.Before(s.firstSeenAt) {
		return false
	}
	return slices.ContainsFunc(s.wave.VMs, func(id string) bool {
		_, isListed := c.vmsByID[id]
		return !isListed && !s.doneVMs[id]
	})
}

// hasOrderInFlight reports whether an order of a wave is in flight.
func (c *Core) hasOrderInFlight(wave int64) bool {
	for _, op := range c.operations {
		if op.wave == wave && op.phase == phaseOrderInFlight {
			return true
		}
	}
	return false
}

func (c *Core) waveNumbers() []int64 {
	numbers := make([]int64, 0, len(c.waves))
	for n := range c.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// HandleStoreFailure records that the progress of a wave could not be stored. The next Step stores it again.
func (c *Core) HandleStoreFailure(wave int64) { c.dirtyWaves[wave] = true }
