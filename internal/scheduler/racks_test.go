package scheduler_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Load of a service whose workers are spread over racks, in a peak: jobs of one or two steps
// of eight tasks.
const (
	rackJobEstimateMS = 850
	rackTaskCPU       = 6200
	rackJobTasks      = 8
	rackPeakStart     = 2 * time.Second
	rackPeakEnd       = 12 * time.Second
)

// rackLoss is a rack that is partitioned for a time, once or repeatedly.
type rackLoss struct {
	workers, size int  // of the service, and of the rack
	dark          int  // index of the rack
	crash         bool // the VMs of the rack are lost instead
	jobsPerS      float64
	periods       []time.Duration // lengths of the partitions and of the pauses between them, by turns
	faults        faults
	impair        func(w *world) // impairs the owner at lossStart; may be nil
	processor     *processor     // of the owner; may be nil
}

// lossStart is when the rack is partitioned first.
const lossStart = 5 * time.Second

// rackOutcome is what became of the jobs that arrived in the peak.
type rackOutcome struct {
	inTime     float64 // share of all jobs in time
	afterLoss  float64 // share of those in time that arrived in the 6 s after the loss
	suspicions int     // how often a rack became suspect
}

// runRackLoss runs a peak of jobs in which a rack of the service is lost.
func runRackLoss(t *testing.T, seed uint64, l rackLoss) rackOutcome {
	w := newWorld(seed, l.faults)
	w.processor = l.processor
	var rack []*fakeWorker
	for i := range l.workers {
		f := w.addWorker("worker-"+strconv.Itoa(1000+i), workload.Resources{CPU: 64000, MemoryMB: 256000})
		f.info.Labels = []string{"a", "rack-" + strconv.Itoa(i%(l.workers/l.size))}
		w.registry[i] = f.info
		if i%(l.workers/l.size) == l.dark {
			rack = append(rack, f)
		}
	}
	w.takeOver()
	if l.impair != nil {
		w.after(lossStart, func() { l.impair(w) })
	}
	at := lossStart
	for i, d := range l.periods {
		w.after(at, func() {
			for _, f := range rack {
				if l.crash {
					labels := f.info.Labels
					f.loseVM()
					w.after(5*time.Second, func() {
						f := w.workers[f.info.ID+"'"]
						f.info.Labels = labels
						w.registry[len(w.registry)-1].Labels = labels
					})
					continue
				}
				f.partitioned = i%2 == 0
			}
		})
		at += d
	}
	w.after(at, func() {
		for _, f := range rack {
			f.partitioned = false
		}
	})
	for at := rackPeakStart; at < rackPeakEnd; at += time.Millisecond {
		if w.rng.Float64() < l.jobsPerS/1000 {
			w.after(at, func() {
				step := workload.Step{Count: rackJobTasks, Resources: workload.Resources{CPU: rackTaskCPU, MemoryMB: 4000}, EstimateMS: rackJobEstimateMS}
				spec := workload.Spec{Payload: "work", Steps: []workload.Step{step}}
				if w.rng.IntN(10) < 6 {
					step.DependsOn = []int{0}
					spec.Steps = append(spec.Steps, step)
				}
				w.submit(spec, "quick")
			})
		}
	}
	w.runUntil(rackPeakEnd + 15*time.Second)
	assert.Empty(t, w.violations)
	var all, late []*fakeJob
	for _, j := range w.jobsBySize() {
		all = append(all, j)
		arrived := time.UnixMilli(j.submission.AcceptedAtMS).Sub(historyStart)
		if arrived >= lossStart && arrived < lossStart+6*time.Second {
			late = append(late, j)
		}
	}
	return rackOutcome{inTime: shareInTimeOf(all), afterLoss: shareInTimeOf(late), suspicions: w.owner.core.Counts.SuspectRacks}
}

