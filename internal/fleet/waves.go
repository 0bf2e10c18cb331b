package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// planWaves takes VMs into maintenance, as many at once as the wave's time asks
// for and its cap allows.
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
	c.operations[vm.ID] = &operation{vm: vm.ID, sourcePool: vm.Pool, worker: vm.Worker, wave: s.wave.Number, hadLongRunning: hasLongRunning, phaseSince: now}
}

// maxLongRunningDrainsPerPool is how many VMs with lasting tasks are emptied at once in each pool. A
// step may miss a task or two at a time, so such VMs follow one another however many
// are closed; the second and third keep the steps that the first has none of moving.
const maxLongRunningDrainsPerPool = 3

// startLongRunningMaintenance takes VMs with lasting tasks into maintenance from the wave's beginning
// on. Emptying one takes about a second, in which others of its pool must wait. Taken
// last, as the most costly ones, they would end long after all others: 25 of them in a
// pool take 25 s, whatever time the rest of the wave has left.
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
	capLeft := s.wave.MaxConcurrent - c.vmsUnderMaintenance(s, now)
	for _, pool := range slices.Sorted(maps.Keys(pendingByPool)) {
		for ; capLeft > 0 && startedByPool[pool] < maxLongRunningDrainsPerPool; startedByPool[pool]++ {
			vm, ok := c.cheapestVM(pendingByPool[pool], now)
			if !ok {
				break
			}
			c.startMaintenance(s, vm, now)
			capLeft--
		}
	}
}

// pendingVMs lists the VMs of a wave that have not begun and are there.
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

// WorkersByPool are, by pool, the workers whose VMs are yet to begin their maintenance.
type WorkersByPool map[string][]string

// WorkersDueForMaintenance lists the workers that are to leave in a wave.
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

// targetConcurrency is how many VMs of a wave are to be under way at once: enough to be done
// in its share of the time, and no more, as each takes room from its pool.
func (c *Core) targetConcurrency(s *waveProgress, vmsLeft int, now time.Time) int {
	targetTime := time.Duration(float64(s.wave.Window) * waveTargetShare)
	timeLeft := max(time.Second, targetTime-now.Sub(s.firstSeenAt))
	timePerVM := c.settings.MaintenanceTime + drainAndReturnTime
	n := int(math.Ceil(float64(vmsLeft) * float64(timePerVM) / float64(timeLeft)))
	slowDrains := 0
	for _, op := range c.operations {
		if op.wave == s.wave.Number && op.phase == phaseDraining && now.Sub(op.phaseSince) > slowDrainThreshold {
			slowDrains++ // it waits for others' tasks; another VM goes on meanwhile
		}
	}
	return min(n+slowDrains, max(1, s.wave.MaxConcurrent))
}

// vmsUnderMaintenance is how many VMs of a wave are away or about to be. An earlier owner's
// orders count, too: by the list, and where they are too new for it by the word
// that was stored ahead of them. Its moves don't: at a peak it has moved more VMs just
// before than the wave may have away, and the wave would stand still for seconds
// after each change of the owner.
func (c *Core) vmsUnderMaintenance(s *waveProgress, now time.Time) int {
	n, count := s.wave.Number, 0
	for _, id := range s.wave.VMs {
		op := c.operations[id]
		isOurs := op != nil && op.wave == n
		if isOurs || c.vmsByID[id].State == workload.VMMaintenance || op == nil && c.earlierOrders[id].canBelongTo(n) && !c.canOrder(id, now) {
			count++
		}
	}
	return count
}

// canBelongTo tells whether the order may have been one of a wave.
func (o earlierOrder) canBelongTo(wave int64) bool { return o.wave == wave || o.wave == UnknownWave }

// cheapestVM picks the VM whose absence costs least: one without work, else one of the
// pool with the most room left over.
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

// absentVMCost weighs a VM of a pool that others are already away from.
const absentVMCost = 1.0

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
			cost += absentVMCost
		}
	}
	return cost
}

// queueWaveStores stores what has changed of the waves.
func (c *Core) queueWaveStores() {
	for _, n := range c.waveNumbers() {
		s := c.waves[n]
		if s.wave.VMs == nil {
			continue // only an earlier owner's report of it was read so far
		}
		state := workload.WaveRunning
		if len(c.vms) > 0 && len(c.pendingVMs(s)) == 0 && !c.hasOrderInFlight(n) {
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
		c.actions = append(c.actions, Action{Verb: StoreWave, Wave: n, State: state, DoneVMs: doneVMs})
	}
}

// hasOrderInFlight tells whether an order of a wave is in flight.
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

// HandleStoreFailure takes back that a wave's state was stored.
func (c *Core) HandleStoreFailure(wave int64) { c.dirtyWaves[wave] = true }
