package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// addLogged adds a job of one task whose record is at an offset.
func (r *rig) addLogged(id workload.JobID, offset int64) {
	r.core.AddLoggedJob(id, &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.UnixMilli(), Spec: workload.Spec{Payload: "work", Steps: []workload.Step{batchStep(1, 1000)}}}, offset)
}

// A job that this owner's node has stored must not start while records of other nodes before it are
// unread: one of them may be the takeover of a later owner, which starts the job as well. Without such
// records the job starts at once, without another read.
func TestJobBeyondAGapStartsOnceTheGapIsRead(t *testing.T) {
	r := newRig(t)
	r.core.SetLogEnd(10)
	r.syncWorkers("w-1")
	r.addLogged("0000000000000001", 10)
	r.core.ExtendLog(10, 11)
	assert.Len(t, r.step(10*time.Millisecond).Starts, 1, "nothing lies before the record")
	r.addLogged("0000000000000002", 12)
	r.core.ExtendLog(12, 13)
	r.addLogged("0000000000000003", math.MaxInt64) // the answer that states its offset was lost
	assert.True(t, r.core.HasUnorderedJobs())
	for range 20 {
		require.Empty(t, r.step(100*time.Millisecond).Starts)
	}
	state, known := r.core.JobState("0000000000000002")
	assert.True(t, known)
	assert.Equal(t, workload.Pending, state)
	r.addLogged("0000000000000003", 11)
	r.core.ExtendLog(11, 12)
	assert.False(t, r.core.HasUnorderedJobs())
	assert.Len(t, r.step(10*time.Millisecond).Starts, 2)
}

// An owner that was replaced without knowing it reads the takeover of its successor. Whatever lies
// behind it is the successor's to start.
func TestOwnerStepsDownAtALaterTakeover(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.core.HandleFenceRecord(r.epoch-1, 2)
	r.core.HandleTakeoverRecord(r.epoch-1, 3)
	r.core.HandleFenceRecord(r.epoch, 6)
	r.core.HandleTakeoverRecord(r.epoch, 7)
	assert.Empty(t, r.core.StepDownReason())
	r.core.HandleFenceRecord(r.epoch+1, 9)
	assert.NotEmpty(t, r.core.StepDownReason())

	r = newRig(t)
	r.core.HandleTakeoverRecord(r.epoch+1, 9)
	assert.NotEmpty(t, r.core.StepDownReason(), "a later owner of an earlier version stores no record of its fence")
}

// An earlier owner has started a job that was stored just before the takeover. A worker lists its run
// before the new owner has read the job. If the run counted as that of a deleted job, it would be stopped
// and forgotten, and the task would start again beside it.
func TestRunOfAnUnreadJobIsKept(t *testing.T) {
	const job = workload.JobID("0000000000000001")
	r := newRig(t, "w-1")
	r.core.SetLogEnd(10)
	r.setWorkers("w-1")
	r.step(0)
	r.core.HandleTakeoverRecord(r.epoch, 11)
	listed := workload.PollReport{Running: []workload.ListedRun{{Task: workload.TaskKey{Job: job}, Run: 2<<16 + 1, SpeedPercent: 100}}}
	r.awaitPoll("w-1")
	r.answerPoll("w-1", r.now, listed)
	require.Empty(t, r.step(0).Stops)

	r.addLogged(job, 10)
	r.core.ExtendLog(10, 12)
	r.awaitPoll("w-1")
	r.answerPoll("w-1", r.now, listed)
	for range 20 {
		orders := r.step(50 * time.Millisecond)
		require.Empty(t, orders.Starts)
		require.Empty(t, orders.Stops)
	}
	state, _ := r.core.JobState(job)
	assert.Equal(t, workload.Running, state)
}
