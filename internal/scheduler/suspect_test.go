package scheduler_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Only a crash of a worker's process may make its tasks suspects, whose jobs may fail. The end of a
// worker that leaves, is drained or is partitioned must not count as a crash.
func TestCrashIsDistinguishedFromOtherExits(t *testing.T) {
	newWorker := func(id, service string, leaving bool) workload.Worker {
		return workload.Worker{ID: id, Service: service, Address: "w-1", Leaving: leaving, Labels: []string{"a", "rack"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}}
	}
	for name, c := range map[string]struct {
		endWorker func(r *rig)
		crashes   int // crashes that the owner must count
	}{
		"refused once, then answered": {func(r *rig) {
			r.answerPollRefused("w-1")
			r.answerPoll("w-1", r.now.Add(time.Millisecond), workload.PollReport{})
		}, 0},
		"refused, and no replacement is registered": {func(r *rig) { r.refusePollsFor("w-1", 6*time.Second) }, 0},
		"refused, then answered by the same worker": {func(r *rig) {
			r.refusePollsFor("w-1", 6*time.Second)
			r.answerPoll("w-1", r.now, workload.PollReport{})
		}, 0},
		"refused twice, then answered by a replacement": {func(r *rig) { r.crashWorker("w-1") }, 1},
		"refused until its lease expired, then answered by a replacement": {func(r *rig) {
			r.refusePollsFor("w-1", 6*time.Second)
			r.answerPollReplaced("w-1")
		}, 1},
		"refused until its lease expired, then a replacement is registered": {func(r *rig) {
			r.core.SetWorkers([]workload.Worker{newWorker("w-2", "service", false)}, r.now)
			r.refusePollsFor("w-1", 6*time.Second)
			r.answerPoll("w-2", r.now, workload.PollReport{})
			r.core.SetWorkers([]workload.Worker{newWorker("w-2", "service", false)}, r.now)
		}, 1},
		"refused, then no longer registered, then answered by the same worker": {func(r *rig) {
			r.setWorkers()
			r.refusePollsFor("w-1", 6*time.Second)
			r.setWorkers("w-1")
			r.answerPoll("w-1", r.now, workload.PollReport{})
		}, 0},
		"answered by a replacement without a refusal": {func(r *rig) { r.answerPollReplaced("w-1") }, 1},
		"timed out until its lease expired, then answered by a replacement": {func(r *rig) {
			r.timeOutPoll("w-1")
			r.now = r.now.Add(4 * time.Second)
			r.answerPollReplaced("w-1")
		}, 0},
		"timed out and no longer registered": {func(r *rig) {
			r.timeOutPoll("w-1")
			r.setWorkers()
			r.now = r.now.Add(4 * time.Second)
			r.timeOutPoll("w-1")
			r.step(50 * time.Millisecond)
		}, 0},
		"leaving": {func(r *rig) {
			r.core.SetWorkers([]workload.Worker{newWorker("w-1", "service", true)}, r.now)
			r.crashWorker("w-1")
		}, 0},
		"drained by its owner": {func(r *rig) {
			r.core.DrainWorker("w-1", r.now)
			r.crashWorker("w-1")
		}, 0},
		"its address reassigned to another service of the partition": {func(r *rig) {
			r.core.SetWorkers([]workload.Worker{newWorker("w-1", "service", false), newWorker("w-2", "other", false)}, r.now)
			r.answerPollReplaced("w-1")
		}, 0},
		"its address reassigned to another service of another partition": {func(r *rig) {
			r.core.SetForeignAddresses([]string{"w-1"})
			r.answerPollReplaced("w-1")
		}, 0},
	} {
		r := newRig(t)
		r.syncWorkers("w-1")
		r.startJob("0000000000000001", batchStep(1, 1000))
		c.endWorker(r)
		assert.Equal(t, c.crashes, r.core.Counts.WorkerCrashes, name)
	}
}

// A worker that is partitioned from its owner may refuse connections as if it had crashed, and still
// run its tasks. They must not be started again before the lease has expired: a refusal is no proof
// that the process has ended.
func TestTaskOfAWorkerThatRefusesConnectionsIsNotStartedTwice(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	assert.Empty(t, r.refusePollsFor(s.Worker.ID, testLease).Starts)
	r.answerPoll(s.Worker.ID, r.now, workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}})
	assert.Empty(t, r.step(30*time.Millisecond).Starts)
}

