package owner

import (
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// unresolvedWorkers returns the workers that may run what an earlier owner started: the
// workers on the list of VMs and the registered workers. ownsService reports whether a
// service's jobs are in the partition.
//
// Registry entries outlive their workers by some seconds, mainly those of VMs that were
// just moved or maintained. Such a worker never answers, and waiting for it would delay
// all jobs by a lease. If each VM outside of the spare pool has a worker, or is moving or
// in maintenance, then a registered worker that the list of VMs doesn't name is stale: no
// VM is left that it could run on.
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
