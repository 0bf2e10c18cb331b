package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against long-running jobs that fail at each start and get all workers of a service suspended, so that no other
// job starts.
func TestJobsThatFailEverywhereSuspendNoWorkers(t *testing.T) {
	r := newRig(t)
	workers := []string{"w-1", "w-2", "w-3", "w-4"}
	r.syncWorkers(workers...)
	failing := longRunningStep(3, 2000)
	failing.MaxPerWorker = 1
	r.submit("0000000000000001", failing)
	r.submit("0000000000000002", failing)
	sequence := map[string]int64{}
	starts := 0
	for range 300 {
		for _, s := range r.step(50 * time.Millisecond).Starts {
			starts++
			r.answerStart(s, workload.WorkerOK)
			sequence[s.Worker.ID]++
			r.answerPoll(s.Worker.ID, r.now.Add(time.Millisecond), exitReport(sequence[s.Worker.ID], s, workload.ExitFailed))
		}
	}
	other := batchStep(4, 4000)
	other.MaxPerWorker = 1
	r.submit("0000000000000003", other)
	otherStarts := 0
	for _, s := range r.step(20 * time.Millisecond).Starts {
		if s.Start.Task.Job == "0000000000000003" {
			otherStarts++
		}
	}
	assert.Equal(t, len(workers), otherStarts)
	assert.LessOrEqual(t, starts, 60, "starts of tasks that fail at once, in 15 s")
}

// Guards against a worker that fails the tasks of all jobs and is not suspended, as each of the jobs has failed before.
func TestWorkerThatFailsAllTasksIsSuspendedBesideFailingJobs(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	for i := range 3 {
		r.submit("000000000000000"+string(rune('1'+i)), batchStep(1, 1000))
	}
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 3)
	for i, s := range starts {
		r.answerStart(s, workload.WorkerOK)
		r.answerPoll("w-1", r.now, exitReport(int64(i+1), s, workload.ExitFailed))
	}
	r.submit("0000000000000009", batchStep(1, 1000))
	assert.Empty(t, r.step(1100*time.Millisecond).Starts)
}

// Guards against a long-running task that has been at work and waits for its restart, as earlier runs of it failed.
func TestLongRunningTaskThatWasAtWorkRestartsAtOnce(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.submit("0000000000000001", longRunningStep(1, 1000))
	sequence := int64(0)
	failAfter := func(d time.Duration) time.Duration {
		waitedFrom := r.now
		for {
			if starts := r.step(50 * time.Millisecond).Starts; len(starts) > 0 {
				wait := r.now.Sub(waitedFrom)
				r.answerStart(starts[0], workload.WorkerOK)
				r.now = r.now.Add(d)
				sequence++
				r.answerPoll("w-1", r.now.Add(time.Millisecond), exitReport(sequence, starts[0], workload.ExitFailed))
				return wait
			}
			require.Less(t, r.now.Sub(waitedFrom), 6*time.Second)
		}
	}
	for range 10 {
		failAfter(100 * time.Millisecond)
	}
	assert.Greater(t, failAfter(5*time.Second), 2*time.Second)
	assert.LessOrEqual(t, failAfter(5*time.Second), 100*time.Millisecond)
}
