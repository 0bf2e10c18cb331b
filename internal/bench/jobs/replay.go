package jobs

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

const (
	replayTime = 30 * time.Minute
	replayTick = 250 * time.Millisecond
	usageLag   = 10 * time.Second
	// urgentStartLimit is the users' requirement for the start of urgent jobs. A
	// later start counts as late.
	urgentStartLimit = 6700 * time.Millisecond
	// earlyCancelLimit is the time after a job's first start within which a
	// cancellation makes the start count as wasted.
	earlyCancelLimit = 5 * time.Second
)

// policy is a configuration of the job runner.
type policy struct {
	name string
	cfg  jobrunner.CoreConfig
}

var policies = []policy{
	{name: "full"},
	{name: "plain", cfg: jobrunner.CoreConfig{
		Policy:       placement.Policy{Rank: placement.FirstFit, IgnoreUrgentReserve: true, NoPreempt: true, OrderBySubmission: true, NoAging: true},
		NoCorrection: true, NoBatchCancelWait: true, NoQuarantine: true,
	}},
	{name: "no-hold", cfg: jobrunner.CoreConfig{Policy: placement.Policy{IgnoreUrgentReserve: true}}},
	{name: "no-preempt", cfg: jobrunner.CoreConfig{Policy: placement.Policy{NoPreempt: true}}},
	{name: "no-correction", cfg: jobrunner.CoreConfig{NoCorrection: true}},
	{name: "no-quarantine", cfg: jobrunner.CoreConfig{NoQuarantine: true}},
	{name: "no-settling", cfg: jobrunner.CoreConfig{NoBatchCancelWait: true}},
	{name: "spread", cfg: jobrunner.CoreConfig{Policy: placement.Policy{Rank: placement.Spread}}},
	{name: "min-min", cfg: jobrunner.CoreConfig{Policy: placement.Policy{MinMin: true}}},
}

// quantities are the results of one replay.
var quantities = []string{
	"late urgent, %", "urgent p99, s", "wasted starts", "lost jobs", "cores used, %", "overload, %", "jobs done", "mean wait, s", "preempted",
}

// Replay compares the policies with the plain baseline on one pool of each
// deployment. Arrivals depend only on the seed, so that all policies get the
// same jobs.
func Replay(seeds int) ([]figure.Table, error) {
	table := figure.Table{
		Title: "half an hour of jobs in a pool of each deployment", Labels: []string{"pool", "case", "policy"}, Quantities: quantities,
	}
	for _, d := range poolSetups {
		for _, sc := range scenarios {
			for i, pol := range policies {
				if i > 1 && !slices.Contains(sc.ablations, pol.name) {
					continue
				}
				samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) { return replay(d, sc, pol, seed+1) })
				if err != nil {
					return nil, err
				}
				table.Add(samples, d.name, sc.name, pol.name)
			}
		}
	}
	return []figure.Table{table}, nil
}

// replayStats accumulates samples during a replay: core-seconds used, in excess
// of the workers' cores and available, and the starts of each job.
type replayStats struct {
	used, overload, capacity float64
	firstStart               map[string]time.Time
	starts                   map[string]int
}

func replay(d poolSetup, sc scenario, pol policy, seed uint64) ([]float64, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	events := d.arrivals(r, sc.misdeclared)
	if sc.events != nil {
		events = append(events, sc.events(d)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	w := New(WorldConfig{
		Stewards: 1, Workers: d.workers, Cores: d.cores, MemoryMB: d.memoryMB,
		Doc: d.document(), Core: pol.cfg, Tick: replayTick,
	})
	events = slices.Insert(events, 0, event{fault: &standin.Fault{Kind: standin.UsageLag, DelayMS: usageLag.Milliseconds()}})
	stats := &replayStats{firstStart: map[string]time.Time{}, starts: map[string]int{}}
	for step := 0; w.Now.Sub(Begin) < replayTime; step++ {
		for len(events) > 0 && events[0].at <= w.Now.Sub(Begin) {
			if err := w.apply(events[0]); err != nil {
				return nil, err
			}
			events = events[1:]
		}
		w.Step()
		if err := stats.sample(w, step); err != nil {
			return nil, err
		}
	}
	return w.measure(stats), nil
}

// apply carries out an event. A record without effect is no error, since the
// effect of records is part of the measurement.
func (w *World) apply(p event) error {
	sub := record.Subject{Kind: record.SubjectJob, Name: p.id}
	switch {
	case p.fault != nil:
		_, err := w.Platform.ActivateFaults(*p.fault)
		return err
	case p.cancel:
		w.Write(sub, record.JobCancel{})
	default:
		w.Write(sub, p.spec)
	}
	return nil
}

// sample records the jobs' starts after each step, and the workers' usage once a
// second.
func (s *replayStats) sample(w *World, step int) error {
	for id, n := range w.Platform.Counters().JobStarts {
		if s.starts[id] == 0 && n > 0 {
			s.firstStart[id] = w.Now
		}
		s.starts[id] = n
	}
	if step%int(time.Second/replayTick) != 0 {
		return nil
	}
	reports, err := w.Platform.Usage(context.Background())
	if err != nil {
		return err
	}
	used := map[string]float64{}
	for _, u := range reports {
		used[u.Worker] += u.Cores
	}
	for _, cores := range used {
		s.used += min(cores, float64(w.Cores))
		s.overload += max(0, cores-float64(w.Cores))
	}
	s.capacity += float64(w.Workers * w.Cores)
	return nil
}

func (w *World) measure(s *replayStats) []float64 {
	var waits, urgent []float64
	late, urgentJobs, wasted, lost, done := 0, 0, 0, 0, 0
	for id, j := range w.LogState.Jobs {
		submitted := j.SubmittedAt
		firstStart, started := s.firstStart[id]
		wait := firstStart.Sub(submitted).Seconds()
		switch {
		case j.Result == record.JobUnplaceable || w.Now.Sub(submitted) < urgentStartLimit:
		case j.Spec.Urgent:
			urgentJobs++
			if !started || firstStart.Sub(submitted) > urgentStartLimit {
				late++
			}
			if !started {
				wait = w.Now.Sub(submitted).Seconds()
			}
			urgent = append(urgent, wait)
		case started:
			waits = append(waits, wait)
		}
		wasted += len(j.Failures) + j.Lapses
		if started && j.Status == ledger.JobCancelled && j.EndedAt.Sub(firstStart) < earlyCancelLimit {
			wasted++
		}
		if j.Succeeded() {
			done++
		} else if j.Status == ledger.JobDone && j.Result != record.JobUnplaceable {
			lost++
		}
	}
	stats := w.Nodes[0].Core.Stats
	wasted += stats.Refused
	return []float64{
		100 * float64(late) / max(1, float64(urgentJobs)), quantile(urgent, 0.99), float64(wasted), float64(lost),
		100 * s.used / s.capacity, 100 * s.overload / s.capacity, float64(done), mean(waits), float64(stats.Preempted),
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
