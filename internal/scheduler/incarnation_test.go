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
	firstBorn = epochStart.Add(-time.Hour).UnixMilli()
	nextBorn  = epochStart.Add(-time.Second).UnixMilli()
)

// run starts the task of a job of one on the worker and has it end as done, as its end n.
// It returns the poll that carries the acknowledgement.
func (r *rig) run(id string, n int64) scheduler.HoldOrder {
	s := r.begin(id, batch(1, 1000))[0]
	h, _ := r.poll("w-1")
	r.answer(h, firstBorn, end(n, s, workload.EndDone))
	h, _ = r.poll("w-1")
	return h
}

// Guards against an acknowledgement reaching a process that has listed nothing, which
// takes it for its own first ends: after any pause in which the worker can have restarted
// a poll goes without it first.
func TestAcknowledgementTravelsOnlyJustAfterAList(t *testing.T) {
	r := newIncarnationRig(t)
	h := r.run("0000000000000001", 1)
	require.Equal(t, int64(1), h.Hold.Acked)
	r.unanswered("w-1")
	h, _ = r.poll("w-1")
	assert.Zero(t, h.Hold.Acked, "the worker was silent")
	r.answer(h, firstBorn, workload.Held{})
	h, _ = r.poll("w-1")
	assert.Equal(t, int64(1), h.Hold.Acked)
	r.answer(h, firstBorn, workload.Held{})

	s := r.begin("0000000000000002", batch(1, 1000))[0]
	h, _ = r.poll("w-1")
	assert.Zero(t, h.Hold.Acked, "it has been answered")
	r.now = r.now.Add(300 * time.Millisecond)
	r.answer(h, firstBorn, end(2, s, workload.EndDone))
	r.now = r.now.Add(300 * time.Millisecond) // as a slow store takes
	h, _ = r.poll("w-1")
	assert.Zero(t, h.Hold.Acked, "the list is old")
	r.answer(h, firstBorn, end(2, s, workload.EndDone))
	h, _ = r.poll("w-1")
	assert.Equal(t, int64(2), h.Hold.Acked)
}

// Guards against an acknowledgement that stays here for want of another task on the
// worker: it would travel with the first poll after a restart.
func TestAcknowledgementIsDeliveredToAnIdleWorker(t *testing.T) {
	r := newIncarnationRig(t)
	h := r.run("0000000000000001", 1)
	assert.Equal(t, int64(1), h.Hold.Acked)
	assert.Zero(t, h.Hold.Wait)
	r.answer(h, firstBorn, workload.Held{})
	assert.Empty(t, r.step(time.Second).Holds)
}

// Guards against the ends of a new process being left out as known, and against the
// acknowledgement of what was read of the one before, also where that is stored only now.
func TestNumbersOfEndsBeginAnew(t *testing.T) {
	r := newIncarnationRig(t)
	r.answer(r.run("0000000000000001", 57), firstBorn, workload.Held{})
	s := r.begin("0000000000000002", batch(1, 1000))[0]
	h, _ := r.poll("w-1")
	r.answer(h, firstBorn, end(58, s, workload.EndDone))
	r.now = r.now.Add(30 * time.Millisecond)
	written := r.core.Step(r.now)
	require.NotNil(t, written.Write)
	r.note(written)
	h, _ = r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{})
	r.core.Written()
	r.entry("w-1", nextBorn)
	h, _ = r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{})
	require.Empty(t, r.step(20*time.Millisecond).Holds, "nothing is to be acknowledged")

	s = r.begin("0000000000000003", batch(1, 1000))[0]
	h, _ = r.poll("w-1")
	assert.Zero(t, h.Hold.Acked)
	r.answer(h, nextBorn, end(1, s, workload.EndDone))
	h, _ = r.poll("w-1")
	assert.Equal(t, int64(1), h.Hold.Acked)
	state, _ := r.core.State(s.Start.Task.Job)
	assert.Equal(t, workload.Completed, state)
}

