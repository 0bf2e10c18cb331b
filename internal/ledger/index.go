package ledger

import (
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// addTo stores v under the outer and inner key and creates the inner map if
// needed.
func addTo[V any](m map[string]map[string]V, outer, inner string, v V) {
	if m[outer] == nil {
		m[outer] = map[string]V{}
	}
	m[outer][inner] = v
}

// rebuildIndexes computes all indexes from the state.
func (s *State) rebuildIndexes() {
	s.poolVMs = map[string]map[string]*VM{}
	s.poolUnavailable = map[string]map[string]*VM{}
	s.freeVMs = map[string]*VM{}
	s.workerJobs = map[string]map[string]*Job{}
	s.poolJobs = map[string]map[string]*Job{}
	s.teamUse = map[teamKey]Resources{}
	s.queuedJobs = map[string]int{}
	s.Retired = map[record.Subject]Head{}
	for _, r := range s.RetireQueue {
		if r.Head.Revision != 0 {
			s.Retired[r.Subject] = r.Head
		}
	}
	for _, vm := range s.VMs {
		s.indexVM(vm)
	}
	s.indexJobs()
}

// indexVM adds a VM to the indexes for its pool, phase and health. unindexVM
// must be called before any of these changes.
func (s *State) indexVM(vm *VM) {
	if vm.Pool == "" {
		if !vm.Down {
			s.freeVMs[vm.ID] = vm
		}
		return
	}
	addTo(s.poolVMs, vm.Pool, vm.ID, vm)
	if !vm.Serving() {
		addTo(s.poolUnavailable, vm.Pool, vm.ID, vm)
	}
}

func (s *State) unindexVM(vm *VM) {
	delete(s.freeVMs, vm.ID)
	removeFrom(s.poolVMs, vm.Pool, vm.ID)
	removeFrom(s.poolUnavailable, vm.Pool, vm.ID)
}

// changeVM runs change, which may change the VM's pool, phase or health, and
// updates indexes and accounts.
func (s *State) changeVM(vm *VM, change func()) {
	old := vm.Pool
	s.unindexVM(vm)
	change()
	s.indexVM(vm)
	s.updateAccount(old)
	if vm.Pool != old {
		s.updateAccount(vm.Pool)
	}
	if vm.Pool == "" || old == "" {
		s.updateReserveAccount()
	}
}

// removeFrom deletes inner from the map under outer, and that map once it is
// empty.
func removeFrom[V any](m map[string]map[string]V, outer, inner string) {
	delete(m[outer], inner)
	if len(m[outer]) == 0 {
		delete(m, outer)
	}
}
