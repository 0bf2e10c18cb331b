package jobrunner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

func notRepeatable(s *record.JobSubmit) { s.Repeatable = false }

func hasEnded(w *world, id string) func() bool {
	return func() bool { return w.job(id).Ended() }
}

func isPlaced(w *world, id string) func() bool {
	return func() bool { return w.job(id).Status == ledger.JobPlaced }
}

func TestJobRunsOnceAndItsEndIsRecorded(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.submit("j", notRepeatable)
	require.True(t, w.run(time.Minute, hasEnded(w, "j")))
	assert.Equal(t, record.JobSucceeded, w.job("j").Result)
	assert.Equal(t, 1, w.starts("j"))
	assert.Less(t, w.job("j").EndedAt.Sub(w.job("j").SubmittedAt), 22*time.Second)
}

// The platform starts a task and the reply is lost. The steward must send the
// start again under the same operation ID and learn that the task runs; a start
// under a new ID would run the job twice.
func TestLostReplyToAStartDoesNotStartTwice(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.injectFaults(standin.Fault{Kind: standin.APILoseReply, Target: "j.1", Count: 3})
	w.submit("j", notRepeatable)
	require.True(t, w.run(time.Minute, hasEnded(w, "j")))
	assert.Equal(t, record.JobSucceeded, w.job("j").Result)
	assert.Equal(t, 1, w.starts("j"))
}

// The steward that placed a job that is not repeatable dies with its start in
// transit. The next steward finds no task and cannot know whether the start
// still arrives, so the job ends as lapsed and is never started again.
func TestPlacementOfADeadStewardIsNotStartedByAnother(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.submit("j", notRepeatable)
	require.True(t, w.run(time.Minute, isPlaced(w, "j")))
	w.Nodes[0] = nil
	require.True(t, w.run(time.Minute, hasEnded(w, "j")))
	assert.Equal(t, record.JobLapsed, w.job("j").Result)
	assert.Contains(t, w.job("j").Reason, "whether the job started is unknown")
	assert.Zero(t, w.starts("j"))
}

func TestRepeatablePlacementOfADeadStewardIsStartedByTheNext(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.submit("j", func(s *record.JobSubmit) { s.Urgent = true })
	require.True(t, w.run(time.Minute, isPlaced(w, "j")))
	w.Nodes[0] = nil
	require.True(t, w.run(6700*time.Millisecond, func() bool { return w.starts("j") == 1 }))
}

// A steward starts a job and is paused for longer than the lease, with no other
// steward to renew it, so the platform ends the task. When the steward resumes
// it must not renew or start on its old state: the job ends as lapsed, once,
// and only a repeatable job runs again.
func TestResumedStewardReadsLogAndStatusBeforeItActs(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		w := newWorld(t, 1, 2)
		w.submit("j", func(s *record.JobSubmit) { s.Repeatable, s.RunTime = repeatable, time.Minute })
		require.True(t, w.run(time.Minute, func() bool { return w.starts("j") == 1 }))
		w.Nodes[0].PausedUntil = w.Now.Add(3 * lease)
		w.run(3*lease-time.Second, nil)
		w.Nodes[0].CutOff = true // resumed, but the log cannot be read yet
		w.run(5*time.Second, nil)
		assert.Equal(t, ledger.JobPlaced, w.job("j").Status)
		assert.Equal(t, 1, w.starts("j"))
		w.Nodes[0].CutOff = false
		require.True(t, w.run(5*time.Minute, hasEnded(w, "j")))
		assert.Equal(t, map[bool]int{true: 2, false: 1}[repeatable], w.starts("j"))
		assert.Equal(t, map[bool]record.JobResult{true: record.JobSucceeded, false: record.JobLapsed}[repeatable], w.job("j").Result)
	}
}

