package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// newOpenAckRig returns a rig whose worker has answered nothing since an acknowledgement was sent to it.
func newOpenAckRig(t *testing.T) *rig {
	r := newIncarnationRig(t)
	poll := r.completeJob("0000000000000001", 1)
	require.NotZero(t, poll.Poll.AckedUpTo)
	r.now = r.now.Add(time.Second)
	r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: poll.Poll.Token, SentAt: r.now, AckedUpTo: poll.Poll.AckedUpTo, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, r.now)
	return r
}

// awaitProbe returns the next poll of w-1, which must be a probe.
func (r *rig) awaitProbe() scheduler.PollOrder {
	probe, starts := r.awaitPollOrProbe("w-1")
	require.True(r.t, probe.Probe)
	require.Empty(r.t, starts)
	require.Less(r.t, probe.Poll.Token, r.token())
	require.Zero(r.t, probe.Poll.AckedUpTo)
	require.Zero(r.t, probe.Poll.LeaseExpiresAtMS)
	return probe
}

func (r *rig) refuseProbe(probe scheduler.PollOrder) {
	r.core.HandlePollResult(scheduler.PollResult{Worker: probe.Worker.ID, Token: probe.Poll.Token, SentAt: r.now, Probe: true, Answer: workload.WorkerAnswer{Status: workload.WorkerFenced}}, r.now)
}

func (r *rig) acceptProbe(probe scheduler.PollOrder, incarnation int64) {
	r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: probe.Poll.Token, SentAt: r.now, Probe: true, Report: workload.PollReport{Incarnation: incarnation}, Answer: workload.WorkerAnswer{ClockMS: 100}}, r.now)
}

