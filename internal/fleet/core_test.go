package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

var begin = time.UnixMilli(1_700_000_000_000)

const (
	migration   = 1500 * time.Millisecond
	maintenance = 2 * time.Second
	quietFor    = 3 * time.Second
)

var vmSize = workload.Resources{CPU: 32000, MemoryMB: 65536}

func newCore() *fleet.Core {
	c := fleet.New(fleet.Settings{Migration: migration, Maintenance: maintenance, QuietFor: quietFor}, begin)
	c.SetConfig(&workload.Config{Services: []workload.Service{{Name: "booking"}, {Name: "returns"}, {Name: "spare", Standby: true}}})
	return c
}

func up(id, pool, worker string) workload.VM {
	return workload.VM{ID: id, Pool: pool, State: workload.VMUp, Capacity: vmSize, Worker: worker}
}

func verbs(actions []fleet.Action, verb fleet.Verb) []fleet.Action {
	var out []fleet.Action
	for _, a := range actions {
		if a.Verb == verb {
			out = append(out, a)
		}
	}
	return out
}

func wave(n int64, limit int, vms ...string) workload.Wave {
	return workload.Wave{Number: n, VMs: vms, Duration: 20 * time.Second, Cap: limit}
}

// A VM is ordered only once its worker's owner has said that it is empty, and
// that word is only as good as the worker it was given for: the list may show
// another one by then.
func TestVMIsOrderedOnlyWhenItsWorkerIsEmpty(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	actions := c.Step(begin)
	require.Len(t, verbs(actions, fleet.Empty), 1)
	assert.Empty(t, verbs(actions, fleet.Maintain))

	c.Emptied("vm-1", "w-1", workload.Occupied, begin.Add(100*time.Millisecond))
	assert.Empty(t, verbs(c.Step(begin.Add(200*time.Millisecond)), fleet.Maintain))

	c.Emptied("vm-1", "w-1", workload.Vacant, begin.Add(300*time.Millisecond))
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-2")}, begin.Add(300*time.Millisecond))
	assert.Empty(t, verbs(c.Step(begin.Add(400*time.Millisecond)), fleet.Maintain), "another worker is there")

	c.Emptied("vm-1", "w-2", workload.Vacant, begin.Add(500*time.Millisecond))
	orders := verbs(c.Step(begin.Add(600*time.Millisecond)), fleet.Maintain)
	require.Len(t, orders, 1)
	assert.Equal(t, begin.Add(1500*time.Millisecond), orders[0].Until, "the word holds for a second")
}

// The list lags. A VM that is just back shows no worker yet, although tasks may
// run on it already: ordering it would end them.
func TestVMWithoutListedWorkerIsNotOrdered(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "")}, begin)
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		require.Empty(t, verbs(c.Step(begin.Add(at)), fleet.Maintain), "after %s", at)
	}
}

// Spare VMs are off: nothing has to be emptied.
func TestSpareVMIsOrderedAtOnce(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 2, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "spare", "")}, begin)
	orders := verbs(c.Step(begin), fleet.Maintain)
	require.Len(t, orders, 1)
	assert.Zero(t, orders[0].Until)
}

// At most the wave's cap of VMs are away at once, from the order until they are
// seen back.
func TestWaveKeepsItsCap(t *testing.T) {
	c := newCore()
	ids := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	c.SetWaves([]workload.Wave{{Number: 1, VMs: ids, Duration: time.Second, Cap: 2}}, begin)
	list := func(worker string) []workload.VM {
		var vms []workload.VM
		for _, id := range ids {
			vms = append(vms, up(id, "booking", worker+id))
		}
		return vms
	}
	c.SetVMs(list("a-"), begin)
	away := map[string]bool{}
	for at := time.Duration(0); at < 1900*time.Millisecond; at += 100 * time.Millisecond {
		now := begin.Add(at)
		for _, a := range c.Step(now) {
			switch a.Verb {
			case fleet.Empty:
				c.Emptied(a.VM, a.Worker, workload.Vacant, now)
			case fleet.Maintain:
				away[a.VM] = true
				c.Ordered(a.VM, fleet.Taken, now)
			}
		}
		require.LessOrEqual(t, len(away), 2)
	}
	require.Len(t, away, 2)
	later := begin.Add(3 * time.Second)
	c.SetVMs(list("b-"), later)
	assert.NotEmpty(t, c.Step(later), "the next two follow")
}

