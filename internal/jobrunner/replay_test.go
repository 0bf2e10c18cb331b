package jobrunner_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// The replay measures the policies against their plain baselines on one pool of
// each deployment. Arrivals depend on the seed alone, so that all policies of a
// row see the same jobs. Run it with
//
//	go test -run xxx -bench Replay -benchtime 1x ./internal/jobrunner
const (
	replayTime  = 30 * time.Minute
	replayTick  = 250 * time.Millisecond
	replaySeeds = 5
	urgentBound = 6700 * time.Millisecond
	// soonStopped counts a start as wasted when its job is cancelled that soon.
	soonStopped = 5 * time.Second
)

// deployment is one pool of the brief.
type deployment struct {
	name     string
	workers  int
	cores    int
	memoryMB int
	hold     int // cores held back for urgent work
	// sizes are cores of jobs; runs their mean run time.
	sizes []int
	runs  time.Duration
}

var deployments = []deployment{
	{name: "ramcharan", workers: 10, cores: 32, memoryMB: 65536, hold: 16, sizes: []int{1, 2, 2, 4, 4, 8, 16}, runs: 2 * time.Minute},
	{name: "feldkamm", workers: 9, cores: 64, memoryMB: 262144, hold: 32, sizes: []int{2, 4, 8, 8, 16, 32}, runs: 4 * time.Minute},
}

// plan is one planned event of a replay.
type plan struct {
	at     time.Duration
	id     string
	spec   record.JobSubmit
	cancel bool
	fault  *standin.Fault
}

// load is how much of the pool's cores the declared jobs ask for.
const load = 0.85

// arrivals draws the jobs of one seed.
func (d deployment) arrivals(r *rand.Rand, misdeclared bool) []plan {
	mean := 0.0
	for _, s := range d.sizes {
		mean += float64(s) / float64(len(d.sizes))
	}
	gap := mean * d.runs.Seconds() / (load * float64(d.workers*d.cores))
	var plans []plan
	at := 0.0
	for n := 0; at < replayTime.Seconds(); n++ {
		at += r.ExpFloat64() * gap
		p := d.job(r, n)
		p.at = time.Duration(at * float64(time.Second))
		plans = append(plans, p)
		if misdeclared {
			plans = append(plans, p.reality())
		}
	}
	return plans
}

func (d deployment) job(r *rand.Rand, n int) plan {
	size := d.sizes[r.IntN(len(d.sizes))]
	run := time.Duration(max(5, r.ExpFloat64()*d.runs.Seconds())) * time.Second
	p := plan{id: fmt.Sprintf("j%05d", n)}
	p.spec = record.JobSubmit{
		Service:        service,
		Team:           []string{"a", "b", "c"}[r.IntN(3)],
		MilliCores:     1000 * size,
		MemoryMB:       size * d.memoryMB / d.cores / 2,
		RunTime:        run.Round(30*time.Second) + 5*time.Second,
		Repeatable:     r.IntN(10) < 6,
		Checkpointable: r.IntN(2) == 0,
	}
	if r.IntN(20) == 0 {
		p.spec.Urgent = true
		p.spec.MilliCores = 1000 * d.cores / 4
		p.spec.RunTime = 30 * time.Second
	}
	return p
}

// reality makes the job use another size than it declares, alike for all of its
// team and size.
func (p plan) reality() plan {
	factors := []float64{0.3, 0.5, 1, 1.5, 2}
	f := factors[(len(p.spec.Team)*7+int(p.spec.Team[0])+p.spec.MilliCores/1000)%len(factors)]
	return plan{at: p.at, fault: &standin.Fault{Kind: standin.TaskReality, Target: p.id, CoresFactor: f, MemoryFactor: f}}
}

// scenario is what goes wrong.
type scenario struct {
	name        string
	misdeclared bool
	plans       func(d deployment) []plan
	// without names the policies that leave out what matters here.
	without []string
}