// Guards against orders of before a restart having effect on the new process, which has
// seen no fencing token: its first poll carries a higher one, and no task is started
// before that poll is answered.
func TestEachIncarnationIsFenced(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.begin("0000000000000001", batch(1, 1000))[0]
	h, _ := r.poll("w-1")
	r.entry("w-1", nextBorn)
	r.answer(h, nextBorn, workload.Held{})
	r.submit("0000000000000002", batch(1, 1000))
	fence, starts := r.poll("w-1")
	assert.Empty(t, starts)
	assert.Greater(t, fence.Hold.Token, s.Start.Token)
	assert.Zero(t, fence.Hold.LeaseUntil)
	assert.Zero(t, fence.Hold.Acked)
	r.answer(fence, nextBorn, workload.Held{})
	assert.Equal(t, 1, r.core.Counts.RunsLost)
	starts = r.play(100 * time.Millisecond).Starts
	require.NotEmpty(t, starts)
	assert.Equal(t, fence.Hold.Token, starts[0].Start.Token)
	assert.Empty(t, r.core.Lost())
}

// Guards against a refusal of an order of before a restart being taken for the word of a
// later owner.
func TestOrderThatIsFencedByAnIncarnationEndsNoOwnership(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.begin("0000000000000001", batch(1, 1000))[0]
	h, _ := r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{})
	r.started(s, workload.WorkerFenced)
	assert.Empty(t, r.core.Lost())
}

// Guards against a start that reached the new process being taken for lost with the old
// one: its task would run twice. It is listed there, or its end is.
func TestStartThatReachedTheNewProcessGoesOn(t *testing.T) {
	for _, ended := range []bool{false, true} {
		r := newIncarnationRig(t)
		r.submit("0000000000000001", batch(1, 1000))
		s := r.play(100 * time.Millisecond).Starts[0]
		r.started(s, workload.WorkerUnknown)
		h, _ := r.poll("w-1")
		r.entry("w-1", nextBorn)
		r.answer(h, nextBorn, workload.Held{})
		fence, _ := r.poll("w-1")
		list := workload.Held{Running: []workload.RunState{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}}}
		if ended {
			list = end(1, s, workload.EndDone)
		}
		r.answer(fence, nextBorn, list)
		assert.Empty(t, r.play(500*time.Millisecond).Starts)
		state, _ := r.core.State(s.Start.Task.Job)
		assert.Equal(t, ended, state == workload.Completed)
	}
}

// Guards against leases by the clock of the process before: the new one would give the
// longest there is, and its runs outlive the lease that its owner counts with.
func TestClockAndLeaseOfANewProcess(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.begin("0000000000000001", batch(1, 1000))[0]
	h, _ := r.poll("w-1")
	r.entry("w-1", nextBorn)
	r.answer(h, nextBorn, workload.Held{})
	fence, _ := r.poll("w-1")
	r.answer(fence, nextBorn, workload.Held{Running: []workload.RunState{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}}})
	// An answer of the process before that comes now says nothing of this one's clock.
	r.core.Stopped(scheduler.OrderResult{Worker: "w-1", Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: workload.WorkerAnswer{Clock: r.now.UnixMilli() - firstBorn}}, r.now)
	h, _ = r.poll("w-1")
	assert.InDelta(t, r.now.UnixMilli()-nextBorn+testLease.Milliseconds(), h.Hold.LeaseUntil, 50)

	// It is cut off now, and no longer registered. The run counts as there for as long as
	// the longest lease.
	r.core.SetWorkers(nil, r.now)
	silent := func(d time.Duration) (starts []scheduler.StartOrder) {
		for until := r.now.Add(d); r.now.Before(until); {
			o := r.step(50 * time.Millisecond)
			starts = append(starts, o.Starts...)
			if len(o.Holds) > 0 {
				r.core.Held(scheduler.HoldResult{Worker: "w-1", Token: o.Holds[0].Hold.Token, SentAt: r.now, Extra: o.Holds[0].Extra, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, r.now)
			}
		}
		return starts
	}
	silent(9 * time.Second)
	assert.Zero(t, r.core.Counts.Lapsed)
	silent(3 * time.Second)
	assert.Equal(t, 1, r.core.Counts.Lapsed)
}

// Guards against the entry and the lists of a worker being weighed as if they came in
// order: each may be ahead of the other, and neither alone lets tasks start.
func TestEntryAndListsMayComeInEitherOrder(t *testing.T) {
	r := newIncarnationRig(t)
	r.entry("w-1", nextBorn) // the entry is ahead
	r.submit("0000000000000001", batch(1, 1000))
	h, starts := r.poll("w-1")
	assert.Empty(t, starts)
	r.answer(h, nextBorn, workload.Held{})
	fence, starts := r.poll("w-1")
	assert.Empty(t, starts)
	r.answer(fence, nextBorn, workload.Held{})
	assert.Len(t, r.play(100*time.Millisecond).Starts, 1)

	r = newIncarnationRig(t)
	r.begin("0000000000000001", batch(1, 1000))
	h, _ = r.poll("w-1") // the list is ahead
	r.answer(h, nextBorn, workload.Held{})
	fence, _ = r.poll("w-1")
	r.answer(fence, nextBorn, workload.Held{})
	r.entry("w-1", firstBorn)
	assert.Empty(t, r.play(500*time.Millisecond).Starts, "the ownership may have passed on since")
	r.entry("w-1", nextBorn)
	assert.Len(t, r.play(800*time.Millisecond).Starts, 1)
}

