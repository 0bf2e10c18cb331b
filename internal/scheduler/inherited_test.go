package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker restarts soon after a takeover. If the new owner took the inherited run, which is a
// second old, for a run that has just started, the crash would count as an early crash and the
// job would be given up.
func TestCrashDuringAnInheritedRunIsNotAnEarlyCrash(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const inheritedRun = int64(3<<16 + 2)
	key := workload.TaskKey{Job: job}
	for _, c := range []struct {
		name string
		tell func(next *rig) // how the new owner learns of the run
	}{
		{"handed over", func(next *rig) {
			handoverRun := workload.HandoverRun{Worker: "w-1", Task: key.String(), Run: inheritedRun, Incarnation: firstIncarnation, StartConfirmed: true}
			next.core.RestoreHandover(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.HandoverRun{handoverRun}}, next.now)
			next.registerWorker("w-1", firstIncarnation)
		}},
		{"listed", func(next *rig) {
			next.registerWorker("w-1", firstIncarnation)
			poll, _ := next.awaitPoll("w-1")
			next.answerPollAs(poll, firstIncarnation, workload.PollReport{Running: []workload.ListedRun{{Task: key, Run: inheritedRun}}})
		}},
	} {
		earlierCrash := workload.Crash{Worker: "w-0", Address: "w-0", Run: inheritedRun - 1, DetectedAtMS: historyStart.UnixMilli() - 1000, RunAgeMS: 100, LikelyCause: true, SoleCause: true}
		next := newIncarnationRig(t).newSuccessor(job, &workload.Progress{Started: true, Crashes: map[string][]workload.Crash{"0.0.0": {earlierCrash}}})
		c.tell(next)
		for next.core.Counts.WorkerCrashes == 0 {
			poll, _ := next.awaitPoll("w-1")
			next.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		}
		next.step(30 * time.Millisecond)
		require.Equal(t, 1, next.core.Counts.WorkerCrashes, c.name)
		state, _ := next.core.JobState(job)
		assert.Equal(t, workload.Running, state, c.name)
	}
}

// An isolated run was cleared, its worker crashed, and the owner started the task again but was
// lost before it stored that. The next owner must conclude from the later run that the isolated
// run has ended, or it stops the later one.
func TestLaterRunProvesThatEarlierRunsHaveEnded(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const isolatedRun = int64(3<<16 + 2)
	planned := workload.Crash{Worker: "w-1", Address: "w-1", Run: isolatedRun, DetectedAtMS: historyStart.UnixMilli() - 5000, IsolatedRunPending: true}
	next := newRig(t).newSuccessor(job, &workload.Progress{Started: true, Crashes: map[string][]workload.Crash{"0.0.0": {planned}}})
	next.setWorkers("w-1", "w-2")
	poll, _ := next.awaitPoll("w-2")
	listedRun := workload.ListedRun{Task: workload.TaskKey{Job: job}, Run: isolatedRun + 3, SpeedPercent: 100}
	next.answerPollAs(poll, 0, workload.PollReport{Running: []workload.ListedRun{listedRun}})
	for range 20 {
		assert.Empty(t, next.step(20*time.Millisecond).Stops)
	}
}

// A run that is older than a known run of its task must be stopped.
func TestEarlierRunIsStoppedWhenALaterOneIsKnown(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const run = int64(3<<16 + 2)
	next := newRig(t).newSuccessor(job, &workload.Progress{Started: true})
	handoverRun := workload.HandoverRun{Worker: "w-1", Task: workload.TaskKey{Job: job}.String(), Run: run, StartConfirmed: true}
	next.core.RestoreHandover(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.HandoverRun{handoverRun}}, next.now)
	next.setWorkers("w-1", "w-2")
	poll, _ := next.awaitPoll("w-2")
	next.answerPollAs(poll, 0, workload.PollReport{Running: []workload.ListedRun{{Task: workload.TaskKey{Job: job}, Run: run - 1}}})
	stops := next.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	assert.Equal(t, run-1, stops[0].Run)
}

