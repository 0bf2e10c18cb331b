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
func TestCrashUnderAnInheritedRunIsNoEarlyOne(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const inherited = int64(3<<16 + 2)
	key := workload.TaskKey{Job: job}
	for _, c := range []struct {
		name string
		tell func(next *rig) // how the new owner hears of the run
	}{
		{"handed over", func(next *rig) {
			left := workload.LeftRun{Worker: "w-1", Task: key.String(), Run: inherited, Born: firstBorn, Confirmed: true}
			next.core.Inherit(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.LeftRun{left}}, next.now)
			next.entry("w-1", firstBorn)
		}},
		{"listed", func(next *rig) {
			next.entry("w-1", firstBorn)
			h, _ := next.poll("w-1")
			next.answer(h, firstBorn, workload.Held{Running: []workload.RunState{{Task: key, Run: inherited}}})
		}},
	} {
		before := workload.Crash{Worker: "w-0", Address: "w-0", Run: inherited - 1, AtMS: epochStart.UnixMilli() - 1000, AgeMS: 100, Likely: true, Sole: true}
		next := newIncarnationRig(t).succeed(job, &workload.Progress{Begun: true, Crashes: map[string][]workload.Crash{"0.0.0": {before}}})
		c.tell(next)
		for next.core.Counts.Crashes == 0 {
			h, _ := next.poll("w-1")
			next.answer(h, nextBorn, workload.Held{})
		}
		next.step(30 * time.Millisecond)
		require.Equal(t, 1, next.core.Counts.Crashes, c.name)
		state, _ := next.core.State(job)
		assert.Equal(t, workload.Running, state, c.name)
	}
}

// Guards against a lasting task being stopped at work, as its new owner counts an earlier run
// of it as there: the trial that this was had been cleared and its worker had crashed, and
// the owner did not live to store that. It had started the task anew, so the run before is
// over.
func TestLaterRunShowsThatTheOnesBeforeAreOver(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const trial = int64(3<<16 + 2)
	planned := workload.Crash{Worker: "w-1", Address: "w-1", Run: trial, AtMS: epochStart.UnixMilli() - 5000, Pending: true}
	next := newRig(t).succeed(job, &workload.Progress{Begun: true, Crashes: map[string][]workload.Crash{"0.0.0": {planned}}})
	next.workers("w-1", "w-2")
	h, _ := next.poll("w-2")
	row := workload.RunState{Task: workload.TaskKey{Job: job}, Run: trial + 3, Percent: 100}
	next.answer(h, 0, workload.Held{Running: []workload.RunState{row}})
	for range 20 {
		assert.Empty(t, next.step(20*time.Millisecond).Stops)
	}
}

// Guards against the reverse: a run that is older than one that is known is not wanted.
func TestEarlierRunIsStoppedBesideALaterOne(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	const run = int64(3<<16 + 2)
	next := newRig(t).succeed(job, &workload.Progress{Begun: true})
	left := workload.LeftRun{Worker: "w-1", Task: workload.TaskKey{Job: job}.String(), Run: run, Confirmed: true}
	next.core.Inherit(&workload.Handover{Epoch: next.epoch - 1, Runs: []workload.LeftRun{left}}, next.now)
	next.workers("w-1", "w-2")
	h, _ := next.poll("w-2")
	next.answer(h, 0, workload.Held{Running: []workload.RunState{{Task: workload.TaskKey{Job: job}, Run: run - 1}}})
	stops := next.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	assert.Equal(t, run-1, stops[0].Run)
}

// Guards against a successor of the owner taking runs of before a restart for runs of now:
// its predecessor's word names the incarnation. One of an older program names none.
func TestHandoverNamesTheIncarnation(t *testing.T) {
	for _, named := range []bool{true, false} {
		r := newIncarnationRig(t)
		s := r.begin("0000000000000001", batch(1, 1000))[0]
		var left *workload.Handover
		for _, rec := range r.core.Handover(r.now) {
			if rec.Handover != nil {
				left = rec.Handover
			}
		}
		require.Len(t, left.Runs, 1)
		require.Equal(t, firstBorn, left.Runs[0].Born)
		if !named {
			left.Runs[0].Born = 0
		}
		next := r.succeed(s.Start.Task.Job, &workload.Progress{Begun: true})
		next.core.Inherit(left, next.now)
		next.entry("w-1", nextBorn)
		h, _ := next.poll("w-1")
		next.answer(h, nextBorn, workload.Held{})
		if named {
			assert.Equal(t, 1, next.core.Counts.Crashes)
			assert.Len(t, next.play(500*time.Millisecond).Starts, 1)
			continue
		}
		assert.Zero(t, next.core.Counts.Crashes)
		assert.Len(t, next.step(20*time.Millisecond).Stops, 1, "whether it may yet begin isn't known")
	}
}

// Guards against a trial being forgotten with its owner as the worker that crashed under
// it keeps its ID. A record of an older program names no incarnation, and is read as well.
func TestTrialOnARestartedWorkerOutlivesItsOwner(t *testing.T) {
	for _, named := range []bool{true, false} {
		r := newIncarnationRig(t)
		crash := workload.Crash{Worker: "w-1", Born: firstBorn, Address: "w-1", Run: 3<<16 + 2, AtMS: r.now.UnixMilli(), Pending: true}
		before := workload.Crash{Worker: "w-0", Address: "w-0", Run: 3<<16 + 1, AtMS: r.now.UnixMilli() - 1000, Likely: true, Sole: true}
		if !named {
			crash.Born = 0
		}
		next := r.succeed("0000000000000001", &workload.Progress{Begun: true, Crashes: map[string][]workload.Crash{"0.0.0": {before, crash}}})
		next.entry("w-1", nextBorn)
		h, _ := next.poll("w-1")
		next.answer(h, nextBorn, workload.Held{})
		next.step(30 * time.Millisecond)
		state, _ := next.core.State("0000000000000001")
		assert.Equal(t, named, state == workload.Failed)
	}
}

