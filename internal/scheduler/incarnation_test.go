package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Incarnations of the worker in these tests, in Unix milliseconds.
var (
	firstIncarnation = historyStart.Add(-time.Hour).UnixMilli()
	nextIncarnation  = historyStart.Add(-time.Second).UnixMilli()
)

// completeJob starts a job of one task on the worker and ends the task as done, with the given
// sequence number of the exit. It returns the poll that carries the acknowledgement.
func (r *rig) completeJob(id string, sequence int64) scheduler.PollOrder {
	s := r.startJob(id, batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation, exitReport(sequence, s, workload.ExitDone))
	poll, _ = r.awaitPoll("w-1")
	return poll
}

// A new process of a worker would apply an acknowledgement of earlier exits to its own and drop them
// unread. After any pause in which the worker may have restarted, the owner must first poll without
// an acknowledgement.
func TestAcknowledgementIsSentOnlyRightAfterAPollReport(t *testing.T) {
	r := newIncarnationRig(t)
	poll := r.completeJob("0000000000000001", 1)
	require.Equal(t, int64(1), poll.Poll.AckedUpTo)
	r.timeOutPoll("w-1")
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo, "no acknowledgement after an unanswered poll")
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	poll, _ = r.awaitPoll("w-1")
	assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})

	s := r.startJob("0000000000000002", batchStep(1, 1000))[0]
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo, "the acknowledgement has been delivered")
	r.now = r.now.Add(300 * time.Millisecond)
	r.answerPollAs(poll, firstIncarnation, exitReport(2, s, workload.ExitDone))
	r.now = r.now.Add(300 * time.Millisecond) // the store is slow
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo, "no acknowledgement after an old report")
	r.answerPollAs(poll, firstIncarnation, exitReport(2, s, workload.ExitDone))
	poll, _ = r.awaitPoll("w-1")
	assert.Equal(t, int64(2), poll.Poll.AckedUpTo)
}

// An acknowledgement that waited for the worker's next task could be sent with the first poll after a
// restart. It must be sent to an idle worker immediately.
func TestAcknowledgementIsDeliveredToAnIdleWorker(t *testing.T) {
	r := newIncarnationRig(t)
	poll := r.completeJob("0000000000000001", 1)
	assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	assert.Zero(t, poll.Poll.MaxWait)
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	assert.Empty(t, r.step(time.Second).Polls)
}

// The sequence numbers of exits start over with each incarnation. The exits of the new process must
// not be ignored as known, and exits of the previous one must not be acknowledged to it, even if they
// are stored only after the restart.
func TestExitSequencesStartOverWithANewIncarnation(t *testing.T) {
	r := newIncarnationRig(t)
	r.answerPollAs(r.completeJob("0000000000000001", 57), firstIncarnation, workload.PollReport{})
	s := r.startJob("0000000000000002", batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation, exitReport(58, s, workload.ExitDone))
	r.now = r.now.Add(30 * time.Millisecond)
	orders := r.core.Step(r.now)
	require.NotNil(t, orders.Write)
	r.recordPolls(orders)
	poll, _ = r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	r.core.HandleWriteResult()
	r.registerWorker("w-1", nextIncarnation)
	poll, _ = r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	require.Empty(t, r.step(20*time.Millisecond).Polls, "no exit needs an acknowledgement")

	s = r.startJob("0000000000000003", batchStep(1, 1000))[0]
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo)
	r.answerPollAs(poll, nextIncarnation, exitReport(1, s, workload.ExitDone))
	poll, _ = r.awaitPoll("w-1")
	assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	state, _ := r.core.JobState(s.Start.Task.Job)
	assert.Equal(t, workload.Completed, state)
}

// A new process has received no fencing token, so orders that were sent before the restart would take
// effect. A poll with a higher token must fence it, and no task may start before that poll is
// answered.
func TestEachIncarnationIsFenced(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.registerWorker("w-1", nextIncarnation)
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	r.submit("0000000000000002", batchStep(1, 1000))
	fencingPoll, starts := r.awaitPoll("w-1")
	assert.Empty(t, starts)
	assert.Greater(t, fencingPoll.Poll.Token, s.Start.Token)
	assert.Zero(t, fencingPoll.Poll.LeaseExpiresAtMS)
	assert.Zero(t, fencingPoll.Poll.AckedUpTo)
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{})
	assert.Equal(t, 1, r.core.Counts.LostRuns)
	starts = r.stepFor(100 * time.Millisecond).Starts
	require.NotEmpty(t, starts)
	assert.Equal(t, fencingPoll.Poll.Token, starts[0].Start.Token)
	assert.Empty(t, r.core.StepDownReason())
}

