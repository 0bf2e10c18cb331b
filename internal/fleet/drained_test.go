package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker has crashed and its owner has forgotten it, while the list of VMs, which lags,
// names it still. Its successor may be there and run tasks. The word that such a worker
// is empty says nothing of the successor: the VM is ordered only on a list that was asked
// for later.
func TestUnconfirmedDrainNeedsALaterVMList(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	c.SetLoad(newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-2": {Usable: true}}), startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime), fleet.DrainWorker), 1)

	c.HandleDrainResult("vm-1", "w-1", workload.DrainedUnconfirmed, startTime.Add(100*time.Millisecond))
	assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(200*time.Millisecond)), fleet.MaintainVM))
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime.Add(250*time.Millisecond))
	c.HandleDrainResult("vm-1", "w-1", workload.DrainedUnconfirmed, startTime.Add(300*time.Millisecond))
	assert.Len(t, actionsWithVerb(c.Step(startTime.Add(400*time.Millisecond)), fleet.MaintainVM), 1)
}

// Guards against tasks being cut by an order that rests on what was said of the worker that
// its VM had before: the word came when the next worker was listed already.
func TestDrainStateOfPreviousWorkerDoesNotCountForItsSuccessor(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetLoad(newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-2": {Usable: true}}), startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime), fleet.DrainWorker), 1)
	c.HandleDrainResult("vm-1", "w-1", workload.Drained, startTime.Add(100*time.Millisecond))
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-2")}, startTime.Add(200*time.Millisecond))
	for _, at := range []time.Duration{200, 300, 400} {
		assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(at*time.Millisecond)), fleet.MaintainVM), "its owner hasn't answered for w-2")
	}
}

// Guards against tasks being cut as a worker has ended while VMs can't be listed: its owner
// has just found that out and says that nothing runs there, and an older load names it still.
func TestExitedWorkerIsNotTreatedAsPresentByAnOlderLoad(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	later := startTime.Add(2 * time.Second)
	c.SetLoad(newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true}}), later.Add(-150*time.Millisecond))
	require.Len(t, actionsWithVerb(c.Step(later), fleet.DrainWorker), 1)
	c.HandleDrainResult("vm-1", "w-1", workload.DrainedUnconfirmed, later)
	assert.Empty(t, actionsWithVerb(c.Step(later.Add(100*time.Millisecond)), fleet.MaintainVM))
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, later.Add(150*time.Millisecond))
	assert.Len(t, actionsWithVerb(c.Step(later.Add(200*time.Millisecond)), fleet.MaintainVM), 1, "a later list names it")
}

// Guards against a wave that stands still for seconds, or a pool without a VM that it has, as
// a VM comes back with a worker of the same ID: the list has shown it as away.
func TestVMThatReturnsWithTheSameWorkerIDIsRecognized(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1", "vm-2")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}, startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime), fleet.DrainWorker), 1)
	c.HandleDrainResult("vm-1", "w-1", workload.Drained, startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime), fleet.MaintainVM), 1)
	c.HandleOrderResult("vm-1", fleet.OrderAccepted, startTime)

	stale := startTime.Add(maintenanceTime + 100*time.Millisecond)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}, stale)
	assert.Empty(t, actionsWithVerb(c.Step(stale), fleet.DrainWorker), "no list has shown it as away: this one may lag")

	away := upVM("vm-1", "booking", "")
	away.State = workload.VMMaintenance
	c.SetVMs([]workload.VM{away, upVM("vm-2", "booking", "w-2")}, stale.Add(100*time.Millisecond))
	assert.Empty(t, actionsWithVerb(c.Step(stale.Add(100*time.Millisecond)), fleet.DrainWorker))

	back := stale.Add(500 * time.Millisecond)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}, back)
	next := actionsWithVerb(c.Step(back), fleet.DrainWorker)
	require.Len(t, next, 1, "the wave goes on")
	assert.Equal(t, "vm-2", next[0].VM)
}