// shareInTimeOf returns the share of jobs that were completed within their objective.
func shareInTimeOf(jobs []*fakeJob) float64 {
	n := 0
	for _, j := range jobs {
		criticalPath := time.Duration(len(j.submission.Spec.Steps)) * rackJobEstimateMS * time.Millisecond
		deadline := testConfig.Queues[0].Objective + time.Duration(testConfig.Queues[0].Stretch*float64(criticalPath))
		if j.shownState == workload.Completed && j.shownStateChangedAt.Sub(time.UnixMilli(j.submission.AcceptedAtMS)) <= deadline {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

// A rack of a service goes dark in a peak. Without a common suspicion its workers get starts until each
// of them has left a poll unanswered, and the starts without an answer hold places. Of the jobs that
// arrive while the rack is dark, at most 3 in 100 may be late although the other racks have room.
func TestDarkRackAtAPeakGetsNoStarts(t *testing.T) {
	for name, l := range map[string]rackLoss{
		"20 of 61, partitioned": {workers: 61, size: 20, jobsPerS: 33, periods: []time.Duration{6 * time.Second}},
		"20 of 61, lost":        {workers: 61, size: 20, crash: true, jobsPerS: 33, periods: []time.Duration{6 * time.Second}},
		"11 of 61, partitioned": {workers: 61, size: 11, jobsPerS: 40, periods: []time.Duration{6 * time.Second}},
	} {
		var inTime, afterLoss float64
		const plays = 3
		for seed := range uint64(plays) {
			l.dark = int(seed)
			o := runRackLoss(t, seed, l)
			inTime += o.inTime / plays
			afterLoss += o.afterLoss / plays
			assert.LessOrEqual(t, o.suspicions, 1, "%s, seed %d", name, seed)
		}
		t.Logf("%s: %.3f in time, %.3f of those that arrived after the loss", name, inTime, afterLoss)
		assert.GreaterOrEqual(t, afterLoss, 0.97, name)
	}
}

// A rack that comes and goes must not take the work of each return with it.
func TestFlappingRackIsTrustedByItsAnswers(t *testing.T) {
	flaps := []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second}
	o := runRackLoss(t, 1, rackLoss{workers: 61, size: 20, jobsPerS: 33, periods: flaps})
	t.Logf("%.3f in time, %.3f of those that arrived after the loss", o.inTime, o.afterLoss)
	assert.GreaterOrEqual(t, o.afterLoss, 0.95)
	assert.Equal(t, 3, o.suspicions)
}

// Lost answers and late orders are spread over all racks. They must not make a rack suspect.
func TestLostAnswersMakeNoRackSuspect(t *testing.T) {
	for seed := range uint64(3) {
		o := runRackLoss(t, seed, rackLoss{workers: 61, size: 20, jobsPerS: 33, faults: faults{lostAnswer: 0.15}})
		assert.Zero(t, o.suspicions, "seed %d", seed)
	}
}

// An owner that is late, stalls or is cut off from all workers hears of them late. No rack is to blame: a
// suspicion would keep tasks from its workers and have VMs ordered for them.
func TestImpairedOwnerSuspectsNoRack(t *testing.T) {
	for name, l := range map[string]rackLoss{
		"answers are late by 40 ms":  {impair: func(w *world) { w.owner.deliveryDelay = 40 * time.Millisecond }},
		"answers are late by 150 ms": {impair: func(w *world) { w.owner.deliveryDelay = 150 * time.Millisecond }},
		"answers are late by 300 ms": {impair: func(w *world) { w.owner.deliveryDelay = 300 * time.Millisecond }},
		"a slow process":             {impair: func(w *world) { w.owner.slowUntil = w.now.Add(4 * time.Second) }},
		"a stalled process":          {impair: func(w *world) { w.owner.stalledUntil = w.now.Add(1500 * time.Millisecond) }},
		"a small VM":                 {processor: &processor{}},
		"answers are unread for 1.5 s": {impair: func(w *world) {
			w.owner.deliveryDelay = 1500 * time.Millisecond
			w.after(1500*time.Millisecond, func() { w.owner.deliveryDelay = 0 })
		}},
		"cut off from all workers": {impair: func(w *world) {
			for _, f := range w.workers {
				f.partitioned = true
				w.after(2*time.Second, func() { f.partitioned = false })
			}
		}},
	} {
		l.workers, l.size = 61, 20
		for seed, jobsPerS := range []float64{33, 4} { // at 4 a second, nearly all starts are on one rack
			l.jobsPerS = jobsPerS
			if l.processor != nil {
				l.processor = &processor{}
			}
			o := runRackLoss(t, uint64(seed), l)
			t.Logf("%s, %.0f a second: %d suspicions, %.3f in time", name, jobsPerS, o.suspicions, o.inTime)
			assert.Zero(t, o.suspicions, "%s, %.0f a second", name, jobsPerS)
		}
	}
}

// registerOnRacks registers a worker on each of the given racks and answers their first polls.
func (r *rig) registerOnRacks(racks []int) {
	var list []workload.Worker
	for i, rack := range racks {
		id := "w-" + strconv.Itoa(10+i)
		list = append(list, workload.Worker{
			ID: id, Service: "service", Address: id, Labels: []string{"a", "rack-" + strconv.Itoa(rack)},
			Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000},
		})
	}
	r.core.SetWorkers(list, r.now)
	r.step(0)
	for _, w := range list {
		r.answerPoll(w.ID, r.now, workload.PollReport{})
	}
}

// startsByRack returns the number of starts on each rack.
func startsByRack(starts []scheduler.StartOrder) map[string]int {
	n := map[string]int{}
	for _, s := range starts {
		n[s.Worker.Rack()]++
	}
	return n
}

// A lost rack must not take all long-running tasks of a step with a bound on its unavailable tasks. Other
// tasks are placed as without racks.
func TestLongRunningTasksWithABoundAreSpreadOverRacks(t *testing.T) {
	longRunning := workload.Step{Count: 6, Resources: workload.Resources{CPU: 1000, MemoryMB: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2}
	threeRacks := slices.Repeat([]int{0, 1, 2}, 4)
	for name, c := range map[string]struct {
		step  workload.Step
		racks []int
		want  map[string]int
	}{
		"long-running tasks": {longRunning, threeRacks, map[string]int{"rack-0": 2, "rack-1": 2, "rack-2": 2}},
		"a job's tasks":      {batchStep(8, 2000), threeRacks, map[string]int{"rack-0": 4, "rack-1": 4}},
		"more tasks":         {batchStep(20, 2000), threeRacks, map[string]int{"rack-0": 8, "rack-1": 8, "rack-2": 4}},
		"one rack":           {longRunning, slices.Repeat([]int{0}, 4), map[string]int{"rack-0": 6}},
	} {
		r := newRig(t)
		r.registerOnRacks(c.racks)
		r.submit("0000000000000001", c.step)
		assert.Equal(t, c.want, startsByRack(r.step(30*time.Millisecond).Starts), name)
	}
}

// A speculative copy on the rack of the slow run would be lost with it.
func TestSpeculativeCopyStartsOnAnotherRack(t *testing.T) {
	r := newRig(t)
	r.registerOnRacks(slices.Repeat([]int{0, 1}, 4))
	step := batchStep(1, 1000)
	step.Speculative = true
	first := r.startJob("0000000000000001", step)[0]
	var copies []scheduler.StartOrder
	for range 40 {
		copies = append(copies, r.step(50*time.Millisecond).Starts...)
	}
	require.Len(t, copies, 1)
	assert.NotEqual(t, first.Worker.Rack(), copies[0].Worker.Rack())
}

// A dark rack holds all starts that may be unanswered at once. Tasks must start elsewhere before these
// starts time out, and the pool must be reported to have lost the rack's workers.
func TestUnansweredStartsOnADarkRackDoNotBlockOthers(t *testing.T) {
	r := newRig(t)
	r.registerOnRacks(slices.Concat(slices.Repeat([]int{0}, 9), slices.Repeat([]int{1}, 9)))
	r.submit("0000000000000001", batchStep(64, 1000)) // the bound on starts in flight
	dark := r.step(30 * time.Millisecond).Starts
	require.Equal(t, map[string]int{"rack-0": 64}, startsByRack(dark))
	r.submit("0000000000000002", batchStep(8, 1000))
	var elsewhere []scheduler.StartOrder
	for range 20 {
		orders := r.step(20 * time.Millisecond)
		elsewhere = append(elsewhere, orders.Starts...)
		for i := range 9 {
			if id := "w-" + strconv.Itoa(19+i); r.latestPolls[id].Worker.ID != "" {
				delete(r.latestPolls, id)
				r.answerPoll(id, r.now, workload.PollReport{})
			}
		}
	}
	assert.Equal(t, map[string]int{"rack-1": 8}, startsByRack(elsewhere))
	assert.Equal(t, 1, r.core.Counts.SuspectRacks)
	usable := map[bool]int{}
	for _, w := range r.core.ServiceLoads(r.now)[0].Workers {
		usable[w.Usable]++
	}
	assert.Equal(t, map[bool]int{true: 9, false: 9}, usable)
}

// VMs of one rack move to another pool at once. The workers that left with them must not make the rest of
// their rack suspect.
func TestWorkersThatLeaveAfterADrainMakeNoRackSuspect(t *testing.T) {
	r := newRig(t)
	r.registerOnRacks(slices.Concat(slices.Repeat([]int{0}, 6), slices.Repeat([]int{1}, 6)))
	left := map[string]bool{"w-10": true, "w-11": true, "w-12": true, "w-13": true}
	for id := range left {
		r.core.DrainWorker(id, r.now)
	}
	running := map[string][]workload.ListedRun{} // by worker
	for _, start := range r.startJob("0000000000000001", batchStep(32, 2000)) {
		run := workload.ListedRun{Task: start.Start.Task, Run: start.Start.Run, SpeedPercent: 100}
		running[start.Worker.ID] = append(running[start.Worker.ID], run)
	}
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 20 * time.Millisecond {
		hasLeft := elapsed > 200*time.Millisecond
		for id := range r.latestPolls {
			delete(r.latestPolls, id)
			if hasLeft && left[id] {
				r.timeOutPoll(id)
			} else {
				r.answerPoll(id, r.now, workload.PollReport{Running: running[id]})
			}
		}
		r.step(20 * time.Millisecond)
	}
	assert.Zero(t, r.core.Counts.SuspectRacks)
}

// darkRackRig is a rig with a rack of eight workers, five of which fall silent, and another rack of four. Only
// the three others of the first rack have the label "only".
type darkRackRig struct {
	*rig
	workers []workload.Worker
	running map[string][]workload.ListedRun // by worker
}

const silentOnDarkRack = 5

// newDarkRackRig returns a rig whose first rack has just become suspect.
func newDarkRackRig(t *testing.T) *darkRackRig {
	r := &darkRackRig{rig: newRig(t), running: map[string][]workload.ListedRun{}}
	for i := range 12 {
		id, labels := "w-"+strconv.Itoa(10+i), []string{"a", "rack-" + strconv.Itoa(i/8)}
		if i >= silentOnDarkRack && i < 8 {
			labels = []string{"only", labels[1]}
		}
		r.workers = append(r.workers, workload.Worker{ID: id, Service: "service", Address: id, Labels: labels, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}})
	}
	r.core.SetWorkers(r.workers, r.now)
	r.run(100*time.Millisecond, 20*time.Millisecond, 0)
	step := batchStep(9, 4000)
	step.MaxPerWorker, step.RequiredLabel = 1, "a"
	r.submit("0000000000000001", step)
	for elapsed := time.Duration(0); r.core.Counts.SuspectRacks == 0; elapsed += 20 * time.Millisecond {
		require.Less(t, elapsed, time.Second)
		r.run(20*time.Millisecond, 20*time.Millisecond, silentOnDarkRack)
	}
	return r
}

// run steps for d, with the given time between steps, and returns the starts. All but the first silent workers
// answer.
func (r *darkRackRig) run(d, interval time.Duration, silent int) []scheduler.StartOrder {
	var starts []scheduler.StartOrder
	for until := r.now.Add(d); r.now.Before(until); {
		ordered := r.step(interval).Starts
		starts = append(starts, ordered...)
		answers := map[string]bool{}
		for _, w := range r.workers[silent:] {
			answers[w.ID] = true
		}
		for _, s := range ordered {
			if answers[s.Worker.ID] {
				r.answerStart(s, workload.WorkerOK)
				r.running[s.Worker.ID] = append(r.running[s.Worker.ID], workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
			}
		}
		for id := range r.latestPolls {
			if answers[id] {
				delete(r.latestPolls, id)
				r.answerPoll(id, r.now, workload.PollReport{Running: r.running[id]})
			}
		}
	}
	return starts
}

// Tasks that only a suspect rack can run must not wait for the rack: its workers that answer have their proof
// soon, also if the owner makes few steps or the racks become too small to be watched.
func TestTasksForASuspectRackStartOnItsAnsweringWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration // between steps
		shrinks  bool          // the other rack has fewer workers than count as a failure domain
	}{
		"as ever":                 {interval: 20 * time.Millisecond},
		"an owner that stalls":    {interval: 450 * time.Millisecond},
		"the other rack is small": {interval: 20 * time.Millisecond, shrinks: true},
	} {
		r := newDarkRackRig(t)
		if c.shrinks {
			r.core.SetWorkers(r.workers[:11], r.now)
		}
		step := batchStep(3, 4000)
		step.RequiredLabel = "only"
		r.submit("0000000000000002", step)
		assert.Len(t, r.run(2*time.Second, c.interval, silentOnDarkRack), 3, name)
	}
}
