package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
)

const (
	speedTeams    = 640
	speedCores    = 32
	speedMemoryMB = 65536
	// minMeasureTime is how long an operation is repeated for one result.
	minMeasureTime = 300 * time.Millisecond
)

// fleetSize is a number of workers and the pools that they are divided into.
type fleetSize struct{ workers, pools int }

// fleetSizes are a quarter of the design size, the design size, four times of it,
// and the largest fleet as a single pool.
var fleetSizes = []fleetSize{{1000, 94}, {4000, 94}, {16000, 94}, {16000, 1}}

// Speed measures, for fleets of different sizes, the placement of a job, the
// choice of jobs to preempt for an urgent one, and the snapshot of a pool from
// the folded state.
func Speed(runs int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      fmt.Sprintf("placement, %d teams", speedTeams),
		Labels:     []string{"workers", "pools"},
		Quantities: []string{"one placement, us", "room for an urgent job, us", "snapshot of a pool, us"},
	}
	for _, set := range fleetSizes {
		state, _ := runningFleet(set.workers, set.pools, 1)
		samples, err := figure.Collect(runs, func(uint64) ([]float64, error) {
			return []float64{set.measurePlacement(), set.measurePreemption(), set.measureSnapshot(state)}, nil
		})
		if err != nil {
			return nil, err
		}
		table.Add(samples, fmt.Sprint(set.workers), fmt.Sprint(set.pools))
	}
	return []figure.Table{table}, nil
}

func (s fleetSize) teamsPerPool() int { return max(1, speedTeams/s.pools) }

// buildPools returns pools whose workers have zero to four running jobs of 4
// cores, a quarter of all cores.
func (s fleetSize) buildPools() []*placement.Pool {
	list := make([]*placement.Pool, s.pools)
	perPool := s.workers / s.pools
	worker := resources(speedCores, speedMemoryMB)
	for i := range list {
		p := &placement.Pool{Name: "p", Admitted: []ledger.Resources{worker}, Teams: map[string]placement.Quota{}}
		p.UrgentReserve, p.UrgentJobSize = perPool*1000*speedCores/20, resources(8, 8192)
		for t := range s.teamsPerPool() {
			p.Teams[teamName(t)] = placement.Quota{Limit: resources(perPool*speedCores, perPool*speedMemoryMB)}
		}
		for w := range perPool {
			p.Workers = append(p.Workers, placement.Worker{ID: fmt.Sprintf("w%02d", w), Capacity: worker, Free: worker, Slots: manySlots})
			for k := range w % 5 {
				addRunningJob(&p.Workers[w], fmt.Sprintf("r%d-%d", w, k), 4)
			}
		}
		p.Prepare()
		list[i] = p
	}
	return list
}

func resources(cores, memoryMB int) ledger.Resources {
	return ledger.Resources{MilliCores: cores * 1000, MemoryMB: memoryMB}
}

func teamName(t int) string { return fmt.Sprintf("team-%d", t) }

// addRunningJob adds a checkpointable running job to a worker.
func addRunningJob(w *placement.Worker, id string, cores int) {
	r := placement.Running{
		Job: id, Team: teamName(0), Reserved: resources(cores, 1), FullMilliCores: cores * 1000,
		Started: Begin.Add(-time.Hour), Checkpointable: true,
	}
	w.Running = append(w.Running, r)
	w.Free = w.Free.Add(r.Reserved, -1)
	w.Slots--
}

func speedJob(id string, cores, memoryMB int) placement.Job {
	want := resources(cores, memoryMB)
	return placement.Job{
		ID: id, Team: teamName(0), Want: want, Declared: want, Repeatable: true,
		Submitted: Begin, Queued: Begin, RunTime: time.Hour,
	}
}

// meanMicroseconds repeats an operation, which returns its own duration, for
// minMeasureTime. It returns the mean duration in microseconds.
func meanMicroseconds(operation func(n int) time.Duration) float64 {
	total, n := time.Duration(0), 0
	for began := time.Now(); time.Since(began) < minMeasureTime; n++ {
		total += operation(n)
	}
	return float64(total.Nanoseconds()) / 1000 / float64(n)
}

// measurePlacement measures the placement of a queued job in a pool's snapshot.
// Each placed job is removed again, so that the load stays the same.
func (s fleetSize) measurePlacement() float64 {
	pools := s.buildPools()
	return meanMicroseconds(func(n int) time.Duration {
		j := speedJob(fmt.Sprintf("job-%d", n), 2, 2048)
		j.Team = teamName(n % s.teamsPerPool())
		p := *pools[n%len(pools)]
		began := time.Now()
		d := p.Place(&j, placement.Policy{}, Begin)
		took := time.Since(began)
		if d.Kind == placement.Placed {
			removePlacedJob(&p, &j, d)
		}
		return took
	})
}

func removePlacedJob(p *placement.Pool, j *placement.Job, d placement.Decision) {
	i := slices.IndexFunc(p.Workers, func(w placement.Worker) bool { return w.ID == d.Worker })
	w := &p.Workers[i]
	w.Free = w.Free.Add(j.Want, 1)
	w.Slots++
	w.Running = w.Running[:len(w.Running)-1]
	q := p.Teams[j.Team]
	q.Used = q.Used.Add(j.Want, -1)
	p.Teams[j.Team] = q
}

// measurePreemption measures the choice of jobs to preempt for an urgent job in a
// full pool.
func (s fleetSize) measurePreemption() float64 {
	pools := s.buildPools()
	for _, p := range pools {
		for i := range p.Workers {
			addRunningJob(&p.Workers[i], fmt.Sprintf("fill-%d", i), p.Workers[i].Free.MilliCores/1000)
		}
		p.Prepare()
	}
	return meanMicroseconds(func(n int) time.Duration {
		p := clone(pools[n%len(pools)])
		j := speedJob("urgent", 8, 8192)
		j.Urgent = true
		began := time.Now()
		p.PreemptFor(&j, Begin)
		return time.Since(began)
	})
}

func clone(p *placement.Pool) *placement.Pool {
	c := *p
	c.Workers = slices.Clone(p.Workers)
	for i := range c.Workers {
		c.Workers[i].Running = slices.Clone(p.Workers[i].Running)
	}
	c.Teams = maps.Clone(p.Teams)
	return &c
}

// measureSnapshot measures the snapshot of a pool from the folded state.
func (s fleetSize) measureSnapshot(state *ledger.State) float64 {
	return meanMicroseconds(func(n int) time.Duration {
		began := time.Now()
		placement.FromState(state, poolName(n%s.pools), placement.Knowledge{})
		return time.Since(began)
	})
}