// A successor must not mistake runs from before a restart for runs of the new incarnation. The
// handover names the incarnation; a handover of an older program names none.
func TestHandoverNamesTheIncarnation(t *testing.T) {
	for _, named := range []bool{true, false} {
		r := newIncarnationRig(t)
		s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
		var handover *workload.Handover
		for _, record := range r.core.HandoverRecords(r.now) {
			if record.Handover != nil {
				handover = record.Handover
			}
		}
		require.Len(t, handover.Runs, 1)
		require.Equal(t, firstIncarnation, handover.Runs[0].Incarnation)
		if !named {
			handover.Runs[0].Incarnation = 0
		}
		next := r.newSuccessor(s.Start.Task.Job, &workload.Progress{Started: true})
		next.core.RestoreHandover(handover, next.now)
		next.registerWorker("w-1", nextIncarnation)
		poll, _ := next.awaitPoll("w-1")
		next.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		if named {
			assert.Equal(t, 1, next.core.Counts.WorkerCrashes)
			assert.Len(t, next.stepFor(500*time.Millisecond).Starts, 1)
			continue
		}
		assert.Zero(t, next.core.Counts.WorkerCrashes)
		assert.Len(t, next.step(20*time.Millisecond).Stops, 1, "the run may still begin")
	}
}

// A worker crashes under an isolated run and keeps its ID. The crash must not be forgotten with
// the owner. A record of an older program names no incarnation and must be readable too.
func TestIsolatedRunOnARestartedWorkerSurvivesATakeover(t *testing.T) {
	for _, named := range []bool{true, false} {
		r := newIncarnationRig(t)
		pendingCrash := workload.Crash{Worker: "w-1", Incarnation: firstIncarnation, Address: "w-1", Run: 3<<16 + 2, DetectedAtMS: r.now.UnixMilli(), IsolatedRunPending: true}
		earlierCrash := workload.Crash{Worker: "w-0", Address: "w-0", Run: 3<<16 + 1, DetectedAtMS: r.now.UnixMilli() - 1000, LikelyCause: true, SoleCause: true}
		if !named {
			pendingCrash.Incarnation = 0
		}
		next := r.newSuccessor("0000000000000001", &workload.Progress{Started: true, Crashes: map[string][]workload.Crash{"0.0.0": {earlierCrash, pendingCrash}}})
		next.registerWorker("w-1", nextIncarnation)
		poll, _ := next.awaitPoll("w-1")
		next.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		next.step(30 * time.Millisecond)
		state, _ := next.core.JobState("0000000000000001")
		assert.Equal(t, named, state == workload.Failed)
	}
}

// A later process under the same ID was only cut off. That must not revoke the crash of the
// earlier one.
func TestCrashOfAnEarlierIncarnationIsNotRetracted(t *testing.T) {
	r := newIncarnationRig(t)
	r.startJob("0000000000000001", batchStep(1, 1000))
	r.restartWorker()
	require.Equal(t, 1, r.core.Counts.WorkerCrashes)
	_, stored := r.stepAndStore(400 * time.Millisecond)
	allStarts := r.stepFor(time.Second).Starts
	for range 20 {
		starts, progress := r.stepAndStore(50 * time.Millisecond)
		allStarts = append(allStarts, starts...)
		if progress != nil {
			stored = progress
		}
	}
	require.NotEmpty(t, allStarts)
	r.answerStart(allStarts[0], workload.WorkerOK)
	r.answerPollRefused("w-1")
	r.stepAndStore(30 * time.Millisecond)
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{Running: []workload.ListedRun{{Task: allStarts[0].Start.Task, Run: allStarts[0].Start.Run, SpeedPercent: 100}}})
	for range 5 {
		if _, progress := r.stepAndStore(30 * time.Millisecond); progress != nil {
			stored = progress
		}
	}
	require.NotNil(t, stored)
	crashes := stored.Crashes["0.0.0"]
	require.NotEmpty(t, crashes)
	assert.Equal(t, firstIncarnation, crashes[0].Incarnation)
}

