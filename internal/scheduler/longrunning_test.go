package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Long-running tasks fail occasionally through no fault of their worker. However many such failures
// there were, the worker must get the tasks again.
func TestFailedLongRunningTasksAreRestartedOnTheSameWorker(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	longRunning := workload.Step{Count: 1, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true}
	r.submit("0000000000000001", longRunning)
	r.submit("0000000000000002", longRunning)
	exitSequence := int64(0)
	for range 8 {
		starts := r.step(400 * time.Millisecond).Starts
		require.NotEmpty(t, starts)
		for _, s := range starts {
			r.answerStart(s, workload.WorkerOK)
		}
		r.step(3 * time.Second)
		for _, s := range starts {
			exitSequence++
			r.answerPoll("w-1", r.now, exitReport(exitSequence, s, workload.ExitFailed))
		}
	}
}

// Two long-running tasks run on a worker that is drained, and MaxUnavailable is 1. The second must not
// be stopped before another worker lists the first as running.
func TestDrainingRespectsMaxUnavailable(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	r.submit("0000000000000001", workload.Step{Count: 2, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 1})
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	drainedWorker := starts[0].Worker.ID
	require.Equal(t, drainedWorker, starts[1].Worker.ID, "long-running tasks are placed together")
	listedRun := func(s scheduler.StartOrder, percent int) workload.ListedRun {
		return workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: percent}
	}
	for _, s := range starts {
		r.answerStart(s, workload.WorkerOK)
	}
	r.answerPoll(drainedWorker, r.now.Add(time.Millisecond), workload.PollReport{Running: []workload.ListedRun{listedRun(starts[0], 100), listedRun(starts[1], 100)}})
	assert.Equal(t, workload.NotDrained, r.core.DrainWorker(drainedWorker, r.now))
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	stopped, remaining := starts[0], starts[1]
	if stops[0].Task == starts[1].Start.Task {
		stopped, remaining = remaining, stopped
	}
	report := exitReport(1, stopped, workload.ExitStopped)
	report.Running = []workload.ListedRun{listedRun(remaining, 100)}
	r.answerPoll(drainedWorker, r.now.Add(time.Millisecond), report)
	r.core.DrainWorker(drainedWorker, r.now)
	orders := r.step(20 * time.Millisecond)
	require.Len(t, orders.Starts, 1)
	require.NotEqual(t, drainedWorker, orders.Starts[0].Worker.ID)
	r.answerStart(orders.Starts[0], workload.WorkerOK)
	r.core.DrainWorker(drainedWorker, r.now)
	assert.Empty(t, r.step(20*time.Millisecond).Stops, "the first task is not listed as running yet")
	r.answerPoll(orders.Starts[0].Worker.ID, r.now.Add(time.Millisecond), workload.PollReport{Running: []workload.ListedRun{listedRun(orders.Starts[0], 100)}})
	r.core.DrainWorker(drainedWorker, r.now)
	assert.Len(t, r.step(20*time.Millisecond).Stops, 1)
}

// A task with a latency target misses it because of a best-effort task on the same worker. The
// best-effort task must be throttled, and its speed must be raised again once the tail latency is well
// below the target.
func TestBestEffortTasksAreThrottledBesideServingTasks(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	serving := workload.Step{Count: 1, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true, LatencyTargetMS: 100}
	bestEffort := workload.Step{Count: 1, Resources: workload.Resources{CPU: 4000, MemoryMB: 100}, LongRunning: true, BestEffortCPU: true}
	r.submit("0000000000000001", serving, bestEffort)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.answerStart(s, workload.WorkerOK)
	}
	reportTail := func(tailMS float64) []scheduler.ThrottleOrder {
		var listedRuns []workload.ListedRun
		for _, s := range starts {
			listedRun := workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}
			if s.Start.Task.Step == 0 {
				listedRun.LatencyOrCPU = tailMS
			}
			listedRuns = append(listedRuns, listedRun)
		}
		r.answerPoll("w-1", r.now.Add(time.Millisecond), workload.PollReport{Running: listedRuns})
		throttles := r.step(600 * time.Millisecond).Throttles
		for _, p := range throttles {
			r.core.HandleThrottleResult(scheduler.OrderResult{Worker: "w-1", Task: p.Task, Run: p.Run, Token: p.Token, Answer: workload.WorkerAnswer{ClockMS: r.clockMS("w-1")}}, r.now)
		}
		return throttles
	}
	throttles := reportTail(150)
	require.Len(t, throttles, 1)
	assert.Equal(t, 50, throttles[0].SpeedPercent)
	assert.Equal(t, 1, throttles[0].Task.Step)
	throttles = reportTail(120)
	require.Len(t, throttles, 1)
	assert.Equal(t, 25, throttles[0].SpeedPercent)
	throttles = reportTail(30)
	require.Len(t, throttles, 1)
	assert.Equal(t, 40, throttles[0].SpeedPercent)
}