var scenarios = []scenario{
	{name: "calm", without: []string{"no-hold", "no-preempt", "spread", "min-min"}},
	{name: "blackhole", without: []string{"no-quarantine"}, plans: func(deployment) []plan {
		return []plan{{at: 2 * time.Minute, fault: &standin.Fault{Kind: standin.WorkerFails, Target: "vm-03", DelayMS: 200}}}
	}},
	{name: "misdeclared", misdeclared: true, without: []string{"no-correction"}},
	{name: "cancellations", without: []string{"no-settling"}, plans: cancellations},
}

// cancellations lets a team submit 150 jobs and cancel them in turn, twice.
func cancellations(d deployment) []plan {
	var plans []plan
	for _, begin := range []time.Duration{8 * time.Minute, 18 * time.Minute} {
		for i := range 150 {
			id := fmt.Sprintf("batch-%d-%03d", int(begin.Minutes()), i)
			spec := record.JobSubmit{Service: service, Team: "b", MilliCores: 4000, MemoryMB: 1024, RunTime: 10 * time.Minute, Repeatable: true}
			plans = append(plans,
				plan{at: begin, id: id, spec: spec},
				plan{at: begin + 30*time.Second + time.Duration(i)*200*time.Millisecond, id: id, cancel: true},
			)
		}
	}
	return plans
}

// policy is one way to run the pool.
type policy struct {
	name string
	cfg  jobrunner.CoreConfig
}

var policies = []policy{
	{name: "full"},
	{name: "plain", cfg: jobrunner.CoreConfig{
		Policy:       placement.Policy{Rank: placement.FirstFit, IgnoreHold: true, NoPreempt: true, FirstCome: true, NoAging: true},
		NoCorrection: true, NoSettling: true, NoQuarantine: true,
	}},
	{name: "no-hold", cfg: jobrunner.CoreConfig{Policy: placement.Policy{IgnoreHold: true}}},
	{name: "no-preempt", cfg: jobrunner.CoreConfig{Policy: placement.Policy{NoPreempt: true}}},
	{name: "no-correction", cfg: jobrunner.CoreConfig{NoCorrection: true}},
	{name: "no-quarantine", cfg: jobrunner.CoreConfig{NoQuarantine: true}},
	{name: "no-settling", cfg: jobrunner.CoreConfig{NoSettling: true}},
	{name: "spread", cfg: jobrunner.CoreConfig{Policy: placement.Policy{Rank: placement.Spread}}},
	{name: "min-min", cfg: jobrunner.CoreConfig{Policy: placement.Policy{MinMin: true}}},
}

// measures of one replay, in the order of measureNames.
type measures [9]float64

var measureNames = [len(measures{})]string{
	"late-urgent-%", "urgent-p99-s", "wasted-starts", "lost-jobs", "use-%", "overload-%", "done", "wait-mean-s", "preempted",
}

func BenchmarkReplay(b *testing.B) {
	for _, d := range deployments {
		for _, sc := range scenarios {
			for i, pol := range policies {
				if i > 1 && !slices.Contains(sc.without, pol.name) {
					continue
				}
				b.Run(d.name+"/"+sc.name+"/"+pol.name, func(b *testing.B) {
					for b.Loop() {
						report(b, d, sc, pol)
					}
				})
			}
		}
	}
}

// report runs all seeds and reports the median of each measure and its spread,
// the largest less the smallest.
func report(b *testing.B, d deployment, sc scenario, pol policy) {
	var all [len(measures{})][]float64
	for seed := range uint64(replaySeeds) {
		for i, v := range replay(b, d, sc, pol, seed+1) {
			all[i] = append(all[i], v)
		}
	}
	for i, values := range all {
		slices.Sort(values)
		b.ReportMetric(values[len(values)/2], measureNames[i])
		b.ReportMetric(values[len(values)-1]-values[0], measureNames[i]+"-spread")
	}
}

// tally sums what is sampled while a replay runs.
type tally struct {
	used, over, capacity float64
	firstStart           map[string]time.Time
	starts               map[string]int
}

