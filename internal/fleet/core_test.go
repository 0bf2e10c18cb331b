package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

var startTime = time.UnixMilli(1_700_000_000_000)

const (
	migrationTime   = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	quietPeriod     = 3 * time.Second
)

var vmSize = workload.Resources{CPU: 32000, MemoryMB: 65536}

func newCore() *fleet.Core {
	c := fleet.New(fleet.Settings{MigrationTime: migrationTime, MaintenanceTime: maintenanceTime, EarlierOrderQuietPeriod: quietPeriod}, startTime)
	c.SetConfig(&workload.Config{Services: []workload.Service{{Name: "booking"}, {Name: "returns"}, {Name: "spare", Standby: true}}})
	return c
}

func upVM(id, pool, worker string) workload.VM {
	return workload.VM{ID: id, Pool: pool, State: workload.VMUp, Capacity: vmSize, Worker: worker}
}

func actionsWithVerb(actions []fleet.Action, verb fleet.Verb) []fleet.Action {
	var out []fleet.Action
	for _, a := range actions {
		if a.Verb == verb {
			out = append(out, a)
		}
	}
	return out
}

func newWave(n int64, maxConcurrent int, vms ...string) workload.Wave {
	return workload.Wave{Number: n, VMs: vms, Window: 20 * time.Second, MaxConcurrent: maxConcurrent}
}

// Guards against tasks being ended by an order: a VM may be ordered only once its worker's owner has reported
// it as drained, and that report does not count for another worker that the list shows by then.
func TestVMIsOrderedOnlyOnceItsWorkerIsDrained(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	actions := c.Step(startTime)
	require.Len(t, actionsWithVerb(actions, fleet.DrainWorker), 1)
	assert.Empty(t, actionsWithVerb(actions, fleet.MaintainVM))

	c.HandleDrainResult("vm-1", "w-1", workload.NotDrained, startTime.Add(100*time.Millisecond))
	assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(200*time.Millisecond)), fleet.MaintainVM))

	c.HandleDrainResult("vm-1", "w-1", workload.Drained, startTime.Add(300*time.Millisecond))
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-2")}, startTime.Add(300*time.Millisecond))
	assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(400*time.Millisecond)), fleet.MaintainVM), "the VM has another worker now")

	c.HandleDrainResult("vm-1", "w-2", workload.Drained, startTime.Add(500*time.Millisecond))
	orders := actionsWithVerb(c.Step(startTime.Add(600*time.Millisecond)), fleet.MaintainVM)
	require.Len(t, orders, 1)
	assert.Equal(t, startTime.Add(1500*time.Millisecond), orders[0].ValidUntil, "the drain state must count for a second")
}

// Guards against tasks being ended by an order because the list is out of date: it shows a VM that has just
// come back without a worker, although tasks may run on it.
func TestVMWithoutListedWorkerIsNotOrdered(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "")}, startTime)
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		require.Empty(t, actionsWithVerb(c.Step(startTime.Add(at)), fleet.MaintainVM), "after %s", at)
	}
}

// Spare VMs are off and need no drain.
func TestSpareVMIsOrderedWithoutDrain(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 2, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "spare", "")}, startTime)
	orders := actionsWithVerb(c.Step(startTime), fleet.MaintainVM)
	require.Len(t, orders, 1)
	assert.Zero(t, orders[0].ValidUntil)
}

// At most MaxConcurrent VMs of a wave may be under maintenance at once, from the order until a list shows the VM
// as back.
func TestWaveNeverExceedsItsMaxConcurrent(t *testing.T) {
	c := newCore()
	ids := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	c.SetWaves([]workload.Wave{{Number: 1, VMs: ids, Window: time.Second, MaxConcurrent: 2}}, startTime)
	list := func(worker string) []workload.VM {
		var vms []workload.VM
		for _, id := range ids {
			vms = append(vms, upVM(id, "booking", worker+id))
		}
		return vms
	}
	c.SetVMs(list("a-"), startTime)
	unavailable := map[string]bool{}
	for at := time.Duration(0); at < 1900*time.Millisecond; at += 100 * time.Millisecond {
		now := startTime.Add(at)
		for _, a := range c.Step(now) {
			switch a.Verb {
			case fleet.DrainWorker:
				c.HandleDrainResult(a.VM, a.Worker, workload.Drained, now)
			case fleet.MaintainVM:
				unavailable[a.VM] = true
				c.HandleOrderResult(a.VM, fleet.OrderAccepted, now)
			}
		}
		require.LessOrEqual(t, len(unavailable), 2)
	}
	require.Len(t, unavailable, 2)
	later := startTime.Add(3 * time.Second)
	c.SetVMs(list("b-"), later)
	assert.NotEmpty(t, c.Step(later), "the next VMs must follow")
}