// A wave is completed once each VM of it that is there has begun its
// maintenance, and not before.
func TestWaveIsCompletedWhenAllHaveBegun(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 5, "vm-1", "vm-gone")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	stored := verbs(c.Step(begin), fleet.Store)
	require.Len(t, stored, 1)
	assert.Equal(t, workload.WaveRunning, stored[0].State)
	c.Emptied("vm-1", "w-1", workload.Vacant, begin)
	require.Len(t, verbs(c.Step(begin.Add(100*time.Millisecond)), fleet.Maintain), 1)
	assert.Empty(t, verbs(c.Step(begin.Add(200*time.Millisecond)), fleet.Store), "the order is on its way")
	c.Ordered("vm-1", fleet.Taken, begin.Add(300*time.Millisecond))
	stored = verbs(c.Step(begin.Add(400*time.Millisecond)), fleet.Store)
	require.Len(t, stored, 1)
	assert.Equal(t, workload.WaveCompleted, stored[0].State)
	assert.Equal(t, []string{"vm-1"}, stored[0].Done)
}

// An order without an answer may have been carried out. It is given again, after
// the VM was asked to be emptied again.
func TestOrderWithoutAnAnswerIsGivenAgain(t *testing.T) {
	c := newCore()
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	c.Step(begin)
	c.Emptied("vm-1", "w-1", workload.Vacant, begin)
	require.Len(t, verbs(c.Step(begin), fleet.Maintain), 1)
	c.Ordered("vm-1", fleet.Unclear, begin.Add(time.Second))
	later := begin.Add(2 * time.Second)
	require.Len(t, verbs(c.Step(later), fleet.Empty), 1)
	c.Emptied("vm-1", "w-1", workload.Vacant, later)
	assert.Len(t, verbs(c.Step(later), fleet.Maintain), 1)
}

// Two holders must not order one VM closely one after the other. A new owner
// leaves those alone that the one before ordered lately, and only those.
func TestNewOwnerLeavesLatelyOrderedVMsAlone(t *testing.T) {
	c := newCore()
	c.OrderedBefore("vm-1", 1, begin.Add(-100*time.Millisecond))
	c.OrderedBefore("vm-2", 1, begin.Add(-time.Minute))
	c.SetWaves([]workload.Wave{wave(1, 5, "vm-1", "vm-2", "vm-3")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "spare", ""), up("vm-2", "spare", ""), up("vm-3", "spare", "")}, begin)
	ordered := map[string]time.Duration{}
	for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
		for _, a := range verbs(c.Step(begin.Add(at)), fleet.Maintain) {
			ordered[a.VM] = at
			c.Ordered(a.VM, fleet.Taken, begin.Add(at))
		}
	}
	assert.Less(t, ordered["vm-2"], time.Second)
	assert.Less(t, ordered["vm-3"], 5*time.Second)
	assert.GreaterOrEqual(t, ordered["vm-1"], quietFor)
}

// What an earlier owner has ordered is not ordered again.
func TestNewOwnerKnowsWhatIsDone(t *testing.T) {
	c := newCore()
	c.Recalled(1, []string{"vm-1"}, begin)
	c.SetWaves([]workload.Wave{wave(1, 5, "vm-1")}, begin)
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1")}, begin)
	actions := c.Step(begin)
	assert.Empty(t, verbs(actions, fleet.Empty))
	stored := verbs(actions, fleet.Store)
	require.Len(t, stored, 1)
	assert.Equal(t, workload.WaveCompleted, stored[0].State)
}

func load(service string, used, waiting int, arrivedCoreMS int64, workers map[string]workload.WorkerLoad) workload.ServiceLoad {
	return workload.ServiceLoad{
		Service: service,
		Used:    workload.Resources{CPU: used},
		Waiting: workload.Resources{CPU: waiting},
		Arrived: workload.Work{CoreMS: arrivedCoreMS},
		Workers: workers,
	}
}

// A pool in demand gets spare VMs first, then idle ones of other pools. VMs with
// lasting tasks stay where they are.
func TestPoolInDemandGetsVMs(t *testing.T) {
	c := newCore()
	c.SetVMs([]workload.VM{
		up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2"),
		up("vm-3", "returns", "w-3"), up("vm-4", "returns", "w-4"), up("vm-5", "returns", "w-5"),
		up("vm-6", "spare", ""),
	}, begin)
	c.SetLoad(load("returns", 0, 0, 0, map[string]workload.WorkerLoad{"w-3": {Usable: true, Runs: 1, Lasting: 1}, "w-4": {Usable: true}, "w-5": {Usable: true}}), begin)
	c.SetLoad(load("booking", 64000, 64000, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true, Runs: 9}, "w-2": {Usable: true, Runs: 9}}), begin)
	actions := c.Step(begin)
	moves := verbs(actions, fleet.Move)
	require.Len(t, moves, 1)
	assert.Equal(t, "vm-6", moves[0].VM)
	assert.Equal(t, "booking", moves[0].Pool)
	empties := verbs(actions, fleet.Empty)
	require.Len(t, empties, 1, "returns keeps two")
	assert.Equal(t, "vm-4", empties[0].VM)
}

