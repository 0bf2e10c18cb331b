package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Rules of moves between pools. A move costs about what a VM costs in a pool for
// a second, and the VM is away for the time of the migration.
const (
	// headroom is what a pool gets beyond what it needs now, as a share.
	headroom = 1.15
	// keepFor is how long a pool keeps what it has needed: a need that comes
	// back within it costs no move.
	keepFor = 2500 * time.Millisecond
	// smallest is how many VMs a pool keeps at least.
	smallest = 2
	// spreadSpare is how many VMs a pool has beyond those that its lasting tasks
	// must lie on, so that one can be replaced at once.
	spreadSpare = 1
	// maxMoves bounds the moves under way at once.
	maxMoves = 16
	// wantFor is how long a move may wait for its VM to be emptied.
	wantFor = 1500 * time.Millisecond
	// loadsValid is how old a pool's load may be for decisions on it.
	loadsValid = 1500 * time.Millisecond
)

// poolLoad is what is known of a pool.
type poolLoad struct {
	load  workload.ServiceLoad
	at    time.Time
	needs []need // of the last keepFor
}

// need is how many VMs a pool needed at a time.
type need struct {
	at time.Time
	n  int
}

// use is the share of a VM that is in use.
func (l *poolLoad) use(vm workload.VM) float64 {
	used := l.load.Workers[vm.Worker].Used
	return max(
		float64(used.CPU)/float64(max(1, vm.Capacity.CPU)),
		float64(used.MemoryMB)/float64(max(1, vm.Capacity.MemoryMB)),
	)
}

// SetLoad takes what a service's owner says of it.
func (c *Core) SetLoad(load workload.ServiceLoad, now time.Time) {
	l := c.loads[load.Service]
	if l == nil {
		l = &poolLoad{}
		c.loads[load.Service] = l
	}
	l.load = load
	l.at = now
	l.needs = append(l.needs, need{at: now, n: c.needOf(load)})
	l.needs = slices.DeleteFunc(l.needs, func(n need) bool { return now.Sub(n.at) > keepFor })
}

// needOf is how many VMs a service needs for what it runs and what waits.
func (c *Core) needOf(load workload.ServiceLoad) int {
	size := c.size(load.Service)
	want := load.Used.Add(load.Waiting)
	share := max(
		float64(want.CPU)/float64(max(1, size.CPU)),
		float64(want.MemoryMB)/float64(max(1, size.MemoryMB)),
	)
	n := int(math.Ceil(share * headroom))
	if load.Spread > 0 {
		n = max(n, load.Spread+spreadSpare)
	}
	return max(n, smallest)
}

// size is the mean capacity of the VMs, of a pool's own where it has any.
func (c *Core) size(pool string) workload.Resources {
	var own, all workload.Resources
	owns := 0
	for _, vm := range c.vms {
		all = all.Add(vm.Capacity)
		if vm.Pool == pool {
			own = own.Add(vm.Capacity)
			owns++
		}
	}
	if owns > 0 {
		return workload.Resources{CPU: own.CPU / owns, MemoryMB: own.MemoryMB / owns}
	}
	n := max(1, len(c.vms))
	return workload.Resources{CPU: all.CPU / n, MemoryMB: all.MemoryMB / n}
}

// balance is a pool with what it has and needs.
type balance struct {
	pool string
	have int // VMs that are there or on their way
	now  int // needed now
	keep int // needed within keepFor
}

// planMoves brings VMs where they are needed: from pools that need them less,
// and from the spare pool; what no pool needs goes back to it.
func (c *Core) planMoves(now time.Time) {
	balances := c.balances(now)
	slices.SortFunc(balances, func(a, b balance) int {
		return cmp.Or(cmp.Compare(b.now-b.have, a.now-a.have), cmp.Compare(a.pool, b.pool))
	})
	moves := 0
	for _, w := range c.works {
		if w.wave == 0 {
			moves++
		}
	}
	for _, b := range balances {
		for short := b.now - b.have; short > 0 && moves < maxMoves; short-- {
			vm, ok := c.donor(balances, b.pool, now)
			if !ok {
				break
			}
			c.move(vm, b.pool, balances, now)
			moves++
		}
	}
	if c.standby == "" {
		return
	}
	for i := range balances {
		for balances[i].have > balances[i].keep && moves < maxMoves {
			vm, ok := c.idlest(balances[i].pool, now)
			if !ok {
				break
			}
			c.move(vm, c.standby, balances, now)
			moves++
		}
	}
}

func (c *Core) move(vm workload.VM, to string, balances []balance, now time.Time) {
	c.works[vm.ID] = &work{vm: vm.ID, pool: vm.Pool, worker: vm.Worker, to: to, since: now, wantedFor: now.Add(wantFor)}
	for i := range balances {
		if balances[i].pool == vm.Pool {
			balances[i].have--
		}
		if balances[i].pool == to {
			balances[i].have++
		}
	}
}

// balances lists the pools whose load is known.
func (c *Core) balances(now time.Time) []balance {
	var list []balance
	for pool, l := range c.loads {
		if pool == c.standby || now.Sub(l.at) > loadsValid {
			continue
		}
		b := balance{pool: pool, now: l.needs[len(l.needs)-1].n}
		for _, n := range l.needs {
			b.keep = max(b.keep, n.n)
		}
		for _, vm := range c.vms {
			b.have += c.counts(vm, pool)
		}
		list = append(list, b)
	}
	return list
}

// counts is 1 for a VM that a pool has or will have when what is under way ends.
func (c *Core) counts(vm workload.VM, pool string) int {
	w := c.works[vm.ID]
	if w != nil && w.wave == 0 {
		if w.to == pool {
			return 1
		}
		return 0
	}
	if vm.Pool == pool && (vm.State == workload.VMUp || vm.State == workload.VMMaintenance || vm.State == workload.VMMoving) {
		return 1
	}
	return 0
}

// donor finds a VM for a pool: first a spare one, then one that idles in a pool
// that has more than it needs.
func (c *Core) donor(balances []balance, to string, now time.Time) (workload.VM, bool) {
	if c.standby != "" {
		for _, vm := range c.vms {
			if vm.Pool == c.standby && c.works[vm.ID] == nil && vm.State != workload.VMMoving && vm.State != workload.VMMaintenance {
				return vm, true
			}
		}
	}
	for i := len(balances) - 1; i >= 0; i-- {
		b := balances[i]
		if b.pool == to || b.have <= b.now {
			continue
		}
		if vm, ok := c.idlest(b.pool, now); ok {
			return vm, true
		}
	}
	return workload.VM{}, false
}

// idlest finds a VM of a pool on which nothing runs.
func (c *Core) idlest(pool string, now time.Time) (workload.VM, bool) {
	l := c.loads[pool]
	if l == nil || now.Sub(l.at) > loadsValid {
		return workload.VM{}, false
	}
	for _, vm := range c.vms {
		if vm.Pool != pool || vm.State != workload.VMUp || vm.Worker == "" || c.works[vm.ID] != nil {
			continue
		}
		if load, known := l.load.Workers[vm.Worker]; known && load.Runs == 0 {
			return vm, true
		}
	}
	return workload.VM{}, false
}