// The log is unavailable for minutes while the platform runs tasks. Leases must
// still be renewed, since losing every long job would do more harm, and nothing
// new may start.
func TestLeasesAreRenewedWhileTheLogIsUnavailable(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.submit("long", func(s *record.JobSubmit) { s.RunTime = 4 * time.Minute; s.Repeatable = false })
	require.True(t, w.run(time.Minute, func() bool { return w.starts("long") == 1 }))
	for _, n := range w.Nodes {
		n.CutOff = true
	}
	w.submit("later", nil)
	w.run(5*time.Minute, nil)
	assert.Zero(t, w.starts("later"))
	for _, n := range w.Nodes {
		n.CutOff = false
	}
	require.True(t, w.run(time.Minute, hasEnded(w, "long")))
	assert.Equal(t, record.JobSucceeded, w.job("long").Result)
	require.True(t, w.run(time.Minute, func() bool { return w.starts("later") == 1 }))
}

// A hundred jobs are submitted and then all of them are cancelled at once. No
// cancelled job may start afterwards, and the running ones are stopped.
func TestBurstOfCancellationsStartsNothing(t *testing.T) {
	w := newWorld(t, 2, 2)
	ids := []string{}
	for i := range 100 {
		id := "j" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		ids = append(ids, id)
		w.submit(id, func(s *record.JobSubmit) { s.RunTime = time.Hour })
	}
	w.run(time.Second, nil)
	before := w.Platform.Counters().JobStarts
	for _, id := range ids {
		w.mustWrite(jobSubject(id), record.JobCancel{})
	}
	require.True(t, w.run(30*time.Second, func() bool {
		for _, id := range ids {
			if !w.job(id).Ended() {
				return false
			}
		}
		return true
	}))
	after := w.Platform.Counters().JobStarts
	assert.NotEmpty(t, before)
	assert.Equal(t, before, after, "a cancelled job was started")
	for _, id := range ids {
		assert.Equal(t, ledger.JobCancelled, w.job(id).Status)
		assert.False(t, w.running(id))
	}
}

// A hundred jobs are cancelled one after the other in the order of their
// submission. Each stopped job frees capacity for the next one, which is about
// to be cancelled too: after the first few cancellations none may be started.
func TestSequentialCancellationsCauseFewStarts(t *testing.T) {
	w := newWorld(t, 2, 2)
	id := func(i int) string { return fmt.Sprintf("j%03d", i) }
	for i := range 100 {
		w.submit(id(i), func(s *record.JobSubmit) { s.RunTime = time.Hour })
	}
	w.run(time.Second, nil)
	before := len(w.Platform.Counters().JobStarts)
	for i := range 100 {
		w.mustWrite(jobSubject(id(i)), record.JobCancel{})
		w.run(2*stepTime, nil)
	}
	assert.LessOrEqual(t, len(w.Platform.Counters().JobStarts)-before, 4)
	w.submit("next", nil)
	assert.True(t, w.run(3*time.Second, func() bool { return w.starts("next") == 1 }))
}

// Both workers are full of checkpointable jobs when an urgent job arrives: one
// job is checkpointed, the urgent job starts within 6.7 s, and the preempted
// job continues later from its checkpoint.
func TestUrgentJobPreemptsCheckpointableWork(t *testing.T) {
	for dead := range 3 {
		checkUrgentPreemption(t, dead)
	}
}

// checkUrgentPreemption runs the case with the first stewards by rank dead.
func checkUrgentPreemption(t *testing.T, dead int) {
	w := newWorld(t, 3, 2)
	w.editDocument(noUrgentReserve)
	for _, id := range []string{"x", "y"} {
		w.submit(id, func(s *record.JobSubmit) { s.MilliCores, s.Checkpointable, s.RunTime = 6000, true, time.Minute })
	}
	w.run(2*time.Second, nil)
	for i := range dead {
		w.Nodes[i] = nil
	}
	w.submit("u", func(s *record.JobSubmit) { s.MilliCores, s.Urgent, s.RunTime = 8000, true, 10*time.Second })
	require.True(t, w.run(6700*time.Millisecond, func() bool { return w.starts("u") == 1 }), "%d dead", dead)
	if dead == 2 {
		return // no steward renews leases until the dead ones leave the membership
	}
	require.True(t, w.run(5*time.Minute, func() bool { return hasEnded(w, "x")() && hasEnded(w, "y")() }))
	assert.Equal(t, 3, w.starts("x")+w.starts("y"))
	assert.NotEmpty(t, w.job("x").Checkpoint+w.job("y").Checkpoint)
}

