package owner

import (
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// unresolvedWorkers returns the IDs of the workers that may run tasks of an earlier owner:
// those that a VM lists, and registered workers that are not stale. ownsService reports
// whether a service's jobs are in the partition; a service's VMs form the pool of the same
// name.
//
// Registry entries outlive their workers by some seconds, mainly those of VMs that were
// just moved or maintained. Such a worker never answers, and waiting for it would delay
// all jobs by a lease. A registered worker that no VM lists is stale if every VM is
// accounted for: none is down, and each VM outside the spare pool has a worker, is moving
// or is in maintenance. Then no VM is left that the worker could run on.
func unresolvedWorkers(registered []workload.Worker, vms []workload.VM, sparePool string, ownsService func(service string) bool) []string {
	workersOnVMs := map[string]bool{}
	allVMsAccountedFor := len(vms) > 0
	var unresolved []string
	for _, vm := range vms {
		if vm.Worker != "" {
			workersOnVMs[vm.Worker] = true
		}
		if vm.Worker != "" && ownsService(vm.Pool) {
			unresolved = append(unresolved, vm.Worker)
		}
		changing := vm.State == workload.VMMoving || vm.State == workload.VMMaintenance
		if vm.Worker == "" && !changing && vm.Pool != sparePool || vm.State == workload.VMDown {
			allVMsAccountedFor = false
		}
	}
	for _, w := range registered {
		if ownsService(w.Service) && !workersOnVMs[w.ID] && !allVMsAccountedFor {
			unresolved = append(unresolved, w.ID)
		}
	}
	return unresolved
}
