package owner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

func ownsBooking(service string) bool { return service == "booking" }

func workersWithIDs(ids ...string) []workload.Worker {
	var list []workload.Worker
	for _, id := range ids {
		list = append(list, workload.Worker{ID: id, Service: "booking"})
	}
	return list
}

// unresolvedIDs returns the IDs of the unresolved workers of the service booking.
func unresolvedIDs(registered []workload.Worker, vms []workload.VM) []string {
	var ids []string
	for _, u := range unresolvedWorkers(registered, vms, ownsBooking) {
		ids = append(ids, u.ID)
	}
	return ids
}

// All nodes were killed, and the new owner finds registry entries of VMs that moved away a
// second ago. Each VM has a worker or is moving, so the entries are stale and no job waits
// for them.
func TestStaleEntriesWithoutVMAreNotUnresolved(t *testing.T) {
	vms := []workload.VM{
		{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"},
		{ID: "vm-2", Pool: "returns", State: workload.VMMoving},
		{ID: "vm-3", Pool: "returns", State: workload.VMUp, Worker: "w-9"},
		{ID: "vm-4", Pool: "spare", State: workload.VMUp},
	}
	assert.Equal(t, []string{"w-1"}, unresolvedIDs(workersWithIDs("w-1", "w-2"), vms))
}

// A VM that is listed as down may be partitioned from the platform and still run tasks. An
// entry that belongs to no listed VM may be its worker, so the owner waits for it.
func TestUnlistedEntriesAreUnresolvedWhileAVMIsUnaccountedFor(t *testing.T) {
	vms := []workload.VM{
		{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"},
		{ID: "vm-2", Pool: "booking", State: workload.VMDown},
	}
	assert.Equal(t, []string{"w-1", "w-2"}, unresolvedIDs(workersWithIDs("w-1", "w-2"), vms))
}

// Without the list of VMs no entry can be ruled out.
func TestAllEntriesAreUnresolvedWithoutVMList(t *testing.T) {
	assert.Equal(t, []string{"w-1", "w-2"}, unresolvedIDs(workersWithIDs("w-1", "w-2"), nil))
}

// A rack goes dark while VMs are moved between pools. Entries of VMs that have left the pool, or that were
// in other racks, can't belong to the dark VMs, and no job waits for them.
func TestDarkVMAccountsForEntriesOfItsPoolAndRackOnly(t *testing.T) {
	capacity := workload.Resources{CPU: 64000}
	vms := []workload.VM{
		{ID: "vm-1", Pool: "booking", State: workload.VMDown, Worker: "w-1", Labels: []string{"a", "rack-1"}, Capacity: capacity},
		{ID: "vm-2", Pool: "returns", State: workload.VMDown, Labels: []string{"a", "rack-2"}},
	}
	registered := []workload.Worker{
		{ID: "w-2", Service: "booking", Labels: []string{"a", "rack-1"}},
		{ID: "w-3", Service: "booking", Labels: []string{"a", "rack-2"}},
		{ID: "w-4", Service: "booking"},
		{ID: "w-5", Service: "booking", Labels: []string{"a", "rack-9"}}, // no VM names its rack
	}
	assert.Equal(t, []string{"w-1", "w-2", "w-4", "w-5"}, unresolvedIDs(registered, vms))
	assert.Equal(t, capacity, unresolvedWorkers(registered, vms, ownsBooking)[0].Capacity)
}

// Guards against a task that starts again while a next process of its worker may carry its first start out, and against
// one that waits for a worker whose VM is gone or has another one.
func TestWorkersHaveEndedOnceNoVMMayHaveThem(t *testing.T) {
	up := workload.VM{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"}
	for _, c := range []struct {
		name  string
		vms   []workload.VM
		ended []string
	}{
		{"no list", nil, nil},
		{"a listed VM is down", []workload.VM{{ID: "vm-1", Pool: "booking", State: workload.VMDown, Worker: "w-1"}}, nil},
		{"another VM is down", []workload.VM{up, {ID: "vm-2", Pool: "booking", State: workload.VMDown}}, nil},
		{"a VM of another pool is down", []workload.VM{up, {ID: "vm-2", Pool: "returns", State: workload.VMDown}}, []string{"w-2"}},
		{"its VM has another worker", []workload.VM{up, {ID: "vm-2", Pool: "booking", State: workload.VMUp, Worker: "w-3"}}, []string{"w-2"}},
		{"its VM is gone", []workload.VM{up}, []string{"w-2"}},
	} {
		assert.Equal(t, c.ended, endedWorkers(workersWithIDs("w-1", "w-2"), c.vms), c.name)
	}
}
