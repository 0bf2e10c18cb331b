package fleet

import "github.com/yuccadrift/yuccadrift/internal/workload"

// CapacityByPool is a capacity for each pool.
type CapacityByPool map[string]workload.Resources

// IncomingByPool returns the capacity of the VMs that are on their way to each pool: ordered there, moving, or
// in maintenance.
func (c *Core) IncomingByPool() CapacityByPool {
	incoming := CapacityByPool{}
	for _, vm := range c.vms {
		pool := ""
		switch op := c.operations[vm.ID]; {
		case op != nil && op.wave == 0:
			pool = op.targetPool
		case vm.State == workload.VMMoving || vm.State == workload.VMMaintenance:
			pool = vm.Pool
		}
		if pool != "" && pool != c.sparePool {
			incoming[pool] = incoming[pool].Add(vm.Capacity)
		}
	}
	return incoming
}
