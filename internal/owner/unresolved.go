package owner

import (
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// unresolvedWorker is a worker that may run tasks of an earlier owner.
type unresolvedWorker struct {
	id string
	// capacity is the most that its tasks may reserve, zero if it is unknown.
	capacity workload.Resources
}

// unresolvedWorkers returns the workers that may run tasks of an earlier owner: those that a VM lists,
// and registered workers that are not stale. ownsService reports whether a service's jobs are in the
// partition; a service's VMs form the pool of the same name.
//
// Registry entries outlive their workers by some seconds, mainly those of VMs that were just moved or
// maintained. Such a worker never answers, and waiting for it would delay jobs by a lease. A registered
// worker that no VM lists is stale unless a VM is left that it could run on: one of its pool and its rack.
// A move to another pool ends the VM's worker, and a VM keeps its rack.
func unresolvedWorkers(registered []workload.Worker, vms []workload.VM, ownsService func(service string) bool) []unresolvedWorker {
	listed := map[string]*workload.VM{} // by worker
	var unaccounted []workload.VM
	for i := range vms {
		vm := &vms[i]
		if vm.Worker != "" {
			listed[vm.Worker] = vm
		}
		if !isAccountedFor(vm) {
			unaccounted = append(unaccounted, *vm)
		}
	}
	var unresolved []unresolvedWorker
	for i := range vms {
		if vm := &vms[i]; vm.Worker != "" && ownsService(vm.Pool) {
			unresolved = append(unresolved, unresolvedWorker{vm.Worker, vm.Capacity})
		}
	}
	for _, w := range registered {
		if !ownsService(w.Service) {
			continue
		}
		if vm := listed[w.ID]; vm != nil {
			i := slices.IndexFunc(unresolved, func(u unresolvedWorker) bool { return u.id == w.ID })
			if i >= 0 {
				unresolved[i].capacity = unresolved[i].capacity.Max(w.Capacity)
			}
			continue
		}
		mayRunOn := func(vm workload.VM) bool {
			return vm.Pool == w.Service && (!isRackKnown(w, vms) || len(vm.Labels) == 0 || slices.Contains(vm.Labels, w.Rack()))
		}
		if len(vms) == 0 || slices.ContainsFunc(unaccounted, mayRunOn) {
			unresolved = append(unresolved, unresolvedWorker{w.ID, w.Capacity})
		}
	}
	return unresolved
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
