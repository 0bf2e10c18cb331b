package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// The fleet's list arrives before workers are known: first VMs that are down, then VMs without workers, and loads of owners that have
// taken over and have heard a few workers. Guards against moves to pools that count as empty because nobody has
// counted them yet.
func TestNoMovesOnAHalfReadFleet(t *testing.T) {
	f := newFakeFleet(2000, 300, "booking", "returns")
	f.addSpares(100)
	whole := f.loads
	unheard := func(isSettling bool) (loads []workload.ServiceLoad) {
		for _, l := range whole {
			loads = append(loads, workload.ServiceLoad{Service: l.Service, Settling: isSettling, Workers: map[string]workload.WorkerLoad{}})
		}
		return loads
	}
	setVMs := func(state workload.VMState, hasWorker bool) {
		for i := range f.vms {
			f.vms[i].State, f.vms[i].Worker = state, ""
			if hasWorker && f.vms[i].Pool != "spare" {
				f.vms[i].Worker = "w-" + f.vms[i].ID
			}
		}
		f.list()
	}
	setVMs(workload.VMDown, false)
	f.loads = unheard(false)
	f.run(500 * time.Millisecond)
	setVMs(workload.VMUp, false)
	f.loads = unheard(true)
	f.run(time.Second)
	setVMs(workload.VMUp, true)
	f.run(1900 * time.Millisecond)
	f.loads = whole
	f.run(500 * time.Millisecond)
	assert.Zero(t, f.ordered)
}

// Guards against a pool that gets no VMs for workers that are lost: once its owner has settled, a worker that it
// doesn't know doesn't count.
func TestLostWorkersAreReplacedOnceTheirOwnerHasSettled(t *testing.T) {
	c := newCore()
	c.SetVMs([]workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2"), upVM("vm-3", "spare", "")}, startTime)
	later := startTime.Add(10 * time.Second)
	load := newLoad("booking", 0, 0, 0, map[string]workload.WorkerLoad{"w-1": {Usable: true}})
	load.Settling = true
	c.SetLoad(load, later)
	assert.Empty(t, actionsWithVerb(c.Step(later), fleet.MoveVM))
	load.Settling = false
	c.SetLoad(load, later.Add(time.Second))
	assert.Len(t, actionsWithVerb(c.Step(later.Add(time.Second)), fleet.MoveVM), 1)
}