// startedJobs submits a batch job and a long-running one and returns those of which a task starts within 2 s, while
// the worker answers its polls as the given incarnation.
func (r *rig) startedJobs(incarnation int64) []workload.JobID {
	r.submit("00000000000000b1", batchStep(1, 1000))
	r.submit("00000000000000c1", longRunningStep(1, 1000))
	var started []workload.JobID
	var running []workload.ListedRun
	for range 200 {
		for _, s := range r.step(10 * time.Millisecond).Starts {
			started = append(started, s.Start.Task.Job)
			running = append(running, workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
			r.answerStart(s, workload.WorkerOK)
		}
		if poll, ok := r.latestPolls["w-1"]; ok {
			delete(r.latestPolls, "w-1")
			r.answerPollAs(poll, incarnation, workload.PollReport{Running: running})
		}
	}
	return started
}

// Guards against jobs that are shown as failed because the next process of their worker has carried an acknowledgement
// out that was sent to the earlier one, and drops the exits of their tasks unread.
func TestProcessThatMayDropExitsRunsNoBatchTasks(t *testing.T) {
	r := newOpenAckRig(t)
	r.registerWorker("w-1", nextIncarnation)
	r.refuseProbe(r.awaitProbe())
	for range 2 {
		poll, _ := r.awaitPoll("w-1")
		r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	}
	assert.Equal(t, []workload.JobID{"00000000000000c1"}, r.startedJobs(nextIncarnation))
	for _, l := range r.core.ServiceLoads(r.now) {
		assert.False(t, l.Workers["w-1"].Usable, "its service needs another worker")
	}
}

// Guards against a worker that stays without batch tasks although it has not carried the acknowledgement out.
func TestProcessThatDropsNoExitsRunsAllTasks(t *testing.T) {
	all := []workload.JobID{"00000000000000b1", "00000000000000c1"}
	t.Run("it accepts the probe", func(t *testing.T) {
		r := newOpenAckRig(t)
		r.registerWorker("w-1", nextIncarnation)
		r.acceptProbe(r.awaitProbe(), nextIncarnation)
		poll, _ := r.awaitPoll("w-1")
		assert.Greater(t, poll.Poll.Token, r.token(), "the acknowledgement must be fenced at once")
		r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		assert.ElementsMatch(t, all, r.startedJobs(nextIncarnation))
	})
	t.Run("it is the process of before", func(t *testing.T) {
		r := newOpenAckRig(t)
		r.refuseProbe(r.awaitProbe())
		poll, _ := r.awaitPoll("w-1")
		r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
		assert.ElementsMatch(t, all, r.startedJobs(firstIncarnation))
	})
	t.Run("the acknowledgement can't arrive any more", func(t *testing.T) {
		r := newOpenAckRig(t)
		r.now = r.now.Add(longestOrderDelay)
		r.registerWorker("w-1", nextIncarnation)
		for range 2 {
			poll, _ := r.awaitPoll("w-1")
			require.False(t, poll.Probe)
			r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		}
		assert.ElementsMatch(t, all, r.startedJobs(nextIncarnation))
	})
	t.Run("it lists an exit that it would have dropped", func(t *testing.T) {
		r := newOpenAckRig(t)
		r.registerWorker("w-1", nextIncarnation)
		r.refuseProbe(r.awaitProbe())
		for range 2 {
			poll, _ := r.awaitPoll("w-1")
			r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		}
		s := r.startJob("0000000000000002", longRunningStep(1, 1000))[0]
		poll, _ := r.awaitPoll("w-1")
		assert.Zero(t, poll.Poll.MaxWait, "a poll that waits may report an exit as it happens")
		r.answerPollAs(poll, nextIncarnation, exitReport(1, s, workload.ExitFailed))
		assert.Contains(t, r.startedJobs(nextIncarnation), workload.JobID("00000000000000b1"))
	})
}

// Guards against the same if the worker's entry had expired, and its record with it, before its next process came.
func TestOpenAcknowledgementIsRememberedWhileTheWorkerIsUnregistered(t *testing.T) {
	r := newOpenAckRig(t)
	r.core.SetWorkers(nil, r.now)
	r.stepFor(6 * time.Second)
	r.registerWorker("w-1", nextIncarnation)
	delete(r.latestPolls, "w-1")
	r.refuseProbe(r.awaitProbe())
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
	assert.Equal(t, []workload.JobID{"00000000000000c1"}, r.startedJobs(nextIncarnation))
}

// Guards against the same after a takeover: the later owner does not know which acknowledgements the earlier one left.
func TestRestartedWorkerIsProbedAfterATakeover(t *testing.T) {
	restarted := historyStart.Add(-time.Second).UnixMilli()
	entry := workload.Worker{ID: "w-1", Incarnation: restarted, Restarted: true, Service: "service", Address: "w-1", Labels: []string{"a", "rack"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}}
	batch, longRunning := workload.JobID("00000000000000b1"), workload.JobID("00000000000000c1")
	for _, c := range []struct {
		name     string
		stored   map[string]workload.CheckedAcks
		isProbed bool
		accepted bool
		started  []workload.JobID
	}{
		{"refused", nil, true, false, []workload.JobID{longRunning}},
		{"accepted", nil, true, true, []workload.JobID{batch, longRunning}},
		{"the earlier owner has checked another process", map[string]workload.CheckedAcks{"w-1": {Incarnation: 1}}, true, false, []workload.JobID{longRunning}},
		{"the earlier owner has found no acknowledgement", map[string]workload.CheckedAcks{"w-1": {Incarnation: restarted}}, false, false, []workload.JobID{batch, longRunning}},
		{"the earlier owner has found one", map[string]workload.CheckedAcks{"w-1": {Incarnation: restarted, MayDropExitsUpTo: 5}}, false, false, []workload.JobID{longRunning}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.core.RestoreLongLeases(&workload.LongLeases{CheckedAcks: c.stored})
			r.core.SetWorkers([]workload.Worker{entry}, r.now)
			if c.isProbed {
				probe := r.awaitProbe()
				if c.accepted {
					r.acceptProbe(probe, restarted)
				} else {
					r.refuseProbe(probe)
				}
			}
			poll, _ := r.awaitPollOrProbe("w-1")
			require.False(t, poll.Probe)
			r.answerPollAs(poll, restarted, workload.PollReport{})
			assert.ElementsMatch(t, c.started, r.startedJobs(restarted))
		})
	}
}