// A new incarnation refuses an order that was sent before the restart, because it has a higher token.
// The owner must not conclude that a later owner exists.
func TestOrderFencedByANewIncarnationDoesNotEndOwnership(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	r.answerStart(s, workload.WorkerFenced)
	assert.Empty(t, r.core.StepDownReason())
}

// A start that has reached the new process, which lists the run or its exit, must not count as lost
// with the previous process, or its task would run twice.
func TestStartThatReachedTheNewIncarnationIsKept(t *testing.T) {
	for _, exited := range []bool{false, true} {
		r := newIncarnationRig(t)
		r.submit("0000000000000001", batchStep(1, 1000))
		s := r.stepFor(100 * time.Millisecond).Starts[0]
		r.answerStart(s, workload.WorkerOutcomeUnknown)
		poll, _ := r.awaitPoll("w-1")
		r.registerWorker("w-1", nextIncarnation)
		r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		fencingPoll, _ := r.awaitPoll("w-1")
		report := workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}}
		if exited {
			report = exitReport(1, s, workload.ExitDone)
		}
		r.answerPollAs(fencingPoll, nextIncarnation, report)
		assert.Empty(t, r.stepFor(500*time.Millisecond).Starts)
		state, _ := r.core.JobState(s.Start.Task.Job)
		assert.Equal(t, exited, state == workload.Completed)
	}
}

// A start of the previous process has reached the new one. The bound of the previous process's clock must not make each
// later answer on that run look like another restart, which would reset what is known of the worker.
func TestAnswersOnAKeptStartAreNoRestarts(t *testing.T) {
	r := newIncarnationRig(t)
	r.submit("0000000000000001", batchStep(1, 1000))
	s := r.stepFor(100 * time.Millisecond).Starts[0]
	r.answerStart(s, workload.WorkerOutcomeUnknown)
	poll, _ := r.awaitPoll("w-1")
	r.registerWorker("w-1", nextIncarnation)
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, _ := r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}})
	r.core.CancelJob(s.Start.Task.Job, nil, r.now)
	stops := r.stepFor(100 * time.Millisecond).Stops
	require.NotEmpty(t, stops)
	r.core.HandleStopResult(scheduler.OrderResult{Worker: "w-1", Task: stops[0].Task, Run: stops[0].Run, Token: stops[0].Token, Answer: workload.WorkerAnswer{ClockMS: r.clockMS("w-1")}}, r.now)
	assert.Equal(t, 1, r.core.Counts.WorkerRestarts)
}

// The clock of a new incarnation starts over. A lease on the previous clock would end far in the
// future, so the worker would shorten it to the longest lease that it accepts, and its runs would
// outlive the lease that the owner assumes.
func TestLeasesFollowTheClockOfTheNewIncarnation(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.registerWorker("w-1", nextIncarnation)
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, _ := r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}})
	// A late answer of the previous process must not set the clock.
	r.core.HandleStopResult(scheduler.OrderResult{Worker: "w-1", Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: workload.WorkerAnswer{ClockMS: r.now.UnixMilli() - firstIncarnation}}, r.now)
	poll, _ = r.awaitPoll("w-1")
	assert.InDelta(t, r.now.UnixMilli()-nextIncarnation+testLease.Milliseconds(), poll.Poll.LeaseExpiresAtMS, 50)

	// The worker no longer answers and is not registered. Its run counts as live for
	// MaxLeaseDuration.
	r.core.SetWorkers(nil, r.now)
	stepUnanswered := func(d time.Duration) (starts []scheduler.StartOrder) {
		for until := r.now.Add(d); r.now.Before(until); {
			orders := r.step(50 * time.Millisecond)
			starts = append(starts, orders.Starts...)
			if len(orders.Polls) > 0 {
				r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: orders.Polls[0].Poll.Token, SentAt: r.now, Extra: orders.Polls[0].Extra, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, r.now)
			}
		}
		return starts
	}
	stepUnanswered(9 * time.Second)
	assert.Zero(t, r.core.Counts.ExpiredRuns)
	stepUnanswered(3 * time.Second)
	assert.Equal(t, 1, r.core.Counts.ExpiredRuns)
}