// The list of workers may show only after an apparent crash that the worker was leaving or that its
// address belongs to another service. The crash must then be retracted, and the task must start
// without an isolated run.
func TestCrashIsRetractedWhenTheRegistryExplainsTheExit(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	start := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	r.crashWorker(start.Worker.ID)
	r.core.SetForeignAddresses([]string{start.Worker.ID})
	r.setWorkers("w-1", "w-2")
	starts := r.step(30 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Zero(t, r.core.Counts.IsolatedRuns)
}

// A worker crashes while it runs the tasks of two jobs. Each suspect must start on a worker where
// nothing else starts, so that a further crash ends no tasks of other jobs.
func TestSuspectsRunOnWorkersOfTheirOwn(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.startJob("0000000000000001", batchStep(1, 1000))
	r.startJob("0000000000000002", batchStep(1, 1000))
	r.crashAndReplace("w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8", "w-9")
	startsByWorker, suspectStartsByWorker := map[string]int{}, map[string]int{}
	r.submit("0000000000000003", batchStep(4, 1000))
	for range 5 {
		for _, s := range r.step(30 * time.Millisecond).Starts {
			r.answerStart(s, workload.WorkerOK)
			startsByWorker[s.Worker.ID]++
			if s.Start.Task.Job != "0000000000000003" {
				suspectStartsByWorker[s.Worker.ID]++
			}
		}
	}
	assert.Len(t, suspectStartsByWorker, 2)
	for id := range suspectStartsByWorker {
		assert.Equal(t, 1, startsByWorker[id], id)
	}
	assert.Equal(t, 2, r.core.Counts.IsolatedRuns)
}

// On a service with one worker the second suspect must wait until the first has made progress,
// whatever capacity is free. A crash while both run could be attributed to neither.
func TestSuspectsShareNoWorker(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.startJob("0000000000000001", batchStep(1, 1000))
	r.startJob("0000000000000002", batchStep(1, 1000))
	r.crashAndReplace("w-1", "w-2")
	first := r.stepFor(400 * time.Millisecond).Starts
	require.Len(t, first, 1)
	r.answerStart(first[0], workload.WorkerOK)
	r.now = r.now.Add(400 * time.Millisecond)
	r.answerPoll("w-2", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: first[0].Start.Task, Run: first[0].Start.Run, SpeedPercent: 100}}})
	require.Equal(t, 1, r.core.Counts.ClearedSuspects)
	assert.Len(t, r.stepFor(150*time.Millisecond).Starts, 1)
}

// The worker reserved for suspects lacks the label that the next suspect requires. The suspect must
// get another worker, or it would wait forever while the reserved worker stays idle.
func TestSuspectWithALabelGetsAWorkerThatHasIt(t *testing.T) {
	r := newRig(t)
	setLabelledWorkers := func(labels map[string]string) {
		var list []workload.Worker
		for _, id := range slices.Sorted(maps.Keys(labels)) {
			list = append(list, workload.Worker{ID: id, Service: "service", Address: id, Labels: []string{labels[id], "rack"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}})
		}
		r.core.SetWorkers(list, r.now)
		r.step(0)
		for id := range labels {
			r.answerPoll(id, r.now, workload.PollReport{})
		}
	}
	setLabelledWorkers(map[string]string{"w-1": "b"})
	r.startJob("0000000000000001", batchStep(1, 1000))
	labelled := batchStep(1, 1000)
	labelled.RequiredLabel = "b"
	r.startJob("0000000000000002", labelled)
	r.crashWorker("w-1")
	setLabelledWorkers(map[string]string{"w-2": "a", "w-3": "b"})
	workerByJob := map[workload.JobID]string{}
	for range 20 {
		for _, s := range r.step(50 * time.Millisecond).Starts {
			workerByJob[s.Start.Task.Job] = s.Worker.ID
		}
	}
	assert.Equal(t, "w-3", workerByJob["0000000000000002"])
}

