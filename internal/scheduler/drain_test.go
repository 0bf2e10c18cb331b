package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// After a takeover the owner reported a worker as drained before it had read its first worker
// list, and started tasks there as soon as the list named the worker. The removal of the VM then
// cut these tasks off.
func TestWorkerReportedDrainedBeforeItIsListedGetsNoTasks(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(r *rig)
	}{
		{"everything is handed over", func(r *rig) {
			r.core.RestoreHandover(&workload.Handover{Epoch: r.epoch - 1}, r.now)
		}},
		{"forgotten", func(r *rig) {
			r.syncWorkers("w-1")
			r.setWorkers()
			r.stepFor(3 * time.Second)
		}},
	} {
		r := newRig(t)
		c.prepare(r)
		require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now), "%s: no task can run there", c.name)
		r.submit("0000000000000001", batchStep(1, 1000))
		clear(r.latestPolls)
		r.setWorkers("w-1")
		answerNextPoll := func() {
			poll, _ := r.awaitPoll("w-1")
			r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
		}
		answerNextPoll()
		assert.Empty(t, r.stepFor(time.Second).Starts, "%s: the VM may be removed now", c.name)
		r.stepFor(time.Second)
		answerNextPoll()
		assert.Len(t, r.stepFor(100*time.Millisecond).Starts, 1, "%s: the drain has ended", c.name)
	}
}

// A worker has ended while the list of VMs still names it. It must be reported drained, or its VM
// is never maintained.
func TestUnlistedWorkerIsReportedDrainedEachTime(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-2")
	for range 20 {
		require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
		r.stepFor(200 * time.Millisecond)
	}
	assert.NotContains(t, r.core.ServiceLoads(r.now)[0].Workers, "w-1")
}

// A worker that may run what an earlier owner started must not be reported drained before it
// answers.
func TestUnresolvedWorkerIsNotReportedDrainedBeforeItAnswers(t *testing.T) {
	r := newRig(t, "w-1")
	for range 3 {
		require.Equal(t, workload.NotDrained, r.core.DrainWorker("w-1", r.now))
		r.step(50 * time.Millisecond)
	}
	r.setWorkers("w-1")
	r.step(0)
	require.Equal(t, workload.NotDrained, r.core.DrainWorker("w-1", r.now), "it is registered but has not answered")
	r.answerPoll("w-1", r.now, workload.PollReport{})
	assert.Equal(t, workload.Drained, r.core.DrainWorker("w-1", r.now))
}

// An idle worker is rarely polled, so that its process may have been replaced unseen. It is
// confirmed drained only while it answers polls; otherwise the removal of the VM would cut off
// tasks of the new process.
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
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now), "it no longer answers")
	r.stepFor(400 * time.Millisecond)
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
}
