package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

func newTaskSpec(id string, lease, work time.Duration) platform.TaskSpec {
	return platform.TaskSpec{ID: id, Job: "job", Worker: "vm-01", Cores: 4, MemoryMB: 1000, Lease: lease, Work: work}
}

func startTask(t *testing.T, p *Platform, s platform.TaskSpec) {
	t.Helper()
	_, err := p.Start(t.Context(), s, newOperation("start "+s.ID, 1))
	require.NoError(t, err)
}

func requirePhase(t *testing.T, p *Platform, id string, want platform.TaskPhase) {
	t.Helper()
	statuses, err := p.Status(t.Context(), "vm-01")
	require.NoError(t, err)
	for _, status := range statuses {
		if status.ID == id {
			require.Equal(t, want, status.Phase, status.Reason)
			return
		}
	}
	require.Failf(t, "task not found", "%s", id)
}

func TestLeaseExpires(t *testing.T) {
	// The lease holder renews once and is then paused beyond the lease. The platform
	// ends the task 10 s after the renewal. A later renewal returns ErrNotFound with
	// the task's ID.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		startTask(t, p, newTaskSpec("t", 10*time.Second, time.Hour))
		time.Sleep(9 * time.Second)
		require.NoError(t, p.Renew(t.Context(), "vm-01", []string{"t"}, 10*time.Second, 1))
		time.Sleep(9 * time.Second)
		requirePhase(t, p, "t", platform.TaskRunning)
		time.Sleep(time.Second)
		requirePhase(t, p, "t", platform.TaskExpired)
		err := p.Renew(t.Context(), "vm-01", []string{"t"}, 10*time.Second, 1)
		require.ErrorIs(t, err, platform.ErrNotFound)
		require.ErrorContains(t, err, "t")
	})
}

func TestRenewIsFenced(t *testing.T) {
	// A lease holder with an older fencing token than the task's can't renew its lease.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		_, err := p.Start(t.Context(), newTaskSpec("t", 10*time.Second, time.Hour), newOperation("s", 7))
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.ErrorIs(t, p.Renew(t.Context(), "vm-01", []string{"t"}, time.Minute, 6), platform.ErrFenced)
		time.Sleep(5 * time.Second)
		requirePhase(t, p, "t", platform.TaskExpired)
	})
}

func TestStartIsCountedPerOperation(t *testing.T) {
	// The reply to a start is lost. A retry with the same operation ID does not start
	// the task again. A new operation ID does, and the counters show it, so that
	// tests can check for double starts.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		orderFaults(t, p, Fault{Kind: APILoseReply, Target: "start", Count: 1})
		s := newTaskSpec("t", time.Hour, time.Second)
		_, err := p.Start(t.Context(), s, newOperation("a", 1))
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		status, err := p.Start(t.Context(), s, newOperation("a", 1))
		require.NoError(t, err)
		require.Equal(t, platform.TaskRunning, status.Phase)
		require.Equal(t, 1, p.Counters().MaxTaskStarts)
		time.Sleep(2 * time.Hour)
		status, err = p.Start(t.Context(), s, newOperation("a", 1))
		require.NoError(t, err, "an operation must be known after its task was dropped")
		require.Equal(t, "t", status.ID)
		_, err = p.Start(t.Context(), s, newOperation("b", 1))
		require.NoError(t, err)
		counters := p.Counters()
		require.Equal(t, map[string]int{"t": 2}, counters.TaskStarts)
		require.Equal(t, map[string]int{"job": 2}, counters.JobStarts)
	})
}

func TestThrottleCheckpointAndResume(t *testing.T) {
	// A task of 10 s runs for 2 s, then for 4 s at half speed, and is checkpointed. 6 s
	// of work are left: a second task that resumes from the checkpoint takes 6 s.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		startTask(t, p, newTaskSpec("t", time.Hour, 10*time.Second))
		time.Sleep(2 * time.Second)
		_, err := p.Throttle(t.Context(), "t", 0.5, newOperation("throttle", 2))
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		status, err := p.Checkpoint(t.Context(), "t", newOperation("checkpoint", 3))
		require.NoError(t, err)
		require.Equal(t, platform.TaskCheckpointed, status.Phase)
		resumed := newTaskSpec("t2", time.Hour, 10*time.Second)
		resumed.Checkpoint = status.Checkpoint
		startTask(t, p, resumed)
		time.Sleep(6*time.Second - time.Millisecond)
		requirePhase(t, p, "t2", platform.TaskRunning)
		time.Sleep(time.Millisecond)
		requirePhase(t, p, "t2", platform.TaskSucceeded)
	})
}

