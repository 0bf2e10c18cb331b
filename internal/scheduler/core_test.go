package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker may run what an earlier owner started. Until every such worker has answered under the
// new token, nothing may start on any worker: the same task could still run on a worker that has
// not answered.
func TestNothingStartsBeforeEveryUnresolvedWorkerAnswers(t *testing.T) {
	r := newRig(t, "w-1", "w-2")
	r.setWorkers("w-1", "w-2")
	r.submit("0000000000000001", batchStep(1, 1000))
	r.step(0)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	assert.Empty(t, r.step(50*time.Millisecond).Starts)
	r.answerPoll("w-2", r.now, workload.PollReport{})
	assert.Len(t, r.step(50*time.Millisecond).Starts, 1)
}

// A worker does not answer during a takeover. Nothing may start before the last lease that the
// earlier owner can have granted has expired, even on a clock that is 2% slow.
func TestTakeoverWaitsForTheLeaseOfASilentWorker(t *testing.T) {
	r := newRig(t, "w-1", "w-2")
	r.setWorkers("w-1", "w-2")
	r.submit("0000000000000001", batchStep(1, 1000))
	r.step(0)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	leaseOnSlowClock := testLease * 100 / 98
	for r.now.Sub(historyStart) < leaseOnSlowClock {
		require.Empty(t, r.step(100*time.Millisecond).Starts, "after %s", r.now.Sub(historyStart))
		r.answerPoll("w-1", r.now, workload.PollReport{})
	}
	started := false
	for range 10 {
		started = started || len(r.step(100*time.Millisecond).Starts) > 0
	}
	assert.True(t, started)
}

// A worker lists a run of an earlier owner. The run must continue, its task must not be started a
// second time, and its exit must count.
func TestRunOfAnEarlierOwnerContinues(t *testing.T) {
	r := newRig(t, "w-1")
	r.setWorkers("w-1")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	r.step(0)
	key := workload.TaskKey{Job: job}
	r.answerPoll("w-1", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: key, Run: 65537, SpeedPercent: 100}}})
	assert.Empty(t, r.step(50*time.Millisecond).Starts)
	r.answerPoll("w-1", r.now, workload.PollReport{Exited: []workload.RunExit{{Sequence: 1, Task: key, Run: 65537, Reason: workload.ExitDone}}})
	r.step(50 * time.Millisecond)
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Completed, state)
}

// A start gets no answer and may be executed late. The worker's report doesn't list the run, so
// the owner stops it; the stop keeps the late start from taking effect. Only a poll sent after
// the answer to the stop frees the task for another start.
func TestUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerOutcomeUnknown)
	sentAt := r.now.Add(time.Millisecond)
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	r.answerPoll(start.Worker.ID, sentAt, workload.PollReport{})
	orders := r.step(20 * time.Millisecond)
	require.Len(t, orders.Stops, 1)
	assert.Equal(t, start.Start.Run, orders.Stops[0].Run)
	assert.Empty(t, orders.Starts)
	r.core.HandleStopResult(scheduler.OrderResult{Worker: start.Worker.ID, Task: start.Start.Task, Run: start.Start.Run, Token: start.Start.Token, Answer: workload.WorkerAnswer{ClockMS: r.clockMS(start.Worker.ID)}}, r.now)
	sentBeforeStopAnswer := r.now.Add(-time.Millisecond)
	r.answerPoll(start.Worker.ID, sentBeforeStopAnswer, workload.PollReport{})
	assert.Empty(t, r.step(20*time.Millisecond).Starts, "the poll was sent before the stop was answered")
	r.answerPoll(start.Worker.ID, r.now, workload.PollReport{})
	restarts := r.step(20 * time.Millisecond).Starts
	require.Len(t, restarts, 1)
	assert.Greater(t, restarts[0].Start.Run, start.Start.Run)
}

