package forecast_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// measureEnv makes TestMeasure run; it prints tables for docs/MEASUREMENTS.md.
const measureEnv = "YUCCADRIFT_MEASURE"

const seeds = 7

// variant is a policy with its planner.
type variant struct {
	name    string
	reserve pool.ReserveMode
	batches bool // first-come waves in fixed batches
}

// plain is the baseline: each pool keeps its own buffer, waves go in batches.
var variants = []variant{
	{"shared reserve, planned waves", pool.ReserveShared, false},
	{"own buffers, planned waves", pool.ReserveOwn, false},
	{"shared reserve, batches", pool.ReserveShared, true},
	{"own buffers, batches (plain)", pool.ReserveOwn, true},
}

func (v variant) run(t testing.TB, d deployment, spare int) *forecast.Run {
	policy := pool.DefaultPolicy()
	policy.Reserve = v.reserve
	r := d.start(t, spare, policy)
	if v.batches {
		r.Plan = planBatches
	}
	return r
}

// planBatches fills gaps as the planner does and runs waves plainly: the first
// VMs by ID that are due, max_unavailable at once, and the next batch when the
// last VM of this one is back.
func planBatches(v *pool.View, policy pool.Policy) []pool.Proposal {
	r := pool.NewRound(v, policy)
	pool.Fill(r)
	for _, w := range v.Waves {
		for _, p := range v.Pools {
			if r.Out(w, p) {
				continue
			}
			n := 0
			for _, vm := range p.VMs {
				if n < p.Doc.Budget.MaxUnavailable && w.VMs[vm.ID] == ledger.WavePending && vm.Serving() {
					if r.Drain(vm, r.WaveDrain(vm, ""), "next batch") == "" {
						n++
					}
				}
			}
		}
	}
	pool.Release(r)
	return r.Proposals
}

// event is something that happens at a time after the wave's start.
type event struct {
	at   time.Duration
	what func(*episode)
}

// episode is one measured run.
type episode struct {
	t      testing.TB
	run    *forecast.Run
	rand   *rand.Rand
	lost   map[string]bool
	pools  []string
	events []event

	start, end  time.Time
	buffer      float64 // VM-seconds free or beyond the sizes
	trapped     float64 // VM-seconds beyond the sizes
	short, over float64 // VM-seconds short, and beyond max_unavailable
	in          map[string]string
	changes     int // VMs that changed pool or left one
}

func newEpisode(t testing.TB, r *forecast.Run, d deployment, seed uint64) *episode {
	e := &episode{t: t, run: r, rand: rand.New(rand.NewPCG(seed, 1)), lost: map[string]bool{}, pools: d.pools, start: r.Now, in: map[string]string{}}
	r.Lost = func(id string) bool { return e.lost[id] }
	r.Times = func(*ledger.VM) forecast.Times {
		return forecast.Times{
			Drain:  time.Duration(2+e.rand.IntN(20)) * time.Second,
			Reboot: time.Duration(60+e.rand.IntN(90)) * time.Second,
			Return: time.Duration(3+e.rand.IntN(6)) * time.Second,
		}
	}
	for id, vm := range r.State.VMs {
		e.in[id] = vm.Pool
	}
	return e
}

// at plans an event.
func (e *episode) at(d time.Duration, what func(*episode)) {
	e.events = append(e.events, event{d, what})
}

// fail loses a VM for a time.
func (e *episode) fail(id string, d time.Duration) {
	vm := e.run.State.VMs[id]
	if e.lost[id] {
		return
	}
	e.lost[id] = true
	if !vm.Down {
		e.run.OnVM(id, record.VMDown{Cause: "lost"})
	}
	e.at(e.run.Now.Add(d).Sub(e.start), func(e *episode) {
		e.lost[id] = false
		e.run.OnVM(id, record.VMUp{})
	})
}

func (e *episode) failRack(d time.Duration) {
	racks := map[string]bool{}
	for _, vm := range e.run.State.VMs {
		racks[vm.Rack] = true
	}
	names := slices.Sorted(maps.Keys(racks))
	rack := names[e.rand.IntN(len(names))]
	for _, id := range slices.Sorted(maps.Keys(e.run.State.VMs)) {
		if e.run.State.VMs[id].Rack == rack {
			e.fail(id, d)
		}
	}
}

func (e *episode) randomVM() string {
	ids := slices.Sorted(maps.Keys(e.run.State.VMs))
	return ids[e.rand.IntN(len(ids))]
}

