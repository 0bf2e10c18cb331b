package fleet

import (
	"fmt"
	"math"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// startMovesForUnmetRequirements moves VMs to pools whose tasks wait for want of VMs that may run them,
// for their label or size. The pool's load alone would bring any VMs, which these
// tasks can't use, and they would wait however many it gets. It begins limit moves
// at most and returns how many it has begun.
func (c *Core) startMovesForUnmetRequirements(balances []poolBalance, limit int, now time.Time) int {
	started := 0
	for i := range balances {
		b := &balances[i]
		l := c.poolLoads[b.pool]
		for _, requirement := range l.load.UnmetRequirements {
			for n := c.vmsRequired(b.pool, requirement) - c.vmsInTransit(b.pool, requirement, now); n > 0 && started < limit; n-- {
				vm, ok := c.findCapableVM(b.pool, requirement, balances, now)
				if !ok {
					break
				}
				c.startMove(vm, b.pool, balances, now, fmt.Sprintf("%s has no room for tasks with label %q", b.pool, requirement.Label))
				b.keepFromSpare = max(b.keepFromSpare, b.vms) // it is not to send another one away for it
				started++
			}
		}
	}
	return started
}

// vmsRequired is how many VMs of a kind a pool is to get.
func (c *Core) vmsRequired(pool string, requirement workload.UnmetRequirement) int {
	if requirement.NoFeasibleWorker {
		return 1
	}
	demanded, size := c.poolLoads[pool].load.DemandByLabel[requirement.Label], c.meanCapacity(pool)
	return max(1, int(math.Ceil(shareOf(demanded, size))))
}

// vmsInTransit is how many VMs that may run what a pool lacks are on their way to it, or
// have come just now.
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

// findCapableVM finds a VM elsewhere that may run what a pool lacks: a spare one, else the
// one with the least in use. Where the pool has some such VMs, others give theirs
// only if they have more than they need, or nothing runs there.
func (c *Core) findCapableVM(pool string, requirement workload.UnmetRequirement, balances []poolBalance, now time.Time) (workload.VM, bool) {
	for _, vm := range c.vms {
		if c.isAvailableSpare(vm, now) && vm.CanRun(requirement, c.effectiveCapacity(vm)) {
			return vm, true
		}
	}
	var leastUsed workload.VM
	found := false
	leastUse := 0.0
	for _, b := range balances {
		l := c.poolLoads[b.pool]
		if b.pool == pool || requirement.Label != "" && l.load.DemandByLabel[requirement.Label].CPU > 0 {
			continue // it would take the VM back at once, and each move costs seconds
		}
		for _, vm := range c.vms {
			if vm.Pool != b.pool || !vm.CanRun(requirement, c.effectiveCapacity(vm)) || !c.isMovable(vm, l, now) {
				continue
			}
			use := l.utilization(vm)
			if !requirement.NoFeasibleWorker && b.vms <= b.keepFromPools && use > 0 {
				continue
			}
			if !found || use < leastUse {
				leastUsed, leastUse, found = vm, use, true
			}
		}
	}
	return leastUsed, found
}

// bestSpareVM finds the spare VM whose labels are asked for most in a pool, as its
// kind and the rack of the data; any where none is.
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

// demandedCPU is how much processor time waiting tasks of a pool ask for with a VM's
// labels, in thousandths of a core.
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
