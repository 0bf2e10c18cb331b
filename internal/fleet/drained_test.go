package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against an order ending the tasks of a replacement worker: the worker has crashed and its owner reports it
// as drained without an answer from it, while the list, which is out of date, still names it. The VM may be ordered
// only on a list that was requested later.
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

// Guards against tasks being ended by an order based on the drain state of the VM's previous worker: the state was
// reported before the list showed the next worker.
func TestDrainStateOfPreviousWorkerDoesNotCountForItsSuccessor(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetLoad(newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-2": {Usable: true}}), startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime), fleet.DrainWorker), 1)
	c.HandleDrainResult("vm-1", "w-1", workload.Drained, startTime.Add(100*time.Millisecond))
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-2")}, startTime.Add(200*time.Millisecond))
	for _, at := range []time.Duration{200, 300, 400} {
		assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(at*time.Millisecond)), fleet.MaintainVM), "the owner has not answered for w-2")
	}
}

// Guards against tasks being ended by an order because a worker has exited while VMs can't be listed: its owner has
// just detected the exit and reports the worker as drained, and an older load still names the worker.
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
	assert.Len(t, actionsWithVerb(c.Step(later.Add(200*time.Millisecond)), fleet.MaintainVM), 1, "a later list names the worker")
}

// Guards against a wave that makes no progress for seconds, and a pool that lacks a VM, because a VM comes back with a
// worker of the same ID. A list in between has shown the VM as under maintenance.
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
	assert.Empty(t, actionsWithVerb(c.Step(stale), fleet.DrainWorker), "no list has shown the VM as under maintenance, so this list may be out of date")

	inMaintenance := upVM("vm-1", "booking", "")
	inMaintenance.State = workload.VMMaintenance
	c.SetVMs([]workload.VM{inMaintenance, upVM("vm-2", "booking", "w-2")}, stale.Add(100*time.Millisecond))
	assert.Empty(t, actionsWithVerb(c.Step(stale.Add(100*time.Millisecond)), fleet.DrainWorker))

	back := stale.Add(500 * time.Millisecond)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}, back)
	next := actionsWithVerb(c.Step(back), fleet.DrainWorker)
	require.Len(t, next, 1, "the wave must go on")
	assert.Equal(t, "vm-2", next[0].VM)
}

// Guards against tasks being ended by an order: a spare VM's move was carried out while VMs can't be listed. Its answer
// may be lost. The list still shows the VM in the spare pool, but tasks run on it.
func TestSpareVMIsNotOrderedAgainOnAnEarlierList(t *testing.T) {
	for _, result := range []fleet.OrderResult{fleet.OrderAccepted, fleet.OrderOutcomeUnknown} {
		c := newCore()
		c.SetVMs([]workload.VM{upVM("vm-1", "spare", "")}, startTime)
		needVMs := func(now time.Time) {
			for _, pool := range []string{"booking", "returns"} {
				c.SetLoad(newLoad(pool, 0, 64, 0, nil), now)
			}
		}
		needVMs(startTime)
		require.Len(t, actionsWithVerb(c.Step(startTime), fleet.MoveVM), 1)
		answeredAt := startTime.Add(2 * time.Second)
		c.HandleOrderResult("vm-1", result, answeredAt)
		now := answeredAt
		for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
			now = answeredAt.Add(at)
			needVMs(now)
			require.Empty(t, actionsWithVerb(c.Step(now), fleet.MoveVM), "%s after result %d", at, result)
		}
		c.SetVMs([]workload.VM{upVM("vm-1", "spare", "")}, now)
		assert.Len(t, actionsWithVerb(c.Step(now), fleet.MoveVM), 1, "a later list shows that it is in the spare pool")
	}
}
