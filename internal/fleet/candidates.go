package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// moveCandidates are the VMs that one step may move. They are collected once, because a step may move
// hundreds of VMs out of thousands. A VM is a candidate until it has an operation.
type moveCandidates struct {
	isCollected bool
	spares      candidateList
	byPool      map[string]*candidateList // least used first
}

// candidateList is a list of candidates, of which the first few may have operations by now.
type candidateList struct {
	vms  []movableVM
	next int // no VM before it is a candidate
}

// movableVM is a VM that may be taken from its pool.
type movableVM struct {
	vm          *workload.VM
	utilization float64
	isIdle      bool // nothing runs on it
}

// collect collects, once, the available spare VMs and the movable VMs of all pools with a recent load. Most steps
// move nothing and need none.
func (c *Core) collect(found *moveCandidates, now time.Time) {
	if found.isCollected {
		return
	}
	found.isCollected = true
	found.byPool = map[string]*candidateList{}
	for i := range c.vms {
		vm := &c.vms[i]
		if c.isAvailableSpare(*vm, now) {
			found.spares.vms = append(found.spares.vms, movableVM{vm: vm, isIdle: true})
			continue
		}
		l := c.poolLoads[vm.Pool]
		if vm.Pool == c.sparePool || l == nil || now.Sub(l.receivedAt) > maxLoadAge || !c.isMovable(*vm, l, now) {
			continue
		}
		if found.byPool[vm.Pool] == nil {
			found.byPool[vm.Pool] = &candidateList{}
		}
		list := found.byPool[vm.Pool]
		list.vms = append(list.vms, movableVM{vm: vm, utilization: l.utilization(*vm), isIdle: l.load.Workers[vm.Worker].Runs == 0})
	}
	for _, list := range found.byPool {
		slices.SortStableFunc(list.vms, func(a, b movableVM) int { return cmp.Compare(a.utilization, b.utilization) })
	}
}

// first returns the first candidate of the list that is suitable.
func (c *Core) first(list *candidateList, isSuitable func(m movableVM) bool) (workload.VM, bool) {
	for list.next < len(list.vms) && c.operations[list.vms[list.next].vm.ID] != nil {
		list.next++
	}
	for _, m := range list.vms[list.next:] {
		if c.operations[m.vm.ID] == nil && isSuitable(m) {
			return *m.vm, true
		}
	}
	return workload.VM{}, false
}

// findVMFor finds a VM for a pool: a spare VM, otherwise the least used VM of a pool that has more than its
// minBeforeDonating.
func (c *Core) findVMFor(candidates *moveCandidates, plans []poolPlan, targetPool string, now time.Time) (workload.VM, bool) {
	c.collect(candidates, now)
	if vm, ok := c.bestSpareVM(candidates, targetPool); ok {
		return vm, true
	}
	for i := len(plans) - 1; i >= 0; i-- {
		p := plans[i]
		if p.pool == targetPool || p.vms <= p.minBeforeDonating {
			continue
		}
		if vm, ok := c.leastUsedVM(candidates, p.pool, false, now); ok {
			return vm, true
		}
	}
	return workload.VM{}, false
}

// bestSpareVM finds the spare VM for whose labels, such as its kind or its rack, the waiting tasks of a pool ask
// for the most processor time. If they ask for no label, it returns any spare VM.
func (c *Core) bestSpareVM(candidates *moveCandidates, targetPool string) (workload.VM, bool) {
	best, found := c.first(&candidates.spares, func(movableVM) bool { return true })
	l := c.poolLoads[targetPool]
	if !found || l == nil || len(l.load.DemandByLabel) == 0 {
		return best, found
	}
	mostDemanded := c.demandedCPU(targetPool, best)
	for _, m := range candidates.spares.vms[candidates.spares.next:] {
		if demanded := c.demandedCPU(targetPool, *m.vm); demanded > mostDemanded && c.operations[m.vm.ID] == nil {
			best, mostDemanded = *m.vm, demanded
		}
	}
	return best, true
}

// leastUsedVM finds the movable VM of a pool with the lowest utilization, which takes the least time to drain.
// With onlyIdle, it considers only VMs on which nothing runs.
func (c *Core) leastUsedVM(candidates *moveCandidates, pool string, onlyIdle bool, now time.Time) (workload.VM, bool) {
	c.collect(candidates, now)
	list := candidates.byPool[pool]
	if list == nil {
		return workload.VM{}, false
	}
	return c.first(list, func(m movableVM) bool { return m.isIdle || !onlyIdle })
}