// A worker's registry entry and its reports arrive in either order. Tasks may start only once both
// state the same incarnation. The owner receives entries only while its ownership is confirmed, so a
// replaced owner can't start tasks on an incarnation that the next owner has not fenced.
func TestRegistryEntryAndPollReportsMayArriveInEitherOrder(t *testing.T) {
	r := newIncarnationRig(t)
	r.registerWorker("w-1", nextIncarnation) // the entry arrives first
	r.submit("0000000000000001", batchStep(1, 1000))
	poll, starts := r.awaitPoll("w-1")
	assert.Empty(t, starts)
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, starts := r.awaitPoll("w-1")
	assert.Empty(t, starts)
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{})
	assert.Len(t, r.stepFor(100*time.Millisecond).Starts, 1)

	r = newIncarnationRig(t)
	r.startJob("0000000000000001", batchStep(1, 1000))
	poll, _ = r.awaitPoll("w-1") // the report arrives first
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, _ = r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{})
	r.registerWorker("w-1", firstIncarnation)
	assert.Empty(t, r.stepFor(500*time.Millisecond).Starts, "the ownership is not confirmed for the new incarnation")
	r.registerWorker("w-1", nextIncarnation)
	assert.Len(t, r.stepFor(800*time.Millisecond).Starts, 1)
}

// A registry entry with another incarnation may come from another writer. The worker's runs must not
// count as lost: the owner must poll the worker.
func TestRegistryEntryOfAnotherIncarnationLosesNoRun(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	report := workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}}
	for _, incarnation := range []int64{nextIncarnation, 1, 9e15} {
		r.registerWorker("w-1", incarnation)
		poll, starts := r.awaitPoll("w-1")
		assert.Empty(t, starts)
		r.answerPollAs(poll, firstIncarnation, report)
		poll, _ = r.awaitPoll("w-1")
		assert.NotZero(t, poll.Poll.LeaseExpiresAtMS, "the worker's lease must be renewed")
		r.answerPollAs(poll, firstIncarnation, report)
	}
	assert.Zero(t, r.core.Counts.WorkerRestarts)
	assert.Zero(t, r.core.Counts.LostRuns)
}

// A report with a missing or invalid incarnation must not change the known one, and must be logged
// once. A lower incarnation must count as a restart.
func TestMissingInvalidOrDecreasingIncarnation(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	report := workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}}
	logged := 0
	clock := r.now.UnixMilli() - firstIncarnation
	for _, incarnationErr := range []error{nil, assert.AnError, nil} {
		poll, _ := r.awaitPoll("w-1")
		report.IncarnationErr = incarnationErr
		r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: poll.Poll.Token, SentAt: r.now, Report: report, Answer: workload.WorkerAnswer{ClockMS: clock}}, r.now)
		for _, d := range r.step(0).Decisions {
			if d.Verb == "worker-start-unknown" {
				logged++
			}
		}
	}
	assert.Equal(t, 1, logged)
	assert.Zero(t, r.core.Counts.WorkerRestarts)

	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation-1000, workload.PollReport{})
	assert.Equal(t, 1, r.core.Counts.WorkerRestarts)
	poll, _ = r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation-1000, workload.PollReport{})
	assert.Equal(t, 1, r.core.Counts.LostRuns)
}

// If reports state no incarnation, the owner must detect a restart by the worker's clock, which starts
// over.
func TestRestartIsDetectedByTheClockWithoutIncarnations(t *testing.T) {
	r := newRig(t)
	r.setWorkers("w-1")
	order, _ := r.awaitPoll("w-1")
	answerPoll := func(clock int64) {
		r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: order.Poll.Token, SentAt: r.now, Answer: workload.WorkerAnswer{ClockMS: clock}}, r.now)
	}
	answerPoll(60_000)
	r.submit("0000000000000001", batchStep(1, 1000))
	r.step(30 * time.Millisecond)
	order, _ = r.awaitPoll("w-1")
	answerPoll(500)
	assert.Equal(t, 1, r.core.Counts.WorkerRestarts)
}

// A worker that crashes may restart under the same ID. The crash must count, so that the job of a task
// that crashes its workers fails, as it does if a replacement with another ID answers.
func TestRestartUnderTheSameIDCountsAsACrash(t *testing.T) {
	r := newIncarnationRig(t)
	job := r.submit("0000000000000001", batchStep(1, 1000))
	starts := 0
	incarnation := firstIncarnation
	pendingStarts := r.stepFor(100 * time.Millisecond).Starts
	for range 20 {
		if len(pendingStarts) > 0 {
			starts++
			r.answerStart(pendingStarts[0], workload.WorkerOK)
			incarnation += 1000
			poll, _ := r.awaitPoll("w-1")
			r.answerPollAs(poll, incarnation, workload.PollReport{})
			r.registerWorker("w-1", incarnation)
			poll, _ = r.awaitPoll("w-1")
			r.answerPollAs(poll, incarnation, workload.PollReport{})
		}
		pendingStarts = r.stepFor(300 * time.Millisecond).Starts
	}
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Failed, state)
	assert.Equal(t, 2, starts, "the task was alone on its worker, so two crashes are enough")
	assert.Equal(t, starts, r.core.Counts.WorkerCrashes)
}

