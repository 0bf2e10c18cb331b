package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a task of a queue with advice that never runs again after a crash of its worker, because all workers
// that are reserved for suspects are ones that may not run it.
func TestSuspectWithAdviceRunsOnAWorkerThatMayRunIt(t *testing.T) {
	r := newRig(t)
	r.core.SetConfig(adviceConfig())
	r.syncWorkers("w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8")
	approved := []string{"w-6", "w-7", "w-8", "w-9"}
	r.submitToQueue("advised", "0000000000000001", batchStep(1, 1800))
	starts := r.adviseFor(100*time.Millisecond, approved...).Starts
	require.Len(t, starts, 1)
	r.answerStart(starts[0], workload.WorkerOK)
	remaining := []string{"w-1", "w-2", "w-3", "w-4", "w-5", "w-9"}
	for _, id := range approved[:3] {
		if id != starts[0].Worker.ID {
			remaining = append(remaining, id)
		}
	}
	r.crashAndReplace(starts[0].Worker.ID, remaining...)
	restarts := r.adviseFor(time.Second, approved...).Starts
	require.Len(t, restarts, 1)
	assert.Contains(t, approved, restarts[0].Worker.ID)
}

// Guards against the same on a full service: the only worker that may run the suspect gets another task whenever it has
// room, before it is known that it may run the suspect.
func TestSuspectWithAdviceGetsRoomOnAFullService(t *testing.T) {
	r := newRig(t)
	r.core.SetConfig(adviceConfig())
	r.syncWorkers("w-1")
	r.submitToQueue("advised", "0000000000000001", batchStep(1, 4000))
	starts := r.adviseFor(100*time.Millisecond, "w-1").Starts
	require.Len(t, starts, 1)
	r.answerStart(starts[0], workload.WorkerOK)
	r.setWorkers("w-1", "w-2", "w-3")
	r.step(0)
	r.answerPoll("w-2", r.now, workload.PollReport{})
	r.answerPoll("w-3", r.now, workload.PollReport{})
	other := r.startJob("0000000000000002", batchStep(2, 6000))
	r.crashWorker("w-1")
	r.setWorkers("w-2", "w-3")
	r.submit("0000000000000003", batchStep(2, 6000))
	r.adviseFor(2*time.Second, "w-2")
	for _, s := range other {
		r.answerPoll(s.Worker.ID, r.now.Add(time.Millisecond), exitReport(1, s, workload.ExitDone))
	}
	jobByWorker := map[string]workload.JobID{}
	for _, s := range r.adviseFor(2*time.Second, "w-2").Starts {
		jobByWorker[s.Worker.ID] = s.Start.Task.Job
	}
	assert.Equal(t, map[string]workload.JobID{"w-2": "0000000000000001", "w-3": "0000000000000003"}, jobByWorker)
}

// Guards against a gang that can't be placed any more and keeps workers reserved for its suspects.
func TestGangThatCannotBePlacedReservesNoWorkers(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2", "w-3", "w-4")
	gang := batchStep(4, 7000)
	gang.Gang = true
	starts := r.startJob("0000000000000001", gang)
	var remaining []string
	for _, s := range starts[1:] {
		remaining = append(remaining, s.Worker.ID)
	}
	r.crashWorker(starts[0].Worker.ID)
	r.setWorkers(remaining...)
	for _, s := range starts[1:] {
		r.answerPoll(s.Worker.ID, r.now.Add(time.Millisecond), exitReport(1, s, workload.ExitGangBroken))
	}
	for range 20 {
		assert.Empty(t, r.step(50*time.Millisecond).Starts)
	}
	r.submit("0000000000000002", batchStep(3, 7000))
	assert.Len(t, r.stepFor(100*time.Millisecond).Starts, 3)
}
