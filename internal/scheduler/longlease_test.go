package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// longestOrderDelay is the longest time after which the pages let an order without an answer be carried out, with a
// margin of a second.
const longestOrderDelay = 13 * time.Second

// longLeaseEnd is when a long lease that was granted now has expired on every clock.
const longLeaseEnd = maxLease + maxLease*3/100 + 150*time.Millisecond

// registerPair registers the workers w-1, with the given incarnation, and w-2.
func (r *rig) registerPair(incarnation int64) {
	r.core.SetWorkers([]workload.Worker{r.entry("w-1", incarnation), r.entry("w-2", firstIncarnation)}, r.now)
}

func (r *rig) entry(id string, incarnation int64) workload.Worker {
	return workload.Worker{
		ID: id, Incarnation: incarnation, Service: "service", Address: id, Labels: []string{"a", "rack"},
		Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}, Restarted: incarnation != firstIncarnation,
	}
}

// newPairRig returns a rig in which w-2 has no capacity left, so that the next start goes to w-1.
func newPairRig(t *testing.T) *rig {
	r := newRig(t)
	r.registerPair(firstIncarnation)
	for _, id := range []string{"w-1", "w-2"} {
		poll, _ := r.awaitPoll(id)
		r.answerPollAs(poll, firstIncarnation, workload.PollReport{})
	}
	return r
}

// silence steps until a task starts, at most for d, while w-1 answers nothing and all others answer their polls. It returns
// the time until the start, and the start.
func (r *rig) silence(d time.Duration) (time.Duration, []scheduler.StartOrder) {
	beganAt := r.now
	for r.now.Sub(beganAt) < d {
		for id, p := range r.latestPolls {
			delete(r.latestPolls, id)
			if id != "w-1" {
				r.answerPollAs(p, firstIncarnation, workload.PollReport{})
				continue
			}
			r.handlePollResult(scheduler.PollResult{Worker: id, Token: p.Poll.Token, SentAt: r.now, Answer: workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}})
		}
		if orders := r.step(20 * time.Millisecond); len(orders.Starts) > 0 {
			return r.now.Sub(beganAt), orders.Starts
		}
	}
	return d, nil
}

// startOnFirst starts a task of a job on w-1.
func (r *rig) startOnFirst(id string, step workload.Step) scheduler.StartOrder {
	r.submit(id, step)
	starts := r.step(30 * time.Millisecond).Starts
	require.Len(r.t, starts, 1)
	require.Equal(r.t, "w-1", starts[0].Worker.ID)
	return starts[0]
}

// Guards against a task that runs twice because the next process of its worker has carried its start out, with a
// lease on the earlier process's clock, and the owner takes the answer for one of the earlier process.
func TestStartAnsweredByTheNextProcessKeepsItsLongLease(t *testing.T) {
	r := newPairRig(t)
	s := r.startOnFirst("0000000000000001", batchStep(1, 1000))
	r.now = r.now.Add(700 * time.Millisecond)
	r.core.HandleStartResult(scheduler.OrderResult{Worker: "w-1", Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: workload.WorkerAnswer{ClockMS: 120}}, r.now)
	assert.Equal(t, 1, r.core.Counts.WorkerRestarts)
	r.core.SetWorkers([]workload.Worker{r.entry("w-2", firstIncarnation)}, r.now)
	waited, starts := r.silence(30 * time.Second)
	require.Len(t, starts, 1, "the task must start again")
	assert.GreaterOrEqual(t, waited, longLeaseEnd)
}

// Guards against the same if the worker is cut off before its answer arrives: the next process may carry the start out
// as late as any order, and its run then has a long lease.
func TestUnansweredStartMayHaveReachedTheNextProcess(t *testing.T) {
	for _, c := range []struct {
		name      string
		restarted bool // its entry names the next process
		step      workload.Step
		atLeast   time.Duration
	}{
		{"restart is known", true, batchStep(1, 1000), longLeaseEnd},
		{"restart is not known", false, batchStep(1, 1000), longestOrderDelay + longLeaseEnd},
		{"long-running task, restart is known", true, longRunningStep(1, 1000), longLeaseEnd},
		{"long-running task, restart is not known", false, longRunningStep(1, 1000), longestOrderDelay + longLeaseEnd},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newPairRig(t)
			s := r.startOnFirst("0000000000000001", c.step)
			sentAt := r.now
			r.now = r.now.Add(time.Second)
			r.answerStart(s, workload.WorkerOutcomeUnknown)
			if c.restarted {
				r.registerPair(nextIncarnation)
			}
			r.step(10 * time.Millisecond)
			r.core.SetWorkers([]workload.Worker{r.entry("w-2", firstIncarnation)}, r.now)
			_, starts := r.silence(40 * time.Second)
			require.Len(t, starts, 1, "the task must start again")
			assert.GreaterOrEqual(t, r.now.Sub(sentAt), c.atLeast)
		})
	}
}

// Guards against a task that waits for the next process of a worker that has none, because its VM is gone or runs
// another worker: a long-running task must not be down for longer than the ordinary lease.
func TestTaskOfAnEndedWorkerStartsAgainSoon(t *testing.T) {
	for name, step := range map[string]workload.Step{"long-running": longRunningStep(1, 1000), "batch": batchStep(1, 1000)} {
		t.Run(name, func(t *testing.T) {
			r := newPairRig(t)
			s := r.startOnFirst("0000000000000001", step)
			r.now = r.now.Add(time.Second)
			r.answerStart(s, workload.WorkerOutcomeUnknown)
			r.endedWorkers = []string{"w-1"}
			r.core.SetWorkers([]workload.Worker{r.entry("w-2", firstIncarnation)}, r.now)
			waited, starts := r.silence(20 * time.Second)
			require.Len(t, starts, 1)
			assert.Less(t, waited, 4*time.Second)
		})
	}
}

// Guards against checks that are as frequent as steps, or that stop after one without an outcome.
func TestLostWorkersAreCheckedOnceASecond(t *testing.T) {
	r := newPairRig(t)
	s := r.startOnFirst("0000000000000001", longRunningStep(1, 1000))
	r.now = r.now.Add(time.Second)
	r.answerStart(s, workload.WorkerOutcomeUnknown)
	r.core.SetWorkers([]workload.Worker{r.entry("w-2", firstIncarnation)}, r.now)
	_, starts := r.silence(12 * time.Second)
	require.Empty(t, starts)
	assert.InDelta(t, 8, r.workerChecks, 2)
}

// Guards against a task that starts a second time because its worker, which the list of VMs did not show, has an
// entry again: the process may carry the start out after all.
func TestWorkerThatIsRegisteredAgainHasNotEnded(t *testing.T) {
	r := newPairRig(t)
	s := r.startOnFirst("0000000000000001", batchStep(1, 1000))
	r.now = r.now.Add(time.Second)
	r.answerStart(s, workload.WorkerOutcomeUnknown)
	r.core.SetWorkers([]workload.Worker{r.entry("w-2", firstIncarnation)}, r.now)
	r.core.HandleWorkerCheck([]string{"w-1"}, r.now)
	r.registerPair(firstIncarnation)
	_, starts := r.silence(12 * time.Second)
	assert.Empty(t, starts)
}
