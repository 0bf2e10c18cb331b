package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Starts of the worker of these tests, in Unix milliseconds.
var (
	firstIncarnation = historyStart.Add(-time.Hour).UnixMilli()
	nextIncarnation  = historyStart.Add(-time.Second).UnixMilli()
)

// completeJob starts the task of a job of one on the worker and has it end as done, as its end n.
// It returns the poll that carries the acknowledgement.
func (r *rig) completeJob(id string, exitNumber int64) scheduler.PollOrder {
	s := r.startJob(id, batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation, exitReport(exitNumber, s, workload.ExitDone))
	poll, _ = r.awaitPoll("w-1")
	return poll
}

// Guards against an acknowledgement reaching a process that has listed nothing, which
// takes it for its own first ends: after any pause in which the worker can have restarted
// a poll goes without it first.
func TestAcknowledgementIsSentOnlyRightAfterAPollReport(t *testing.T) {
	r := newIncarnationRig(t)
	poll := r.completeJob("0000000000000001", 1)
	require.Equal(t, int64(1), poll.Poll.AckedUpTo)
	r.timeOutPoll("w-1")
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo, "the worker was silent")
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	poll, _ = r.awaitPoll("w-1")
	assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})

	s := r.startJob("0000000000000002", batchStep(1, 1000))[0]
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo, "it has been answered")
	r.now = r.now.Add(300 * time.Millisecond)
	r.answerPollAs(poll, firstIncarnation, exitReport(2, s, workload.ExitDone))
	r.now = r.now.Add(300 * time.Millisecond) // as a slow store takes
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo, "the list is old")
	r.answerPollAs(poll, firstIncarnation, exitReport(2, s, workload.ExitDone))
	poll, _ = r.awaitPoll("w-1")
	assert.Equal(t, int64(2), poll.Poll.AckedUpTo)
}

// Guards against an acknowledgement that stays here for want of another task on the
// worker: it would travel with the first poll after a restart.
func TestAcknowledgementIsDeliveredToAnIdleWorker(t *testing.T) {
	r := newIncarnationRig(t)
	poll := r.completeJob("0000000000000001", 1)
	assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	assert.Zero(t, poll.Poll.MaxWait)
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	assert.Empty(t, r.step(time.Second).Polls)
}

// Guards against the ends of a new process being left out as known, and against the
// acknowledgement of what was read of the one before, also where that is stored only now.
func TestExitNumbersStartOverWithANewIncarnation(t *testing.T) {
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
	require.Empty(t, r.step(20*time.Millisecond).Polls, "nothing is to be acknowledged")

	s = r.startJob("0000000000000003", batchStep(1, 1000))[0]
	poll, _ = r.awaitPoll("w-1")
	assert.Zero(t, poll.Poll.AckedUpTo)
	r.answerPollAs(poll, nextIncarnation, exitReport(1, s, workload.ExitDone))
	poll, _ = r.awaitPoll("w-1")
	assert.Equal(t, int64(1), poll.Poll.AckedUpTo)
	state, _ := r.core.JobState(s.Start.Task.Job)
	assert.Equal(t, workload.Completed, state)
}

// Guards against orders of before a restart having effect on the new process, which has
// seen no fencing token: its first poll carries a higher one, and no task is started
// before that poll is answered.
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

// Guards against a refusal of an order of before a restart being taken for the word of a
// later owner.
func TestOrderFencedByANewIncarnationDoesNotEndOwnership(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	r.answerStart(s, workload.WorkerFenced)
	assert.Empty(t, r.core.StepDownReason())
}

// Guards against a start that reached the new process being taken for lost with the old
// one: its task would run twice. It is listed there, or its end is.
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

// Guards against leases by the clock of the process before: the new one would give the
// longest there is, and its runs outlive the lease that its owner counts with.
func TestLeasesFollowTheClockOfTheNewIncarnation(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	poll, _ := r.awaitPoll("w-1")
	r.registerWorker("w-1", nextIncarnation)
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, _ := r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}})
	// An answer of the process before that comes now says nothing of this one's clock.
	r.core.HandleStopResult(scheduler.OrderResult{Worker: "w-1", Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: workload.WorkerAnswer{ClockMS: r.now.UnixMilli() - firstIncarnation}}, r.now)
	poll, _ = r.awaitPoll("w-1")
	assert.InDelta(t, r.now.UnixMilli()-nextIncarnation+testLease.Milliseconds(), poll.Poll.LeaseExpiresAtMS, 50)

	// It is cut off now, and no longer registered. The run counts as there for as long as
	// the longest lease.
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

