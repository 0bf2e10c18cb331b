package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against tasks being cut by an order for a VM right after a change of owners: the new
// owner said that a worker is empty before it had read its first list of workers, and started
// tasks there as soon as the list came.
func TestWorkerReportedDrainedBeforeItIsListedGetsNoTasks(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(r *rig)
	}{
		{"all is handed over", func(r *rig) {
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
		require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now), "%s: nothing can run there", c.name)
		r.submit("0000000000000001", batchStep(1, 1000))
		clear(r.latestPolls)
		r.setWorkers("w-1")
		answerNextPoll := func() {
			poll, _ := r.awaitPoll("w-1")
			r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
		}
		answerNextPoll()
		assert.Empty(t, r.stepFor(time.Second).Starts, "%s: the order for the VM is on its way", c.name)
		r.stepFor(time.Second)
		answerNextPoll()
		assert.Len(t, r.stepFor(100*time.Millisecond).Starts, 1, "%s: nobody wants it empty any more", c.name)
	}
}

// Guards against a VM that is never maintained: its worker has ended, and the list of VMs
// still names it.
func TestUnlistedWorkerIsReportedDrainedEachTime(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-2")
	for range 20 {
		require.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
		r.stepFor(200 * time.Millisecond)
	}
	assert.NotContains(t, r.core.ServiceLoads(r.now)[0].Workers, "w-1")
}

// Guards against a worker being called empty that may run what an earlier owner started.
func TestUnresolvedWorkerIsNotReportedDrainedBeforeItAnswers(t *testing.T) {
	r := newRig(t, "w-1")
	for range 3 {
		require.Equal(t, workload.NotDrained, r.core.DrainWorker("w-1", r.now))
		r.step(50 * time.Millisecond)
	}
	r.setWorkers("w-1")
	r.step(0)
	require.Equal(t, workload.NotDrained, r.core.DrainWorker("w-1", r.now), "it is listed and hasn't answered")
	r.answerPoll("w-1", r.now, workload.PollReport{})
	assert.Equal(t, workload.Drained, r.core.DrainWorker("w-1", r.now))
}

// Guards against a VM's tasks being cut as the process of its idle worker had ended and
// another one was there: nobody had asked the idle one for long.
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
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now), "it doesn't answer any more")
	r.stepFor(400 * time.Millisecond)
	assert.Equal(t, workload.DrainedUnconfirmed, r.core.DrainWorker("w-1", r.now))
}
