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

// The load of a queue whose demand comes by turns: for some seconds several times its
// mean, then a twentieth of that. A lookup is one or two steps of a few tasks of 0.64 s.
const (
	peakLookupsPerSecond  = 180.0 // jobs a second
	quietLookupsPerSecond = 4.0
	peakDuration          = 4 * time.Second
	quietDuration         = 4 * time.Second
	lookupEstimateMS      = 640
)

// randomLookupSpec draws a quick job. Jobs differ in the number of tasks and their size, so that the
// largest tenth has some three times the mean's work.
func (w *world) randomLookupSpec() workload.Spec {
	step := workload.Step{
		Count:      2 + w.rng.IntN(6) + w.rng.IntN(6),
		Resources:  workload.Resources{CPU: 2000 + w.rng.IntN(5000), MemoryMB: 500},
		EstimateMS: lookupEstimateMS,
	}
	if w.rng.IntN(10) == 0 {
		step.Count *= 2
	}
	spec := workload.Spec{Payload: "lookup", Steps: []workload.Step{step}}
	if w.rng.IntN(10) < 6 {
		step.DependsOn = []int{0}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// playPeaks plays two peaks of lookups on a pool.
func playPeaks(seed uint64, workers int, ownerProcessor *processor, f faults) *world {
	w := newWorld(seed, f)
	w.processor = ownerProcessor
	for i := range workers {
		w.addWorker("worker-"+strconv.Itoa(1000+i), workload.Resources{CPU: 32000, MemoryMB: 64000})
	}
	w.takeOver()
	const length = 2 * (peakDuration + quietDuration)
	const tick = time.Millisecond
	for at := 2 * time.Second; at < length; at += tick {
		rate := quietLookupsPerSecond
		if (at-2*time.Second)%(peakDuration+quietDuration) < peakDuration {
			rate = peakLookupsPerSecond
		}
		if w.rng.Float64() < rate*tick.Seconds() {
			w.after(at, func() { w.submit(w.randomLookupSpec(), "quick") })
		}
	}
	w.runUntil(length + 10*time.Second)
	return w
}

// shareInTime is the share of some jobs that are completed within their objective.
func shareInTime(jobs []*fakeJob) float64 {
	n := 0
	for _, j := range jobs {
		criticalPath := time.Duration(len(j.submission.Spec.Steps)) * lookupEstimateMS * time.Millisecond
		deadline := testConfig.Queues[0].Objective + time.Duration(testConfig.Queues[0].Stretch*float64(criticalPath))
		if j.shownState == workload.Completed && j.shownStateChangedAt.Sub(time.UnixMilli(j.submission.AcceptedAtMS)) <= deadline {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

// jobsBySize lists the jobs, those with the most work first.
func (w *world) jobsBySize() []*fakeJob {
	var list []*fakeJob
	for _, j := range w.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *fakeJob) int {
		return cmp.Or(cmp.Compare(coreMilliseconds(b.submission), coreMilliseconds(a.submission)), cmp.Compare(a.id, b.id))
	})
	return list
}

// coreMilliseconds is a job's work in core-milliseconds.
func coreMilliseconds(s *workload.Submission) int64 {
	work := int64(0)
	for _, step := range s.Spec.Steps {
		work += int64(step.Count) * int64(step.Resources.CPU) * step.EstimateMS
	}
	return work
}

// Callers of a queue that peaks see a third of their jobs come late, and nearly all that
// have much work, beside workers with room for all of them.
//
// An owner on a small VM bears the peak's starts for a second. Then some tens of jobs
// wait. If each plan ranks all of them, and looks for runs that could give way to each,
// the owner orders half as many starts as before, more jobs wait, and so on until it does
// little but plan. The least work goes first, so the largest jobs come last. That was
// proved by the time that steps took (40 to 70% of a second) while starts fell from 1,500
// to 300 a second, and by plans made 30 ms apart, which ended it.
func TestOwnerKeepsUpWithAPeakOnASmallVM(t *testing.T) {
	for seed := range uint64(2) {
		w := playPeaks(seed, 220, &processor{}, faults{})
		jobs := w.jobsBySize()
		all, largestTenth := shareInTime(jobs), shareInTime(jobs[:len(jobs)/10])
		assert.Empty(t, w.violations)
		assert.GreaterOrEqual(t, all, 0.75, "seed %d: share of %d jobs in time", seed, len(jobs))
		assert.GreaterOrEqual(t, largestTenth, all/2, "seed %d: share of the largest tenth in time", seed)
	}
}

// Callers with large jobs are turned away nearly always while a service is full, and those
// with small ones hardly ever.
//
// A queue asks for more than its workers hold, for seconds and by turns, and its owner keeps
// up. With the least work first, each bit of room that comes free goes to a smaller job, and
// a large one waits until it can't be in time. Each size is to be served alike: what is
// asked for here is half of what all are served, as the users ask.
func TestLargestJobsAreServedByAFullService(t *testing.T) {
	for seed := range uint64(3) {
		w := playPeaks(seed, 105, nil, faults{})
		jobs := w.jobsBySize()
		all, largestTenth, nextFifth := shareInTime(jobs), shareInTime(jobs[:len(jobs)/10]), shareInTime(jobs[len(jobs)/10:3*len(jobs)/10])
		assert.Empty(t, w.violations)
		assert.GreaterOrEqual(t, all, 0.6, "seed %d: share of %d jobs in time", seed, len(jobs))
		assert.GreaterOrEqual(t, largestTenth, all/2, "seed %d: share of the largest tenth in time", seed)
		assert.GreaterOrEqual(t, nextFifth, all/2, "seed %d: share of the next fifth in time", seed)
		t.Logf("seed %d: in time %.3f, largest tenth %.3f, next fifth %.3f", seed, all, largestTenth, nextFifth)
	}
}

// Callers wait for seconds while some of the workers' answers are lost, or some orders are
// carried out seconds late, though nearly all workers are well and have room.
//
// A start without an answer took one of the places for starts until it was given up after
// a second, and its task waited as long; a poll without an answer hid the ends of its
// worker's tasks for two, after which the worker got no starts for a while. So one lost
// answer of seven cost most of what the workers could do. What is asked for is nine
// tenths of what is served without any loss.
func TestPeakIsServedWhileAnswersAreLost(t *testing.T) {
	servedShare := func(f faults) float64 {
		w := playPeaks(1, 220, nil, f)
		assert.Empty(t, w.violations)
		return shareInTime(w.jobsBySize())
	}
	shareWithoutFaults := servedShare(faults{})
	for name, f := range map[string]faults{
		"answers are lost": {lostAnswer: 0.15},
		"orders are late":  {lateOrder: 0.055},
	} {
		share := servedShare(f)
		assert.GreaterOrEqual(t, share, 0.9*shareWithoutFaults, "%s", name)
		t.Logf("%s: %.3f in time, %.3f without", name, share, shareWithoutFaults)
	}
}