// Guards against the entry and the lists of a worker being weighed as if they came in
// order: each may be ahead of the other, and neither alone lets tasks start.
func TestRegistryEntryAndPollReportsMayArriveInEitherOrder(t *testing.T) {
	r := newIncarnationRig(t)
	r.registerWorker("w-1", nextIncarnation) // the entry is ahead
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
	poll, _ = r.awaitPoll("w-1") // the list is ahead
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, _ = r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{})
	r.registerWorker("w-1", firstIncarnation)
	assert.Empty(t, r.stepFor(500*time.Millisecond).Starts, "the ownership may have passed on since")
	r.registerWorker("w-1", nextIncarnation)
	assert.Len(t, r.stepFor(800*time.Millisecond).Starts, 1)
}

// Guards against an entry of another writer ending what runs: the worker itself is asked.
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
		assert.NotZero(t, poll.Poll.LeaseExpiresAtMS, "its lease is renewed")
		r.answerPollAs(poll, firstIncarnation, report)
	}
	assert.Zero(t, r.core.Counts.WorkerRestarts)
	assert.Zero(t, r.core.Counts.LostRuns)
}

// Guards against a start that is missing, can't be read or goes back breaking anything.
// The first two leave it at what is known, told once; the last is another process.
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

// Guards against a restart that stays unseen where lists don't tell the start: the
// worker's clock begins anew.
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

// Guards against a crash going uncounted as the worker keeps its ID: tasks that crash
// their workers are suspects, and given up, as where the successor has another one.
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
	assert.Equal(t, 2, starts, "it was alone there")
	assert.Equal(t, starts, r.core.Counts.WorkerCrashes)
}

// Guards against blame for a planned restart: the incarnation had said that it leaves, and
// the entry is that of the next one by the time its list comes.
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

// Guards against a worker staying unused for ever once another one had its address: it may
// start again under its ID elsewhere.
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

// Guards against orders of before outranking those of now at a worker that was forgotten
// and comes back under its ID.
func TestTokensOfAForgottenWorkerKeepRising(t *testing.T) {
	r := newIncarnationRig(t)
	poll, _ := r.restartWorker()
	r.core.SetWorkers(nil, r.now)
	r.step(10 * time.Millisecond)
	r.registerWorker("w-1", nextIncarnation+1000)
	nextPoll, _ := r.awaitPoll("w-1")
	assert.Greater(t, nextPoll.Poll.Token, poll.Poll.Token)
}

// restartWorker has the worker restart and answers the poll that fences it.
func (r *rig) restartWorker() (scheduler.PollOrder, []scheduler.StartOrder) {
	r.registerWorker("w-1", nextIncarnation)
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	fencingPoll, starts := r.awaitPoll("w-1")
	r.answerPollAs(fencingPoll, nextIncarnation, workload.PollReport{})
	return fencingPoll, starts
}

// Guards against tickets outliving the worker that they were given for, also those that
// were asked for before it restarted.
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

// Guards against what a worker has failed being held against its next process.
func TestFailuresOfAnEarlierIncarnationDoNotCountForTheNext(t *testing.T) {
	r := newIncarnationRig(t)
	for n, id := range []string{"0000000000000001", "0000000000000002", "0000000000000003"} {
		s := r.startJob(id, batchStep(1, 1000))[0]
		poll, _ := r.awaitPoll("w-1")
		r.answerPollAs(poll, firstIncarnation, exitReport(int64(n+1), s, workload.ExitFailed))
		r.core.CancelJob(s.Start.Task.Job, r.now)
		poll, _ = r.awaitPoll("w-1")
		r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	}
	r.submit("0000000000000004", batchStep(1, 1000))
	require.Empty(t, r.stepFor(500*time.Millisecond).Starts, "it is set aside")
	_, starts := r.restartWorker()
	assert.Len(t, append(starts, r.stepFor(200*time.Millisecond).Starts...), 1)
}