// Two pools ask for more than there is, one of them for far more. Neither takes all
// VMs: both get as many, and a third one keeps the little that it needs.
func TestPoolsInDemandShareWhatThereIs(t *testing.T) {
	c := newCore()
	c.SetConfig(&workload.Config{Version: 1, Services: []workload.Service{{Name: "booking"}, {Name: "fitting"}, {Name: "returns"}, {Name: "spare", Standby: true}}})
	var vms []workload.VM
	workers := map[string]map[string]workload.WorkerLoad{"booking": {}, "fitting": {}, "returns": {}}
	for i, pool := range []string{"booking", "booking", "fitting", "fitting", "returns", "returns", "spare", "spare", "spare", "spare", "spare", "spare"} {
		name := string(rune('a' + i))
		vm := up("vm-"+name, pool, "")
		if pool != "spare" {
			vm.Worker = "w-" + name
			workers[pool][vm.Worker] = workload.WorkerLoad{Usable: true, Runs: 5, Used: vmSize}
		}
		vms = append(vms, vm)
	}
	c.SetVMs(vms, begin)
	c.SetLoad(load("booking", 64000, 9_000_000, 0, workers["booking"]), begin)
	c.SetLoad(load("fitting", 64000, 300_000, 0, workers["fitting"]), begin)
	c.SetLoad(load("returns", 10000, 0, 0, workers["returns"]), begin)
	got := map[string]int{}
	for _, a := range verbs(c.Step(begin), fleet.Move) {
		got[a.Pool]++
	}
	assert.Equal(t, map[string]int{"booking": 3, "fitting": 3}, got)
}

// A pool gives VMs back to the spare pool only after a while without need.
func TestIdleVMsGoBackAfterAWhile(t *testing.T) {
	c := newCore()
	vms := []workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2"), up("vm-3", "booking", "w-3")}
	idle := map[string]workload.WorkerLoad{"w-1": {Usable: true}, "w-2": {Usable: true}, "w-3": {Usable: true}}
	first := time.Duration(-1)
	for at := time.Duration(0); at < 20*time.Second && first < 0; at += 200 * time.Millisecond {
		now := begin.Add(at)
		c.SetVMs(vms, now)
		used := 0
		if at < 2*time.Second {
			used = 90000
		}
		c.SetLoad(load("booking", used, 0, 0, idle), now)
		if len(verbs(c.Step(now), fleet.Empty)) > 0 {
			first = at
		}
	}
	assert.Greater(t, first, 5*time.Second)
	assert.Less(t, first, 15*time.Second)
}

