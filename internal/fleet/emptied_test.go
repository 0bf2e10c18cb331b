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
