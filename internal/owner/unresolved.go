package owner

import (
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// unresolvedWorkers returns the workers that may run what an earlier owner started:
// those that the list of VMs names, and those that are registered. owns tells
// whether a service's jobs lie in the partition.
//
// Entries outlive their workers by some seconds, above all those of VMs that were
// just moved or maintained. Such a worker never answers, and waiting for it would
// hold all jobs up for a lease. Where each VM that is not in the spare pool has a
// worker, or is moving or in maintenance, an entry that belongs to none of these
// workers is such a rest: no VM is left that it could run on.
func unresolvedWorkers(registered []workload.Worker, vms []workload.VM, sparePool string, ownsService func(service string) bool) []string {
	listedWorkers := map[string]bool{}
	allVMsAccountedFor := len(vms) > 0
	var unresolved []string
	for _, vm := range vms {
		if vm.Worker != "" {
			listedWorkers[vm.Worker] = true
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
		if ownsService(w.Service) && !listedWorkers[w.ID] && !allVMsAccountedFor {
			unresolved = append(unresolved, w.ID)
		}
	}
	return unresolved
}
