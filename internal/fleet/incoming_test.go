package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against jobs that are rejected although VMs for them are on their way.
func TestIncomingCapacityIsThatOfMovingVMs(t *testing.T) {
	c := newCore()
	vm := func(id, pool string, state workload.VMState) workload.VM {
		v := upVM(id, pool, "")
		v.State, v.Capacity = state, workload.Resources{CPU: 64000, MemoryMB: 1000}
		return v
	}
	c.SetVMs([]workload.VM{
		vm("vm-1", "booking", workload.VMUp),
		vm("vm-2", "booking", workload.VMMoving),
		vm("vm-3", "booking", workload.VMMaintenance),
		vm("vm-4", "spare", workload.VMMoving),
		vm("vm-5", "returns", workload.VMDown),
	}, startTime)
	assert.Equal(t, fleet.CapacityByPool{"booking": {CPU: 128000, MemoryMB: 2000}}, c.IncomingByPool())
}
