package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against tasks of no fault waiting for a trial behind those that take a worker with
// them for seconds: of two suspects the one with a crash that speaks against it alone is
// tried last, though its job is the older one.
func TestSuspectsThatAreLikelyHarmlessAreTriedFirst(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	short := batch(1, 8000)
	short.EstimateMS = 50 // it would go first by its work
	alone := r.begin("0000000000000001", short)[0]
	beside := r.begin("0000000000000002", batch(1, 5000))[0]
	third := r.begin("0000000000000003", batch(1, 3000))[0]
	r.crash(alone.Worker.ID)
	r.crash(beside.Worker.ID)
	var tried []workload.JobID
	r.workers("w-3")
	r.step(0)
	r.held("w-3", r.now, workload.Held{})
	for range 40 {
		for _, s := range r.step(50 * time.Millisecond).Starts {
			tried = append(tried, s.Start.Task.Job)
			r.started(s, workload.WorkerOK)
			r.now = r.now.Add(time.Second)
			r.held("w-3", r.now, workload.Held{Running: []workload.RunState{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}}})
			r.core.CancelRequested(s.Start.Task.Job, r.now)
			r.held("w-3", r.now.Add(time.Millisecond), end(int64(len(tried)), s, workload.EndStopped))
		}
	}
	require.Len(t, tried, 3)
	assert.Equal(t, alone.Start.Task.Job, tried[2], "after %s and %s", beside.Start.Task.Job, third.Start.Task.Job)
}

// Guards against a long queue of suspects on the workers of a small service, which takes
// minutes: it asks for VMs, and the log tells that they wait. A short one asks for none.
func TestLongQueueOfSuspectsAsksForVMs(t *testing.T) {
	for _, c := range []struct{ suspects, vms int }{{4, 0}, {7, 1}} {
		r := newRig(t)
		r.ready("w-1")
		r.begin("0000000000000001", batch(c.suspects, 1000))
		r.crash("w-1")
		r.workers("w-2")
		r.step(0)
		assert.Equal(t, c.vms*8000, r.core.Loads(r.now)[0].Waiting.CPU, "%d suspects", c.suspects)
		r.held("w-2", r.now, workload.Held{})
		told := 0
		for range 10 {
			for _, d := range r.step(50 * time.Millisecond).Decisions {
				if d.Verb == "suspects-wait" {
					told++
				}
			}
		}
		assert.Equal(t, 1, told)
	}
}

// Guards against a queue of tasks that crash workers holding those of no fault up without
// end, on a service that gets no VMs: 30 of 120 jobs have one, on 4 workers. Each job ends
// as it should.
func TestManyTasksThatCrashWorkersOnASmallService(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(seed, faults{})
		for i := range 4 {
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		crashing := map[workload.JobID]bool{}
		for i := range 120 {
			w.after(w.between(time.Second, 11*time.Second), func() {
				j := w.submit(workload.Spec{Steps: []workload.Step{{Count: 3, Need: workload.Resources{CPU: 2000, MemoryMB: 4000}, EstimateMS: 640}}}, "quick")
				if i%4 == 0 {
					crashing[j.id] = true
					w.crashers[string(j.id)+".0.0."+strconv.Itoa(i%3)] = true
				}
			})
		}
		w.run(240 * time.Second)
		require.Empty(t, w.broken, "seed %d", seed)
		for _, j := range w.jobs {
			state, _ := w.owner.core.State(j.id)
			want := workload.Completed
			if crashing[j.id] {
				want = workload.Failed
			}
			assert.Equal(t, want, state, "seed %d: job %s", seed, j.id)
		}
	}
}
