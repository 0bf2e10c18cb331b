package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// fakeFleet carries out the actions of a Core in virtual time: drains of idle workers take drainTime, orders are
// sent one after the other, ordersPerSecond of them, while their drain state is valid.
type fakeFleet struct {
	core                     *fleet.Core
	now                      time.Time
	ordersPerSecond          int
	vms                      []workload.VM
	drains                   []fleet.Action
	queue                    []fleet.Action
	drained, ordered, lapsed int
	orderedToPool            map[string]int
	loads                    []workload.ServiceLoad
	index                    map[string]int // of vms, by ID
	returnsAt                map[string]time.Time
	orderBudget              float64
	listEvery, sinceList     time.Duration
	turnedAwayBeyond         int // orders in a step beyond which the platform turns them away, 0 for no limit
	turnedAway               int
}

const fakeStep = 100 * time.Millisecond

// newFakeFleet returns a fleet of idle VMs, evenly in the pools.
func newFakeFleet(vms int, ordersPerSecond int, pools ...string) *fakeFleet {
	f := &fakeFleet{core: newCoreOf(pools...), now: startTime, ordersPerSecond: ordersPerSecond, orderedToPool: map[string]int{}, index: map[string]int{}, returnsAt: map[string]time.Time{}, listEvery: 400 * time.Millisecond}
	workers := map[string]map[string]workload.WorkerLoad{}
	for i := range vms {
		pool := pools[i%len(pools)]
		id := fmt.Sprintf("vm-%05d", i)
		f.index[id] = i
		f.vms = append(f.vms, upVM(id, pool, "w-"+id))
		if workers[pool] == nil {
			workers[pool] = map[string]workload.WorkerLoad{}
		}
		workers[pool]["w-"+id] = workload.WorkerLoad{Usable: true}
	}
	for _, pool := range pools {
		f.loads = append(f.loads, newLoad(pool, 0, 0, 0, workers[pool]))
	}
	f.core.SetVMs(append([]workload.VM{}, f.vms...), f.now)
	return f
}

// addSpares adds VMs to the spare pool.
func (f *fakeFleet) addSpares(n int) {
	for i := range n {
		id := fmt.Sprintf("vm-spare-%03d", i)
		f.index[id] = len(f.vms)
		f.vms = append(f.vms, upVM(id, "spare", ""))
	}
	f.list()
}

func newCoreOf(pools ...string) *fleet.Core {
	c := fleet.New(fleet.Settings{MigrationTime: migrationTime, MaintenanceTime: maintenanceTime, EarlierOrderQuietPeriod: quietPeriod}, startTime)
	config := &workload.Config{Services: []workload.Service{{Name: "spare", Standby: true}}}
	for _, p := range pools {
		config.Services = append(config.Services, workload.Service{Name: p})
	}
	c.SetConfig(config)
	return c
}

// run runs the fleet for a while.
func (f *fakeFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(fakeStep) {
		for _, a := range f.drains {
			f.core.HandleDrainResult(a.VM, a.Worker, workload.Drained, f.now.Add(-fakeStep/2))
			f.drained++
		}
		f.drains = nil
		f.sendOrders()
		if f.sinceList += fakeStep; f.sinceList >= f.listEvery {
			f.sinceList = 0
			f.list()
		}
		for _, l := range f.loads {
			f.core.SetLoad(l, f.now)
		}
		for _, a := range f.core.Step(f.now) {
			switch a.Verb {
			case fleet.DrainWorker:
				f.drains = append(f.drains, a)
			case fleet.MoveVM, fleet.MaintainVM:
				f.queue = append(f.queue, a)
			}
		}
	}
}

// sendOrders sends the orders of one step.
func (f *fakeFleet) sendOrders() {
	f.orderBudget = min(f.orderBudget+float64(f.ordersPerSecond)*fakeStep.Seconds(), float64(f.ordersPerSecond))
	sent := 0
	for len(f.queue) > 0 && f.orderBudget >= 1 {
		a := f.queue[0]
		f.queue = f.queue[1:]
		switch {
		case !a.ValidUntil.IsZero() && f.now.After(a.ValidUntil):
			f.lapsed++
			f.core.HandleOrderResult(a.VM, fleet.OrderLapsed, f.now)
			continue
		case f.turnedAwayBeyond > 0 && sent >= f.turnedAwayBeyond:
			f.turnedAway++
			f.core.HandleOrderResult(a.VM, fleet.OrderTurnedAway, f.now)
			continue
		}
		sent++
		f.orderBudget--
		f.ordered++
		f.orderedToPool[a.Pool]++
		f.core.HandleOrderResult(a.VM, fleet.OrderAccepted, f.now)
		vm := &f.vms[f.index[a.VM]]
		vm.Pool, vm.State, vm.Worker = a.Pool, workload.VMMoving, ""
		f.returnsAt[a.VM] = f.now.Add(migrationTime)
	}
}

