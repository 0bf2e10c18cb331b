package waves

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// event is an action at a time after the start of an episode.
type event struct {
	at     time.Duration
	action func(*episode)
}

// episode is a measured run with its scheduled events and results.
type episode struct {
	run    *forecast.Run
	rand   *rand.Rand
	lost   map[string]bool
	pools  []string
	events []event
	err    error // of the first command that was refused

	start, end          time.Time
	buffer              float64 // VM-seconds of free VMs and of VMs beyond their pool's size
	surplus             float64 // VM-seconds of VMs beyond their pool's size
	shortage, overLimit float64 // VM-seconds that pools are short, and short by more than max_unavailable
	poolOf              map[string]string
	poolChanges         int // number of times that a VM left a pool for another or for none
}

// newEpisode returns an episode whose VMs take 2 to 21 s to drain, 60 to 149 s to
// reboot and 3 to 8 s until they are recorded as up.
func newEpisode(r *forecast.Run, d deployment.Deployment, seed uint64) *episode {
	e := &episode{
		run: r, rand: rand.New(rand.NewPCG(seed, 1)), lost: map[string]bool{},
		pools: d.Pools, start: r.Now, poolOf: map[string]string{},
	}
	r.Lost = func(id string) bool { return e.lost[id] }
	r.Times = func(*ledger.VM) forecast.Times {
		return forecast.Times{
			Drain:  time.Duration(2+e.rand.IntN(20)) * time.Second,
			Reboot: time.Duration(60+e.rand.IntN(90)) * time.Second,
			Return: time.Duration(3+e.rand.IntN(6)) * time.Second,
		}
	}
	for id, vm := range r.State.VMs {
		e.poolOf[id] = vm.Pool
	}
	return e
}

// schedule adds an event at a time after the episode's start.
func (e *episode) schedule(d time.Duration, what func(*episode)) {
	e.events = append(e.events, event{d, what})
}

// failVM makes a VM fail for a duration.
func (e *episode) failVM(id string, d time.Duration) {
	vm := e.run.State.VMs[id]
	if e.lost[id] {
		return
	}
	e.lost[id] = true
	if !vm.Down {
		e.run.OnVM(id, record.VMDown{Cause: "lost"})
	}
	e.schedule(e.run.Now.Add(d).Sub(e.start), func(e *episode) {
		e.lost[id] = false
		e.run.OnVM(id, record.VMUp{})
	})
}

// failRack makes the VMs of a random rack fail for a duration.
func (e *episode) failRack(d time.Duration) {
	racks := map[string]bool{}
	for _, vm := range e.run.State.VMs {
		racks[vm.Rack] = true
	}
	names := slices.Sorted(maps.Keys(racks))
	rack := names[e.rand.IntN(len(names))]
	for _, id := range slices.Sorted(maps.Keys(e.run.State.VMs)) {
		if e.run.State.VMs[id].Rack == rack {
			e.failVM(id, d)
		}
	}
}

func (e *episode) randomVM() string {
	ids := slices.Sorted(maps.Keys(e.run.State.VMs))
	return ids[e.rand.IntN(len(ids))]
}

func (e *episode) resize(pool string, by int) {
	size := e.run.State.Services[pool].Doc.Pool.Size + by
	if err := deployment.Resize(e.run, pool, size); err != nil && e.err == nil {
		e.err = err
	}
}

// simulate runs the episode in steps until the duration total after its start, and
// accumulates the results after each step.
func (e *episode) simulate(step, total time.Duration) {
	for e.run.Now.Sub(e.start) < total && e.err == nil {
		slices.SortStableFunc(e.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		for len(e.events) > 0 && e.run.Now.Sub(e.start) >= e.events[0].at {
			next := e.events[0]
			e.events = e.events[1:]
			next.action(e)
		}
		e.run.AdvanceTo(e.run.Now.Add(step))
		e.accumulate(step.Seconds())
	}
}

func (e *episode) accumulate(seconds float64) {
	e.buffer += float64(deployment.CountFreeVMs(e.run)) * seconds
	for _, name := range e.pools {
		u := e.run.State.Unavailability(name)
		spare := float64(max(0, u.Serving-u.Size)) * seconds
		e.buffer += spare
		e.surplus += spare
		e.shortage += float64(u.Short) * seconds
		e.overLimit += float64(max(0, u.Short-e.run.State.Services[name].Doc.Budget.MaxUnavailable)) * seconds
	}
	for id, vm := range e.run.State.VMs {
		if was := e.poolOf[id]; was != vm.Pool {
			e.poolOf[id] = vm.Pool
			if was != "" {
				e.poolChanges++
			}
		}
	}
}

func (e *episode) drains() int {
	n, _ := deployment.CountDrainsAndMoves(e.run)
	return n
}
