package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Suspects that probably crash no worker must not wait for those that do, since each crash makes a
// worker unavailable for seconds. The sole cause of a crash must be isolated last, although its job is
// the oldest.
func TestSoleCauseOfACrashIsIsolatedLast(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1", "w-2")
	short := batchStep(1, 8000)
	short.EstimateMS = 50 // the least work, so its job is ranked first otherwise
	soleCause := r.startJob("0000000000000001", short)[0]
	firstOfTwo := r.startJob("0000000000000002", batchStep(1, 5000))[0]
	secondOfTwo := r.startJob("0000000000000003", batchStep(1, 3000))[0]
	r.crashWorker(soleCause.Worker.ID)
	r.crashWorker(firstOfTwo.Worker.ID)
	var isolated []workload.JobID
	r.setWorkers("w-3")
	r.step(0)
	r.answerPoll("w-3", r.now, workload.PollReport{})
	for range 40 {
		for _, s := range r.step(50 * time.Millisecond).Starts {
			isolated = append(isolated, s.Start.Task.Job)
			r.answerStart(s, workload.WorkerOK)
			r.now = r.now.Add(time.Second)
			r.answerPoll("w-3", r.now, workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}})
			r.core.CancelJob(s.Start.Task.Job, nil, r.now)
			r.answerPoll("w-3", r.now.Add(time.Millisecond), exitReport(int64(len(isolated)), s, workload.ExitStopped))
		}
	}
	require.Len(t, isolated, 3)
	assert.Equal(t, soleCause.Start.Task.Job, isolated[2], "after %s and %s", firstOfTwo.Start.Task.Job, secondOfTwo.Start.Task.Job)
}

// On a small service the isolated runs of many suspects take minutes. A long queue of suspects must
// count as demand for VMs, a short one must not. Either must be logged once.
func TestLongQueueOfSuspectsRequestsVMs(t *testing.T) {
	for _, c := range []struct{ suspects, vms int }{{4, 0}, {7, 1}} {
		r := newRig(t)
		r.syncWorkers("w-1")
		r.startJob("0000000000000001", batchStep(c.suspects, 1000))
		r.crashWorker("w-1")
		r.setWorkers("w-2")
		r.step(0)
		assert.Equal(t, c.vms*8000, r.core.ServiceLoads(r.now)[0].PendingDemand.CPU, "%d suspects", c.suspects)
		r.answerPoll("w-2", r.now, workload.PollReport{})
		logged := 0
		for range 10 {
			for _, d := range r.step(50 * time.Millisecond).Decisions {
				if d.Verb == "suspects-wait" {
					logged++
				}
			}
		}
		assert.Equal(t, 1, logged)
	}
}

// On a service that gets no further VMs, tasks that crash workers must not delay the others forever.
// Of 120 jobs on 4 workers, 30 have such a task and must fail, and the others must complete.
func TestManyTasksThatCrashWorkersOnASmallService(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(seed, faults{})
		for i := range 4 {
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		isCrashingJob := map[workload.JobID]bool{}
		for i := range 120 {
			w.after(w.durationBetween(time.Second, 11*time.Second), func() {
				j := w.submit(workload.Spec{Steps: []workload.Step{{Count: 3, Resources: workload.Resources{CPU: 2000, MemoryMB: 4000}, EstimateMS: 640}}}, "quick")
				if i%4 == 0 {
					isCrashingJob[j.id] = true
					w.crashingTasks[string(j.id)+".0.0."+strconv.Itoa(i%3)] = true
				}
			})
		}
		w.runUntil(240 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
		for _, j := range w.jobs {
			state, _ := w.owner.core.JobState(j.id)
			want := workload.Completed
			if isCrashingJob[j.id] {
				want = workload.Failed
			}
			assert.Equal(t, want, state, "seed %d: job %s", seed, j.id)
		}
	}
}
