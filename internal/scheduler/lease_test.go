package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A worker with a slow clock is idle for three minutes. Its first lease after that must not last
// longer than the owner assumes.
func TestLeaseAfterAnIdlePeriodIsNoLongerThanTheOwnerAssumes(t *testing.T) {
	const idleTime = 3 * time.Minute
	w := newWorld(1, faults{})
	capacity := workload.Resources{CPU: 32000, MemoryMB: 64000}
	idle := w.addWorker("worker-0", capacity)
	idle.clockRate = 0.98
	w.takeOver()
	w.after(idleTime, func() {
		w.submit(workload.Spec{Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 1000, MemoryMB: 1000}, LongRunning: true}}}, "quick")
	})
	w.runUntil(idleTime + 200*time.Millisecond)
	require.Len(t, idle.runs, 1)
	idle.partitioned = true
	idle.unregister()
	other := w.addWorker("worker-1", capacity)
	w.runUntil(idleTime + 10*time.Second)
	require.Empty(t, w.violations)
	require.Len(t, other.runs, 1, "the lease must have expired on every clock")
}

// An idle worker's clock is estimated from its last answer. The older the answer, the shorter is the
// first lease. Without polls the worker would refuse it at some time as already expired.
func TestIdleWorkerIsPolledForItsClock(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	polls := 0
	for range 250 {
		for range r.step(100 * time.Millisecond).Polls {
			polls++
			r.answerPoll("w-1", r.now, workload.PollReport{})
		}
	}
	require.Equal(t, 2, polls, "in 25 s")
}

// A worker whose registry entry has expired may only have lost its connection to the store, and may
// still run tasks of an earlier owner. A takeover must wait for its leases, too.
func TestTakeoverWaitsForAWorkerThatIsNoLongerListed(t *testing.T) {
	r := newRig(t, "w-1", "w-2")
	r.setWorkers("w-1", "w-2")
	r.step(0)
	r.answerPoll("w-2", r.now, workload.PollReport{})
	r.submit("0000000000000001", batchStep(1, 1000))
	r.setWorkers("w-2")
	beganAt := r.now
	var starts []scheduler.StartOrder
	for len(starts) == 0 && r.now.Sub(beganAt) < 10*time.Second {
		orders := r.step(50 * time.Millisecond)
		starts = orders.Starts
		for _, poll := range orders.Polls {
			if poll.Worker.ID == "w-1" {
				r.timeOutPoll("w-1")
			}
		}
	}
	require.NotEmpty(t, starts)
	require.GreaterOrEqual(t, r.now.Sub(beganAt), testLease, "no start may precede the latest expiry of the earlier owner's lease")
}

// Guards against a task that runs twice because its worker's reports can't be decoded: the worker has carried the polls
// out, and each of them may have renewed the task's lease.
func TestTaskOfAWorkerWhoseReportsCannotBeDecodedKeepsItsLease(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	renewedAt := r.now
	for range 300 {
		orders := r.step(100 * time.Millisecond)
		if len(orders.Starts) > 0 {
			require.GreaterOrEqual(t, r.now.Sub(renewedAt), testLease)
			return
		}
		for _, p := range orders.Polls {
			result := scheduler.PollResult{Worker: p.Worker.ID, Token: r.token(), SentAt: r.now, Extra: p.Extra, Answer: workload.WorkerAnswer{ClockMS: r.clockMS(p.Worker.ID)}}
			if p.Worker.ID == s.Worker.ID {
				result.Answer.Status = workload.WorkerInvalidOrder
				if p.Poll.LeaseExpiresAtMS > 0 {
					renewedAt = r.now
				}
			}
			r.core.HandlePollResult(result, r.now)
		}
	}
	require.Fail(t, "the task must start again once its lease has expired")
}