// The platform lists a VM as up whose worker has crashed. Its pool gets another.
func TestVMWithoutUsableWorkerDoesNotCount(t *testing.T) {
	c := newCore()
	vms := []workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2"), up("vm-3", "spare", "")}
	later := begin.Add(10 * time.Second)
	c.SetVMs(vms, begin)
	c.SetVMs(vms, later)
	c.SetLoad(load("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true}}), later)
	moves := verbs(c.Step(later), fleet.Move)
	require.Len(t, moves, 1)
	assert.Equal(t, "booking", moves[0].Pool)
}

// An owner of the fleet is killed with VMs of a wave away. The one that follows
// counts them to the cap: those that the list shows, and those that were ordered
// just now, which it may not show yet.
func TestNewOwnerCountsVMsThatAreAwayToTheCap(t *testing.T) {
	c := newCore()
	c.OrderedBefore("vm-2", 1, begin.Add(-50*time.Millisecond))
	c.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-1", "vm-2", "vm-3", "vm-4"}, Duration: time.Second, Cap: 2}}, begin)
	away := up("vm-1", "booking", "")
	away.State = workload.VMMaintenance
	c.SetVMs([]workload.VM{away, up("vm-2", "booking", "w-2"), up("vm-3", "booking", "w-3"), up("vm-4", "booking", "w-4")}, begin)
	actions := c.Step(begin.Add(100 * time.Millisecond))
	assert.Empty(t, verbs(actions, fleet.Empty))
	assert.Empty(t, verbs(actions, fleet.Maintain))
}

// A VM is being emptied for maintenance and can't be: the task on it waits until
// another one of its step is back, which finds no room in the pool. The pool gets
// a VM more, as the one that is closed serves nobody.
func TestPoolGetsAnotherVMWhenOneCannotBeEmptied(t *testing.T) {
	c := newCore()
	vms := []workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "booking", "w-2"), up("vm-3", "spare", "")}
	workers := map[string]workload.WorkerLoad{"w-1": {Usable: true, Runs: 1, Lasting: 1}, "w-2": {Usable: true, Runs: 1, Lasting: 1}}
	c.SetWaves([]workload.Wave{wave(1, 1, "vm-1")}, begin)
	var moved []fleet.Action
	for at := time.Duration(0); at < 5*time.Second; at += 200 * time.Millisecond {
		now := begin.Add(at)
		c.SetVMs(vms, now)
		c.SetLoad(load("booking", 1000, 1000, 0, workers), now)
		for _, a := range c.Step(now) {
			switch a.Verb {
			case fleet.Empty:
				c.Emptied(a.VM, a.Worker, workload.Occupied, now)
			case fleet.Move:
				moved = append(moved, a)
			}
		}
	}
	require.NotEmpty(t, moved)
	assert.Equal(t, "vm-3", moved[0].VM)
	assert.Equal(t, "booking", moved[0].Pool)
}

// The workers of a pool say that half of their room is gone for a while; the list of
// VMs goes on naming what they have as a rule. Callers' jobs would wait for the other
// half: the pool gets the VMs that it lacks, and its workers count as fuller.
func TestPoolWhoseWorkersHaveShrunkGetsVMs(t *testing.T) {
	half := workload.Resources{CPU: vmSize.CPU / 2, MemoryMB: vmSize.MemoryMB / 2}
	moved := func(size workload.Resources, shrunk *workload.Resources) int {
		c := newCore()
		vms := []workload.VM{up("vm-9", "spare", ""), up("vm-8", "spare", ""), up("vm-7", "spare", ""), up("vm-6", "spare", "")}
		workers := map[string]workload.WorkerLoad{}
		for _, n := range []string{"1", "2", "3", "4"} {
			vms = append(vms, up("vm-"+n, "booking", "w-"+n))
			workers["w-"+n] = workload.WorkerLoad{Usable: true, Runs: 1, Used: half, Shrunk: shrunk}
		}
		c.SetVMs(vms, begin)
		l := load("booking", 4*half.CPU, 0, 0, workers)
		l.Size = size
		c.SetLoad(l, begin)
		return len(verbs(c.Step(begin), fleet.Move))
	}
	assert.Zero(t, moved(workload.Resources{}, nil))
	assert.Positive(t, moved(half, &half))
}

// A task needs more than any worker of its pool has left. A VM of another pool that has
// shrunk can't run it either, whatever the list of VMs says, and is not moved there.
func TestShrunkVMIsNotBroughtForALargeTask(t *testing.T) {
	half := workload.Resources{CPU: vmSize.CPU / 2, MemoryMB: vmSize.MemoryMB / 2}
	c := newCore()
	c.SetVMs([]workload.VM{up("vm-1", "booking", "w-1"), up("vm-2", "returns", "w-2"), up("vm-3", "returns", "w-3"), up("vm-4", "returns", "w-4"), up("vm-5", "returns", "w-5")}, begin)
	shrunk := map[string]workload.WorkerLoad{}
	for _, id := range []string{"w-2", "w-3", "w-4"} {
		shrunk[id] = workload.WorkerLoad{Usable: true, Shrunk: &half}
	}
	shrunk["w-5"] = workload.WorkerLoad{Usable: true, Runs: 3, Used: half}
	c.SetLoad(load("returns", half.CPU, 0, 0, shrunk), begin)
	l := load("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true, Shrunk: &half}})
	l.Lacks = []workload.Lack{{Need: workload.Resources{CPU: vmSize.CPU, MemoryMB: 1000}, Never: true}}
	c.SetLoad(l, begin)
	for _, a := range verbs(c.Step(begin), fleet.Empty) {
		if a.VM != "vm-1" {
			assert.Equal(t, "vm-5", a.VM)
			return
		}
	}
	t.Error("no VM is brought")
}