// A wave is completed once each of its listed VMs has begun its maintenance, and not before.
func TestWaveIsNotCompletedBeforeEveryMaintenanceHasBegun(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 5, "vm-1", "vm-gone")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	stored := actionsWithVerb(c.Step(startTime), fleet.StoreWave)
	require.Len(t, stored, 1)
	assert.Equal(t, workload.WaveRunning, stored[0].State)
	c.HandleDrainResult("vm-1", "w-1", workload.Drained, startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime.Add(100*time.Millisecond)), fleet.MaintainVM), 1)
	assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(200*time.Millisecond)), fleet.StoreWave), "the order is in flight")
	c.HandleOrderResult("vm-1", fleet.OrderAccepted, startTime.Add(300*time.Millisecond))
	stored = actionsWithVerb(c.Step(startTime.Add(400*time.Millisecond)), fleet.StoreWave)
	require.Len(t, stored, 1)
	assert.Equal(t, workload.WaveCompleted, stored[0].State)
	assert.Equal(t, []string{"vm-1"}, stored[0].DoneVMs)
}

// An order without an answer may have been carried out. It must be repeated after another drain request.
func TestOrderWithUnknownOutcomeIsRetriedAfterAnotherDrain(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	c.Step(startTime)
	c.HandleDrainResult("vm-1", "w-1", workload.Drained, startTime)
	require.Len(t, actionsWithVerb(c.Step(startTime), fleet.MaintainVM), 1)
	c.HandleOrderResult("vm-1", fleet.OrderOutcomeUnknown, startTime.Add(time.Second))
	later := startTime.Add(2 * time.Second)
	require.Len(t, actionsWithVerb(c.Step(later), fleet.DrainWorker), 1)
	c.HandleDrainResult("vm-1", "w-1", workload.Drained, later)
	assert.Len(t, actionsWithVerb(c.Step(later), fleet.MaintainVM), 1)
}

// The platform requires a pause between orders of two holders for one VM. A new owner must give no order for the
// VMs that the owner before it ordered recently, and only for these.
func TestNewOwnerDoesNotReorderRecentlyOrderedVMs(t *testing.T) {
	c := newCore()
	c.RecordEarlierOrder("vm-1", 1, startTime.Add(-100*time.Millisecond))
	c.RecordEarlierOrder("vm-2", 1, startTime.Add(-time.Minute))
	c.SetWaves([]workload.Wave{newWave(1, 5, "vm-1", "vm-2", "vm-3")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "spare", ""), upVM("vm-2", "spare", ""), upVM("vm-3", "spare", "")}, startTime)
	ordered := map[string]time.Duration{}
	for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
		for _, a := range actionsWithVerb(c.Step(startTime.Add(at)), fleet.MaintainVM) {
			ordered[a.VM] = at
			c.HandleOrderResult(a.VM, fleet.OrderAccepted, startTime.Add(at))
		}
	}
	assert.Less(t, ordered["vm-2"], time.Second)
	assert.Less(t, ordered["vm-3"], 5*time.Second)
	assert.GreaterOrEqual(t, ordered["vm-1"], quietPeriod)
}

// Maintenance that an earlier owner has ordered must not be ordered again.
func TestNewOwnerDoesNotRepeatStoredMaintenance(t *testing.T) {
	c := newCore()
	c.RestoreWave(1, []string{"vm-1"}, time.Time{}, startTime)
	c.SetWaves([]workload.Wave{newWave(1, 5, "vm-1")}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime)
	actions := c.Step(startTime)
	assert.Empty(t, actionsWithVerb(actions, fleet.DrainWorker))
	stored := actionsWithVerb(actions, fleet.StoreWave)
	require.Len(t, stored, 1)
	assert.Equal(t, workload.WaveCompleted, stored[0].State)
}

func newLoad(pool string, used, waiting int, arrivedCoreMS int64, workers map[string]workload.WorkerLoad) workload.ServiceLoad {
	return workload.ServiceLoad{
		Service:       pool,
		Reserved:      workload.Resources{CPU: used},
		PendingDemand: workload.Resources{CPU: waiting},
		ArrivedWork:   workload.Work{CoreMS: arrivedCoreMS},
		Workers:       workers,
	}
}