// A crash is known only to the owner until it is stored. A suspect must not start while the store
// is unavailable: if owners were lost one after the other, each would count from zero and the
// task would crash a worker under every owner.
func TestSuspectWaitsUntilItsCrashIsStored(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	r.crashWorker(s.Worker.ID)
	for range 20 {
		r.now = r.now.Add(50 * time.Millisecond)
		require.Empty(t, r.core.Step(r.now).Starts)
	}
	r.core.HandleWriteResult()
	assert.NotEmpty(t, r.stepFor(200*time.Millisecond).Starts)
}

// stepAndStore steps and acknowledges writes. It returns the starts and the job progress that was
// stored last, nil if none was.
func (r *rig) stepAndStore(d time.Duration) (starts []scheduler.StartOrder, progress *workload.Progress) {
	r.now = r.now.Add(d)
	orders := r.core.Step(r.now)
	for {
		starts = append(starts, orders.Starts...)
		if orders.Write == nil {
			return starts, progress
		}
		for _, record := range orders.Write.Records {
			if record.Progress != nil {
				progress = record.Progress
			}
		}
		r.core.HandleWriteResult()
		orders = r.core.Step(r.now)
	}
}

// newSuccessor returns the next owner of a job of one task, restored from the stored progress.
func (r *rig) newSuccessor(job workload.JobID, stored *workload.Progress) *rig {
	next := &rig{t: r.t, now: r.now, epoch: r.epoch + 1}
	next.core = scheduler.New(testSettings(next.epoch), next.now, nil, false)
	next.core.SetConfig(testConfig)
	next.core.AddJob(job, &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: next.now.UnixMilli(), Spec: workload.Spec{Payload: "work", Steps: []workload.Step{batchStep(1, 1000)}}})
	next.core.RestoreProgress(job, stored)
	next.step(0)
	return next
}

// The owner is killed while a suspect runs, and the worker crashes before the next owner has
// polled it. The start was stored before it was ordered, so that the next owner counts the crash
// and gives the job up.
func TestIsolatedRunSurvivesATakeover(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.startJob("0000000000000001", batchStep(1, 1000))[0].Start.Task.Job
	r.crashWorker("w-1")
	r.setWorkers("w-2")
	_, stored := r.stepAndStore(0)
	r.answerPoll("w-2", r.now, workload.PollReport{})
	started := false
	for range 10 {
		starts, progress := r.stepAndStore(30 * time.Millisecond)
		started = started || len(starts) > 0
		if progress != nil {
			stored = progress
		}
	}
	require.True(t, started)

	next := r.newSuccessor(job, stored)
	next.setWorkers("w-2")
	next.crashWorker("w-2")
	assert.Equal(t, 1, next.core.Counts.WorkerCrashes)
	next.step(30 * time.Millisecond)
	state, _ := next.core.JobState(job)
	assert.Equal(t, workload.Failed, state)
}

// A worker refuses connections under a suspect, and the owner is lost before the crash is
// confirmed. The crash is stored as unconfirmed with the address: the next owner polls there,
// gets the successor's answer and gives the job up, though the crashed worker is no longer
// registered.
func TestUnconfirmedCrashIsConfirmedByTheNextOwner(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.startJob("0000000000000001", batchStep(1, 1000))[0].Start.Task.Job
	r.crashWorker("w-1")
	r.setWorkers("w-2")
	r.stepAndStore(0)
	r.answerPoll("w-2", r.now, workload.PollReport{})
	for range 10 {
		starts, _ := r.stepAndStore(30 * time.Millisecond)
		for _, s := range starts {
			r.answerStart(s, workload.WorkerOK)
		}
	}
	r.answerPollRefused("w-2")
	_, stored := r.stepAndStore(30 * time.Millisecond)
	require.NotNil(t, stored)

	next := r.newSuccessor(job, stored)
	next.answerPollReplaced("w-2")
	next.step(30 * time.Millisecond)
	assert.Equal(t, 1, next.core.Counts.WorkerCrashes)
	state, _ := next.core.JobState(job)
	assert.Equal(t, workload.Failed, state)
}