// Guards against an entry of another writer ending what runs: the worker itself is asked.
func TestEntryWithAnotherStartEndsNothing(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.begin("0000000000000001", batch(1, 1000))[0]
	listed := workload.Held{Running: []workload.RunState{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}}}
	for _, born := range []int64{nextBorn, 1, 9e15} {
		r.entry("w-1", born)
		h, starts := r.poll("w-1")
		assert.Empty(t, starts)
		r.answer(h, firstBorn, listed)
		h, _ = r.poll("w-1")
		assert.NotZero(t, h.Hold.LeaseUntil, "its lease is renewed")
		r.answer(h, firstBorn, listed)
	}
	assert.Zero(t, r.core.Counts.Restarts)
	assert.Zero(t, r.core.Counts.RunsLost)
}

// Guards against a start that is missing, can't be read or goes back breaking anything.
// The first two leave it at what is known, told once; the last is another process.
func TestStartThatIsMissingOrGoesBack(t *testing.T) {
	r := newIncarnationRig(t)
	s := r.begin("0000000000000001", batch(1, 1000))[0]
	listed := workload.Held{Running: []workload.RunState{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}}}
	told := 0
	clock := r.now.UnixMilli() - firstBorn
	for _, problem := range []error{nil, assert.AnError, nil} {
		h, _ := r.poll("w-1")
		listed.BornErr = problem
		r.core.Held(scheduler.HoldResult{Worker: "w-1", Token: h.Hold.Token, SentAt: r.now, Held: listed, Answer: workload.WorkerAnswer{Clock: clock}}, r.now)
		for _, d := range r.step(0).Decisions {
			if d.Verb == "worker-start-unknown" {
				told++
			}
		}
	}
	assert.Equal(t, 1, told)
	assert.Zero(t, r.core.Counts.Restarts)

	h, _ := r.poll("w-1")
	r.answer(h, firstBorn-1000, workload.Held{})
	assert.Equal(t, 1, r.core.Counts.Restarts)
	h, _ = r.poll("w-1")
	r.answer(h, firstBorn-1000, workload.Held{})
	assert.Equal(t, 1, r.core.Counts.RunsLost)
}

// Guards against a restart that stays unseen where lists don't tell the start: the
// worker's clock begins anew.
func TestRestartShowsInTheClockWhereNoStartIsTold(t *testing.T) {
	r := newRig(t)
	r.workers("w-1")
	h, _ := r.poll("w-1")
	poll := func(clock int64) {
		r.core.Held(scheduler.HoldResult{Worker: "w-1", Token: h.Hold.Token, SentAt: r.now, Answer: workload.WorkerAnswer{Clock: clock}}, r.now)
	}
	poll(60_000)
	r.submit("0000000000000001", batch(1, 1000))
	r.step(30 * time.Millisecond)
	h, _ = r.poll("w-1")
	poll(500)
	assert.Equal(t, 1, r.core.Counts.Restarts)
}

// Guards against a crash going uncounted as the worker keeps its ID: tasks that crash
// their workers are suspects, and given up, as where the successor has another one.
func TestRestartUnderTheSameIDIsACrash(t *testing.T) {
	r := newIncarnationRig(t)
	job := r.submit("0000000000000001", batch(1, 1000))
	starts := 0
	born := firstBorn
	list := r.play(100 * time.Millisecond).Starts
	for range 20 {
		if len(list) > 0 {
			starts++
			r.started(list[0], workload.WorkerOK)
			born += 1000
			h, _ := r.poll("w-1")
			r.answer(h, born, workload.Held{})
			r.entry("w-1", born)
			h, _ = r.poll("w-1")
			r.answer(h, born, workload.Held{})
		}
		list = r.play(300 * time.Millisecond).Starts
	}
	state, _ := r.core.State(job)
	assert.Equal(t, workload.Failed, state)
	assert.Equal(t, 2, starts, "it was alone there")
	assert.Equal(t, starts, r.core.Counts.Crashes)
}