// Guards against a later owner that gives batch tasks to a worker that may drop their exits.
func TestProcessThatMayDropExitsIsStored(t *testing.T) {
	r := newOpenAckRig(t)
	r.registerWorker("w-1", nextIncarnation)
	r.refuseProbe(r.awaitProbe())
	var stored map[string]workload.CheckedAcks
	for range 2 {
		poll, _ := r.awaitPoll("w-1")
		r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		orders := r.core.Step(r.now)
		r.recordPolls(orders)
		if orders.Write != nil {
			for _, record := range orders.Write.Records {
				if record.LongLeases != nil {
					stored = record.LongLeases.CheckedAcks
				}
			}
			r.core.HandleWriteResult()
		}
	}
	assert.Equal(t, map[string]workload.CheckedAcks{"w-1": {Incarnation: nextIncarnation, MayDropExitsUpTo: 1}}, stored)
}

// Guards against a worker that stays without batch tasks for good, as its service has none that may start again, and
// against a trial that loses the task that takes part in it.
func TestExitTrialShowsWhetherAProcessDropsExits(t *testing.T) {
	for _, drops := range []bool{false, true} {
		r := newOpenAckRig(t)
		r.registerWorker("w-1", nextIncarnation)
		r.refuseProbe(r.awaitProbe())
		for range 2 {
			poll, _ := r.awaitPoll("w-1")
			r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		}
		long := batchStep(1, 1000)
		long.EstimateMS = 20 * stopDuration.Milliseconds()
		id := r.submit("00000000000000b1", long)
		starts, stops := 0, 0
		var report workload.PollReport
		for range 300 {
			orders := r.step(10 * time.Millisecond)
			for _, s := range orders.Starts {
				starts++
				r.answerStart(s, workload.WorkerOK)
				orders.Stops = append(orders.Stops, r.step(0).Stops...)
				if starts > 1 {
					report.Running = []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}
				} else if !drops {
					report = exitReport(1, s, workload.ExitStopped)
				}
			}
			for _, s := range orders.Stops {
				stops++
				r.core.HandleStopResult(scheduler.OrderResult{Worker: "w-1", Task: s.Task, Run: s.Run, Token: s.Token, Answer: workload.WorkerAnswer{ClockMS: r.clockMS("w-1")}}, r.now)
			}
			if poll, ok := r.latestPolls["w-1"]; ok {
				delete(r.latestPolls, "w-1")
				r.answerPollAs(poll, nextIncarnation, report)
			}
		}
		assert.Equal(t, 1, stops, "drops %t", drops)
		assert.Equal(t, map[bool]int{false: 2, true: 1}[drops], starts, "drops %t", drops)
		state, _ := r.core.JobState(id)
		assert.Equal(t, workload.Running, state, "drops %t", drops)
	}
}

// Guards against a job that waits for ever since all workers that could run it may drop their exits.
func TestJobThatFitsNowhereElseRunsOnAProcessThatMayDropExits(t *testing.T) {
	r := newOpenAckRig(t)
	r.registerWorker("w-1", nextIncarnation)
	r.refuseProbe(r.awaitProbe())
	r.submit("00000000000000b1", batchStep(1, 1000))
	begunAt := r.now
	for r.now.Sub(begunAt) < time.Minute {
		if starts := r.step(20 * time.Millisecond).Starts; len(starts) > 0 {
			return
		}
		if poll, ok := r.latestPolls["w-1"]; ok {
			delete(r.latestPolls, "w-1")
			r.answerPollAs(poll, nextIncarnation, workload.PollReport{})
		}
	}
	assert.Fail(t, "the job does not start within a minute")
}