// A pool that is short of VMs gets spare VMs first, then idle VMs of other pools. VMs with long-running tasks stay.
func TestPoolShortOfVMsGetsSpareThenIdleVMs(t *testing.T) {
	c := newCore()
	c.SetVMs([]workload.VM{
		upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2"),
		upVM("vm-3", "returns", "w-3"), upVM("vm-4", "returns", "w-4"), upVM("vm-5", "returns", "w-5"),
		upVM("vm-6", "spare", ""),
	}, startTime)
	c.SetLoad(newLoad("returns", 0, 0, 0, map[string]workload.WorkerLoad{"w-3": {Usable: true, Runs: 1, LongRunningRuns: 1}, "w-4": {Usable: true}, "w-5": {Usable: true}}), startTime)
	c.SetLoad(newLoad("booking", 64000, 64000, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true, Runs: 9}, "w-2": {Usable: true, Runs: 9}}), startTime)
	actions := c.Step(startTime)
	moves := actionsWithVerb(actions, fleet.MoveVM)
	require.Len(t, moves, 1)
	assert.Equal(t, "vm-6", moves[0].VM)
	assert.Equal(t, "booking", moves[0].Pool)
	drains := actionsWithVerb(actions, fleet.DrainWorker)
	require.Len(t, drains, 1, "the pool returns must keep two VMs")
	assert.Equal(t, "vm-4", drains[0].VM)
}

// Guards against one pool taking all VMs: two pools need more VMs than there are, one of them far more. Both must
// get the same number, and a third pool must keep the few that it needs.
func TestPoolsShareScarceVMsEqually(t *testing.T) {
	c := newCore()
	c.SetConfig(&workload.Config{Version: 1, Services: []workload.Service{{Name: "booking"}, {Name: "fitting"}, {Name: "returns"}, {Name: "spare", Standby: true}}})
	var vms []workload.VM
	workers := map[string]map[string]workload.WorkerLoad{"booking": {}, "fitting": {}, "returns": {}}
	for i, pool := range []string{"booking", "booking", "fitting", "fitting", "returns", "returns", "spare", "spare", "spare", "spare", "spare", "spare"} {
		name := string(rune('a' + i))
		vm := upVM("vm-"+name, pool, "")
		if pool != "spare" {
			vm.Worker = "w-" + name
			workers[pool][vm.Worker] = workload.WorkerLoad{Usable: true, Runs: 5, Reserved: vmSize}
		}
		vms = append(vms, vm)
	}
	c.SetVMs(vms, startTime)
	c.SetLoad(newLoad("booking", 64000, 9_000_000, 0, workers["booking"]), startTime)
	c.SetLoad(newLoad("fitting", 64000, 300_000, 0, workers["fitting"]), startTime)
	c.SetLoad(newLoad("returns", 10000, 0, 0, workers["returns"]), startTime)
	got := map[string]int{}
	for _, a := range actionsWithVerb(c.Step(startTime), fleet.MoveVM) {
		got[a.Pool]++
	}
	assert.Equal(t, map[string]int{"booking": 3, "fitting": 3}, got)
}

// A pool returns VMs to the spare pool only after it has not needed them for a while.
func TestIdleVMsReturnToTheSparePoolAfterADelay(t *testing.T) {
	c := newCore()
	vms := []workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2"), upVM("vm-3", "booking", "w-3")}
	idle := map[string]workload.WorkerLoad{"w-1": {Usable: true}, "w-2": {Usable: true}, "w-3": {Usable: true}}
	first := time.Duration(-1)
	for at := time.Duration(0); at < 20*time.Second && first < 0; at += 200 * time.Millisecond {
		now := startTime.Add(at)
		c.SetVMs(vms, now)
		used := 0
		if at < 2*time.Second {
			used = 90000
		}
		c.SetLoad(newLoad("booking", used, 0, 0, idle), now)
		if len(actionsWithVerb(c.Step(now), fleet.DrainWorker)) > 0 {
			first = at
		}
	}
	assert.Greater(t, first, 5*time.Second)
	assert.Less(t, first, 15*time.Second)
}

// The platform lists a VM as up whose worker has crashed. Its pool must get another VM.
func TestVMWithoutUsableWorkerIsNotCountedForItsPool(t *testing.T) {
	c := newCore()
	vms := []workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2"), upVM("vm-3", "spare", "")}
	later := startTime.Add(10 * time.Second)
	c.SetVMs(vms, startTime)
	c.SetVMs(vms, later)
	c.SetLoad(newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true}}), later)
	moves := actionsWithVerb(c.Step(later), fleet.MoveVM)
	require.Len(t, moves, 1)
	assert.Equal(t, "booking", moves[0].Pool)
}

// Guards against a wave exceeding its MaxConcurrent after its owner is killed while VMs of the wave are under
// maintenance. The new owner must count the VMs that the list shows as under maintenance, and those ordered so
// recently that the list may not show it yet.
func TestNewOwnerCountsVMsUnderMaintenanceTowardMaxConcurrent(t *testing.T) {
	c := newCore()
	c.RecordEarlierOrder("vm-2", 1, startTime.Add(-50*time.Millisecond))
	c.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-1", "vm-2", "vm-3", "vm-4"}, Window: time.Second, MaxConcurrent: 2}}, startTime)
	inMaintenance := upVM("vm-1", "booking", "")
	inMaintenance.State = workload.VMMaintenance
	c.SetVMs([]workload.VM{inMaintenance, upVM("vm-2", "booking", "w-2"), upVM("vm-3", "booking", "w-3"), upVM("vm-4", "booking", "w-4")}, startTime)
	actions := c.Step(startTime.Add(100 * time.Millisecond))
	assert.Empty(t, actionsWithVerb(actions, fleet.DrainWorker))
	assert.Empty(t, actionsWithVerb(actions, fleet.MaintainVM))
}

