package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

func withLabels(vm workload.VM, labels ...string) workload.VM {
	vm.Labels = labels
	return vm
}

func idleWorkers(ids ...string) map[string]workload.WorkerLoad {
	workers := map[string]workload.WorkerLoad{}
	for _, id := range ids {
		workers[id] = workload.WorkerLoad{Usable: true}
	}
	return workers
}

// Guards against a task waiting forever for a kind of VM that its pool doesn't have: by its load, the pool needs no more
// VMs. The pool must get exactly one VM of that kind, here the least used VM of another pool.
func TestPoolGetsOneVMForAnUnmetRequirement(t *testing.T) {
	c := newCore()
	c.SetVMs([]workload.VM{
		withLabels(upVM("vm-1", "booking", "w-1"), "a", "rack-1"), withLabels(upVM("vm-2", "booking", "w-2"), "a", "rack-1"),
		withLabels(upVM("vm-3", "returns", "w-3"), "b", "rack-1"), withLabels(upVM("vm-4", "returns", "w-4"), "b", "rack-2"),
		withLabels(upVM("vm-5", "spare", ""), "a", "rack-2"),
	}, startTime)
	booking := newLoad("booking", 0, 0, 0, idleWorkers("w-1", "w-2"))
	booking.UnmetRequirements = []workload.UnmetRequirement{{Label: "b", Resources: workload.Resources{CPU: 1000}, NoFeasibleWorker: true}}
	returns := newLoad("returns", 9000, 0, 0, idleWorkers("w-3", "w-4"))
	busy := returns.Workers["w-3"]
	busy.Reserved = workload.Resources{CPU: 9000}
	returns.Workers["w-3"] = busy
	c.SetLoad(booking, startTime)
	c.SetLoad(returns, startTime)
	drains := actionsWithVerb(c.Step(startTime), fleet.DrainWorker)
	require.Len(t, drains, 1)
	assert.Equal(t, "vm-4", drains[0].VM)
	assert.Empty(t, actionsWithVerb(c.Step(startTime), fleet.MoveVM))
	c.HandleDrainResult("vm-4", "w-4", workload.Drained, startTime)
	moves := actionsWithVerb(c.Step(startTime), fleet.MoveVM)
	require.Len(t, moves, 1)
	assert.Equal(t, "booking", moves[0].Pool)
}

// A pool needs another VM, and most of its waiting tasks have their data in one rack. It must get the spare VM of that
// rack: on other VMs these tasks take twice as long.
func TestSpareVMInTheRackOfTheDataIsMovedFirst(t *testing.T) {
	c := newCore()
	c.SetVMs([]workload.VM{
		withLabels(upVM("vm-1", "booking", "w-1"), "a", "rack-1"), withLabels(upVM("vm-2", "booking", "w-2"), "a", "rack-1"),
		withLabels(upVM("vm-3", "spare", ""), "a", "rack-2"), withLabels(upVM("vm-4", "spare", ""), "a", "rack-3"),
	}, startTime)
	booking := newLoad("booking", 64000, 20000, 0, idleWorkers("w-1", "w-2"))
	booking.DemandByLabel = map[string]workload.Resources{"rack-3": {CPU: 12000}, "rack-2": {CPU: 1000}}
	c.SetLoad(booking, startTime)
	moves := actionsWithVerb(c.Step(startTime), fleet.MoveVM)
	require.NotEmpty(t, moves)
	assert.Equal(t, "vm-4", moves[0].VM)
}

// Most waiting tasks of a pool need VMs with one label. The pool's VMs with that label are full, its others idle. It
// must get idle VMs with that label from another pool, as many as the waiting tasks need.
func TestPoolGetsMoreVMsOfTheLabelThatIsFull(t *testing.T) {
	c := newCore()
	vms := []workload.VM{
		withLabels(upVM("vm-1", "booking", "w-1"), "a", "rack-1"), withLabels(upVM("vm-2", "booking", "w-2"), "b", "rack-1"),
		withLabels(upVM("vm-3", "booking", "w-3"), "b", "rack-1"), withLabels(upVM("vm-4", "returns", "w-4"), "a", "rack-2"),
		withLabels(upVM("vm-5", "returns", "w-5"), "a", "rack-2"), withLabels(upVM("vm-6", "returns", "w-6"), "b", "rack-2"),
		withLabels(upVM("vm-7", "returns", "w-7"), "b", "rack-2"),
	}
	c.SetVMs(vms, startTime.Add(-time.Minute))
	c.SetVMs(vms, startTime)
	booking := newLoad("booking", 32000, 60000, 0, idleWorkers("w-1", "w-2", "w-3"))
	booking.DemandByLabel = map[string]workload.Resources{"a": {CPU: 60000}}
	booking.UnmetRequirements = []workload.UnmetRequirement{{Label: "a", Resources: workload.Resources{CPU: 2000}}}
	c.SetLoad(booking, startTime)
	c.SetLoad(newLoad("returns", 0, 0, 0, idleWorkers("w-4", "w-5", "w-6", "w-7")), startTime)
	var drained []string
	for _, a := range actionsWithVerb(c.Step(startTime), fleet.DrainWorker) {
		drained = append(drained, a.VM)
	}
	assert.Equal(t, []string{"vm-4", "vm-5"}, drained)
}
