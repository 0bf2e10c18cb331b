// Package planning measures a planning round, including its copy of the state,
// for fleets of different sizes. Results are in docs/MEASUREMENTS.md, section
// "Fleet decisions".
package planning

import (
	"fmt"
	"runtime"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// rounds is how many planning rounds one result averages.
const rounds = 20

// sizes are a quarter of the design size, the design size and four times of it.
var sizes = []struct{ vms, pools int }{{1000, 24}, {4000, 94}, {16000, 376}}

// cases are the states of the fleet that a round plans for.
var cases = []struct {
	name  string
	setup func(*fleet)
}{
	{"nothing to do", (*fleet).join},
	{"a wave begins", func(f *fleet) { f.join(); f.wave() }},
	{"a rack is lost", func(f *fleet) { f.join(); f.loseRack() }},
	{"no VM in a pool yet", func(*fleet) {}},
}

// Rounds measures planning rounds at each size and in each case.
func Rounds(runs int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      fmt.Sprintf("one planning round, means of %d", rounds),
		Labels:     []string{"VMs / pools", "case"},
		Quantities: []string{"round, ms", "memory a round, MB", "proposals"},
	}
	for _, size := range sizes {
		for _, c := range cases {
			f := newFleet(size.vms, size.pools)
			c.setup(f)
			samples, err := figure.Collect(runs, func(uint64) ([]float64, error) { return f.measure(), nil })
			if err != nil {
				return nil, err
			}
			table.Add(samples, fmt.Sprintf("%d / %d", size.vms, size.pools), c.name)
		}
	}
	return []figure.Table{table}, nil
}

func (f *fleet) measure() []float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, proposals := time.Now(), 0
	for range rounds {
		proposals = len(maintenance.Plan(pool.NewView(f.state, f.now), pool.DefaultPolicy()))
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	allocated := float64(after.TotalAlloc - before.TotalAlloc)
	return []float64{took.Seconds() * 1000 / rounds, allocated / rounds / 1e6, float64(proposals)}
}

// join adds VMs to the pools until all are full, and marks them as up.
func (f *fleet) join() {
	for v := range f.perPool * f.pools {
		f.apply(record.SubjectVM, vmName(v), record.VMJoin{Pool: poolName(v % f.pools)})
		f.apply(record.SubjectVM, vmName(v), record.VMUp{})
	}
}

// wave starts a wave over all pools.
func (f *fleet) wave() {
	var names []string
	for p := range f.pools {
		names = append(names, poolName(p))
	}
	f.apply(record.SubjectWave, "w", record.WaveStart{Pools: names, Deadline: f.now.Add(waveDeadline)})
}

// loseRack records that the VMs of one rack are down, and moves the clock on by
// an hour.
func (f *fleet) loseRack() {
	for v := 0; v < perRack*zones; v += zones {
		f.apply(record.SubjectVM, vmName(v), record.VMDown{Cause: "lost"})
	}
	f.now = f.now.Add(time.Hour)
}