// A long task runs on a worker that crashes, and is isolated. Once its isolated run has lasted long
// enough, the task must be cleared, and its worker must get other tasks again.
func TestSuspectThatMakesProgressIsCleared(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	long := batchStep(1, 1000)
	long.EstimateMS = 60_000
	r.startJob("0000000000000001", long)
	r.crashAndReplace("w-1", "w-2")
	starts := r.stepFor(300 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	r.answerStart(starts[0], workload.WorkerOK)
	r.submit("0000000000000002", batchStep(1, 1000))
	assert.Empty(t, r.step(30*time.Millisecond).Starts, "the worker is reserved for the suspect")
	r.now = r.now.Add(time.Second)
	r.answerPoll("w-2", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: starts[0].Start.Task, Run: starts[0].Start.Run, SpeedPercent: 100}}})
	assert.Equal(t, 1, r.core.Counts.ClearedSuspects)
	assert.Len(t, r.stepFor(100*time.Millisecond).Starts, 1)
}

// A worker that doesn't answer may have crashed because of a task, and a speculative copy of the task
// could crash a second worker. No copy may start while connections are refused, nor within a second
// after a poll has timed out. If polls only time out, a copy must start after that.
func TestTaskOfAWorkerThatMayHaveCrashedGetsNoSpeculativeCopy(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	speculative := batchStep(1, 1000)
	speculative.Speculative = true
	s := r.startJob("0000000000000001", speculative)[0]
	r.now = r.now.Add(950 * time.Millisecond)
	r.timeOutPoll(s.Worker.ID)
	assert.Empty(t, r.stepFor(900*time.Millisecond).Starts)
	assert.NotEmpty(t, r.stepFor(300*time.Millisecond).Starts, "a copy must start if polls only time out")

	r = newRig(t)
	r.syncWorkers("w-1", "w-2")
	s = r.startJob("0000000000000001", speculative)[0]
	r.now = r.now.Add(950 * time.Millisecond)
	assert.Empty(t, r.refusePollsFor(s.Worker.ID, 2500*time.Millisecond).Starts, "no copy may start while connections are refused")
}

// Suspects wait for a worker that is reserved for them, not for capacity. A few of them must not count
// as demand for VMs.
func TestSuspectsRequestNoVMs(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.startJob("0000000000000001", batchStep(2, 3000))
	waitingDemand := func() workload.Resources { return r.core.ServiceLoads(r.now)[0].PendingDemand }
	r.crashWorker("w-1")
	assert.Zero(t, waitingDemand())
	r.submit("0000000000000002", batchStep(1, 3000))
	assert.Equal(t, 3000, waitingDemand().CPU)
}

// A job that failed because its task crashes workers is submitted again. It must be a new job without
// the crashes of the first.
func TestResubmissionOfAFailedJobIsANewJob(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	first := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	r.crashWorker("w-1")
	for n := range 3 {
		id := []string{"w-2", "w-3", "w-4"}[n]
		r.setWorkers(id)
		r.step(0)
		r.answerPoll(id, r.now, workload.PollReport{})
		for _, s := range r.stepFor(400 * time.Millisecond).Starts {
			r.answerStart(s, workload.WorkerOK)
			r.crashWorker(id)
		}
	}
	r.step(30 * time.Millisecond)
	state, _ := r.core.JobState(first.Start.Task.Job)
	require.Equal(t, workload.Failed, state)
	r.syncWorkers("w-5")
	r.startJob("0000000000000002", batchStep(1, 1000))
	assert.Equal(t, 1, r.core.Counts.CrashingJobs)
}

// The answers to a task's starts are lost and its workers crash. Such crashes must count too, or the
// task would crash one worker after the other.
func TestCrashAfterAnUnansweredStartCounts(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-0")
	job := r.startJob("0000000000000001", batchStep(1, 1000))[0].Start.Task.Job
	r.crashWorker("w-0")
	starts := 1
	for n := range 8 {
		id := "w-" + strconv.Itoa(n+1)
		r.setWorkers(id)
		r.step(0)
		r.answerPoll(id, r.now, workload.PollReport{})
		for _, s := range r.stepFor(600 * time.Millisecond).Starts {
			starts++
			r.crashWorker(id)
			r.answerStart(s, workload.WorkerOutcomeUnknown)
		}
	}
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Failed, state)
	assert.Equal(t, 4, starts)
}
