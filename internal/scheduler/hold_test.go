package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// longRunningStep returns a step of long-running tasks.
func longRunningStep(count, cpu int) workload.Step {
	return workload.Step{Count: count, Resources: workload.Resources{CPU: cpu, MemoryMB: 100}, EstimateMS: 900, LongRunning: true}
}

// answerAdvice answers all requests for advice so that only some workers are approved.
func (r *rig) answerAdvice(approved ...string) {
	for _, request := range r.adviceRequests {
		tickets := map[string]string{}
		for _, id := range approved {
			if slices.Contains(request.Workers, id) {
				tickets[id] = "ticket"
			}
		}
		r.core.HandleAdviceResult(scheduler.AdviceResult{Order: request, SentAt: r.now, OK: true, ValidFor: 3 * time.Second, Tickets: tickets}, r.now)
	}
	r.adviceRequests = nil
}

// adviseFor steps for d, answers all requests for advice and returns the orders of starts and the decisions.
func (r *rig) adviseFor(d time.Duration, approved ...string) (collected scheduler.Orders) {
	for until := r.now.Add(d); r.now.Before(until); {
		orders := r.step(50 * time.Millisecond)
		collected.Starts = append(collected.Starts, orders.Starts...)
		collected.Decisions = append(collected.Decisions, orders.Decisions...)
		r.answerAdvice(approved...)
	}
	return collected
}

// adviceConfig is testConfig with advice for a second queue.
func adviceConfig() *workload.Config {
	config := *testConfig
	config.Version = 2
	advised := config.Queues[0]
	advised.Name, advised.Advice = "advised", &workload.Advice{TicketValidity: 3 * time.Second}
	config.Queues = append(append([]workload.Queue{}, config.Queues...), advised)
	return &config
}

// Guards against long-running jobs that can never be placed and stop all other jobs of the service.
func TestStepsThatCannotBePlacedStopNoOtherJob(t *testing.T) {
	workers := []string{"w-1", "w-2", "w-3", "w-4"}
	for name, c := range map[string]struct {
		step    func() workload.Step
		prepare func(r *rig)
		advised bool
	}{
		"gang wider than the service": {step: func() workload.Step {
			s := longRunningStep(5, 7000)
			s.Gang = true
			return s
		}},
		"gang of several members a worker": {step: func() workload.Step {
			s := longRunningStep(9, 3000)
			s.Gang = true
			return s
		}},
		"gang with a spread": {step: func() workload.Step {
			s := longRunningStep(5, 100)
			s.Gang, s.MaxPerWorker = true, 1
			return s
		}},
		"gang beside long-running tasks": {
			step: func() workload.Step {
				s := longRunningStep(4, 7000)
				s.Gang = true
				return s
			},
			prepare: func(r *rig) { r.startJob("0000000000000101", longRunningStep(1, 2000)) },
		},
		"gang of which few workers are approved": {
			step: func() workload.Step {
				s := longRunningStep(3, 7000)
				s.Gang = true
				return s
			},
			advised: true,
		},
		"task larger than the approved workers have left": {
			step: func() workload.Step { return longRunningStep(1, 7500) },
			prepare: func(r *rig) {
				s := longRunningStep(4, 1000)
				s.MaxPerWorker = 1
				r.startJob("0000000000000101", s)
			},
			advised: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.core.SetConfig(adviceConfig())
			r.syncWorkers(workers...)
			if c.prepare != nil {
				c.prepare(r)
			}
			for n := range 2 * len(workers) {
				id := fmt.Sprintf("00000000000002%02d", n)
				if c.advised {
					r.submitToQueue("advised", id, c.step())
				} else {
					r.submit(id, c.step())
				}
			}
			reported := 0
			orders := r.adviseFor(time.Second, "w-1", "w-2")
			assert.Empty(t, orders.Starts)
			for _, d := range orders.Decisions {
				if d.Verb == "unplaceable" {
					reported++
				}
			}
			assert.Equal(t, 1, reported)
			assert.Equal(t, scheduler.Holds{UnplaceableSteps: 2 * len(workers)}, r.core.Holds())
			r.submit("0000000000000301", batchStep(4, 4000))
			starts := r.step(20 * time.Millisecond).Starts
			assert.Len(t, starts, 4)
		})
	}
}

