package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// silenceWorker removes a worker from the registry and times out its polls until starts follow on
// another worker, which answers. It returns these starts, nil if there are none within 10 s.
func (r *rig) silenceWorker(id, answering string) (starts []scheduler.StartOrder) {
	r.setWorkers(answering)
	for range 200 {
		if _, ok := r.latestPolls[answering]; ok {
			r.answerPoll(answering, r.now, workload.PollReport{})
		}
		if _, ok := r.latestPolls[id]; ok {
			r.timeOutPoll(id)
		}
		if starts = append(starts, r.step(50*time.Millisecond).Starts...); len(starts) > 0 {
			return starts
		}
	}
	return nil
}

// When a zone is partitioned, hundreds of tasks lose their worker at once, some of them soon after
// their start and some twice. They must not become suspects, which would be isolated one by one.
func TestTasksWhoseWorkersFallSilentTwiceAreNotSuspects(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-0")
	starts := r.startJob("0000000000000001", batchStep(1, 1000))
	for n := range 2 {
		starts = r.silenceWorker("w-"+strconv.Itoa(n), "w-"+strconv.Itoa(n+1))
		require.Len(t, starts, 1)
		r.answerStart(starts[0], workload.WorkerOK)
	}
	assert.Equal(t, "w-2", starts[0].Worker.ID)
	assert.Zero(t, r.core.Counts.IsolatedRuns)
	assert.Equal(t, 2, r.core.Counts.ExpiredRuns)
}

// A job's workers are partitioned for longer than their leases. When a worker answers again, the crash
// recorded for its silence must be retracted, or the job would fail.
func TestSilenceDoesNotCountOnceTheWorkerAnswersAgain(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-0")
	job := r.startJob("0000000000000001", batchStep(1, 1000))[0].Start.Task.Job
	for n := range 12 {
		id, next := "w-"+strconv.Itoa(n), "w-"+strconv.Itoa(n+1)
		starts := r.silenceWorker(id, next)
		require.Len(t, starts, 1, "the lease of %s must expire and the task start again", id)
		r.answerStart(starts[0], workload.WorkerOK)
		r.setWorkers(id, next)
		delete(r.latestPolls, id)
		poll, _ := r.awaitPoll(id)
		r.answerPollAs(poll, 0, workload.PollReport{})
	}
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Running, state)
	assert.Zero(t, r.core.Counts.IsolatedRuns)
}

// An owner planned an isolated run and was lost, and the worker never answers the next owner. If the
// run was planned seconds ago, it may have made progress since, so the silence must not count as proof
// and the job must not fail. If it was planned just before the takeover, the job must fail.
func TestSilenceAfterAPossiblyLongIsolatedRunDoesNotCount(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	for _, c := range []struct {
		planned time.Duration // time from the plan to the takeover
		state   workload.JobState
	}{
		{100 * time.Millisecond, workload.Failed},
		{3 * time.Second, workload.Running},
	} {
		first := newRig(t)
		var crashes []workload.Crash
		for n := range 6 {
			crashes = append(crashes, workload.Crash{Worker: "w-" + strconv.Itoa(n), Run: int64(3<<16 + n), DetectedAtMS: first.now.UnixMilli() - 60_000, SoleCause: n >= 3, WorkerWentSilent: true})
		}
		plannedCrash := workload.Crash{Worker: "w-9", Address: "w-9", Run: 3<<16 + 9, DetectedAtMS: first.now.Add(-c.planned).UnixMilli(), IsolatedRunPending: true}
		next := first.newSuccessor(job, &workload.Progress{Started: true, Crashes: map[string][]workload.Crash{"0.0.0": append(crashes, plannedCrash)}})
		for range 200 {
			next.timeOutPoll("w-9")
			next.step(50 * time.Millisecond)
		}
		state, _ := next.core.JobState(job)
		assert.Equal(t, c.state, state, c.planned)
	}
}