func replay(t require.TestingT, d deployment, sc scenario, pol policy, seed uint64) measures {
	r := rand.New(rand.NewPCG(seed, 1))
	plans := d.arrivals(r, sc.misdeclared)
	if sc.plans != nil {
		plans = append(plans, sc.plans(d)...)
	}
	slices.SortStableFunc(plans, func(a, b plan) int { return cmp.Compare(a.at, b.at) })
	w := newWorldOf(t, shape{
		stewards: 1, workers: d.workers, cores: d.cores, memoryMB: d.memoryMB,
		doc: d.document(), core: pol.cfg, tick: replayTick,
	})
	w.order(standin.Fault{Kind: standin.UsageLag, DelayMS: 10_000})
	sum := &tally{firstStart: map[string]time.Time{}, starts: map[string]int{}}
	for step := 0; w.now.Sub(begin) < replayTime; step++ {
		for len(plans) > 0 && plans[0].at <= w.now.Sub(begin) {
			w.do(plans[0])
			plans = plans[1:]
		}
		w.step()
		sum.sample(w, step)
	}
	return w.measure(sum)
}

func (d deployment) document() document.Document {
	doc := document.Document{
		Service: service,
		Limits:  document.Limits{Slots: 8},
		Jobs:    document.Jobs{Lease: 30 * time.Second, UrgentMilliCores: 1000 * d.hold},
	}
	for _, team := range []string{"a", "b", "c"} {
		doc.Quotas = append(doc.Quotas, document.Quota{Team: team, MilliCores: d.workers * d.cores * 600, MemoryMB: d.workers * d.memoryMB})
	}
	return doc
}

func (w *world) do(p plan) {
	switch {
	case p.fault != nil:
		w.order(*p.fault)
	case p.cancel:
		w.write(jobSubject(p.id), record.JobCancel{})
	default:
		w.write(jobSubject(p.id), p.spec)
	}
}

// sample notes first starts at each step, and the workers' use each second.
func (s *tally) sample(w *world, step int) {
	for id, n := range w.p.Counters().JobStarts {
		if s.starts[id] == 0 && n > 0 {
			s.firstStart[id] = w.now
		}
		s.starts[id] = n
	}
	if step%int(time.Second/replayTick) != 0 {
		return
	}
	reports, err := w.p.Usage(context.Background())
	require.NoError(w.t, err)
	used := map[string]float64{}
	for _, u := range reports {
		used[u.Worker] += u.Cores
	}
	for _, cores := range used {
		s.used += min(cores, float64(w.cores))
		s.over += max(0, cores-float64(w.cores))
	}
	s.capacity += float64(w.workers * w.cores)
}

func (w *world) measure(s *tally) measures {
	var waits, urgent []float64
	late, urgentJobs, wasted, lost, done := 0, 0, 0, 0, 0
	for id, j := range w.main.Jobs {
		from := j.SubmittedAt
		first, started := s.firstStart[id]
		wait := first.Sub(from).Seconds()
		switch {
		case j.Result == record.JobUnplaceable || w.now.Sub(from) < urgentBound:
		case j.Spec.Urgent:
			urgentJobs++
			if !started || first.Sub(from) > urgentBound {
				late++
			}
			if !started {
				wait = w.now.Sub(from).Seconds()
			}
			urgent = append(urgent, wait)
		case started:
			waits = append(waits, wait)
		}
		wasted += len(j.Failures) + j.Lapses
		if started && j.Status == ledger.JobCancelled && j.EndedAt.Sub(first) < soonStopped {
			wasted++
		}
		if j.Succeeded() {
			done++
		} else if j.Status == ledger.JobDone && j.Result != record.JobUnplaceable {
			lost++
		}
	}
	stats := w.nodes[0].core.Stats
	wasted += stats.Refused
	return measures{
		100 * float64(late) / max(1, float64(urgentJobs)), quantile(urgent, 0.99), float64(wasted), float64(lost),
		100 * s.used / s.capacity, 100 * s.over / s.capacity, float64(done), mean(waits), float64(stats.Preempted),
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / max(1, float64(len(values)))
}