// The only running job cannot be checkpointed: it is throttled for the urgent
// job and restored afterwards.
func TestUrgentJobThrottlesOtherWork(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.editDocument(noUrgentReserve)
	w.submit("x", func(s *record.JobSubmit) { s.MilliCores, s.RunTime, s.Repeatable = 8000, time.Minute, false })
	w.run(2*time.Second, nil)
	w.submit("u", func(s *record.JobSubmit) { s.MilliCores, s.Urgent, s.RunTime = 6000, true, 10*time.Second })
	require.True(t, w.run(6700*time.Millisecond, func() bool { return w.starts("u") == 1 }))
	assert.Equal(t, 2000, w.job("x").MilliCores)
	require.True(t, w.run(30*time.Second, func() bool { return w.job("x").MilliCores == 8000 }))
	require.True(t, w.run(2*time.Minute, hasEnded(w, "x")))
	assert.Equal(t, 1, w.starts("x"))
	assert.Equal(t, record.JobSucceeded, w.job("x").Result)
}

func TestUnplaceableJobEndsAtOnceWithAReason(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.submit("j", func(s *record.JobSubmit) { s.MilliCores = 9000 })
	require.True(t, w.run(time.Second, hasEnded(w, "j")))
	assert.Equal(t, record.JobUnplaceable, w.job("j").Result)
	assert.Contains(t, w.job("j").Reason, "9 cores of 8")
}

// Every task fails at once on one worker of five, so this worker always has
// free capacity. Jobs of several shapes fail there and succeed elsewhere. The
// worker must be quarantined and return on probation after FirstTerm, with one
// job at a time; when the fault has ended, it leaves probation.
func TestFailingWorkerIsQuarantinedAndReturnsOnProbation(t *testing.T) {
	w := newWorld(t, 2, 5)
	w.editDocument(func(d *document.Document) { d.Quotas[0].MilliCores = 40_000 })
	w.injectFaults(standin.Fault{Kind: standin.WorkerFails, Target: "vm-01", DelayMS: 50})
	n := 0
	feed := func() bool {
		if n++; n%3 == 0 {
			w.submit("j"+time.Duration(n).String(), func(s *record.JobSubmit) { s.MilliCores, s.RunTime = 2000, 5*time.Second })
		}
		return w.LogState.VMs["vm-01"].Quarantined
	}
	require.True(t, w.run(5*time.Minute, feed))
	failures := 0
	for _, j := range w.LogState.Jobs {
		failures += len(j.Failures)
	}
	assert.LessOrEqual(t, failures, 8, "too many jobs failed on the worker")

	w.Platform.ClearAllFaults()
	require.True(t, w.run(10*time.Minute, func() bool { feed(); return w.LogState.VMs["vm-01"].ProbationLeft > 0 }))
	require.True(t, w.run(10*time.Minute, func() bool {
		feed()
		assert.LessOrEqual(t, len(w.LogState.WorkerJobs("vm-01")), 1)
		return w.LogState.VMs["vm-01"].ProbationLeft == 0
	}))
	assert.Zero(t, w.LogState.VMs["vm-01"].Quarantines)
}

// Jobs declare one core and use three. Late usage reports correct the size:
// once the shape is known, a worker of 8 cores is given two jobs and not eight.
func TestReservationFollowsLateUsageReports(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.injectFaults(
		standin.Fault{Kind: standin.TaskReality, CoresFactor: 3},
		standin.Fault{Kind: standin.UsageLag, DelayMS: 5000},
	)
	w.submit("first", func(s *record.JobSubmit) { s.RunTime = 40 * time.Second })
	require.True(t, w.run(2*time.Minute, hasEnded(w, "first")))
	assert.Equal(t, 3000, w.job("first").PeakMilliCores)
	for _, id := range []string{"a", "b", "c", "d"} {
		w.submit(id, func(s *record.JobSubmit) { s.RunTime = 40 * time.Second })
	}
	w.run(5*time.Second, nil)
	assert.Equal(t, ledger.Resources{MilliCores: 3300, MemoryMB: 512}, w.LogState.WorkerUse("vm-01"), "the rest is reserved for urgent work")
}

