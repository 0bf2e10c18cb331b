package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against takeovers that read the work of jobs that have ended, megabytes on a busy partition, and
// against a successor that no longer shows such a job, or runs its tasks again.
func TestEndedJobIsStoredWithoutItsWork(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	start := r.step(50 * time.Millisecond).Starts[0]
	r.answerStart(start, workload.WorkerOK)
	r.answerPoll("w-1", r.now, exitReport(1, start, workload.ExitDone))
	r.now = r.now.Add(50 * time.Millisecond)
	orders := r.core.Step(r.now)
	require.NotNil(t, orders.Write)

	next := newRig(t)
	var progress *workload.Progress
	for _, record := range orders.Write.Records {
		switch {
		case record.Submission != nil:
			assert.Empty(t, record.Submission.Spec.Payload)
			assert.Equal(t, "quick", record.Submission.Queue)
			next.core.AddJob(record.Job, record.Submission)
		case record.Progress != nil:
			progress = record.Progress
		}
	}
	require.NotNil(t, progress)
	next.core.RestoreProgress(job, progress)
	state, known := next.core.JobState(job)
	assert.True(t, known)
	assert.Equal(t, workload.Completed, state)
	assert.Empty(t, next.syncWorkers("w-1"))
	assert.Zero(t, next.core.WaitingJobs("quick"))
}

// Guards against a successor that doesn't know what the runs of an ended job reserve: the job was cancelled
// while a task ran.
func TestEndedJobWithLiveRunsKeepsItsWork(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	r.answerStart(r.step(50 * time.Millisecond).Starts[0], workload.WorkerOK)
	r.core.CancelJob(job, nil, r.now)
	r.now = r.now.Add(50 * time.Millisecond)
	var write *scheduler.WriteOrder
	for write == nil {
		write = r.core.Step(r.now).Write
	}
	for _, record := range write.Records {
		assert.Nil(t, record.Submission)
	}
}