// play moves on in steps and sums up until over says so.
func (e *episode) play(step time.Duration, over func() bool) {
	for !over() {
		slices.SortStableFunc(e.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		for len(e.events) > 0 && e.run.Now.Sub(e.start) >= e.events[0].at {
			next := e.events[0]
			e.events = e.events[1:]
			next.what(e)
		}
		e.run.To(e.run.Now.Add(step))
		e.sum(step.Seconds())
	}
}

func (e *episode) sum(seconds float64) {
	e.buffer += float64(free(e.run)) * seconds
	for _, name := range e.pools {
		u := e.run.State.Unavailability(name)
		spare := float64(max(0, u.Serving-u.Size)) * seconds
		e.buffer += spare
		e.trapped += spare
		e.short += float64(u.Short) * seconds
		e.over += float64(max(0, u.Short-e.run.State.Services[name].Doc.Budget.MaxUnavailable)) * seconds
	}
	for id, vm := range e.run.State.VMs {
		if was := e.in[id]; was != vm.Pool {
			e.in[id] = vm.Pool
			if was != "" {
				e.changes++
			}
		}
	}
}

// spread is the median and the range of some runs.
type spread []float64

func (s spread) String() string {
	sorted := slices.Sorted(slices.Values(s))
	digits := 1
	if sorted[len(sorted)-1] >= 100 {
		digits = 0
	}
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, sorted[len(sorted)/2], digits, sorted[0], digits, sorted[len(sorted)-1])
}

var scenarios = []struct {
	name  string
	setup func(*episode)
}{
	{"no faults", func(*episode) {}},
	{"rack lost in mid-wave", func(e *episode) {
		e.at(5*time.Minute, func(e *episode) { e.failRack(4 * time.Hour) })
	}},
	{"mixed", func(e *episode) {
		e.at(5*time.Minute, func(e *episode) { e.failRack(2 * time.Hour) })
		for range 4 {
			e.at(time.Duration(e.rand.IntN(30))*time.Minute, func(e *episode) {
				e.fail(e.randomVM(), time.Duration(20+e.rand.IntN(120))*time.Minute)
			})
		}
		grow, shrink := e.pools[e.rand.IntN(2)], e.pools[2+e.rand.IntN(3)]
		e.at(8*time.Minute, func(e *episode) { e.resize(grow, 1); e.resize(shrink, -1) })
		e.at(9*time.Minute, func(e *episode) { e.resize(grow, -1); e.resize(shrink, 1) })
		e.at(12*time.Minute, func(e *episode) { e.resize(grow, 1); e.resize(shrink, -1) })
	}},
}

func (e *episode) resize(pool string, by int) {
	resize(e.t, e.run, pool, e.run.State.Services[pool].Doc.Pool.Size+by)
}

// measured is how long each run of a wave is watched, also after its end, so
// that sums over time compare.
const measured = 5 * time.Hour

// measureWave runs one wave over all pools. One that does not end counts as
// ended at the end of the run.
func measureWave(t testing.TB, v variant, d deployment, spare int, setup func(*episode), seed uint64) *episode {
	e := newEpisode(t, v.run(t, d, spare), d, seed)
	setup(e)
	startWave(t, e.run, 24*time.Hour, d.pools...)
	e.play(10*time.Second, func() bool { return e.run.Now.Sub(e.start) >= measured })
	e.end = e.run.Now
	if w := e.run.State.Waves["w"]; w.Status != ledger.WaveRunning {
		e.end = w.FinishedAt
	}
	return e
}

// TestMeasure prints the figures of docs/MEASUREMENTS.md, section "Fleet
// decisions". It checks nothing.
func TestMeasure(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + "=1 to print the tables")
	}
	deployments := []deployment{readDeployment(t, "ramcharan", 3), readDeployment(t, "feldkamm", 4)}
	for _, d := range deployments {
		for _, s := range scenarios {
			measurePolicies(t, d, s.name, s.setup)
		}
	}
	for _, d := range deployments {
		measureSpare(t, d)
		measureWeigh(t, d)
	}
}

const oneEach = 5 // spare VMs: one for each pool

func measurePolicies(t *testing.T, d deployment, name string, setup func(*episode)) {
	fmt.Printf("\n%s, %s, %d VMs + %d spare, wave over all pools, %d seeds\n\n", d.name, name, d.size, oneEach, seeds)
	fmt.Println("| policy | roll-out min | buffer VM | short VM-s | over max VM-s | drains | pool changes | skipped |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, v := range variants {
		var rollout, buffer, short, over, drains, changes, skipped spread
		for seed := range uint64(seeds) {
			e := measureWave(t, v, d, oneEach, setup, seed)
			took := e.end.Sub(e.start)
			rollout = append(rollout, took.Minutes())
			buffer = append(buffer, e.buffer/measured.Seconds())
			short = append(short, e.short)
			over = append(over, e.over)
			n, _ := disturbed(e.run)
			drains = append(drains, float64(n))
			changes = append(changes, float64(e.changes))
			skipped = append(skipped, float64(len(e.run.State.Waves["w"].Skips)))
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s |\n", v.name, rollout, buffer, short, over, drains, changes, skipped)
	}
}

// TestMeasureSpareNeeded prints the counts of pool.SpareFor.
func TestMeasureSpareNeeded(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + "=1 to print the table")
	}
	fmt.Println("| deployment | loss rates | shared | own, sum |")
	fmt.Println("|---|---|---|---|")
	for _, d := range []deployment{readDeployment(t, "ramcharan", 3), readDeployment(t, "feldkamm", 4)} {
		view := pool.NewView(d.start(t, 0, pool.DefaultPolicy()).State, epoch)
		for _, scale := range []float64{1, 10, 50} {
			rates := pool.DefaultRates()
			rates.VM *= scale
			rates.Rack *= scale
			s := pool.SpareFor(view.Pools, rates, pool.DefaultFailureShare)
			fmt.Printf("| %s | x%g | %d | %d |\n", d.name, scale, s.Shared, s.OwnTotal())
		}
	}
}