// Guards against an earlier crash being taken back as a later process of the same ID was
// only cut off.
func TestCrashOfAnEarlierIncarnationStays(t *testing.T) {
	r := newIncarnationRig(t)
	r.begin("0000000000000001", batch(1, 1000))
	r.firstPollAfterRestart()
	require.Equal(t, 1, r.core.Counts.Crashes)
	_, stored := r.storing(400 * time.Millisecond)
	s := r.play(time.Second).Starts
	for range 20 {
		starts, more := r.storing(50 * time.Millisecond)
		s = append(s, starts...)
		if more != nil {
			stored = more
		}
	}
	require.NotEmpty(t, s)
	r.started(s[0], workload.WorkerOK)
	r.refused("w-1")
	r.storing(30 * time.Millisecond)
	h, _ := r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{Running: []workload.RunState{{Task: s[0].Start.Task, Run: s[0].Start.Run, Percent: 100}}})
	for range 5 {
		if _, more := r.storing(30 * time.Millisecond); more != nil {
			stored = more
		}
	}
	require.NotNil(t, stored)
	crashes := stored.Crashes["0.0.0"]
	require.NotEmpty(t, crashes)
	assert.Equal(t, firstBorn, crashes[0].Born)
}

// What crashed is known to one process until it is stored. The owner may be lost the
// next moment, so a suspect isn't started while the store is away: each owner would
// count from nothing, and the task would crash as many workers as there are owners.
func TestSuspectWaitsUntilItsCrashIsStored(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	s := r.begin("0000000000000001", batch(1, 1000))[0]
	r.crash(s.Worker.ID)
	for range 20 {
		r.now = r.now.Add(50 * time.Millisecond)
		require.Empty(t, r.core.Step(r.now).Starts)
	}
	r.core.Written()
	assert.NotEmpty(t, r.play(200*time.Millisecond).Starts)
}

// storing steps and stores, and returns what was stored last of a job beside the starts.
func (r *rig) storing(d time.Duration) (starts []scheduler.StartOrder, stored *workload.Progress) {
	r.now = r.now.Add(d)
	o := r.core.Step(r.now)
	for {
		starts = append(starts, o.Starts...)
		if o.Write == nil {
			return starts, stored
		}
		for _, rec := range o.Write.Records {
			if rec.Progress != nil {
				stored = rec.Progress
			}
		}
		r.core.Written()
		o = r.core.Step(r.now)
	}
}

// succeed returns the next owner of a job of one task, which has read what is stored.
func (r *rig) succeed(job workload.JobID, stored *workload.Progress) *rig {
	next := &rig{t: r.t, now: r.now, epoch: r.epoch + 1}
	next.core = scheduler.New(testSettings(next.epoch), next.now, nil, false)
	next.core.SetConfig(testConfig)
	next.core.Submitted(job, &workload.Submission{Queue: "quick", Service: "service", AcceptedMS: next.now.UnixMilli(), Spec: workload.Spec{Payload: "work", Steps: []workload.Step{batch(1, 1000)}}})
	next.core.Recalled(job, stored)
	next.step(0)
	return next
}

// The owner is killed while a suspect runs, and the worker crashes before the next one
// has polled it. The start was stored before it was ordered, so that the next owner
// counts that crash, too, and gives the job up after one more.
func TestTrialOutlivesItsOwner(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	job := r.begin("0000000000000001", batch(1, 1000))[0].Start.Task.Job
	r.crash("w-1")
	r.workers("w-2")
	_, stored := r.storing(0)
	r.held("w-2", r.now, workload.Held{})
	started := false
	for range 10 {
		starts, more := r.storing(30 * time.Millisecond)
		started = started || len(starts) > 0
		if more != nil {
			stored = more
		}
	}
	require.True(t, started)

	next := r.succeed(job, stored)
	next.workers("w-2")
	next.crash("w-2")
	assert.Equal(t, 1, next.core.Counts.Crashes)
	next.step(30 * time.Millisecond)
	state, _ := next.core.State(job)
	assert.Equal(t, workload.Failed, state)
}

// A worker refuses connections under a suspect, and its owner is lost before it is known
// that it has crashed. The crash is stored as unclear, with the address; the next owner
// asks there, hears from the worker's successor at once, and gives the job up, though the
// crashed worker is on no list any more.
func TestUnclearCrashIsClearedUpByTheNextOwner(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	job := r.begin("0000000000000001", batch(1, 1000))[0].Start.Task.Job
	r.crash("w-1")
	r.workers("w-2")
	r.storing(0)
	r.held("w-2", r.now, workload.Held{})
	for range 10 {
		starts, _ := r.storing(30 * time.Millisecond)
		for _, s := range starts {
			r.started(s, workload.WorkerOK)
		}
	}
	r.refused("w-2")
	_, stored := r.storing(30 * time.Millisecond)
	require.NotNil(t, stored)

	next := r.succeed(job, stored)
	next.replaced("w-2")
	next.step(30 * time.Millisecond)
	assert.Equal(t, 1, next.core.Counts.Crashes)
	state, _ := next.core.State(job)
	assert.Equal(t, workload.Failed, state)
}