// An exit must be acknowledged to the worker and shown to the caller only once it is stored. Until
// then a new owner can learn of it only from the worker's report.
func TestExitIsStoredBeforeItIsAcknowledged(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerOK)
	r.answerPoll("w-1", r.now, exitReport(1, start, workload.ExitDone))
	r.now = r.now.Add(500 * time.Millisecond)
	orders := r.core.Step(r.now)
	require.NotNil(t, orders.Write)
	for _, poll := range orders.Polls {
		assert.Zero(t, poll.Poll.AckedUpTo)
	}
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Running, state)
	r.core.HandleWriteResult()
	state, _ = r.core.JobState(job)
	assert.Equal(t, workload.Completed, state)
	polls := r.core.Step(r.now.Add(time.Second)).Polls
	for _, poll := range polls {
		assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	}
}

// Two nodes may store the same submission, the second one after the job was cancelled. Only the
// first record counts.
func TestRepeatedSubmissionIsIgnored(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	require.Len(t, r.step(20*time.Millisecond).Starts, 1)
	r.submit("0000000000000001", batchStep(3, 1000))
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	r.core.CancelJob(job, nil, r.now)
	r.step(20 * time.Millisecond)
	r.submit("0000000000000001", batchStep(3, 1000))
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Cancelled, state)
}

// The start of a cancelled job is executed late, so that the worker lists the run after the
// cancellation. The run must be stopped.
func TestCancelledJobWithALateStartIsStopped(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.core.CancelJob(job, nil, r.now)
	r.step(20 * time.Millisecond)
	r.answerStart(start, workload.WorkerOutcomeUnknown)
	r.core.HandleStopResult(scheduler.OrderResult{Worker: "w-1", Task: start.Start.Task, Run: start.Start.Run, Token: start.Start.Token, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, r.now)
	r.step(20 * time.Millisecond)
	r.step(400 * time.Millisecond)
	r.answerPoll("w-1", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: start.Start.Task, Run: start.Start.Run, SpeedPercent: 100}}})
	assert.NotEmpty(t, r.step(20*time.Millisecond).Stops)
}

// A start can't be sent to a worker without runs. The worker gets no starts until it answers a poll,
// and must be polled, or it would stay unused forever.
func TestIdleWorkerIsPolledAfterAnUndeliveredStart(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerNotSent)
	orders := r.step(400 * time.Millisecond)
	assert.Empty(t, orders.Starts)
	require.Len(t, orders.Polls, 1)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	assert.Len(t, r.step(400*time.Millisecond).Starts, 1)
}

// All tasks on a worker fail. After a few failures of several jobs the worker must get no new tasks,
// and the jobs must run on other workers.
func TestWorkerThatFailsTasksOfSeveralJobsGetsNoNewOnes(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	for i := range 6 {
		r.submit("000000000000000"+string(rune('1'+i)), batchStep(1, 1000))
	}
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 6)
	for i, s := range starts[:3] {
		r.answerStart(s, workload.WorkerOK)
		r.answerPoll("w-1", r.now, exitReport(int64(i+1), s, workload.ExitFailed))
	}
	assert.Empty(t, r.step(1100*time.Millisecond).Starts, "the worker gets no new tasks")
	for _, s := range r.syncWorkers("w-1", "w-2") {
		assert.Equal(t, "w-2", s.Worker.ID)
	}
}

// An owner hands over while a worker does not answer. The next owner knows from the handover what
// the worker may run: those tasks must start once its leases have expired, all others immediately.
func TestHandoverDelaysOnlyTasksThatMayStillRun(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	first := r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerOK)
	var handover *workload.Handover
	for _, record := range r.core.HandoverRecords(r.now) {
		if record.Handover != nil {
			handover = record.Handover
		}
	}
	require.NotNil(t, handover)
	require.Len(t, handover.Runs, 1)

	next := &rig{t: t, now: r.now, epoch: 4}
	next.core = scheduler.New(testSettings(4), next.now, nil, false)
	next.core.SetConfig(testConfig)
	next.submit(string(first), batchStep(1, 1000))
	second := next.submit("0000000000000002", batchStep(1, 1000))
	next.core.RestoreHandover(handover, next.now)
	next.setWorkers("w-1", "w-2")
	next.step(0)
	next.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: 4 << 10, SentAt: next.now, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, next.now)
	next.core.HandlePollResult(scheduler.PollResult{Worker: "w-2", Token: 4 << 10, SentAt: next.now, Answer: workload.WorkerAnswer{ClockMS: next.clockMS("w-2")}}, next.now)
	var started []workload.JobID
	stepN := func(steps int) {
		for range steps {
			orders := next.step(100 * time.Millisecond)
			for _, s := range orders.Starts {
				started = append(started, s.Start.Task.Job)
			}
			for _, poll := range orders.Polls {
				if poll.Worker.ID != "w-1" {
					continue // w-2 leaves the poll open until an exit
				}
				next.core.HandlePollResult(scheduler.PollResult{Worker: poll.Worker.ID, Token: poll.Poll.Token, SentAt: next.now, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, next.now)
			}
		}
	}
	stepN(30)
	assert.Equal(t, []workload.JobID{second}, started)
	stepN(12)
	assert.Contains(t, started, first)
}

