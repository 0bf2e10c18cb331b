package fleet

import (
	"fmt"
	"math"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// startMovesForUnmetRequirements moves VMs to pools whose tasks wait for a label or size that none
// of the pool's free VMs has. The pool's load alone would bring VMs of any kind, which these tasks
// can't use. It starts at most limit moves and returns how many it has started.
func (c *Core) startMovesForUnmetRequirements(plans []poolPlan, limit int, now time.Time) int {
	started := 0
	for i := range plans {
		p := &plans[i]
		l := c.poolLoads[p.pool]
		for _, requirement := range l.load.UnmetRequirements {
			for n := c.vmsRequired(p.pool, requirement) - c.vmsInTransit(p.pool, requirement, now); n > 0 && started < limit; n-- {
				vm, ok := c.findCapableVM(p.pool, requirement, plans, now)
				if !ok {
					break
				}
				c.startMove(vm, p.pool, plans, now, fmt.Sprintf("%s has no free capacity for tasks with label %q", p.pool, requirement.Label))
				p.minBeforeReturning = max(p.minBeforeReturning, p.vms) // the pool returns no other VM in exchange
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
// the VM with the lowest utilization. If the pool already has a worker that meets the requirement,
// another pool gives a VM only if it has more than minBeforeDonating or nothing is in use on the VM.
func (c *Core) findCapableVM(pool string, requirement workload.UnmetRequirement, plans []poolPlan, now time.Time) (workload.VM, bool) {
	for _, vm := range c.vms {
		if c.isAvailableSpare(vm, now) && vm.CanRun(requirement, c.effectiveCapacity(vm)) {
			return vm, true
		}
	}
	var leastUsed workload.VM
	found := false
	leastUse := 0.0
	for _, p := range plans {
		l := c.poolLoads[p.pool]
		if p.pool == pool || requirement.Label != "" && l.load.DemandByLabel[requirement.Label].CPU > 0 {
			continue // that pool would take the VM back at once, and each move takes seconds
		}
		for _, vm := range c.vms {
			if vm.Pool != p.pool || !vm.CanRun(requirement, c.effectiveCapacity(vm)) || !c.isMovable(vm, l, now) {
				continue
			}
			use := l.utilization(vm)
			if !requirement.NoFeasibleWorker && p.vms <= p.minBeforeDonating && use > 0 {
				continue
			}
			if !found || use < leastUse {
				leastUsed, leastUse, found = vm, use, true
			}
		}
	}
	return leastUsed, found
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