// Guards against large long-running jobs that keep a service's free capacity from all others while they wait for the
// end of long tasks.
func TestHoldsLeaveMostWorkersToOtherJobs(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2", "w-3", "w-4")
	long := batchStep(4, 4000)
	long.EstimateMS, long.MaxPerWorker = 20_000, 1
	r.startJob("0000000000000101", long)
	for n := range 8 {
		r.submit(fmt.Sprintf("00000000000002%02d", n), longRunningStep(1, 7000))
	}
	assert.Empty(t, r.step(50*time.Millisecond).Starts)
	assert.Equal(t, scheduler.Holds{LongRunning: 1}, r.core.Holds())
	other := batchStep(3, 4000)
	other.EstimateMS = 60_000
	r.submit("0000000000000301", other)
	assert.Len(t, r.step(20*time.Millisecond).Starts, 3)
}

// Guards against free capacity of a held worker that stays unused until the room for a large task is there, and
// against tasks that delay that task.
func TestHeldWorkerRunsTasksThatEndInTime(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	long := batchStep(1, 4000)
	long.EstimateMS = 20_000
	r.startJob("0000000000000101", long)
	r.submit("0000000000000201", longRunningStep(1, 7000))
	r.step(50 * time.Millisecond)
	require.Equal(t, scheduler.Holds{LongRunning: 1}, r.core.Holds())
	r.submit("0000000000000301", batchStep(1, 1000))
	r.submit("0000000000000302", long)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, workload.JobID("0000000000000301"), starts[0].Start.Task.Job)
}

// Guards against a small long-running task that waits although a worker has room, as the worker is held for a large one.
func TestSmallLongRunningTaskStartsOnAHeldWorker(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.startJob("0000000000000101", batchStep(1, 4000))
	r.submit("0000000000000201", longRunningStep(1, 7000))
	r.step(50 * time.Millisecond)
	require.Equal(t, scheduler.Holds{LongRunning: 1}, r.core.Holds())
	smallStep := longRunningStep(1, 500)
	smallStep.EstimateMS = 60_000 // more work, so its job is ranked behind the large one
	small := r.submit("0000000000000202", smallStep)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, small, starts[0].Start.Task.Job)
}

// Guards against a worker that is held without end, because the tasks on it take longer than estimated.
func TestHoldEndsWhenItsRoomDoesNotCome(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	endless := r.startJob("0000000000000101", batchStep(1, 4000))[0]
	r.submit("0000000000000201", longRunningStep(1, 7000))
	r.step(50 * time.Millisecond)
	require.Equal(t, scheduler.Holds{LongRunning: 1}, r.core.Holds())
	const longestWait = 3 * time.Second
	r.submit("0000000000000301", batchStep(1, 4000))
	for waitedUntil := r.now.Add(longestWait); ; {
		if len(r.step(50*time.Millisecond).Starts) > 0 {
			return
		}
		r.answerPoll("w-1", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: endless.Start.Task, Run: endless.Start.Run, SpeedPercent: 100}}})
		require.True(t, r.now.Before(waitedUntil), "no other task has started for %s", longestWait)
	}
}

// Guards against a large job that waits without end behind an older one that can't be placed.
func TestStarvedJobBehindOneThatCannotBePlacedHoldsAWorker(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	r.startJob("0000000000000101", batchStep(2, 6000))
	tooWide := batchStep(3, 7000)
	tooWide.Gang = true
	for id, c := range map[string]struct {
		age  time.Duration
		step workload.Step
	}{"0000000000000201": {60 * time.Second, tooWide}, "0000000000000202": {40 * time.Second, batchStep(1, 5000)}} {
		r.core.AddJob(workload.JobID(id), &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.Add(-c.age).UnixMilli(), Spec: workload.Spec{Steps: []workload.Step{c.step}}})
	}
	for range 10 {
		r.step(50 * time.Millisecond)
	}
	assert.Equal(t, 1, r.core.Holds().Starved)
}

// Guards against a worker that is held for a task that awaits its next attempt.
func TestTaskBeforeItsNextAttemptHoldsNoWorker(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.submit("0000000000000201", longRunningStep(1, 1000))
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 1)
	r.answerStart(starts[0], workload.WorkerFull)
	r.step(160 * time.Millisecond)
	assert.Empty(t, r.core.Holds())
	r.submit("0000000000000301", batchStep(1, 1000))
	assert.Len(t, r.step(20*time.Millisecond).Starts, 1)
}