// The owner's process stalls while a worker answers, and resumes after its polls have timed out.
// It must poll once more before it drops the worker's runs: the answer lists one as done, and a
// second start would run the task twice.
func TestStalledOwnerPollsAgainBeforeItDropsRuns(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerOK)
	sentAt := r.now
	r.step(20 * time.Millisecond)
	r.now = r.now.Add(6 * time.Second)
	r.core.HandlePollResult(scheduler.PollResult{Worker: start.Worker.ID, Token: 3 << 10, SentAt: sentAt, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, r.now)
	var polls []scheduler.PollOrder
	for range 4 {
		orders := r.step(100 * time.Millisecond)
		require.Empty(t, orders.Starts)
		polls = append(polls, orders.Polls...)
	}
	require.NotEmpty(t, polls)
	r.answerPoll(start.Worker.ID, r.now, exitReport(1, start, workload.ExitDone))
	r.step(100 * time.Millisecond)
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Completed, state)
}

// Hundreds of tasks are ready at once. The starts in flight must be bounded: if a node on a small VM
// sent all of them, the answers would come too late and the starts would count as unanswered.
func TestStartsInFlightAreBounded(t *testing.T) {
	r := newRig(t)
	var ids []string
	for i := range 30 {
		ids = append(ids, "w-"+string(rune('a'+i)))
	}
	r.syncWorkers(ids...)
	for i := range 30 {
		r.submit("00000000000001"+string(rune('0'+i/10))+string(rune('0'+i%10)), batchStep(8, 1000))
	}
	first := r.step(20 * time.Millisecond).Starts
	require.NotEmpty(t, first)
	require.LessOrEqual(t, len(first), 64)
	assert.Empty(t, r.step(20*time.Millisecond).Starts, "no start was answered yet")
	for _, s := range first {
		r.answerStart(s, workload.WorkerOK)
	}
	assert.NotEmpty(t, r.step(20*time.Millisecond).Starts)
}

// A task exits while another one runs on the worker. The worker would answer each poll immediately
// until the exit is acknowledged, so polling must pause until the exit is stored and resume without a
// delay. Otherwise every exit would delay the next one on that worker by 400 ms.
func TestPollFollowsAStoredExitAtOnce(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.submit("0000000000000001", batchStep(2, 1000))
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.answerStart(s, workload.WorkerOK)
	}
	report := exitReport(1, starts[0], workload.ExitDone)
	report.Running = []workload.ListedRun{{Task: starts[1].Start.Task, Run: starts[1].Start.Run, SpeedPercent: 100}}
	r.answerPoll("w-1", r.now.Add(time.Millisecond), report)
	r.now = r.now.Add(20 * time.Millisecond)
	orders := r.core.Step(r.now)
	require.NotNil(t, orders.Write)
	assert.Empty(t, orders.Polls)
	r.core.HandleWriteResult()
	polls := r.core.Step(r.now.Add(5 * time.Millisecond)).Polls
	require.Len(t, polls, 1)
	assert.Equal(t, int64(1), polls[0].Poll.AckedUpTo)
}

