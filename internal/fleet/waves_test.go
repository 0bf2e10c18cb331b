package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A new owner must give no order for VMs that the previous owner has just moved, but must not count them as under
// maintenance. Otherwise a wave makes no progress for more than three seconds after a change of owner at a peak, when
// two thirds of the VMs have just been moved, and ends late.
func TestEarlierMovesDoNotCountTowardMaxConcurrent(t *testing.T) {
	const vms, moved = 60, 40
	c := newCore()
	var list []workload.VM
	var ids []string
	for i := range vms {
		id := fmt.Sprintf("vm-%02d", i)
		ids = append(ids, id)
		list = append(list, upVM(id, "booking", "w-"+id))
		if i < moved {
			c.RecordEarlierOrder(id, 0, startTime.Add(-time.Duration(i)*50*time.Millisecond))
		}
	}
	c.SetWaves([]workload.Wave{{Number: 1, VMs: ids, Window: 24 * time.Second, MaxConcurrent: 30}}, startTime)
	c.SetVMs(list, startTime)
	assert.NotEmpty(t, actionsWithVerb(c.Step(startTime.Add(100*time.Millisecond)), fleet.DrainWorker))
}

// An owner of an earlier version did not store for which wave it ordered a VM. The order may belong to this wave, so
// the VM must count toward its MaxConcurrent.
func TestEarlierOrderOfUnknownWaveCountsTowardMaxConcurrent(t *testing.T) {
	c := newCore()
	c.RecordEarlierOrder("vm-1", fleet.UnknownWave, startTime.Add(-50*time.Millisecond))
	c.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-1", "vm-2"}, Window: time.Second, MaxConcurrent: 1}}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}, startTime)
	assert.Empty(t, actionsWithVerb(c.Step(startTime.Add(100*time.Millisecond)), fleet.DrainWorker))
}

// A wave must order the maintenance of all VMs within its window, also if 20 of them have long-running tasks. Only one
// task of a step may be unavailable at a time, and a stopped task runs again after a second, so these VMs can only be
// drained one after another. If they began after the others, the rest of the window would be too short.
func TestVMsWithLongRunningTasksAreMaintainedInTime(t *testing.T) {
	const (
		longRunningVMs = 20
		otherVMs       = 80
		duration       = 25 * time.Second
		moveTime       = time.Second // until a long-running task runs elsewhere
	)
	c := newCore()
	workers := map[string]workload.WorkerLoad{}
	var list []workload.VM
	var ids []string
	for i := range longRunningVMs + otherVMs {
		id := fmt.Sprintf("vm-%03d", i)
		ids = append(ids, id)
		list = append(list, upVM(id, "booking", "w-"+id))
		w := workload.WorkerLoad{Usable: true, Runs: 1, Reserved: workload.Resources{CPU: 8000, MemoryMB: 1000}}
		if i < longRunningVMs {
			w.LongRunningRuns = 3
		}
		workers["w-"+id] = w
	}
	c.SetWaves([]workload.Wave{{Number: 1, VMs: ids, Window: duration, MaxConcurrent: 40}}, startTime)
	ordered := map[string]bool{}
	var movingWorker string // the worker whose long-running tasks move
	var moveEndsAt time.Time
	for at := time.Duration(0); at < duration; at += 100 * time.Millisecond {
		now := startTime.Add(at)
		c.SetVMs(list, now)
		c.SetLoad(newLoad("booking", 100*8000, 100*1000, 0, workers), now)
		for _, a := range c.Step(now) {
			switch a.Verb {
			case fleet.DrainWorker:
				w := workers[a.Worker]
				if w.LongRunningRuns > 0 && movingWorker == "" {
					movingWorker, moveEndsAt = a.Worker, now.Add(moveTime)
				}
				if a.Worker == movingWorker && !now.Before(moveEndsAt) {
					w.LongRunningRuns = 0
					workers[a.Worker] = w
					movingWorker = ""
				}
				state := workload.Drained
				if w.LongRunningRuns > 0 {
					state = workload.NotDrained
				}
				c.HandleDrainResult(a.VM, a.Worker, state, now)
			case fleet.MaintainVM:
				ordered[a.VM] = true
				c.HandleOrderResult(a.VM, fleet.OrderAccepted, now)
			}
		}
		for i, vm := range list { // an ordered VM comes back at once with a new worker
			if ordered[vm.ID] && vm.Worker == "w-"+vm.ID {
				list[i].Worker = "new-" + vm.ID
				workers["new-"+vm.ID] = workload.WorkerLoad{Usable: true}
			}
		}
	}
	assert.Len(t, ordered, longRunningVMs+otherVMs)
}

