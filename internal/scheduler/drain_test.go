package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker that is reported drained before it is listed must get no tasks until the drain request has
// expired, because its VM may be removed and the removal would end the tasks.
func TestWorkerReportedDrainedBeforeItIsListedGetsNoTasks(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(r *rig)
	}{
		{"takeover with an empty handover", func(r *rig) {
			r.core.RestoreHandover(&workload.Handover{Epoch: r.epoch - 1}, r.now)
		}},
		{"removed after it left the registry", func(r *rig) {
			r.syncWorkers("w-1")
			r.setWorkers()
			r.stepFor(3 * time.Second)
		}},
	} {
		r := newRig(t)
		c.prepare(r)
		require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now), "%s: no task can run on a worker that is not listed", c.name)
		r.submit("0000000000000001", batchStep(1, 1000))
		clear(r.latestPolls)
		r.setWorkers("w-1")
		answerNextPoll := func() {
			poll, _ := r.awaitPoll("w-1")
			r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
		}
		answerNextPoll()
		assert.Empty(t, r.stepFor(time.Second).Starts, "%s: no start while the worker is drained", c.name)
		r.stepFor(time.Second)
		answerNextPoll()
		assert.Len(t, r.stepFor(100*time.Millisecond).Starts, 1, "%s: starts again after the drain request has expired", c.name)
	}
}

// A worker is not registered any more while the list of VMs still has it. It must be reported drained
// each time, or its VM would never be maintained.
func TestUnlistedWorkerIsReportedDrainedEachTime(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-2")
	for range 20 {
		require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
		r.stepFor(200 * time.Millisecond)
	}
	assert.NotContains(t, r.core.ServiceLoads(r.now)[0].Workers, "w-1")
}

// A worker that may run tasks of an earlier owner must not be reported drained before it answers.
func TestUnresolvedWorkerIsNotReportedDrainedBeforeItAnswers(t *testing.T) {
	r := newRig(t, "w-1")
	for range 3 {
		require.Equal(t, workload.NotDrained, r.core.DrainWorker("w-1", r.now))
		r.step(50 * time.Millisecond)
	}
	r.setWorkers("w-1")
	r.step(0)
	require.Equal(t, workload.NotDrained, r.core.DrainWorker("w-1", r.now), "the worker is registered but has not answered")
	r.answerPoll("w-1", r.now, workload.PollReport{})
	assert.Equal(t, workload.Drained, r.core.DrainWorker("w-1", r.now))
}

// An idle worker is rarely polled, so its process may have been replaced unnoticed. It may be reported
// as confirmed drained only while it answers polls; otherwise the removal of its VM could end tasks of
// the new process.
func TestIdleWorkerIsConfirmedDrainedOnlyOnceItAnswers(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	r.stepFor(5 * time.Second)
	clear(r.latestPolls)
	require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
	poll, _ := r.awaitPoll("w-1")
	r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	require.Equal(t, workload.Drained, r.core.DrainWorker("w-1", r.now))
	poll, _ = r.awaitPoll("w-1")
	r.timeOutPoll(poll.Worker.ID)
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now), "the worker no longer answers")
	r.stepFor(400 * time.Millisecond)
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
}
