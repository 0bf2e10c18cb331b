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
	assert.Equal(t, []string{"w-1"}, unresolvedWorkers(workersWithIDs("w-1", "w-2"), vms, "spare", ownsBooking))
}

// A VM that is listed as down may be partitioned from the platform and still run tasks. An
// entry that belongs to no listed VM may be its worker, so the owner waits for it.
func TestUnlistedEntriesAreUnresolvedWhileAVMIsUnaccountedFor(t *testing.T) {
	vms := []workload.VM{
		{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"},
		{ID: "vm-2", Pool: "booking", State: workload.VMDown},
	}
	assert.Equal(t, []string{"w-1", "w-2"}, unresolvedWorkers(workersWithIDs("w-1", "w-2"), vms, "spare", ownsBooking))
}

// Without the list of VMs no entry can be ruled out.
func TestAllEntriesAreUnresolvedWithoutVMList(t *testing.T) {
	assert.Equal(t, []string{"w-1", "w-2"}, unresolvedWorkers(workersWithIDs("w-1", "w-2"), nil, "spare", ownsBooking))
}