// A service is full of short tasks, and a large long-running task must start. Short tasks would take
// all capacity that becomes free, and the large task would wait forever. A worker must be kept free
// for it until it fits.
func TestLargeLongRunningTaskIsPlacedOnAFullService(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	jobNumber := 0
	submitShortJob := func() {
		jobNumber++
		r.submit("00000000000001"+string(rune('0'+jobNumber/10))+string(rune('0'+jobNumber%10)), batchStep(8, 1000))
	}
	running := map[string][]scheduler.StartOrder{}
	lastExitSequence := map[string]int64{}
	stepAndStart := func() (longRunningStarted bool) {
		for _, s := range r.step(100 * time.Millisecond).Starts {
			r.answerStart(s, workload.WorkerOK)
			longRunningStarted = longRunningStarted || s.Start.Task.Job == "0000000000000999"
			running[s.Worker.ID] = append(running[s.Worker.ID], s)
		}
		return longRunningStarted
	}
	submitShortJob()
	submitShortJob()
	submitShortJob()
	stepAndStart()
	r.submit("0000000000000999", workload.Step{Count: 1, Resources: workload.Resources{CPU: 6000, MemoryMB: 100}, LongRunning: true})
	for round := range 40 {
		if stepAndStart() {
			return
		}
		// A task exits on each worker in turn, and more jobs arrive.
		worker := []string{"w-1", "w-2"}[round%2]
		if len(running[worker]) == 0 {
			continue
		}
		done := running[worker][0]
		running[worker] = running[worker][1:]
		lastExitSequence[worker]++
		var report workload.PollReport
		for _, s := range running[worker] {
			report.Running = append(report.Running, workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
		}
		report.Exited = exitReport(lastExitSequence[worker], done, workload.ExitDone).Exited
		r.answerPoll(worker, r.now.Add(time.Millisecond), report)
		if round%3 == 0 {
			submitShortJob()
		}
	}
	t.Fatal("the long-running task must start")
}

// Long-running tasks are placed together. On a VM that the same maintenance wave reaches next, such a
// task would move twice, and MaxUnavailable allows only one move of its step at a time. Workers due
// for maintenance must be avoided if another has capacity, and only while SetDueForMaintenance is
// repeated.
func TestLongRunningTasksAvoidWorkersDueForMaintenance(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	longRunning := workload.Step{Count: 1, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 1}
	running := map[string][]workload.ListedRun{}
	place := func(id string) string {
		for _, w := range []string{"w-1", "w-2"} {
			r.answerPoll(w, r.now, workload.PollReport{Running: running[w]})
		}
		r.submit(id, longRunning)
		starts := r.step(20 * time.Millisecond).Starts
		require.Len(t, starts, 1)
		s := starts[0]
		r.answerStart(s, workload.WorkerOK)
		running[s.Worker.ID] = append(running[s.Worker.ID], workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
		return s.Worker.ID
	}
	first := place("0000000000000001")
	r.core.SetDueForMaintenance("service", []string{first}, r.now)
	second := place("0000000000000002")
	assert.NotEqual(t, first, second)
	r.core.SetDueForMaintenance("service", []string{first, second}, r.now)
	place("0000000000000003")
	r.core.SetDueForMaintenance("another", []string{second}, r.now)
	r.now = r.now.Add(2 * time.Second)
	r.core.SetDueForMaintenance("service", []string{second}, r.now)
	assert.Equal(t, first, place("0000000000000004"))
}

// A stop of a drained worker's task is lost, and meanwhile the worker of another task of the step
// leaves. If the stop were sent again after its timeout, two tasks of the step would be unavailable
// although MaxUnavailable is 1. The stop must wait until the other task runs again.
func TestLostStopIsNotResentWhileAnotherTaskIsUnavailable(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2", "w-3")
	r.submit("0000000000000001", workload.Step{Count: 2, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	first, second := starts[0], starts[1]
	runningReport := func(s scheduler.StartOrder) workload.PollReport {
		return workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}}
	}
	for _, s := range starts {
		r.answerStart(s, workload.WorkerOK)
		r.answerPoll(s.Worker.ID, r.now.Add(time.Millisecond), runningReport(s))
	}
	r.core.DrainWorker(first.Worker.ID, r.now)
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)

	list := []workload.Worker{first.Worker, second.Worker}
	list[1].Leaving = true
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		if id != first.Worker.ID && id != second.Worker.ID {
			list = append(list, workload.Worker{ID: id, Service: "service", Address: id, Labels: first.Worker.Labels, Capacity: first.Worker.Capacity})
		}
	}
	r.core.SetWorkers(list, r.now)
	require.Len(t, r.step(20*time.Millisecond).Stops, 1, "the task of the leaving worker must be stopped")
	r.core.HandleStopResult(scheduler.OrderResult{Worker: first.Worker.ID, Task: stops[0].Task, Run: stops[0].Run, Token: stops[0].Token, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}}, r.now)
	r.now = r.now.Add(time.Second)
	resentStops := func() int {
		r.core.DrainWorker(first.Worker.ID, r.now)
		r.answerPoll(first.Worker.ID, r.now, runningReport(first))
		n := 0
		for _, s := range r.step(20 * time.Millisecond).Stops {
			if s.Task == first.Start.Task {
				n++
			}
		}
		return n
	}
	assert.Zero(t, resentStops(), "the other task is unavailable")

	r.answerPoll(second.Worker.ID, r.now.Add(time.Millisecond), exitReport(1, second, workload.ExitStopped))
	restarts := r.step(20 * time.Millisecond).Starts
	require.Len(t, restarts, 1)
	r.answerStart(restarts[0], workload.WorkerOK)
	assert.Zero(t, resentStops(), "the other task is not listed as running yet")
	r.answerPoll(restarts[0].Worker.ID, r.now.Add(time.Millisecond), runningReport(restarts[0]))
	assert.Equal(t, 1, resentStops())
}