// measureSpare shows what fewer spare VMs cost under each reserve.
func measureSpare(t *testing.T, d deployment) {
	fmt.Printf("\n%s, mixed, by spare VMs, %d seeds\n\n", d.name, seeds)
	fmt.Println("| spare VMs | reserve | roll-out min | short VM-s | over max VM-s |")
	fmt.Println("|---|---|---|---|---|")
	for _, spare := range []int{0, 1, 2, 3, 4, 5} {
		for _, v := range []variant{variants[0], variants[1]} {
			var rollout, short, over spread
			for seed := range uint64(seeds) {
				e := measureWave(t, v, d, spare, scenarios[2].setup, seed)
				rollout = append(rollout, e.end.Sub(e.start).Minutes())
				short = append(short, e.short)
				over = append(over, e.over)
			}
			fmt.Printf("| %d | %s | %s | %s | %s |\n", spare, v.reserve, rollout, short, over)
		}
	}
}

// measureWeigh shows the frontier between buffer and moves: three days in which
// documents change every hour, half of the changes taken back within ten
// minutes, and VMs fail fifty times as often as on an ordinary day.
func measureWeigh(t *testing.T, d deployment) {
	const days, spare = 3, 2
	fmt.Printf("\n%s, %d days of changing documents, %d spare, %d seeds\n\n", d.name, days, spare, seeds)
	fmt.Println("| setting | VMs beyond their pool's size | short VM-s | drains | pool changes |")
	fmt.Println("|---|---|---|---|---|")
	usual := pool.DefaultPolicy().Patience
	settings := []struct {
		name string
		wait pool.Patience
	}{
		{"no patience", pool.Patience{Release: time.Second}},
		{"weigh = buffer", usual[document.WeighBuffer]},
		{"buffer, release after 2 h", pool.Patience{Replace: 2 * time.Minute, Move: time.Minute, Release: 2 * time.Hour}},
		{"weigh = moves", usual[document.WeighMoves]},
		{"moves, wait 1 h", pool.Patience{Replace: time.Hour, Move: time.Hour}},
	}
	for _, s := range settings {
		var trapped, short, drains, changes spread
		for seed := range uint64(seeds) {
			e := measureDays(t, d, spare, days, s.wait, seed)
			trapped = append(trapped, e.trapped/(days*24*3600))
			short = append(short, e.short)
			n, _ := disturbed(e.run)
			drains = append(drains, float64(n))
			changes = append(changes, float64(e.changes))
		}
		fmt.Printf("| %s | %s | %s | %s | %s |\n", s.name, trapped, short, drains, changes)
	}
}

func measureDays(t *testing.T, d deployment, spare, days int, wait pool.Patience, seed uint64) *episode {
	policy := pool.DefaultPolicy()
	policy.Patience = map[document.Weigh]pool.Patience{document.WeighBuffer: wait, document.WeighMoves: wait}
	r := d.start(t, spare, policy)
	e := newEpisode(t, r, d, seed)
	for hour := 1; hour < days*24; hour++ {
		at := time.Duration(hour) * time.Hour
		grow := e.pools[e.rand.IntN(len(e.pools))]
		shrink := e.pools[e.rand.IntN(len(e.pools))]
		if grow == shrink {
			continue
		}
		e.at(at, func(e *episode) { e.shift(grow, shrink) })
		if e.rand.IntN(2) == 0 {
			e.at(at+time.Duration(1+e.rand.IntN(10))*time.Minute, func(e *episode) { e.shift(shrink, grow) })
		}
		if e.rand.IntN(24*days) < 50*days*26*d.size/4000 {
			e.at(at+17*time.Minute, func(e *episode) { e.fail(e.randomVM(), time.Duration(5+e.rand.IntN(240))*time.Minute) })
		}
	}
	e.play(30*time.Second, func() bool { return e.run.Now.Sub(e.start) >= time.Duration(days)*24*time.Hour })
	return e
}

// shift takes a VM from one document to another while both stay sensible.
func (e *episode) shift(grow, shrink string) {
	if e.run.State.Services[shrink].Doc.Pool.Size <= 6 {
		return
	}
	e.resize(shrink, -1)
	e.resize(grow, 1)
}

// TestMeasuredPlansKeepBudgets holds what the measurement rests on: under each
// policy, without faults, no pool is ever short by more than its document allows
// and every wave ends.
func TestMeasuredPlansKeepBudgets(t *testing.T) {
	for _, d := range []deployment{readDeployment(t, "ramcharan", 3), readDeployment(t, "feldkamm", 4)} {
		for _, v := range variants {
			t.Run(d.name+"/"+strings.ReplaceAll(v.name, " ", "-"), func(t *testing.T) {
				e := measureWave(t, v, d, oneEach, scenarios[0].setup, 1)
				require.Equal(t, ledger.WaveDone, e.run.State.Waves["w"].Status)
				require.Zero(t, e.over)
			})
		}
	}
}