// A job is cancelled, and the owner hands over before its stop has reached the worker. The next
// owner knows of the cancellation and the run, and must stop the run once the worker lists it.
// Otherwise a long-running task would run forever.
func TestRunOfACancelledJobIsStoppedAfterAHandover(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	longRunning := workload.Step{Count: 1, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true}
	job := r.submit("0000000000000001", longRunning)
	start := r.step(20 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerOK)
	r.core.CancelJob(job, nil, r.now)
	require.Len(t, r.step(20*time.Millisecond).Stops, 1) // the stop is lost
	var handover *workload.Handover
	for _, record := range r.core.HandoverRecords(r.now) {
		if record.Handover != nil {
			handover = record.Handover
		}
	}
	require.Len(t, handover.Runs, 1)

	next := &rig{t: t, now: r.now, epoch: 4}
	next.core = scheduler.New(testSettings(4), next.now, nil, false)
	next.core.SetConfig(testConfig)
	next.core.CancelJob(job, nil, next.now)
	next.submit(string(job), longRunning)
	next.core.RestoreHandover(handover, next.now)
	next.setWorkers("w-1")
	next.step(0)
	report := workload.PollReport{Running: []workload.ListedRun{{Task: start.Start.Task, Run: start.Start.Run, SpeedPercent: 100}}}
	next.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: 4 << 10, SentAt: next.now, Report: report, Answer: workload.WorkerAnswer{ClockMS: next.clockMS("w-1")}}, next.now)
	stops := next.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	assert.Equal(t, start.Start.Run, stops[0].Run)
}

// A worker's capacity falls below what a waiting job requires and is restored later. Meanwhile
// nothing may start there, its runs must continue and the requirement must be reported as unmet. The
// job must start once the capacity is restored.
func TestPlacementFollowsChangesOfWorkerCapacity(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	setCapacity := func(capacity workload.Resources) {
		r.core.SetWorkers([]workload.Worker{{ID: "w-1", Service: "service", Address: "w-1", Labels: []string{"a", "rack"}, Capacity: capacity}}, r.now)
	}
	r.startJob("0000000000000001", batchStep(1, 3000))
	setCapacity(workload.Resources{CPU: 2000, MemoryMB: 4000})
	job := r.submit("0000000000000002", batchStep(1, 3000))
	orders := r.stepFor(30 * time.Second)
	assert.Empty(t, orders.Starts)
	assert.Empty(t, orders.Stops)
	load := r.core.ServiceLoads(r.now)[0]
	assert.Len(t, load.UnmetRequirements, 1)
	assert.Equal(t, workload.Resources{CPU: 2000, MemoryMB: 4000}, load.MeanWorkerCapacity)
	assert.NotNil(t, load.Workers["w-1"].ReducedCapacity)
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Pending, state)

	setCapacity(workload.Resources{CPU: 8000, MemoryMB: 16000})
	load = r.core.ServiceLoads(r.now)[0]
	assert.Empty(t, load.UnmetRequirements)
	assert.Nil(t, load.Workers["w-1"].ReducedCapacity)
	assert.Len(t, r.stepFor(200*time.Millisecond).Starts, 1)
}

// The capacity of a worker that is kept free for a large job falls below what the job requires. Another
// worker must be kept free instead, or the job would wait forever.
func TestReservationMovesWhenItsWorkerShrinks(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	longRunning := batchStep(1, 7000)
	longRunning.LongRunning = true
	shrunkWorker := r.startJob("0000000000000001", batchStep(1, 5000))[0].Worker.ID
	otherWorker := r.startJob("0000000000000002", batchStep(1, 6000))[0].Worker.ID
	require.NotEqual(t, shrunkWorker, otherWorker)
	r.submit("0000000000000003", longRunning)
	r.step(30 * time.Millisecond)
	var list []workload.Worker
	for _, id := range []string{"w-1", "w-2"} {
		capacity := workload.Resources{CPU: 8000, MemoryMB: 16000}
		if id == shrunkWorker {
			capacity.CPU = 6000
		}
		list = append(list, workload.Worker{ID: id, Service: "service", Address: id, Labels: []string{"a", "rack"}, Capacity: capacity})
	}
	r.core.SetWorkers(list, r.now)
	r.submit("0000000000000004", batchStep(1, 1000))
	starts := r.step(30 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, shrunkWorker, starts[0].Worker.ID)
}
