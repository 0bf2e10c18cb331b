package scheduler_test

import (
	"cmp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// besideLargeTime is how long small tasks arrive beside large long-running jobs.
const besideLargeTime = 25 * time.Second

// runSmallTasksBesideLarge runs small tasks on a service of eight workers, whose demand is a multiple of its capacity.
// Large long-running jobs are handed in after 5 s, besideLargeTime before the end. It returns how long each of these
// took until all its tasks ran, besideLargeTime if that did not happen, the mean time of the small jobs until they were shown as completed, and the share of them that was, within 15 s after the end.
func runSmallTasksBesideLarge(seed uint64, load float64, large ...workload.Step) (waits []time.Duration, meanSmall time.Duration, done float64, w *world) {
	const (
		workers, cores = 8, 32
		largeAt        = 5 * time.Second
		length         = largeAt + besideLargeTime
		tick           = time.Millisecond
	)
	w = newWorld(seed, faults{})
	for i := range workers {
		w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: cores * 1000, MemoryMB: 64000})
	}
	w.takeOver()
	small := workload.Step{Count: 6, Resources: workload.Resources{CPU: 1800, MemoryMB: 1000}, EstimateMS: lookupEstimateMS}
	perSecond := load * workers * cores / (6 * 1.8 * 0.64)
	var smallJobs, largeJobs []*fakeJob
	for at := time.Second; at < length; at += tick {
		if w.rng.Float64() < perSecond*tick.Seconds() {
			w.after(at, func() { smallJobs = append(smallJobs, w.submit(workload.Spec{Steps: []workload.Step{small}}, "quick")) })
		}
	}
	w.after(largeAt, func() {
		for _, s := range large {
			largeJobs = append(largeJobs, w.submit(workload.Spec{Steps: []workload.Step{s}}, "quick"))
		}
	})
	waits = slices.Repeat([]time.Duration{length - largeAt}, len(large))
	for at := largeAt; at < length; at += 50 * time.Millisecond {
		w.runUntil(at)
		for i, j := range largeJobs {
			if w.runningCount(j.id) == j.submission.Spec.Steps[0].Count {
				waits[i] = min(waits[i], at-largeAt)
			}
		}
	}
	w.runUntil(length + 15*time.Second)
	total, count := time.Duration(0), 0
	for _, j := range smallJobs {
		if j.shownState == workload.Completed {
			total += j.shownStateChangedAt.Sub(time.UnixMilli(j.submission.AcceptedAtMS))
			count++
		}
	}
	slices.SortFunc(waits, cmp.Compare)
	return waits, total / time.Duration(max(1, count)), float64(count) / float64(len(smallJobs)), w
}

// Guards against large long-running tasks that wait without end beside a steady load of small tasks, and against small
// tasks that wait without end beside gangs that can't be placed.
func TestLargeLongRunningTasksRunBesideSmallTasks(t *testing.T) {
	gang := func(count int) workload.Step {
		s := longRunningStep(count, 28_000)
		s.Gang = true
		return s
	}
	for name, c := range map[string]struct {
		load     float64
		large    []workload.Step
		feasible int  // how many of the large jobs can be placed
		mayFill  bool // the large jobs leave too little for all small ones
	}{
		"three tasks":          {0.95, slices.Repeat([]workload.Step{longRunningStep(1, 28_000)}, 3), 3, true},
		"gang of two":          {0.7, []workload.Step{gang(2)}, 1, false},
		"gang of six":          {0.95, []workload.Step{gang(6)}, 1, true},
		"two gangs of three":   {0.95, []workload.Step{gang(3), gang(3)}, 2, true},
		"eight gangs of nine":  {0.95, slices.Repeat([]workload.Step{gang(9)}, 8), 0, false},
		"a gang too wide, too": {0.95, []workload.Step{gang(9), gang(3)}, 1, true},
	} {
		waits, small, done, w := runSmallTasksBesideLarge(1, c.load, c.large...)
		t.Logf("%s: large %v, small %v, %.3f of them done", name, waits, small.Round(time.Millisecond), done)
		assert.Empty(t, w.violations, name)
		if c.feasible > 0 {
			assert.Less(t, waits[c.feasible-1], besideLargeTime, name)
		}
		if !c.mayFill {
			assert.EqualValues(t, 1, done, name)
		}
	}
}
