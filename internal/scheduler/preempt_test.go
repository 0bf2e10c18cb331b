package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// fillWorker fills the only worker, which has eight cores, with a step of the less urgent queue.
func fillWorker(r *rig, step workload.Step) []scheduler.StartOrder {
	r.syncWorkers("w-1")
	r.submitToQueue("slow", "0000000000000001", step)
	starts := r.step(20 * time.Millisecond).Starts
	for _, s := range starts {
		r.answerStart(s, workload.WorkerOK)
	}
	return starts
}

func (r *rig) submitToQueue(queue, id string, steps ...workload.Step) workload.JobID {
	job := workload.JobID(id)
	r.core.AddJob(job, &workload.Submission{Queue: queue, Service: "service", AcceptedAtMS: r.now.UnixMilli(), Spec: workload.Spec{Payload: "work", Steps: steps}})
	return job
}

func checkpointedStep(count, cpu int) workload.Step {
	s := batchStep(count, cpu)
	s.EstimateMS = 10_000
	s.Checkpoints = true
	return s
}

// Long tasks of a less urgent queue fill the service when an urgent job arrives. Only as many as
// needed must be stopped, and the urgent job must start once they have exited.
func TestUrgentJobPreemptsLessUrgentRuns(t *testing.T) {
	r := newRig(t)
	starts := fillWorker(r, checkpointedStep(4, 2000))
	require.Len(t, starts, 4)
	urgent := r.submit("0000000000000002", batchStep(1, 3000))
	assert.Empty(t, r.step(50*time.Millisecond).Stops, "capacity may become free without preemption")
	var stops []scheduler.StopOrder
	for range 5 {
		stops = append(stops, r.step(100*time.Millisecond).Stops...)
	}
	require.Len(t, stops, 2, "two stops free enough capacity, and no more follow while they are in progress")
	var exits []workload.RunExit
	for i, s := range stops {
		exits = append(exits, workload.RunExit{Sequence: int64(i + 1), Task: s.Task, Run: s.Run, Reason: workload.ExitStopped, Checkpoint: "half"})
	}
	r.answerPoll("w-1", r.now.Add(time.Millisecond), workload.PollReport{Exited: exits})
	nextStarts := r.step(20 * time.Millisecond).Starts
	require.NotEmpty(t, nextStarts)
	assert.Equal(t, urgent, nextStarts[0].Start.Task.Job)
}

// Runs that are equally urgent, long-running, members of a gang or have much work to lose must not be
// preempted.
func TestOnlyLessUrgentRunsThatLoseLittleArePreempted(t *testing.T) {
	longRunning := batchStep(4, 2000)
	longRunning.LongRunning = true
	gang := checkpointedStep(4, 2000)
	gang.Gang = true
	costly := checkpointedStep(4, 2000)
	costly.Checkpoints = false
	for name, s := range map[string]workload.Step{"long-running": longRunning, "gang": gang, "costly": costly} {
		r := newRig(t)
		require.Len(t, fillWorker(r, s), 4, name)
		r.now = r.now.Add(5 * time.Second)
		r.submit("0000000000000002", batchStep(1, 2000))
		assert.Empty(t, r.stepFor(time.Second).Stops, name)
	}
	r := newRig(t)
	r.syncWorkers("w-1")
	r.submit("0000000000000001", checkpointedStep(4, 2000))
	for _, s := range r.step(20 * time.Millisecond).Starts {
		r.answerStart(s, workload.WorkerOK)
	}
	r.submit("0000000000000002", batchStep(1, 2000))
	assert.Empty(t, r.stepFor(time.Second).Stops, "runs of the same queue must not be preempted")
}

// A long-running task of an urgent queue must start while less urgent work fills the service. It must
// preempt one run, although that run has no checkpoint, because little work is lost.
func TestLongRunningTaskPreemptsRunsWithoutCheckpoint(t *testing.T) {
	r := newRig(t)
	plain := batchStep(4, 2000)
	plain.EstimateMS = 10_000
	require.Len(t, fillWorker(r, plain), 4)
	r.now = r.now.Add(3 * time.Second)
	r.submit("0000000000000002", workload.Step{Count: 1, Resources: workload.Resources{CPU: 2000, MemoryMB: 100}, LongRunning: true})
	assert.Len(t, r.stepFor(2*time.Second).Stops, 1)
}

// TestPreemptionInRandomHistories runs histories with an urgent and a less urgent queue on a service
// that is too small, with the faults of the other histories. No rule may be violated.
func TestPreemptionInRandomHistories(t *testing.T) {
	for seed := range historyCount(t) / 3 {
		w := newWorld(seed, faults{lostAnswer: 0.01, lateOrder: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02})
		for i := range 4 {
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 8000, MemoryMB: 32000})
		}
		w.takeOver()
		for at := time.Duration(0); at < 15*time.Second; at += w.durationBetween(100*time.Millisecond, 700*time.Millisecond) {
			w.after(at, func() {
				queue := []string{"quick", "slow"}[w.rng.IntN(2)]
				w.submit(w.randomJobSpec(), queue)
			})
		}
		for range 4 {
			w.after(w.durationBetween(time.Second, 15*time.Second), w.injectRandomFault)
		}
		w.after(16*time.Second, func() {
			w.faultsStopped = true
			w.store.unavailable = false
			for _, f := range w.workers {
				f.partitioned = false
			}
		})
		w.runUntil(80 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// More steps wait than a plan makes preemption searches, and the first ones can't be placed, because
// no worker has their label. If they used up the searches of each plan, a step ranked lower would
// wait until the less urgent work is done.
func TestUnplaceableStepsDoNotUseUpAllPreemptionSearches(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		r := newRig(t)
		require.Len(t, fillWorker(r, checkpointedStep(4, 2000)), 4)
		for i := range 6 {
			unplaceable := batchStep(1, 1000)
			unplaceable.LongRunning, unplaceable.RequiredLabel = longRunning, "none has it"
			r.submit("00000000000001"+strconv.Itoa(10+i), unplaceable)
		}
		placeable := batchStep(1, 2000)
		placeable.LongRunning = longRunning
		r.submit("0000000000000200", placeable)
		var stops []scheduler.StopOrder
		for range 15 {
			stops = append(stops, r.step(100*time.Millisecond).Stops...)
		}
		assert.Len(t, stops, 1, "one less urgent run must be preempted, long-running: %t", longRunning)
	}
}
