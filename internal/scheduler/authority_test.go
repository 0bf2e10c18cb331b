package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// stepReporting steps for d and answers a worker's polls with the given runs.
func (r *rig) stepReporting(d time.Duration, worker string, running ...workload.ListedRun) scheduler.Orders {
	var collected scheduler.Orders
	for until := r.now.Add(d); r.now.Before(until); {
		orders := r.step(50 * time.Millisecond)
		collected.Starts = append(collected.Starts, orders.Starts...)
		collected.Stops = append(collected.Stops, orders.Stops...)
		collected.Polls = append(collected.Polls, orders.Polls...)
		r.answerPoll(worker, r.now, workload.PollReport{Running: running})
	}
	return collected
}

// An owner that may have a successor must not renew the leases of tasks on a worker that the successor
// can't reach. Until its ownership is confirmed again it must start nothing, renew no lease and stop
// no task.
func TestOwnerWithoutAuthorityNeitherStartsNorRenews(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	longRunning := workload.Step{Count: 1, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true}
	s := r.startJob("0000000000000001", longRunning)[0]
	running := workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}
	r.core.SetAuthority(r.now.Add(500 * time.Millisecond))
	countRenewals := func(orders scheduler.Orders) (n int) {
		for _, poll := range orders.Polls {
			if poll.Poll.LeaseExpiresAtMS > 0 {
				n++
			}
		}
		return n
	}
	require.NotZero(t, countRenewals(r.stepReporting(400*time.Millisecond, "w-1", running)))

	r.step(100 * time.Millisecond)
	r.submit("0000000000000002", batchStep(1, 1000))
	r.core.DrainWorker("w-1", r.now)
	orders := r.stepReporting(time.Second, "w-1", running)
	assert.NotEmpty(t, orders.Polls, "workers must still be polled: a worker may report the successor's token")
	assert.Zero(t, countRenewals(orders))
	assert.Empty(t, orders.Starts)
	assert.Empty(t, orders.Stops)

	r.core.SetAuthority(r.now.Add(10 * time.Second))
	orders = r.stepReporting(3*time.Second, "w-1", running)
	assert.NotZero(t, countRenewals(orders))
	assert.NotEmpty(t, orders.Starts)
}

// The earlier owner may continue for MaxOwnerOverlap after its successor has started. If the successor
// assumed that the last lease was granted before its own start, it would start tasks that still run.
func TestTakeoverWaitsForLeasesRenewedAfterItBegan(t *testing.T) {
	settings := testSettings(3)
	settings.MaxOwnerOverlap = membershipTTL
	r := &rig{t: t, now: historyStart, epoch: 3}
	r.core = scheduler.New(settings, r.now, []string{"w-1", "w-2"}, false)
	r.core.SetConfig(testConfig)
	r.setWorkers("w-1", "w-2")
	r.submit("0000000000000001", batchStep(1, 1000))
	r.step(0)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	for r.now.Sub(historyStart) < membershipTTL+testLease*100/98 {
		require.Empty(t, r.step(50*time.Millisecond).Starts, "after %s", r.now.Sub(historyStart))
		r.answerPoll("w-1", r.now, workload.PollReport{})
	}
	assert.NotEmpty(t, r.stepFor(500*time.Millisecond).Starts)
}

// A run of an earlier owner that a worker has listed must not be dropped before its lease has expired.
// An owner without authority renews no lease, so only the earlier owner's lease limits the run.
func TestListedRunIsKeptForTheEarlierOwnersLease(t *testing.T) {
	r := newRig(t, "w-1")
	r.setWorkers("w-1", "w-2")
	job := r.submit("0000000000000001", batchStep(1, 1000))
	r.core.SetAuthority(r.now)
	r.step(0)
	r.answerPoll("w-1", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: workload.TaskKey{Job: job}, Run: 65537, SpeedPercent: 100}}})
	r.answerPoll("w-2", r.now, workload.PollReport{})
	r.step(50 * time.Millisecond)
	r.setWorkers("w-2")
	r.core.SetAuthority(r.now.Add(time.Minute))
	r.timeOutPoll("w-1")
	for r.now.Sub(historyStart) < testLease {
		require.Empty(t, r.refusePollsFor("w-1", 100*time.Millisecond).Starts, "after %s", r.now.Sub(historyStart))
		r.answerPoll("w-2", r.now, workload.PollReport{})
	}
}
