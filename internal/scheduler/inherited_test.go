package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a job of no fault being given up as its worker restarts soon after a change
// of owners: the new owner took the run, a second old, for one that had just begun when it
// heard of it, and the crash for one at the task's start.
func TestCrashUnderAnInheritedRunIsNotAnEarlyCrash(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const inheritedRun = int64(3<<16 + 2)
	key := workload.TaskKey{Job: job}
	for _, c := range []struct {
		name string
		tell func(next *rig) // how the new owner hears of the run
	}{
		{"handed over", func(next *rig) {
			leftRun := workload.HandoverRun{Worker: "w-1", Task: key.String(), Run: inheritedRun, Incarnation: firstIncarnation, StartConfirmed: true}
			next.core.RestoreHandover(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.HandoverRun{leftRun}}, next.now)
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

// Guards against a lasting task being stopped at work, as its new owner counts an earlier run
// of it as there: the trial that this was had been cleared and its worker had crashed, and
// the owner did not live to store that. It had started the task anew, so the run before is
// over.
func TestLaterRunProvesThatEarlierRunsHaveEnded(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const isolatedRun = int64(3<<16 + 2)
	planned := workload.Crash{Worker: "w-1", Address: "w-1", Run: isolatedRun, DetectedAtMS: historyStart.UnixMilli() - 5000, IsolatedRunPending: true}
	next := newRig(t).newSuccessor(job, &workload.Progress{Started: true, Crashes: map[string][]workload.Crash{"0.0.0": {planned}}})
	next.setWorkers("w-1", "w-2")
	poll, _ := next.awaitPoll("w-2")
	row := workload.ListedRun{Task: workload.TaskKey{Job: job}, Run: isolatedRun + 3, SpeedPercent: 100}
	next.answerPollAs(poll, 0, workload.PollReport{Running: []workload.ListedRun{row}})
	for range 20 {
		assert.Empty(t, next.step(20*time.Millisecond).Stops)
	}
}

// Guards against the reverse: a run that is older than one that is known is not wanted.
func TestEarlierRunIsStoppedWhenALaterOneIsKnown(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const run = int64(3<<16 + 2)
	next := newRig(t).newSuccessor(job, &workload.Progress{Started: true})
	leftRun := workload.HandoverRun{Worker: "w-1", Task: workload.TaskKey{Job: job}.String(), Run: run, StartConfirmed: true}
	next.core.RestoreHandover(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.HandoverRun{leftRun}}, next.now)
	next.setWorkers("w-1", "w-2")
	poll, _ := next.awaitPoll("w-2")
	next.answerPollAs(poll, 0, workload.PollReport{Running: []workload.ListedRun{{Task: workload.TaskKey{Job: job}, Run: run - 1}}})
	stops := next.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	assert.Equal(t, run-1, stops[0].Run)
}

// Guards against a successor of the owner taking runs of before a restart for runs of now:
// its predecessor's word names the incarnation. One of an older program names none.
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
		assert.Len(t, next.step(20*time.Millisecond).Stops, 1, "whether it may yet begin isn't known")
	}
}

// Guards against a trial being forgotten with its owner as the worker that crashed under
// it keeps its ID. A record of an older program names no incarnation, and is read as well.
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

// Guards against an earlier crash being taken back as a later process of the same ID was
// only cut off.
func TestCrashOfAnEarlierIncarnationIsNotRevoked(t *testing.T) {
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

// What crashed is known to one process until it is stored. The owner may be lost the
// next moment, so a suspect isn't started while the store is away: each owner would
// count from nothing, and the task would crash as many workers as there are owners.
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

// stepAndStore steps and stores, and returns what was stored last of a job beside the starts.
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

// newSuccessor returns the next owner of a job of one task, which has read what is stored.
func (r *rig) newSuccessor(job workload.JobID, stored *workload.Progress) *rig {
	next := &rig{t: r.t, now: r.now, epoch: r.epoch + 1}
	next.core = scheduler.New(testSettings(next.epoch), next.now, nil, false)
	next.core.SetConfig(testConfig)
	next.core.AddJob(job, &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: next.now.UnixMilli(), Spec: workload.Spec{Payload: "work", Steps: []workload.Step{batchStep(1, 1000)}}})
	next.core.RestoreProgress(job, stored)
	next.step(0)
	return next
}

// The owner is killed while a suspect runs, and the worker crashes before the next one
// has polled it. The start was stored before it was ordered, so that the next owner
// counts that crash, too, and gives the job up after one more.
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

// A worker refuses connections under a suspect, and its owner is lost before it is known
// that it has crashed. The crash is stored as unclear, with the address; the next owner
// asks there, hears from the worker's successor at once, and gives the job up, though the
// crashed worker is on no list any more.
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
