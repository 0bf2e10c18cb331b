package waves

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

const (
	// observedTime is the length of each run. It continues after the end of the
	// wave, so that sums over time are comparable.
	observedTime = 5 * time.Hour
	// sampleInterval is the resolution of the sums over time.
	sampleInterval = 10 * time.Second
	// waveDeadline is the deadline of the waves, too late to force any turn.
	waveDeadline = 24 * time.Hour
	// onePerPool is the number of spare VMs, one for each pool in the plain
	// baseline.
	onePerPool = 5
)

// scenario is a set of events during a wave.
type scenario struct {
	name  string
	setup func(*episode)
}

var (
	noFaults = scenario{"no faults", func(*episode) {}}
	rackLost = scenario{"rack lost in mid-wave", func(e *episode) {
		e.schedule(5*time.Minute, func(e *episode) { e.failRack(4 * time.Hour) })
	}}
	// In mixed, a rack fails for two hours and four VMs fail for 20 to 139 minutes,
	// while the sizes of two pools are changed, changed back and changed again.
	mixed = scenario{"mixed", func(e *episode) {
		e.schedule(5*time.Minute, func(e *episode) { e.failRack(2 * time.Hour) })
		for range 4 {
			e.schedule(time.Duration(e.rand.IntN(30))*time.Minute, func(e *episode) {
				e.failVM(e.randomVM(), time.Duration(20+e.rand.IntN(120))*time.Minute)
			})
		}
		grow, shrink := e.pools[e.rand.IntN(2)], e.pools[2+e.rand.IntN(3)]
		shift := func(by int) func(*episode) {
			return func(e *episode) { e.resize(grow, by); e.resize(shrink, -by) }
		}
		e.schedule(8*time.Minute, shift(1))
		e.schedule(9*time.Minute, shift(-1))
		e.schedule(12*time.Minute, shift(1))
	}}
)

// run simulates a wave over all pools. A wave that does not finish counts as ended
// at the end of the run.
func (s scenario) run(v variant, d deployment.Deployment, spare int, seed uint64) (*episode, error) {
	r, err := v.start(d, spare)
	if err != nil {
		return nil, err
	}
	e := newEpisode(r, d, seed)
	s.setup(e)
	if err := deployment.StartWave(r, waveDeadline, d.Pools...); err != nil {
		return nil, err
	}
	e.simulate(sampleInterval, observedTime)
	e.end = r.Now
	if w := r.State.Waves[deployment.WaveID]; w.Status != ledger.WaveRunning {
		e.end = w.FinishedAt
	}
	return e, e.err
}

// Policies measures a wave over all pools with each variant, without and with
// faults.
func Policies(deployments []deployment.Deployment, seeds int) ([]figure.Table, error) {
	var tables []figure.Table
	for _, d := range deployments {
		for _, s := range []scenario{noFaults, rackLost, mixed} {
			table, err := measurePolicies(d, s, seeds)
			if err != nil {
				return nil, err
			}
			tables = append(tables, table)
		}
	}
	return tables, nil
}

func measurePolicies(d deployment.Deployment, s scenario, seeds int) (figure.Table, error) {
	table := figure.Table{
		Title:      fmt.Sprintf("%s, %s, %d VMs + %d spare", d.Name, s.name, d.Size, onePerPool),
		Labels:     []string{"policy"},
		Quantities: []string{"roll-out min", "buffer VM", "short VM-s", "over max VM-s", "drains", "pool changes", "skipped"},
	}
	for _, v := range variants {
		samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) {
			e, err := s.run(v, d, onePerPool, seed)
			if err != nil {
				return nil, err
			}
			skipped := len(e.run.State.Waves[deployment.WaveID].Skips)
			return []float64{
				e.end.Sub(e.start).Minutes(), e.buffer / observedTime.Seconds(), e.shortage, e.overLimit,
				float64(e.drains()), float64(e.poolChanges), float64(skipped),
			}, nil
		})
		if err != nil {
			return table, err
		}
		table.Add(samples, v.name)
	}
	return table, nil
}