// Guards against blame for a planned restart: the incarnation had said that it leaves, and
// the entry is that of the next one by the time its list comes.
func TestRestartAfterDrainingIsNoCrash(t *testing.T) {
	r := newIncarnationRig(t)
	r.begin("0000000000000001", batch(1, 1000))
	r.core.SetWorkers([]workload.Worker{{ID: "w-1", Born: firstBorn, Service: "service", Address: "w-1", Draining: true}}, r.now)
	r.entry("w-1", nextBorn)
	h, _ := r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{})
	h, _ = r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{})
	assert.Equal(t, 1, r.core.Counts.RunsLost)
	assert.Zero(t, r.core.Counts.Crashes)
}

// Guards against a worker staying unused for ever once another one had its address: it may
// start again under its ID elsewhere.
func TestWorkerWhoseAddressWasTakenComesBack(t *testing.T) {
	r := newIncarnationRig(t)
	r.replaced("w-1")
	r.play(time.Second)
	r.entry("w-1", nextBorn)
	h, _ := r.poll("w-1")
	assert.Greater(t, h.Hold.Token, r.token())
	r.answer(h, nextBorn, workload.Held{})
	r.begin("0000000000000001", batch(1, 1000))
}

// Guards against orders of before outranking those of now at a worker that was forgotten
// and comes back under its ID.
func TestTokenOfAForgottenWorkerRisesOn(t *testing.T) {
	r := newIncarnationRig(t)
	h, _ := r.firstPollAfterRestart()
	r.core.SetWorkers(nil, r.now)
	r.step(10 * time.Millisecond)
	r.entry("w-1", nextBorn+1000)
	next, _ := r.poll("w-1")
	assert.Greater(t, next.Hold.Token, h.Hold.Token)
}

// firstPollAfterRestart has the worker restart and answers the poll that fences it.
func (r *rig) firstPollAfterRestart() (scheduler.HoldOrder, []scheduler.StartOrder) {
	r.entry("w-1", nextBorn)
	h, _ := r.poll("w-1")
	r.answer(h, nextBorn, workload.Held{})
	fence, starts := r.poll("w-1")
	r.answer(fence, nextBorn, workload.Held{})
	return fence, starts
}

// Guards against tickets outliving the worker that they were given for, also those that
// were asked for before it restarted.
func TestTicketsEndWithTheIncarnation(t *testing.T) {
	r := newRig(t)
	config := *testConfig
	config.Version = 2
	config.Queues = append([]workload.Queue{}, config.Queues...)
	config.Queues[0].Advice = &workload.Advice{Decision: time.Millisecond, Valid: time.Minute}
	r.core.SetConfig(&config)
	r.entry("w-1", firstBorn)
	h, _ := r.poll("w-1")
	r.answer(h, firstBorn, workload.Held{})
	r.submit("0000000000000001", batch(1, 1000))
	asked := r.step(30 * time.Millisecond).Advise
	require.Len(t, asked, 1)
	sent := r.now
	r.firstPollAfterRestart()
	r.core.Advised(scheduler.AdviceResult{Order: asked[0], SentAt: sent, OK: true, Valid: time.Minute, Tickets: map[string]string{"w-1": "ticket"}}, r.now)
	again := 0
	for range 10 {
		o := r.step(50 * time.Millisecond)
		assert.Empty(t, o.Starts)
		again += len(o.Advise)
	}
	assert.Equal(t, 1, again)
}

// Guards against what a worker has failed being held against its next process.
func TestTrustBeginsAnew(t *testing.T) {
	r := newIncarnationRig(t)
	for n, id := range []string{"0000000000000001", "0000000000000002", "0000000000000003"} {
		s := r.begin(id, batch(1, 1000))[0]
		h, _ := r.poll("w-1")
		r.answer(h, firstBorn, end(int64(n+1), s, workload.EndFailed))
		r.core.CancelRequested(s.Start.Task.Job, r.now)
		h, _ = r.poll("w-1")
		r.answer(h, firstBorn, workload.Held{})
	}
	r.submit("0000000000000004", batch(1, 1000))
	require.Empty(t, r.play(500*time.Millisecond).Starts, "it is set aside")
	_, starts := r.firstPollAfterRestart()
	assert.Len(t, append(starts, r.play(200*time.Millisecond).Starts...), 1)
}
