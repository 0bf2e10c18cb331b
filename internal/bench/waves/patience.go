package waves

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/pool"
)

// Parameters of the simulation of changing documents.
const (
	days         = 3
	changesSpare = 2
	changesStep  = 30 * time.Second
	// minSize is the pool size at which a pool is not shrunk any further.
	minSize = 6
	// A fleet of designVMs loses dailyLosses of them on an ordinary day. In the
	// simulation, VMs fail lossFactor times as often.
	designVMs, dailyLosses, lossFactor = 4000, 26, 50
)

// setting holds delays of the planning, the same for all documents.
type setting struct {
	name   string
	delays pool.Delays
}

func settings() []setting {
	defaults := pool.DefaultPolicy().Delays
	return []setting{
		{"no patience", pool.Delays{Release: time.Second}},
		{"weigh = buffer", defaults[document.WeighBuffer]},
		{"buffer, release after 2 h", pool.Delays{Replace: 2 * time.Minute, Move: time.Minute, Release: 2 * time.Hour}},
		{"weigh = moves", defaults[document.WeighMoves]},
		{"moves, wait 1 h", pool.Delays{Replace: time.Hour, Move: time.Hour}},
	}
}

// ChangingDocuments measures the tradeoff between surplus VMs and moves of VMs. It simulates
// three days in which documents change every hour, half of the changes are reverted
// within ten minutes, and VMs fail fifty times as often as on an ordinary day.
func ChangingDocuments(deployments []deployment.Deployment, seeds int) ([]figure.Table, error) {
	var tables []figure.Table
	for _, d := range deployments {
		table := figure.Table{
			Title:      fmt.Sprintf("%s, %d days of changing documents, %d spare", d.Name, days, changesSpare),
			Labels:     []string{"setting"},
			Quantities: []string{"VMs beyond their pool's size", "short VM-s", "drains", "pool changes"},
		}
		for _, s := range settings() {
			samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) {
				e, err := s.run(d, seed)
				if err != nil {
					return nil, err
				}
				return []float64{e.surplus / (days * 24 * 3600), e.shortage, float64(e.drains()), float64(e.poolChanges)}, nil
			})
			if err != nil {
				return nil, err
			}
			table.Add(samples, s.name)
		}
		tables = append(tables, table)
	}
	return tables, nil
}

func (s setting) run(d deployment.Deployment, seed uint64) (*episode, error) {
	policy := pool.DefaultPolicy()
	policy.Delays = map[document.Weigh]pool.Delays{document.WeighBuffer: s.delays, document.WeighMoves: s.delays}
	r, err := d.Start(changesSpare, policy)
	if err != nil {
		return nil, err
	}
	e := newEpisode(r, d, seed)
	for hour := 1; hour < days*24; hour++ {
		e.scheduleChange(time.Duration(hour)*time.Hour, d.Size)
	}
	e.simulate(changesStep, days*24*time.Hour)
	return e, e.err
}

// scheduleChange schedules a change of the sizes of two random pools, with
// probability 1/2 the reverse change within ten minutes, and with the probability
// that lossFactor implies the failure of a VM.
func (e *episode) scheduleChange(at time.Duration, fleet int) {
	grow := e.pools[e.rand.IntN(len(e.pools))]
	shrink := e.pools[e.rand.IntN(len(e.pools))]
	if grow == shrink {
		return
	}
	e.schedule(at, func(e *episode) { e.resizePair(grow, shrink) })
	if e.rand.IntN(2) == 0 {
		e.schedule(at+time.Duration(1+e.rand.IntN(10))*time.Minute, func(e *episode) { e.resizePair(shrink, grow) })
	}
	if e.rand.IntN(24*days) < lossFactor*days*dailyLosses*fleet/designVMs {
		e.schedule(at+17*time.Minute, func(e *episode) { e.failVM(e.randomVM(), time.Duration(5+e.rand.IntN(240))*time.Minute) })
	}
}

// resizePair moves one VM of size from one document to another, unless the pool to
// shrink has only minSize VMs.
func (e *episode) resizePair(grow, shrink string) {
	if e.run.State.Services[shrink].Doc.Pool.Size <= minSize {
		return
	}
	e.resize(shrink, -1)
	e.resize(grow, 1)
}