// list gives the core a list of the VMs.
func (f *fakeFleet) list() {
	for i := range f.vms {
		if vm := &f.vms[i]; vm.State == workload.VMMoving && !f.now.Before(f.returnsAt[vm.ID]) {
			vm.State = workload.VMUp
			if vm.Pool != "spare" {
				vm.Worker = fmt.Sprint("w-", vm.ID, "-", f.now.UnixMilli())
			}
		}
	}
	f.core.SetVMs(append([]workload.VM{}, f.vms...), f.now)
}

// More drains than calls: all VMs of a fleet that needs none are to be returned, while the orders that can be sent
// in a second are a tenth of the VMs. Guards against drains that all lapse before their order: then nothing is
// ordered, however long the fleet's owner goes on. What is ordered in a second must not fall when more VMs wait.
func TestMoreDrainsThanOrdersInTime(t *testing.T) {
	ordered := map[int]int{}
	for _, vms := range []int{1200, 6000, 12000} {
		f := newFakeFleet(vms, 300, "booking", "fitting", "returns", "dispatch")
		f.run(45 * time.Second)
		ordered[vms] = f.ordered
		assert.LessOrEqual(t, f.lapsed, f.ordered/100, "%d VMs: orders that lapse", vms)
		assert.LessOrEqual(t, f.drained, 2*f.ordered, "%d VMs: drains for each order", vms)
	}
	assert.GreaterOrEqual(t, ordered[6000], ordered[1200])
	assert.GreaterOrEqual(t, ordered[12000], ordered[6000])
}

// More orders than the platform takes in a second: it turns away the rest. Guards against orders that are turned
// away again and again, which cost a drain each.
func TestMoreOrdersThanThePlatformTakes(t *testing.T) {
	f := newFakeFleet(6000, 100000, "booking", "fitting", "returns", "dispatch")
	f.turnedAwayBeyond = 20
	f.run(60 * time.Second)
	assert.Greater(t, f.ordered, 60*20/fakeStepsPerSecond*5, "half of what the platform takes")
	assert.Less(t, f.turnedAway, f.ordered/10)
}

const fakeStepsPerSecond = int(time.Second / fakeStep)

// A pool that is short of VMs while idle VMs of thousands are being returned. Guards against urgent moves that wait
// behind moves that nobody needs.
func TestUrgentMovesBesideManyReturns(t *testing.T) {
	f := newFakeFleet(6000, 300, "booking", "fitting", "returns", "dispatch")
	f.run(40 * time.Second)
	before := f.orderedToPool["booking"]
	f.loads[0].PendingDemand = workload.Resources{CPU: 200 * f.poolSize("booking") * vmSize.CPU / max(1, f.poolSize("booking"))}
	for i := range f.loads {
		f.loads[i].Workers = f.usableWorkers(f.loads[i].Service)
	}
	f.run(1500 * time.Millisecond)
	assert.Greater(t, f.orderedToPool["booking"]-before, 100, "VMs ordered for the pool within 1.5 s")
}

func (f *fakeFleet) poolSize(pool string) int { return len(f.usableWorkers(pool)) }

func (f *fakeFleet) usableWorkers(pool string) map[string]workload.WorkerLoad {
	workers := map[string]workload.WorkerLoad{}
	for _, vm := range f.vms {
		if vm.Pool == pool && vm.Worker != "" {
			workers[vm.Worker] = workload.WorkerLoad{Usable: true}
		}
	}
	return workers
}

func BenchmarkStep(b *testing.B) {
	for _, vms := range []int{1000, 6000, 12000} {
		b.Run(fmt.Sprint(vms, "_VMs"), func(b *testing.B) {
			f := newFakeFleet(vms, 1000, "booking", "fitting", "returns", "dispatch")
			f.run(4 * time.Second)
			b.ResetTimer()
			for range b.N {
				f.run(fakeStep)
			}
		})
	}
}
