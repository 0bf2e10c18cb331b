package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// submitGang submits a gang of three tasks, two of which fit on a worker, and returns the starts.
func submitGang(r *rig) []scheduler.StartOrder {
	r.syncWorkers("w-1", "w-2")
	gang := batchStep(3, 3000)
	gang.Gang = true
	r.submit("0000000000000001", gang)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(r.t, starts, 3)
	return starts
}

// stepFor steps for d and answers no poll.
func (r *rig) stepFor(d time.Duration) scheduler.Orders {
	var collected scheduler.Orders
	for until := r.now.Add(d); r.now.Before(until); {
		orders := r.step(50 * time.Millisecond)
		collected.Starts = append(collected.Starts, orders.Starts...)
		collected.Stops = append(collected.Stops, orders.Stops...)
	}
	return collected
}

// A worker refuses one member of a gang, and the other members wait for it. They must be stopped
// immediately, because they occupy capacity without doing any work, and the gang must restart under a
// higher run number.
func TestGangWithARefusedMemberIsStoppedAndRestarted(t *testing.T) {
	r := newRig(t)
	starts := submitGang(r)
	r.answerStart(starts[0], workload.WorkerOK)
	r.answerStart(starts[1], workload.WorkerOK)
	r.answerStart(starts[2], workload.WorkerFull)
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 2)
	lastExitSequence := map[string]int64{}
	for _, s := range stops {
		lastExitSequence[s.Worker.ID]++
		r.core.HandleStopResult(scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Token: s.Token, Answer: workload.WorkerAnswer{ClockMS: r.clockMS(s.Worker.ID)}}, r.now)
		r.answerPoll(s.Worker.ID, r.now.Add(time.Millisecond), workload.PollReport{Exited: []workload.RunExit{{Sequence: lastExitSequence[s.Worker.ID], Task: s.Task, Run: s.Run, Reason: workload.ExitStopped}}})
	}
	restarts := r.stepFor(time.Second).Starts
	require.Len(t, restarts, 3)
	for _, s := range restarts {
		assert.Equal(t, starts[0].Start.Run+1, s.Start.Run)
	}
}

// The start of one member of a gang gets no answer. The other members must be stopped before the gang
// timeout, at which they would end without having done any work.
func TestGangWithAnUnansweredStartIsStoppedBeforeTheGangTimeout(t *testing.T) {
	r := newRig(t)
	starts := submitGang(r)
	r.answerStart(starts[0], workload.WorkerOK)
	r.answerStart(starts[1], workload.WorkerOK)
	r.now = r.now.Add(time.Second)
	r.answerStart(starts[2], workload.WorkerOutcomeUnknown)
	stopped := map[workload.TaskKey]bool{}
	for _, s := range r.stepFor(gangTimeout - 1500*time.Millisecond).Stops {
		stopped[s.Task] = true
	}
	assert.True(t, stopped[starts[0].Start.Task])
	assert.True(t, stopped[starts[1].Start.Task])
}

// A gang with all members running must not be stopped, however long it runs.
func TestCompleteGangIsNotStopped(t *testing.T) {
	r := newRig(t)
	for _, s := range submitGang(r) {
		r.answerStart(s, workload.WorkerOK)
	}
	assert.Empty(t, r.stepFor(2*gangTimeout).Stops)
}

// A VM is drained and moves to another pool, and its worker stays listed for seconds. After the drain
// the worker must get no task before it has answered a poll: a start would be refused and delay the
// task by 0.3 s.
func TestDrainedWorkerGetsNoTaskBeforeItAnswersAPoll(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	require.Equal(t, workload.Drained, r.core.DrainWorker("w-1", r.now))
	r.stepFor(3 * time.Second)
	r.submit("0000000000000001", batchStep(1, 1000))
	require.Empty(t, r.step(20*time.Millisecond).Starts)
	r.answerPoll("w-1", r.now, workload.PollReport{})
	assert.Len(t, r.step(20*time.Millisecond).Starts, 1)
}

// Guards against a gang that never starts since it has more members than the orders that may be in flight to the
// workers of a quiet service.
func TestGangStartsWhateverItsSize(t *testing.T) {
	for _, members := range []int{10, 21, 24, 64} {
		r := newRig(t)
		r.syncWorkers("w-1", "w-2")
		gang := batchStep(members, 200)
		gang.Gang = true
		r.submit("0000000000000001", gang)
		starts := r.step(20 * time.Millisecond).Starts
		require.Len(t, starts, members)
		byWorker := map[string]int{}
		for _, s := range starts {
			byWorker[s.Worker.ID]++
		}
		for worker, n := range byWorker {
			assert.LessOrEqual(t, n, max(10, members-10), "%s: workers below the bound come first", worker)
		}
	}
}