// A worker that leaves may restart under its ID. When its next report arrives, its registry entry may
// already be that of the next incarnation. The planned restart must not count as a crash.
func TestRestartOfALeavingWorkerIsNotACrash(t *testing.T) {
	r := newIncarnationRig(t)
	r.startJob("0000000000000001", batchStep(1, 1000))
	r.core.SetWorkers([]workload.Worker{{ID: "w-1", Incarnation: firstIncarnation, Service: "service", Address: "w-1", Leaving: true}}, r.now)
	r.registerWorker("w-1", nextIncarnation)
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	poll, _ = r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	assert.Equal(t, 1, r.core.Counts.LostRuns)
	assert.Zero(t, r.core.Counts.WorkerCrashes)
}

// Another worker answers at a worker's address. The worker must not stay unused forever: it may
// restart under its ID at another address.
func TestReplacedWorkerIsUsedAgainAfterARestart(t *testing.T) {
	r := newIncarnationRig(t)
	r.answerPollReplaced("w-1")
	r.stepFor(time.Second)
	r.registerWorker("w-1", nextIncarnation)
	poll, _ := r.awaitPoll("w-1")
	assert.Greater(t, poll.Poll.Token, r.token())
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	r.startJob("0000000000000001", batchStep(1, 1000))
}

// A worker was removed and is registered again under its ID. Its token must rise, or orders that were
// sent before its removal would have a higher token than later ones.
func TestTokensOfARemovedWorkerKeepRising(t *testing.T) {
	r := newIncarnationRig(t)
	poll, _ := r.restartWorker()
	r.core.SetWorkers(nil, r.now)
	r.step(10 * time.Millisecond)
	r.registerWorker("w-1", nextIncarnation+1000)
	nextPoll, _ := r.awaitPoll("w-1")
	assert.Greater(t, nextPoll.Poll.Token, poll.Poll.Token)
}

// restartWorker restarts the worker and answers the poll that fences the new incarnation. It
// returns that poll and the starts before it.
func (r *rig) restartWorker() (scheduler.PollOrder, []scheduler.StartOrder) {
	r.registerWorker("w-1", nextIncarnation)
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, starts := r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{})
	return fencingPoll, starts
}

// Tickets that were requested before a restart must not be used for the new incarnation: the owner
// must request advice again.
func TestTicketsAreDroppedWithTheIncarnation(t *testing.T) {
	r := newRig(t)
	config := *testConfig
	config.Version = 2
	config.Queues = append([]workload.Queue{}, config.Queues...)
	config.Queues[0].Advice = &workload.Advice{AnswerDuration: time.Millisecond, TicketValidity: time.Minute}
	r.core.SetConfig(&config)
	r.registerWorker("w-1", firstIncarnation)
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	r.submit("0000000000000001", batchStep(1, 1000))
	requests := r.step(30 * time.Millisecond).AdviceRequests
	require.Len(t, requests, 1)
	sentAt := r.now
	r.restartWorker()
	r.core.HandleAdviceResult(scheduler.AdviceResult{Order: requests[0], SentAt: sentAt, OK: true, ValidFor: time.Minute, Tickets: map[string]string{"w-1": "ticket"}}, r.now)
	repeatedRequests := 0
	for range 10 {
		orders := r.step(50 * time.Millisecond)
		assert.Empty(t, orders.Starts)
		repeatedRequests += len(orders.AdviceRequests)
	}
	assert.Equal(t, 1, repeatedRequests)
}

// A worker that gets no starts because of failed tasks restarts. Failures of the earlier incarnation
// must not keep tasks from the new one.
func TestFailuresOfAnEarlierIncarnationDoNotCountForTheNext(t *testing.T) {
	r := newIncarnationRig(t)
	for n, id := range []string{"0000000000000001", "0000000000000002", "0000000000000003"} {
		s := r.startJob(id, batchStep(1, 1000))[0]
		poll, _ := r.awaitPoll("w-1")
		r.answerPollAs(poll, firstIncarnation, exitReport(int64(n+1), s, workload.ExitFailed))
		r.core.CancelJob(s.Start.Task.Job, nil, r.now)
		poll, _ = r.awaitPoll("w-1")
		r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	}
	r.submit("0000000000000004", batchStep(1, 1000))
	require.Empty(t, r.stepFor(500*time.Millisecond).Starts, "no starts after several failures")
	_, starts := r.restartWorker()
	assert.Len(t, append(starts, r.stepFor(200*time.Millisecond).Starts...), 1)
}
