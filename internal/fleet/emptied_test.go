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
func TestWordOnAForgottenWorkerNeedsALaterList(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	c.SetLoad(load("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-2": {Usable: true}}), begin)
	require.Len(t, verbs(c.Step(begin), fleet.Empty), 1)

	c.Emptied("vm-1", "w-1", workload.VacantUnseen, begin.Add(100*time.Millisecond))
	assert.Empty(t, verbs(c.Step(begin.Add(200*time.Millisecond)), fleet.Maintain))
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin.Add(250*time.Millisecond))
	c.Emptied("vm-1", "w-1", workload.VacantUnseen, begin.Add(300*time.Millisecond))
	assert.Len(t, verbs(c.Step(begin.Add(400*time.Millisecond)), fleet.Maintain), 1)
}

// Guards against tasks being cut by an order that rests on what was said of the worker that
// its VM had before: the word came when the next worker was listed already.
func TestWordOnTheWorkerBeforeDoesNotCountForTheNext(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	c.SetLoad(load("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-2": {Usable: true}}), begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	require.Len(t, verbs(c.Step(begin), fleet.Empty), 1)
	c.Emptied("vm-1", "w-1", workload.Vacant, begin.Add(100*time.Millisecond))
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-2")}, begin.Add(200*time.Millisecond))
	for _, at := range []time.Duration{200, 300, 400} {
		assert.Empty(t, verbs(c.Step(begin.Add(at*time.Millisecond)), fleet.Maintain), "its owner hasn't answered for w-2")
	}
}

// Guards against tasks being cut as a worker has ended while VMs can't be listed: its owner
// has just found that out and says that nothing runs there, and an older load names it still.
func TestWorkerThatHasEndedIsNotTakenForPresentByAnOlderLoad(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	later := begin.Add(2 * time.Second)
	c.SetLoad(load("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true}}), later.Add(-150*time.Millisecond))
	require.Len(t, verbs(c.Step(later), fleet.Empty), 1)
	c.Emptied("vm-1", "w-1", workload.VacantUnseen, later)
	assert.Empty(t, verbs(c.Step(later.Add(100*time.Millisecond)), fleet.Maintain))
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, later.Add(150*time.Millisecond))
	assert.Len(t, verbs(c.Step(later.Add(200*time.Millisecond)), fleet.Maintain), 1, "a later list names it")
}

// Guards against a wave that stands still for seconds, or a pool without a VM that it has, as
// a VM comes back with a worker of the same ID: the list has shown it as away.
func TestVMThatComesBackWithItsWorkersIDIsBack(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1", "vm-2")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2")}, begin)
	require.Len(t, verbs(c.Step(begin), fleet.Empty), 1)
	c.Emptied("vm-1", "w-1", workload.Vacant, begin)
	require.Len(t, verbs(c.Step(begin), fleet.Maintain), 1)
	c.Ordered("vm-1", fleet.Taken, begin)

	stale := begin.Add(maintenance + 100*time.Millisecond)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2")}, stale)
	assert.Empty(t, verbs(c.Step(stale), fleet.Empty), "no list has shown it as away: this one may lag")

	away := up("vm-1", "booking", "")
	away.State = workload.VMMaintenance
	c.SetVMs([]workload.VM{away, up("vm-2", "booking", "w-2")}, stale.Add(100*time.Millisecond))
	assert.Empty(t, verbs(c.Step(stale.Add(100*time.Millisecond)), fleet.Empty))

	back := stale.Add(500 * time.Millisecond)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2")}, back)
	next := verbs(c.Step(back), fleet.Empty)
	require.Len(t, next, 1, "the wave goes on")
	assert.Equal(t, "vm-2", next[0].VM)
}
