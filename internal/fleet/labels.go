package fleet

import (
	"fmt"
	"math"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// startMovesForUnmetRequirements moves VMs to pools whose tasks wait for a label or size that none
// of their free VMs has. The pool's load alone would bring any VMs; these tasks can't use those and
// would wait however many came. It starts at most limit moves and returns how many it has started.
func (c *Core) startMovesForUnmetRequirements(plans []poolPlan, limit int, now time.Time) int {
	started := 0
	for i := range plans {
		b := &plans[i]
		l := c.poolLoads[b.pool]
		for _, requirement := range l.load.UnmetRequirements {
			for n := c.vmsRequired(b.pool, requirement) - c.vmsInTransit(b.pool, requirement, now); n > 0 && started < limit; n-- {
				vm, ok := c.findCapableVM(b.pool, requirement, plans, now)
				if !ok {
					break
				}
				c.startMove(vm, b.pool, plans, now, fmt.Sprintf("%s has no free capacity for tasks with label %q", b.pool, requirement.Label))
				b.minBeforeReturning = max(b.minBeforeReturning, b.vms) // the pool must not send another VM away for it
				started++
			}
		}
	}
	return started
}

// vmsRequired returns how many VMs that meet a requirement a pool must get.
func (c *Core) vmsRequired(pool string, requirement workload.UnmetRequirement) int {
	if requirement.NoFeasibleWorker {
		return 1
	}
	demanded, size := c.poolLoads[pool].load.DemandByLabel[requirement.Label], c.meanCapacity(pool)
	return max(1, int(math.Ceil(shareOf(demanded, size))))
}

// vmsInTransit returns how many VMs that meet a requirement are on their way to a pool or have just
// joined it.
func (c *Core) vmsInTransit(pool string, requirement workload.UnmetRequirement, now time.Time) int {
	n := 0
	for _, vm := range c.vms {
		if !vm.CanRun(requirement, c.effectiveCapacity(vm)) {
			continue
		}
		op := c.operations[vm.ID]
		isMoving := op != nil && op.wave == 0
		hasJustJoined := vm.State == workload.VMMoving || now.Sub(c.workerFirstListedAt[vm.Worker]) < workerJoinTimeout
		if isMoving && op.targetPool == pool || !isMoving && vm.Pool == pool && hasJustJoined {
			n++
		}
	}
	return n
}

// findCapableVM finds a VM outside of a pool that meets the pool's requirement: a spare VM, otherwise
// the VM with the least in use. If the pool has feasible workers already, other pools give a VM only
// if they have more than they need or nothing runs on it.
func (c *Core) findCapableVM(pool string, requirement workload.UnmetRequirement, plans []poolPlan, now time.Time) (workload.VM, bool) {
	for _, vm := range c.vms {
		if c.isAvailableSpare(vm, now) && vm.CanRun(requirement, c.effectiveCapacity(vm)) {
			return vm, true
		}
	}
	var leastUsed workload.VM
	found := false
	leastUse := 0.0
	for _, b := range plans {
		l := c.poolLoads[b.pool]
		if b.pool == pool || requirement.Label != "" && l.load.DemandByLabel[requirement.Label].CPU > 0 {
			continue // that pool would take the VM back at once, and each move costs seconds
		}
		for _, vm := range c.vms {
			if vm.Pool != b.pool || !vm.CanRun(requirement, c.effectiveCapacity(vm)) || !c.isMovable(vm, l, now) {
				continue
			}
			use := l.utilization(vm)
			if !requirement.NoFeasibleWorker && b.vms <= b.minBeforeDonating && use > 0 {
				continue
			}
			if !found || use < leastUse {
				leastUsed, leastUse, found = vm, use, true
			}
		}
	}
	return leastUsed, found
}

// bestSpareVM finds the spare VM whose labels, such as its kind or its rack, are in the highest demand
// in a pool; any spare VM if no label is in demand.
func (c *Core) bestSpareVM(pool string, now time.Time) (workload.VM, bool) {
	var best workload.VM
	found := false
	bestDemandedCPU := 0
	for _, vm := range c.vms {
		if !c.isAvailableSpare(vm, now) {
			continue
		}
		if demandedCPU := c.demandedCPU(pool, vm); !found || demandedCPU > bestDemandedCPU {
			best, bestDemandedCPU, found = vm, demandedCPU, true
		}
	}
	return best, found
}

// demandedCPU returns how much processor time, in millicores, the waiting tasks of a pool ask for with
// the labels of a VM.
func (c *Core) demandedCPU(pool string, vm workload.VM) int {
	l := c.poolLoads[pool]
	if l == nil {
		return 0
	}
	sum := 0
	for _, label := range vm.Labels {
		sum += l.load.DemandByLabel[label].CPU
	}
	return sum
}