func TestWorkerThatFailsEverything(t *testing.T) {
	// Every task on the worker starts as running and fails half a second later. Tasks
	// on other workers are not affected.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		orderFaults(t, p, Fault{Kind: WorkerFails, Target: "vm-01", DelayMS: 500})
		startTask(t, p, newTaskSpec("t", time.Hour, time.Minute))
		other := newTaskSpec("other", time.Hour, time.Minute)
		other.Worker = "vm-02"
		startTask(t, p, other)
		requirePhase(t, p, "t", platform.TaskRunning)
		time.Sleep(time.Second)
		requirePhase(t, p, "t", platform.TaskFailed)
		statuses, err := p.Status(t.Context(), "vm-02")
		require.NoError(t, err)
		require.Equal(t, platform.TaskRunning, statuses[0].Phase)
	})
}

func TestTaskRealityAndUsageLag(t *testing.T) {
	// A job's tasks use twice the cores and three times the run time declared. Usage
	// lags by 20 s: it shows a task 20 s after its start and until 20 s after its end.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		orderFaults(t, p, Fault{Kind: TaskReality, Target: "job", CoresFactor: 2, WorkFactor: 3}, Fault{Kind: UsageLag, DelayMS: 20_000})
		startTask(t, p, newTaskSpec("t", time.Hour, 10*time.Second))
		time.Sleep(19 * time.Second)
		usage, err := p.Usage(t.Context())
		require.NoError(t, err)
		require.Empty(t, usage)
		time.Sleep(10 * time.Second)
		requirePhase(t, p, "t", platform.TaskRunning)
		time.Sleep(time.Second)
		requirePhase(t, p, "t", platform.TaskSucceeded)
		usage, err = p.Usage(t.Context())
		require.NoError(t, err)
		require.Equal(t, []platform.Usage{{Task: "t", Worker: "vm-01", Cores: 8, MemoryMB: 1000, AsOf: time.Now().Add(-20 * time.Second)}}, usage)
		time.Sleep(20 * time.Second)
		usage, err = p.Usage(t.Context())
		require.NoError(t, err)
		require.Empty(t, usage)
	})
}

func TestStartIsRejectedOnUnsuitableWorkers(t *testing.T) {
	// A start is rejected on a full, a draining and an unknown worker, and a reboot
	// fails the running tasks.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
			startTask(t, p, newTaskSpec(id, time.Hour, time.Hour))
		}
		_, err := p.Start(t.Context(), newTaskSpec("9", time.Hour, time.Hour), newOperation("s", 1))
		require.ErrorIs(t, err, platform.ErrRejected)
		_, err = p.Stop(t.Context(), "1", newOperation("stop", 2))
		require.NoError(t, err)
		_, err = p.Drain(t.Context(), "vm-01", newOperation("d", 1))
		require.NoError(t, err)
		_, err = p.Start(t.Context(), newTaskSpec("9", time.Hour, time.Hour), newOperation("s", 1))
		require.ErrorIs(t, err, platform.ErrRejected)
		unknown := newTaskSpec("9", time.Hour, time.Hour)
		unknown.Worker = "nobody"
		_, err = p.Start(t.Context(), unknown, newOperation("s", 1))
		require.ErrorIs(t, err, platform.ErrNotFound)
		_, err = p.Reboot(t.Context(), "vm-01", newOperation("r", 1))
		require.NoError(t, err)
		requirePhase(t, p, "1", platform.TaskStopped)
		requirePhase(t, p, "2", platform.TaskFailed)
		require.NotContains(t, p.Counters().TaskStarts, "9")
	})
}
