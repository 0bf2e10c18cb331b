package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// HoldReason is why a VM of a wave has no order yet.
type HoldReason string

// Reasons that hold a VM's order back.
const (
	HeldByTurn             HoldReason = "the wave maintains other VMs first"
	HeldByEarlierOrder     HoldReason = "an earlier owner has ordered it too recently"
	HeldByState            HoldReason = "it is not up"
	HeldByMissingWorker    HoldReason = "no worker is listed on it"
	HeldByOrderInFlight    HoldReason = "the answer to its order is awaited"
	HeldByRefusedOrder     HoldReason = "its last order was not carried out"
	HeldByMissingAnswer    HoldReason = "the owner of its worker has not answered lately"
	HeldByTasks            HoldReason = "its worker may run tasks"
	HeldByUnconfirmedDrain HoldReason = "its worker does not answer, and no later list of VMs shows that it is the same"
)

// maxMaintenanceWait is how long a VM of a wave may be without an order, from the start of its drain or, if it is
// not drained yet, from the end of the wave's window. A drain takes a few seconds.
const maxMaintenanceWait = 10 * time.Second

// OverdueVM is a VM of a wave that has been without an order for longer than maxMaintenanceWait.
type OverdueVM struct {
	VM, Worker string
	Wave       int64
	Reason     HoldReason
	Wait       time.Duration
}

// OverdueVMs returns the VMs of all waves that are overdue, by wave and VM.
func (c *Core) OverdueVMs(now time.Time) []OverdueVM {
	var overdue []OverdueVM
	for n, s := range c.waves {
		windowEnd := s.firstSeenAt.Add(s.wave.Window)
		if windowEnd.Before(c.startedAt) {
			windowEnd = c.startedAt
		}
		for _, vm := range c.pendingVMs(s) {
			op, since := c.operations[vm.ID], windowEnd
			if op != nil && op.wave == n {
				since = op.begunAt
			}
			if wait := now.Sub(since); wait > maxMaintenanceWait {
				overdue = append(overdue, OverdueVM{VM: vm.ID, Worker: vm.Worker, Wave: n, Reason: c.holdReason(vm, op, now), Wait: wait})
			}
		}
	}
	slices.SortFunc(overdue, func(a, b OverdueVM) int { return cmp.Or(cmp.Compare(a.Wave, b.Wave), cmp.Compare(a.VM, b.VM)) })
	return overdue
}

// holdReason returns what holds the order of a VM back now. op is its operation, nil if there is none.
func (c *Core) holdReason(vm workload.VM, op *operation, now time.Time) HoldReason {
	switch {
	case op != nil && op.phase == phaseOrderInFlight:
		return HeldByOrderInFlight
	case op != nil && now.Before(op.retryAt):
		return HeldByRefusedOrder
	case !c.canOrder(vm.ID, now):
		return HeldByEarlierOrder
	case vm.State != workload.VMUp:
		return HeldByState
	case vm.Worker == "" && !c.isSpare(vm):
		return HeldByMissingWorker
	case op == nil || op.wave == 0:
		return HeldByTurn
	case op.worker != vm.Worker || now.Sub(op.drainRequestedAt) >= drainStateValidity:
		return HeldByMissingAnswer
	case op.drainState == workload.NotDrained:
		return HeldByTasks
	default:
		return HeldByUnconfirmedDrain
	}
}

// missingWorkerTimeout is how long lists must have shown no worker on a VM before its maintenance is ordered without
// a drain. A worker that starts is listed within some seconds.
const missingWorkerTimeout = 10 * time.Second

// recordMissingWorkers records since which list VMs have been shown as up without a worker.
func (c *Core) recordMissingWorkers(requestedAt time.Time) {
	since := make(map[string]time.Time)
	for _, vm := range c.vms {
		if vm.State != workload.VMUp || vm.Worker != "" || vm.Pool == c.sparePool {
			continue
		}
		since[vm.ID] = requestedAt
		if at, known := c.workerMissingSince[vm.ID]; known {
			since[vm.ID] = at
		}
	}
	c.workerMissingSince = since
}

// hasNoWorker reports whether a VM is known to have no worker, and so to run nothing.
func (c *Core) hasNoWorker(vm workload.VM, now time.Time) bool {
	since, missing := c.workerMissingSince[vm.ID]
	return missing && c.vmListRequestedAt.Sub(since) >= missingWorkerTimeout && now.Sub(c.vmListRequestedAt) < maxVMListAge
}
