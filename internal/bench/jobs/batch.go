package jobs

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
)

// Sizes of the batch measurement.
const (
	batchJobs     = 300
	batchJobMB    = 100
	batchWorkers  = 10
	batchCores    = 32
	batchMemoryMB = 65536
	batchSlots    = 8
)

// Batch compares Min-Min of HMHS (Chen, Shen, Chen and Guo, "HMHS: Hybrid
// Multistage Heuristic Scheduling Algorithm for Heterogeneous MapReduce System",
// section 3.2) with simple orders. All jobs of a batch are submitted at time
// zero. The workers differ in speed, and their speeds are known. Run times are
// declared exactly in one case and wrongly in the other.
func Batch(seeds int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      fmt.Sprintf("%d jobs at time zero on %d workers with speeds 0.5 to 1.5", batchJobs, batchWorkers),
		Labels:     []string{"rule"},
		Quantities: []string{"run times known: makespan, s", "mean completion, s", "wrong by up to 4 times: makespan, s", "mean completion, s"},
	}
	for _, rule := range batchRules {
		samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) {
			span, mean := newBatch(seed, true).run(rule.pick)
			wrongSpan, wrongMean := newBatch(seed, false).run(rule.pick)
			return []float64{span, mean, wrongSpan, wrongMean}, nil
		})
		if err != nil {
			return nil, err
		}
		table.Add(samples, rule.name)
	}
	return []figure.Table{table}, nil
}

// batch simulates queued and running jobs on workers of different speeds.
type batch struct {
	workers       []placement.Worker
	queue         []placement.Job
	actualSeconds map[string]float64 // seconds that a job needs at speed 1
	speed         []float64
	completions   []completion
	now           float64
}

type completion struct {
	at     float64
	worker int
	job    placement.Job
}

// newBatch returns a batch of random jobs on idle workers of random speeds. If
// known is false, declared run times are wrong by a factor of 1/4 to 4.
func newBatch(seed uint64, known bool) *batch {
	r, errorRand := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
	s := &batch{actualSeconds: map[string]float64{}}
	capacity := ledger.Resources{MilliCores: 1000 * batchCores, MemoryMB: batchMemoryMB}
	for i := range batchWorkers {
		s.workers = append(s.workers, placement.Worker{ID: fmt.Sprintf("w%02d", i), Capacity: capacity, Free: capacity, Slots: batchSlots})
		s.speed = append(s.speed, 0.5+r.Float64())
	}
	for i := range batchJobs {
		cores := []int{1, 2, 2, 4, 4, 8, 16}[r.IntN(7)]
		j := placement.Job{ID: fmt.Sprintf("j%03d", i), Want: ledger.Resources{MilliCores: 1000 * cores, MemoryMB: batchJobMB}}
		runSeconds := 5 + 120*r.ExpFloat64()
		s.actualSeconds[j.ID] = runSeconds
		if !known {
			runSeconds *= []float64{0.25, 0.5, 1, 2, 4}[errorRand.IntN(5)]
		}
		j.RunTime = time.Duration(runSeconds * float64(time.Second))
		s.queue = append(s.queue, j)
	}
	return s
}

// pick returns the indices of the next job to start and of its worker. ok is
// false if no queued job fits a worker.
type pick func(s *batch) (job, worker int, ok bool)

var batchRules = []struct {
	name string
	pick pick
}{
	{"first come first fit (plain)", func(s *batch) (int, int, bool) { return s.firstCome(func(int, int) float64 { return 0 }) }},
	{"first come best fit", func(s *batch) (int, int, bool) { return s.firstCome(s.bestFit) }},
	{"first come fastest", func(s *batch) (int, int, bool) { return s.firstCome(func(_, w int) float64 { return s.speed[w] }) }},
	{"Min-Min (HMHS)", minMin},
	{"longest first fastest", func(s *batch) (int, int, bool) {
		slices.SortFunc(s.queue, func(a, b placement.Job) int {
			return cmp.Or(cmp.Compare(b.RunTime, a.RunTime), cmp.Compare(a.ID, b.ID))
		})
		return s.firstCome(func(_, w int) float64 { return s.speed[w] })
	}},
}

func (s *batch) fits(j, w int) bool {
	return s.workers[w].Slots > 0 && s.queue[j].Want.Within(s.workers[w].Free)
}

func (s *batch) bestFit(j, w int) float64 {
	return -float64(s.workers[w].Free.MilliCores - s.queue[j].Want.MilliCores)
}

// firstCome picks the first job of the queue that fits a worker, and of these
// workers the one with the highest score.
func (s *batch) firstCome(score func(j, w int) float64) (int, int, bool) {
	for j := range s.queue {
		best := -1
		for w := range s.speed {
			if s.fits(j, w) && (best < 0 || score(j, w) > score(j, best)) {
				best = w
			}
		}
		if best >= 0 {
			return j, best, true
		}
	}
	return 0, 0, false
}

// minMin picks the job and worker with the shortest expected run time.
func minMin(s *batch) (int, int, bool) {
	bestJ, bestW, bestAt := -1, -1, 0.0
	for j := range s.queue {
		for w := range s.speed {
			at := s.queue[j].RunTime.Seconds() / s.speed[w]
			if s.fits(j, w) && (bestJ < 0 || at < bestAt) {
				bestJ, bestW, bestAt = j, w, at
			}
		}
	}
	return bestJ, bestW, bestJ >= 0
}

// run simulates the batch until all jobs have completed. It returns the time of
// the last completion and the mean completion time, in seconds.
func (s *batch) run(pick pick) (makespan, mean float64) {
	n := float64(len(s.queue))
	for len(s.queue)+len(s.completions) > 0 {
		for j, w, ok := pick(s); ok; j, w, ok = pick(s) {
			s.start(j, w)
		}
		next := 0
		for i := range s.completions {
			if s.completions[i].at < s.completions[next].at {
				next = i
			}
		}
		s.complete(next)
		mean += s.now / n
	}
	return s.now, mean
}

func (s *batch) start(j, w int) {
	started := s.queue[j]
	s.queue = slices.Delete(s.queue, j, j+1)
	s.workers[w].Free = s.workers[w].Free.Add(started.Want, -1)
	s.workers[w].Slots--
	s.completions = append(s.completions, completion{at: s.now + s.actualSeconds[started.ID]/s.speed[w], worker: w, job: started})
}

func (s *batch) complete(i int) {
	e := s.completions[i]
	s.now = e.at
	s.workers[e.worker].Free = s.workers[e.worker].Free.Add(e.job.Want, 1)
	s.workers[e.worker].Slots++
	s.completions = slices.Delete(s.completions, i, i+1)
}