// A pool must get another VM for each of its VMs with long-running tasks that is under maintenance. It has one VM beyond
// those over which these tasks must be spread. While a VM is maintained, that extra VM runs its tasks, and without
// another one no further VM could be drained: the wave would end with one VM at a time, every two seconds.
func TestPoolGetsAVMForEachMaintainedOneWithLongRunningTasks(t *testing.T) {
	const spread = 4
	c := newCore()
	workers := map[string]workload.WorkerLoad{}
	var list []workload.VM
	for i := range spread + 1 {
		id := fmt.Sprintf("vm-%d", i)
		list = append(list, upVM(id, "booking", "w-"+id))
		w := workload.WorkerLoad{Usable: true}
		if i < spread {
			w.Runs, w.LongRunningRuns = 1, 1
		}
		workers["w-"+id] = w
	}
	for i := range 4 {
		list = append(list, upVM(fmt.Sprintf("spare-%d", i), "spare", ""))
	}
	c.SetWaves([]workload.Wave{newWave(1, 4, "vm-0", "vm-1")}, startTime)
	moved := map[string]bool{}
	for at := time.Duration(0); at < time.Second; at += 100 * time.Millisecond {
		now := startTime.Add(at)
		c.SetVMs(list, now)
		l := newLoad("booking", 1000, 0, 0, workers)
		l.MinWorkers = spread
		c.SetLoad(l, now)
		for _, a := range c.Step(now) {
			if a.Verb == fleet.MoveVM {
				assert.Equal(t, "booking", a.Pool)
				moved[a.VM] = true
				c.HandleOrderResult(a.VM, fleet.OrderAccepted, now)
			}
		}
	}
	assert.Len(t, moved, 2)
	assert.Equal(t, fleet.WorkersByPool{"booking": {"w-vm-0", "w-vm-1"}}, c.WorkersDueForMaintenance())
}

// Guards against a wave that ends late because each new owner of the fleet takes its whole window for what
// is left: with three takeovers in 25 s a fifth of the VMs was left at the end.
func TestSuccessorKeepsThePaceOfAWave(t *testing.T) {
	const vms, done = 60, 30
	drainsAfter := func(restore func(c *fleet.Core, doneVMs []string, now time.Time)) int {
		c := newCore()
		var list []workload.VM
		var ids []string
		for i := range vms {
			id := fmt.Sprintf("vm-%02d", i)
			ids = append(ids, id)
			list = append(list, upVM(id, "booking", "w-"+id))
		}
		now := startTime.Add(16 * time.Second)
		restore(c, ids[:done], now)
		c.SetWaves([]workload.Wave{{Number: 1, VMs: ids, Window: 25 * time.Second, MaxConcurrent: 40}}, now)
		c.SetVMs(list, now)
		return len(actionsWithVerb(c.Step(now.Add(100*time.Millisecond)), fleet.DrainWorker))
	}
	successor := drainsAfter(func(c *fleet.Core, doneVMs []string, now time.Time) { c.RestoreWave(1, doneVMs, startTime, now) })
	unaware := drainsAfter(func(c *fleet.Core, doneVMs []string, now time.Time) { c.RestoreWave(1, doneVMs, time.Time{}, now) })
	assert.GreaterOrEqual(t, successor, 2*unaware, "a third of the window is left, for half of the VMs")

	c := newCore()
	c.RestoreWave(1, nil, startTime, startTime.Add(time.Second))
	c.SetWaves([]workload.Wave{newWave(1, 5, "vm-1")}, startTime.Add(time.Second))
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime.Add(time.Second))
	stored := actionsWithVerb(c.Step(startTime.Add(time.Second)), fleet.StoreWave)
	for _, a := range stored {
		assert.Equal(t, startTime, a.FirstSeenAt)
	}
	assert.NotEmpty(t, stored)
}