// Guards against a drain that never ends: the task on the VM waits until another task of its step runs again, which
// finds no free capacity in the pool. The pool must get another VM, since the VM being drained accepts no tasks.
func TestPoolGetsAnotherVMWhenOneCannotBeDrained(t *testing.T) {
	c := newCore()
	vms := []workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2"), upVM("vm-3", "spare", "")}
	workers := map[string]workload.WorkerLoad{"w-1": {Usable: true, Runs: 1, LongRunningRuns: 1}, "w-2": {Usable: true, Runs: 1, LongRunningRuns: 1}}
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	var moved []fleet.Action
	for at := time.Duration(0); at < 5*time.Second; at += 200 * time.Millisecond {
		now := startTime.Add(at)
		c.SetVMs(vms, now)
		c.SetLoad(newLoad("booking", 1000, 1000, 0, workers), now)
		for _, a := range c.Step(now) {
			switch a.Verb {
			case fleet.DrainWorker:
				c.HandleDrainResult(a.VM, a.Worker, workload.NotDrained, now)
			case fleet.MoveVM:
				moved = append(moved, a)
			}
		}
	}
	require.NotEmpty(t, moved)
	assert.Equal(t, "vm-3", moved[0].VM)
	assert.Equal(t, "booking", moved[0].Pool)
}

// Guards against jobs waiting because the workers of a pool report that half of their capacity is gone for a while,
// while the list of VMs still shows the full capacity. Its workers count as fuller, and the pool must get more VMs.
func TestPoolWithShrunkWorkersGetsMoreVMs(t *testing.T) {
	half := workload.Resources{CPU: vmSize.CPU / 2, MemoryMB: vmSize.MemoryMB / 2}
	movesWith := func(size workload.Resources, shrunk *workload.Resources) int {
		c := newCore()
		vms := []workload.VM{upVM("vm-9", "spare", ""), upVM("vm-8", "spare", ""), upVM("vm-7", "spare", ""), upVM("vm-6", "spare", "")}
		workers := map[string]workload.WorkerLoad{}
		for _, n := range []string{"1", "2", "3", "4"} {
			vms = append(vms, upVM("vm-"+n, "booking", "w-"+n))
			workers["w-"+n] = workload.WorkerLoad{Usable: true, Runs: 1, Reserved: half, ReducedCapacity: shrunk}
		}
		c.SetVMs(vms, startTime)
		l := newLoad("booking", 4*half.CPU, 0, 0, workers)
		l.MeanWorkerCapacity = size
		c.SetLoad(l, startTime)
		return len(actionsWithVerb(c.Step(startTime), fleet.MoveVM))
	}
	assert.Zero(t, movesWith(workload.Resources{}, nil))
	assert.Positive(t, movesWith(half, &half))
}

// Guards against a useless move: a task needs more than any worker of its pool has free. A VM of another pool whose
// capacity has shrunk can't run it either, whatever the list of VMs shows, and must not be moved.
func TestShrunkVMIsNotMovedForALargeTask(t *testing.T) {
	half := workload.Resources{CPU: vmSize.CPU / 2, MemoryMB: vmSize.MemoryMB / 2}
	c := newCore()
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "returns", "w-2"), upVM("vm-3", "returns", "w-3"), upVM("vm-4", "returns", "w-4"), upVM("vm-5", "returns", "w-5")}, startTime)
	shrunk := map[string]workload.WorkerLoad{}
	for _, id := range []string{"w-2", "w-3", "w-4"} {
		shrunk[id] = workload.WorkerLoad{Usable: true, ReducedCapacity: &half}
	}
	shrunk["w-5"] = workload.WorkerLoad{Usable: true, Runs: 3, Reserved: half}
	c.SetLoad(newLoad("returns", half.CPU, 0, 0, shrunk), startTime)
	l := newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true, ReducedCapacity: &half}})
	l.UnmetRequirements = []workload.UnmetRequirement{{Resources: workload.Resources{CPU: vmSize.CPU, MemoryMB: 1000}, NoFeasibleWorker: true}}
	c.SetLoad(l, startTime)
	for _, a := range actionsWithVerb(c.Step(startTime), fleet.DrainWorker) {
		if a.VM != "vm-1" {
			assert.Equal(t, "vm-5", a.VM)
			return
		}
	}
	t.Error("no VM is moved to the pool")
}
