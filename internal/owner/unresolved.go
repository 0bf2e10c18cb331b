package owner

import (
	"context"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// vmListRetryInterval is the pause before VMs are listed again after a takeover. It grows by half each time: all
// owners of a system may take over at once, and the service that lists VMs limits the rate of calls.
const vmListRetryInterval = 300 * time.Millisecond

// findUnresolvedWorkers finds the workers that may run tasks of an earlier owner and tells the core. A worker
// that is partitioned from the platform may have no registry entry and still run tasks, so only the list of
// VMs shows whether all workers are known. It is read again until it does or until all earlier leases have
// expired. The list must be requested after the fence.
func (o *Owner) findUnresolvedWorkers(ctx context.Context, until time.Time) {
	for pause := vmListRetryInterval; ctx.Err() == nil && time.Now().Before(until); pause += pause / 2 {
		vms, err := o.deps.VMs.List(ctx)
		if err != nil {
			o.logger.Warn("VMs can't be listed at takeover, jobs of earlier owners wait", "error", err)
		} else {
			registered := o.deps.Registry.Snapshot(time.Now()).Workers
			workers, isComplete := unresolvedWorkers(registered, vms, o.mayRunTasks), areWorkersKnown(vms, o.mayRunTasks)
			o.enqueue(ctx, func(c *scheduler.Core, _ time.Time) { c.SetUnresolvedWorkers(workers, isComplete) })
			if isComplete {
				return
			}
		}
		wait.Pause(ctx, min(pause, time.Until(until)))
	}
}

// unresolvedWorkers returns the workers that may run tasks of an earlier owner: those that a VM lists,
// and registered workers that are not stale. ownsService reports whether a service's jobs are in the
// partition; a service's VMs form the pool of the same name.
//
// Registry entries outlive their workers by some seconds, mainly those of VMs that were just moved or
// maintained. Such a worker never answers, and waiting for it would delay jobs by a lease. A registered
// worker that no VM lists is stale unless a VM is left that it could run on: one of its pool and its rack.
// A move to another pool ends the VM's worker, and a VM keeps its rack.
func unresolvedWorkers(registered []workload.Worker, vms []workload.VM, ownsService func(service string) bool) []scheduler.UnresolvedWorker {
	listed := map[string]*workload.VM{} // by worker
	for i := range vms {
		if vm := &vms[i]; vm.Worker != "" {
			listed[vm.Worker] = vm
		}
	}
	var unresolved []scheduler.UnresolvedWorker
	for i := range vms {
		if vm := &vms[i]; vm.Worker != "" && ownsService(vm.Pool) {
			unresolved = append(unresolved, scheduler.UnresolvedWorker{ID: vm.Worker, Service: vm.Pool, Capacity: vm.Capacity})
		}
	}
	for _, w := range registered {
		if !ownsService(w.Service) {
			continue
		}
		if vm := listed[w.ID]; vm != nil {
			i := slices.IndexFunc(unresolved, func(u scheduler.UnresolvedWorker) bool { return u.ID == w.ID })
			if i >= 0 {
				unresolved[i].Capacity = unresolved[i].Capacity.Max(w.Capacity)
			}
			continue
		}
		if mayHaveVM(w, vms) {
			unresolved = append(unresolved, scheduler.UnresolvedWorker{ID: w.ID, Service: w.Service, Capacity: w.Capacity})
		}
	}
	return unresolved
}

// mayHaveVM reports whether a worker that no VM lists may have one of the VMs: one of its pool and its rack of which
// it isn't known which worker it runs. An empty list shows nothing.
func mayHaveVM(w workload.Worker, vms []workload.VM) bool {
	return len(vms) == 0 || slices.ContainsFunc(vms, func(vm workload.VM) bool {
		return !isAccountedFor(&vm) && (w.Service == "" || vm.Pool == w.Service) && (!isRackKnown(w, vms) || len(vm.Labels) == 0 || slices.Contains(vm.Labels, w.Rack()))
	})
}

// endedWorkers returns the IDs of the workers whose processes have ended for good by the list of VMs: no VM lists them
// or may have them. A VM that is down may start its worker again under the same ID.
func endedWorkers(workers []workload.Worker, vms []workload.VM) []string {
	var ended []string
	for _, w := range workers {
		isListed := slices.ContainsFunc(vms, func(vm workload.VM) bool { return vm.Worker == w.ID })
		if !isListed && !mayHaveVM(w, vms) {
			ended = append(ended, w.ID)
		}
	}
	return ended
}

// areWorkersKnown reports whether it is known which workers run on the VMs of the partition's services. An
// empty list shows nothing.
func areWorkersKnown(vms []workload.VM, ownsService func(service string) bool) bool {
	return len(vms) > 0 && !slices.ContainsFunc(vms, func(vm workload.VM) bool { return ownsService(vm.Pool) && !isAccountedFor(&vm) })
}

// isAccountedFor reports whether it is known which worker runs on a VM, if any. A VM that is down may be
// partitioned from the platform and still run the worker that it had.
func isAccountedFor(vm *workload.VM) bool {
	isChanging := vm.State == workload.VMMoving || vm.State == workload.VMMaintenance
	return vm.State != workload.VMDown && (vm.Worker != "" || isChanging)
}

// isRackKnown reports whether a worker's rack is one of the VMs' labels. The worker's own VM has it.
func isRackKnown(w workload.Worker, vms []workload.VM) bool {
	rack := w.Rack()
	return rack != "" && slices.ContainsFunc(vms, func(vm workload.VM) bool { return slices.Contains(vm.Labels, rack) })
}