// Guards against a wave that is never completed because one of its VMs never gets a worker: nothing reports such a VM
// as drained.
func TestVMThatNeverGetsAWorkerIsMaintained(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1")}, startTime)
	var orderedAt time.Duration
	for at := time.Duration(0); at < 20*time.Second && orderedAt == 0; at += 100 * time.Millisecond {
		now := startTime.Add(at)
		c.SetVMs([]workload.VM{upVM("vm-1", "booking", "")}, now)
		for _, a := range actionsWithVerb(c.Step(now), fleet.MaintainVM) {
			orderedAt = at
			assert.Equal(t, now.Add(time.Second), a.ValidUntil, "the list must be recent")
		}
	}
	assert.NotZero(t, orderedAt)
}

// Guards against a wave whose VM waits and nothing says for what.
func TestOverdueVMsNameWhatTheyWaitFor(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{newWave(1, 1, "vm-1", "vm-2")}, startTime)
	list := []workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}
	reasonAt := func(at time.Duration, answer func(now time.Time)) map[string]fleet.HoldReason {
		now := startTime.Add(at)
		c.SetVMs(list, now)
		c.Step(now)
		if answer != nil {
			answer(now)
		}
		reasons := map[string]fleet.HoldReason{}
		for _, vm := range c.OverdueVMs(now.Add(100 * time.Millisecond)) {
			reasons[vm.VM] = vm.Reason
		}
		return reasons
	}
	answerDrain := func(state workload.DrainState) func(now time.Time) {
		return func(now time.Time) { c.HandleDrainResult("vm-1", "w-1", state, now) }
	}
	assert.Empty(t, reasonAt(0, answerDrain(workload.NotDrained)))
	assert.Equal(t, map[string]fleet.HoldReason{"vm-1": fleet.HeldByTasks}, reasonAt(11*time.Second, answerDrain(workload.NotDrained)))
	assert.Equal(t, fleet.HeldByMissingAnswer, reasonAt(13*time.Second, nil)["vm-1"])
	assert.Equal(t, fleet.HeldByUnconfirmedDrain, reasonAt(14*time.Second, answerDrain(workload.DrainedUnconfirmed))["vm-1"])
	assert.Equal(t, fleet.HeldByOrderInFlight, reasonAt(14400*time.Millisecond, nil)["vm-1"])
	assert.Equal(t, fleet.HeldByRefusedOrder, reasonAt(14500*time.Millisecond, func(now time.Time) { c.HandleOrderResult("vm-1", fleet.OrderRefused, now) })["vm-1"])
	assert.Equal(t, fleet.HeldByTurn, reasonAt(31*time.Second, answerDrain(workload.NotDrained))["vm-2"], "the window is over")
}

// storedState returns the state of the last wave that the actions store, "" if they store none.
func storedState(actions []fleet.Action) workload.WaveState {
	state := workload.WaveState("")
	for _, a := range actionsWithVerb(actions, fleet.StoreWave) {
		state = a.State
	}
	return state
}

// Guards against a wave that is published as completed though a VM of it was never maintained: the VM was added just
// before its wave, and the owner's list of VMs is older.
func TestAWaveOfVMsThatAreNotListedYetIsNotCompleted(t *testing.T) {
	c := newCore()
	others := []workload.VM{upVM("vm-1", "booking", "w-1")}
	c.SetVMs(others, startTime.Add(-300*time.Millisecond))
	c.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-new"}, Window: 20 * time.Second, MaxConcurrent: 1}}, startTime)
	assert.Equal(t, workload.WaveRunning, storedState(c.Step(startTime.Add(100*time.Millisecond))))
	c.SetVMs(append(others, upVM("vm-new", "booking", "w-2")), startTime.Add(400*time.Millisecond))
	actions := c.Step(startTime.Add(500 * time.Millisecond))
	assert.NotEqual(t, workload.WaveCompleted, storedState(actions))
	assert.Len(t, actionsWithVerb(actions, fleet.DrainWorker), 1)
}

// Guards against a wave that is never completed since it names a VM that doesn't exist any more.
func TestAWaveOfVMsThatDoNotExistIsCompleted(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-gone"}, Window: 20 * time.Second, MaxConcurrent: 1}}, startTime)
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1")}, startTime.Add(400*time.Millisecond))
	assert.Equal(t, workload.WaveCompleted, storedState(c.Step(startTime.Add(500*time.Millisecond))))
}