// A worker is drained with a checkpointable job and another job on it: the
// first is checkpointed and continues elsewhere, the second is left to finish.
func TestDrainCheckpointsJobsAsConfigured(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.submit("c", func(s *record.JobSubmit) { s.MilliCores, s.Checkpointable, s.RunTime = 3000, true, time.Minute })
	w.submit("w", func(s *record.JobSubmit) { s.RunTime, s.Repeatable = time.Minute, false })
	require.True(t, w.run(time.Minute, func() bool { return w.starts("c")+w.starts("w") == 2 }))
	worker := w.job("c").Worker
	require.Equal(t, worker, w.job("w").Worker, "best fit must put both on one worker")
	w.LogState.VMs[worker].Phase = record.PhaseDraining
	for _, n := range w.Nodes {
		n.State.VMs[worker].Phase = record.PhaseDraining
	}
	require.True(t, w.run(10*time.Second, func() bool { return w.starts("c") == 2 }))
	assert.NotEqual(t, worker, w.job("c").Worker)
	require.True(t, w.run(3*time.Minute, hasEnded(w, "w")))
	assert.Equal(t, record.JobSucceeded, w.job("w").Result)
}

// A job is placed while the platform refuses calls, and is cancelled before its
// start is accepted. When the platform accepts calls again the job must not
// start: the cancellation is read first, also by a steward that was paused
// meanwhile and cannot read the log when it resumes.
func TestJobCancelledBeforeItsStartIsNeverStarted(t *testing.T) {
	for _, paused := range []bool{false, true} {
		w := newWorld(t, 1, 2)
		w.injectFaults(standin.Fault{Kind: standin.APIRefuse, ForMS: 5000})
		w.submit("j", nil)
		require.True(t, w.run(time.Second, isPlaced(w, "j")))
		w.run(time.Second, nil)
		if paused {
			w.Nodes[0].PausedUntil = w.Now.Add(4 * time.Second)
			w.Nodes[0].CutOff = true
		}
		w.mustWrite(jobSubject("j"), record.JobCancel{})
		w.run(6*time.Second, nil)
		w.Nodes[0].CutOff = false
		require.True(t, w.run(time.Minute, hasEnded(w, "j")))
		assert.Equal(t, ledger.JobCancelled, w.job("j").Status)
		assert.Zero(t, w.starts("j"))
	}
}

// A start got no reply, and the job is cancelled. The start must not be sent
// again: if the first one never arrived, the job never runs.
func TestUncertainStartIsNotResentAfterACancellation(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.LostStartReply = func() (time.Duration, bool) { return time.Hour, true }
	w.submit("j", nil)
	w.run(time.Second, nil)
	w.LostStartReply = func() (time.Duration, bool) { return 0, false }
	w.mustWrite(jobSubject("j"), record.JobCancel{})
	require.True(t, w.run(time.Minute, hasEnded(w, "j")))
	assert.Equal(t, ledger.JobCancelled, w.job("j").Status)
	assert.Zero(t, w.starts("j"))
}

// After a pause another steward may have ended the task, so its status must be
// read before its lease is renewed.
func TestStatusIsReadBeforeARenewalAfterAPause(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.submit("j", func(s *record.JobSubmit) { s.RunTime = time.Hour })
	w.run(8*lease, nil)
	w.Nodes[0].PausedUntil = w.Now.Add(lease / 2)
	w.run(lease/2-stepTime, nil)
	w.Trace = nil
	w.run(2*time.Second, nil)
	require.Contains(t, w.Trace, jobrunner.VerbRenew)
	assert.Equal(t, jobrunner.VerbStatus, w.Trace[0])
}

func TestStoppingStewardStartsOnlyItsOwnPlacements(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.injectFaults(standin.Fault{Kind: standin.APIRefuse, ForMS: 1000})
	w.submit("placed", notRepeatable)
	require.True(t, w.run(time.Second, isPlaced(w, "placed")))
	w.Nodes[0].Core.BeginShutdown()
	w.submit("later", notRepeatable)
	w.Step()
	assert.False(t, w.Nodes[0].Core.ShutdownComplete())
	require.True(t, w.run(5*time.Second, w.Nodes[0].Core.ShutdownComplete))
	assert.Equal(t, 1, w.starts("placed"))
	assert.Equal(t, ledger.JobQueued, w.job("later").Status)
}
