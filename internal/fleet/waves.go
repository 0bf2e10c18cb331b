package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// planWaves takes VMs into maintenance, as many at once as the wave's time asks
// for and its cap allows.
func (c *Core) planWaves(now time.Time) {
	for _, n := range c.waveNumbers() {
		s := c.waves[n]
		if s.state == workload.WaveCompleted {
			continue
		}
		due := c.due(s)
		if len(due) == 0 {
			continue
		}
		c.beginLasting(s, due, now)
		for c.underWay(s, now) < c.pace(s, len(due), now) {
			vm, ok := c.next(due, now)
			if !ok {
				break
			}
			c.begin(s, vm, now)
		}
	}
}

func (c *Core) begin(s *waveState, vm workload.VM, now time.Time) {
	l := c.loads[vm.Pool]
	lasting := l != nil && l.load.Workers[vm.Worker].Lasting > 0
	c.works[vm.ID] = &work{vm: vm.ID, pool: vm.Pool, worker: vm.Worker, wave: s.wave.Number, lasting: lasting, since: now}
}

// lastingAtOnce is how many VMs with lasting tasks are emptied at once in each pool. A
// step may miss a task or two at a time, so such VMs follow one another however many
// are closed; the second and third keep the steps that the first has none of moving.
const lastingAtOnce = 3

// beginLasting takes VMs with lasting tasks into maintenance from the wave's beginning
// on. Emptying one takes about a second, in which others of its pool must wait. Taken
// last, as the most costly ones, they would end long after all others: 25 of them in a
// pool take 25 s, whatever time the rest of the wave has left.
func (c *Core) beginLasting(s *waveState, due []workload.VM, now time.Time) {
	byPool := map[string][]workload.VM{}
	emptying := map[string]int{}
	for _, vm := range due {
		l := c.loads[vm.Pool]
		if l == nil || l.load.Workers[vm.Worker].Lasting == 0 {
			continue
		}
		if w := c.works[vm.ID]; w != nil {
			emptying[vm.Pool]++
			continue
		}
		byPool[vm.Pool] = append(byPool[vm.Pool], vm)
	}
	room := s.wave.Cap - c.underWay(s, now)
	for _, pool := range slices.Sorted(maps.Keys(byPool)) {
		for ; room > 0 && emptying[pool] < lastingAtOnce; emptying[pool]++ {
			vm, ok := c.next(byPool[pool], now)
			if !ok {
				break
			}
			c.begin(s, vm, now)
			room--
		}
	}
}

// due lists the VMs of a wave that have not begun and are there.
func (c *Core) due(s *waveState) []workload.VM {
	var due []workload.VM
	for _, id := range s.wave.VMs {
		vm, known := c.byID[id]
		if s.done[id] || !known {
			continue
		}
		due = append(due, vm)
	}
	return due
}

// Leaving are, by pool, the workers whose VMs are yet to begin their maintenance.
type Leaving map[string][]string

// Leaving lists the workers that are to leave in a wave.
func (c *Core) Leaving() Leaving {
	leaving := Leaving{}
	for _, s := range c.waves {
		for _, vm := range c.due(s) {
			if vm.Worker != "" && vm.Pool != c.standby {
				leaving[vm.Pool] = append(leaving[vm.Pool], vm.Worker)
			}
		}
	}
	return leaving
}

// pace is how many VMs of a wave are to be under way at once: enough to be done
// in its share of the time, and no more, as each takes room from its pool.
func (c *Core) pace(s *waveState, left int, now time.Time) int {
	target := time.Duration(float64(s.wave.Duration) * waveShare)
	remaining := max(time.Second, target-now.Sub(s.begun))
	each := c.cfg.Maintenance + turnTime
	n := int(math.Ceil(float64(left) * float64(each) / float64(remaining)))
	slow := 0
	for _, w := range c.works {
		if w.wave == s.wave.Number && w.phase == phaseEmptying && now.Sub(w.since) > patience {
			slow++ // it waits for others' tasks; another VM goes on meanwhile
		}
	}
	return min(n+slow, max(1, s.wave.Cap))
}

// underWay is how many VMs of a wave are away or about to be. An earlier owner's
// orders count, too: by the list, and where they are too new for it by the word
// that was stored ahead of them. Its moves don't: at a peak it has moved more VMs just
// before than the wave may have away, and the wave would stand still for seconds
// after each change of the owner.
func (c *Core) underWay(s *waveState, now time.Time) int {
	n, away := s.wave.Number, 0
	for _, id := range s.wave.VMs {
		w := c.works[id]
		ours := w != nil && w.wave == n
		if ours || c.byID[id].State == workload.VMMaintenance || w == nil && c.quiet[id].mayBeOf(n) && !c.mayOrder(id, now) {
			away++
		}
	}
	return away
}

// mayBeOf tells whether the order may have been one of a wave.
func (o earlierOrder) mayBeOf(wave int64) bool { return o.wave == wave || o.wave == AnyWave }

// next picks the VM whose absence costs least: one without work, else one of the
// pool with the most room left over.
func (c *Core) next(due []workload.VM, now time.Time) (workload.VM, bool) {
	best, bestCost := -1, 0.0
	for i, vm := range due {
		if c.works[vm.ID] != nil || !c.mayOrder(vm.ID, now) || vm.State != workload.VMUp && !(vm.State == workload.VMDown && vm.Worker == "") {
			continue
		}
		cost := c.cost(vm)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return workload.VM{}, false
	}
	return due[best], true
}

// absentCost weighs a VM of a pool that others are already away from.
const absentCost = 1.0

func (c *Core) cost(vm workload.VM) float64 {
	if vm.Worker == "" || vm.Pool == c.standby {
		return 0
	}
	cost := 0.1
	if l := c.loads[vm.Pool]; l != nil {
		cost += l.use(vm)
		cost += float64(l.load.Workers[vm.Worker].Lasting)
	}
	for _, w := range c.works {
		if w.pool == vm.Pool {
			cost += absentCost
		}
	}
	return cost
}

// report stores what has changed of the waves.
func (c *Core) report() {
	for _, n := range c.waveNumbers() {
		s := c.waves[n]
		if s.wave.VMs == nil {
			continue // only an earlier owner's report of it was read so far
		}
		state := workload.WaveRunning
		if len(c.vms) > 0 && len(c.due(s)) == 0 && !c.ordering(n) {
			state = workload.WaveCompleted
		}
		if state == s.state && !c.dirtyWaves[n] {
			continue
		}
		s.state = state
		delete(c.dirtyWaves, n)
		done := make([]string, 0, len(s.done))
		for vm := range s.done {
			done = append(done, vm)
		}
		slices.Sort(done)
		c.out = append(c.out, Action{Verb: Store, Wave: n, State: state, Done: done})
	}
}

// ordering tells whether an order of a wave is in flight.
func (c *Core) ordering(wave int64) bool {
	for _, w := range c.works {
		if w.wave == wave && w.phase == phaseOrdered {
			return true
		}
	}
	return false
}

func (c *Core) waveNumbers() []int64 {
	numbers := make([]int64, 0, len(c.waves))
	for n := range c.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// StoreFailed takes back that a wave's state was stored.
func (c *Core) StoreFailed(wave int64) { c.dirtyWaves[wave] = true }
