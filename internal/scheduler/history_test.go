package scheduler_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// historyCount returns the number of seeds for which a test runs a history; slower tests use a third,
// a fifth, a tenth or a fifteenth of it. YUCCADRIFT_HISTORIES overrides the default.
func historyCount(t *testing.T) uint64 {
	text := os.Getenv("YUCCADRIFT_HISTORIES")
	if text == "" {
		return 150
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return n
}

// regressionSeeds are seeds that showed a fault of the scheduler or of the test. They lie outside the
// default range; if a larger YUCCADRIFT_HISTORIES includes them, they run twice.
var regressionSeeds = []uint64{589, 726, 787, 1208}

// historySeeds returns the seeds below n and regressionSeeds.
func historySeeds(n uint64) []uint64 {
	var list []uint64
	for seed := range n {
		list = append(list, seed)
	}
	return append(list, regressionSeeds...)
}

// randomJobSpec draws a job of the kinds that callers submit.
func (w *world) randomJobSpec() workload.Spec {
	spec := workload.Spec{Payload: "work"}
	for i := range 1 + w.rng.IntN(3) {
		s := workload.Step{
			Count:       1 + w.rng.IntN(6),
			Resources:   workload.Resources{CPU: 500 + w.rng.IntN(4000), MemoryMB: 500 + w.rng.IntN(8000)},
			EstimateMS:  100 + w.rng.Int64N(2500),
			Checkpoints: w.rng.IntN(3) == 0,
		}
		if i > 0 && w.rng.IntN(2) == 0 {
			s.DependsOn = []int{w.rng.IntN(i)}
		}
		if w.rng.IntN(4) == 0 {
			s.MaxPerWorker = 2
		}
		spec.Steps = append(spec.Steps, s)
	}
	if w.rng.IntN(10) == 0 {
		spec.Steps = []workload.Step{{Count: 4, Resources: workload.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2}}
	}
	return spec
}

// runRandomHistory runs a history in which jobs are submitted and faults are injected for 25 s. New
// faults end at 26 s, the history at 86 s.
func runRandomHistory(seed uint64) *world {
	w := newWorld(seed, faults{lostAnswer: 0.01, lateOrder: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02})
	for i := range 6 {
		w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
	}
	w.takeOver()
	for at := time.Duration(0); at < 25*time.Second; at += w.durationBetween(20*time.Millisecond, 400*time.Millisecond) {
		w.after(at, func() {
			j := w.submit(w.randomJobSpec(), "quick")
			if w.rng.IntN(8) == 0 {
				w.after(w.durationBetween(0, 3*time.Second), func() { w.cancelJob(j) })
			}
		})
	}
	for range 8 {
		w.after(w.durationBetween(time.Second, 25*time.Second), w.injectRandomFault)
	}
	w.after(26*time.Second, func() {
		w.faultsStopped = true
		w.store.unavailable = false
		for _, f := range w.workers {
			f.partitioned = false
		}
	})
	w.runUntil(86 * time.Second)
	return w
}

// injectRandomFault injects one random fault.
func (w *world) injectRandomFault() {
	ids := make([]string, 0, len(w.registry))
	for _, info := range w.registry {
		ids = append(ids, info.ID)
	}
	f := w.workers[ids[w.rng.IntN(len(ids))]]
	switch w.rng.IntN(6) {
	case 0:
		if !w.owner.stopped {
			w.killOwner(w.durationBetween(300*time.Millisecond, 4*time.Second))
		}
	case 1:
		if !w.owner.stopped {
			w.handOverOwner(w.durationBetween(20*time.Millisecond, 600*time.Millisecond))
		}
	case 2:
		// The owner has stalled or is partitioned: another owner takes over while it runs.
		if !w.owner.stopped {
			w.takeOver()
		}
	case 3:
		if !f.terminated {
			f.loseVM()
		}
	case 4:
		f.partitioned = true
		w.after(w.durationBetween(500*time.Millisecond, 8*time.Second), func() { f.partitioned = false })
	case 5:
		w.store.unavailable = true
		w.after(w.durationBetween(time.Second, 6*time.Second), func() { w.store.unavailable = false })
	}
}

// TestRandomHistories runs histories in which owners are killed, replaced and hand over, workers lose
// their VMs and are partitioned, answers are lost, orders are executed late and the store is
// unavailable. Each job must reach a state that its caller may expect, without a violation.
func TestRandomHistories(t *testing.T) {
	starts := 0
	for _, seed := range historySeeds(historyCount(t)) {
		w := runRandomHistory(seed)
		starts += w.starts
		require.Empty(t, w.violations, "seed %d", seed)
		for _, job := range w.jobs {
			state, known := w.owner.core.JobState(job.id)
			require.True(t, known, "seed %d: job %s must be known", seed, job.id)
			switch {
			case !job.cancelledAt.IsZero():
				assert.True(t, state.IsTerminal(), "seed %d: cancelled job %s is %s", seed, job.id, state)
				assert.Zero(t, w.runningCount(job.id), "seed %d: cancelled job %s must not run", seed, job.id)
			case job.submission.Spec.Steps[0].LongRunning:
				assert.Equal(t, workload.Running, state, "seed %d: job %s", seed, job.id)
				missing := w.runningCount(job.id) < job.submission.Spec.Steps[0].Count
				assert.False(t, missing && w.hasFreeCapacity(job), "seed %d: all long-running tasks of job %s must run, as there is free capacity", seed, job.id)
			case w.longRunningMemoryShare() > 0.8:
				// Long-running tasks fill the workers: others may wait forever.
			default:
				assert.Contains(t, []workload.JobState{workload.Completed, workload.Failed}, state, "seed %d: job %s", seed, job.id)
			}
		}
		if t.Failed() {
			return
		}
	}
	t.Log(fmt.Sprint(starts, " starts"))
}

// TestNoTaskRunsTwiceAcrossHandovers runs histories in which owners hand over about every second
// while runs exit. No task may run twice, and none may be lost.
func TestNoTaskRunsTwiceAcrossHandovers(t *testing.T) {
	for _, seed := range historySeeds(historyCount(t) / 3) {
		w := newWorld(seed, faults{})
		for i := range 12 { // enough capacity for all jobs, even if many tasks are long-running
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		for at := time.Duration(0); at < 15*time.Second; at += w.durationBetween(20*time.Millisecond, 300*time.Millisecond) {
			w.after(at, func() { w.submit(w.randomJobSpec(), "quick") })
		}
		for at := time.Second; at < 16*time.Second; at += w.durationBetween(300*time.Millisecond, 1500*time.Millisecond) {
			w.after(at, func() {
				if !w.owner.stopped {
					w.handOverOwner(w.durationBetween(10*time.Millisecond, 100*time.Millisecond))
				}
			})
		}
		w.runUntil(60 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
		for _, job := range w.jobs {
			state, _ := w.owner.core.JobState(job.id)
			require.True(t, state == workload.Completed || job.submission.Spec.Steps[0].LongRunning, "seed %d: job %s is %s", seed, job.id, state)
		}
	}
}

// longRunningMemoryShare returns the share of all memory that long-running tasks reserve.
func (w *world) longRunningMemoryShare() float64 {
	reservedMB, totalMB := 0, 0
	for _, f := range w.workers {
		if f.terminated {
			continue
		}
		totalMB += f.info.Capacity.MemoryMB
		for _, r := range f.runs {
			if r.longRunning {
				reservedMB += r.reserved.MemoryMB
			}
		}
	}
	return float64(reservedMB) / float64(totalMB)
}

// hasFreeCapacity reports whether a worker has capacity for one more task of a job's first step. It
// may have none because long-running tasks fill all workers.
func (w *world) hasFreeCapacity(j *fakeJob) bool {
	spec := &j.submission.Spec.Steps[0]
	for _, f := range w.workers {
		tasksOfJob := 0
		for _, r := range f.runs {
			if r.task.Job == j.id {
				tasksOfJob++
			}
		}
		atMaxPerWorker := spec.MaxPerWorker > 0 && tasksOfJob >= spec.MaxPerWorker
		if !f.terminated && !atMaxPerWorker && spec.Reservation().FitsIn(f.info.Capacity.Sub(f.usedCapacity())) {
			return true
		}
	}
	return false
}

// TestDrainingInRandomHistories drains one worker after the other, as in a maintenance wave, while
// other faults occur. No more of a step's long-running tasks may be stopped at once than
// MaxUnavailable allows, and no worker may be reported drained while it runs tasks. The test does not
// check that any worker becomes drained: the number of drained workers is counted only because
// drainAndRemove needs a counter.
func TestDrainingInRandomHistories(t *testing.T) {
	for _, seed := range historySeeds(historyCount(t)) {
		w := newWorld(seed, faults{lostAnswer: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02})
		for i := range 8 {
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		for range 6 {
			w.after(w.durationBetween(0, 2*time.Second), func() {
				w.submit(workload.Spec{Steps: []workload.Step{{Count: 3 + w.rng.IntN(4), Resources: workload.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2}}}, "quick")
			})
		}
		for at := time.Duration(0); at < 25*time.Second; at += w.durationBetween(100*time.Millisecond, 600*time.Millisecond) {
			w.after(at, func() { w.submit(w.randomJobSpec(), "quick") })
		}
		for range 4 {
			w.after(w.durationBetween(3*time.Second, 25*time.Second), w.injectRandomFault)
		}
		drained := 0
		for i := range 12 {
			w.after(4*time.Second+time.Duration(i)*1500*time.Millisecond, func() { w.drainAndRemove("worker-"+strconv.Itoa(i%8), &drained) })
		}
		w.after(26*time.Second, func() { w.faultsStopped = true })
		w.runUntil(60 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// TestNoTaskRunsTwiceUnderASlowOwner runs histories in which the owner's process is slow for seconds
// at a time, as on an overloaded VM: answers stay unread while leases expire. No task may run twice.
func TestNoTaskRunsTwiceUnderASlowOwner(t *testing.T) {
	for _, seed := range historySeeds(historyCount(t)) {
		w := newWorld(seed, faults{lostAnswer: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02})
		for i := range 8 {
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		for at := time.Duration(0); at < 20*time.Second; at += w.durationBetween(50*time.Millisecond, 300*time.Millisecond) {
			w.after(at, func() { w.submit(w.randomJobSpec(), "quick") })
		}
		for range 4 {
			w.after(w.durationBetween(time.Second, 18*time.Second), func() {
				w.owner.slowUntil = w.now.Add(w.durationBetween(2*time.Second, 6*time.Second))
			})
		}
		w.after(w.durationBetween(2*time.Second, 18*time.Second), w.injectRandomFault)
		w.after(22*time.Second, func() { w.faultsStopped = true })
		w.runUntil(60 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// drainAndRemove drains a worker as the fleet owner does, for up to 8 s. Once the worker is drained,
// it checks that no task runs there, increments drained, and removes the VM for maintenance.
func (w *world) drainAndRemove(id string, drained *int) {
	deadline := w.now.Add(8 * time.Second)
	var attempt func()
	attempt = func() {
		f := w.workers[id]
		if f == nil || f.terminated || w.now.After(deadline) {
			return
		}
		if !w.owner.stopped && w.owner.coreStarted && w.owner.core.DrainWorker(id, w.now) != workload.NotDrained {
			if len(f.runs) > 0 {
				w.recordViolation("CUT", id+" is reported drained but runs tasks")
			}
			*drained++
			f.terminated = true
			f.unregister()
			w.after(2*time.Second, func() { w.addWorker(id+"+", f.info.Capacity) })
			return
		}
		w.after(150*time.Millisecond, attempt)
	}
	attempt()
}

// TestDrainedWorkersStayEmptyUntilTheirVMIsRemoved runs histories in which owners hand over, and a VM
// is removed up to a second after its worker was reported drained, because the order for the VM takes
// time. The worker must not run a task when its VM is removed. At least one worker must become
// drained.
func TestDrainedWorkersStayEmptyUntilTheirVMIsRemoved(t *testing.T) {
	drained := 0
	for seed := range historyCount(t) / 3 {
		w := newWorld(seed, faults{lostAnswer: 0.01})
		for i := range 8 {
			w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		for at := time.Duration(0); at < 20*time.Second; at += w.durationBetween(50*time.Millisecond, 300*time.Millisecond) {
			w.after(at, func() { w.submit(w.randomJobSpec(), "quick") })
		}
		for at := 3 * time.Second; at < 20*time.Second; at += w.durationBetween(300*time.Millisecond, 1500*time.Millisecond) {
			w.after(at, func() {
				if !w.owner.stopped && w.owner.coreStarted {
					w.handOverOwner(w.durationBetween(20*time.Millisecond, 200*time.Millisecond))
				}
			})
		}
		for i := range 16 {
			w.after(2*time.Second+time.Duration(i)*time.Second, func() { w.drainAndRemoveLater("worker-"+strconv.Itoa(i%8), &drained) })
		}
		w.runUntil(30 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
	}
	require.NotZero(t, drained)
}

// drainAndRemoveLater is drainAndRemove with a VM that is removed up to a second after the worker is
// reported drained. It checks for running tasks at the removal.
func (w *world) drainAndRemoveLater(id string, drained *int) {
	deadline := w.now.Add(8 * time.Second)
	var attempt func()
	attempt = func() {
		f := w.workers[id]
		if f == nil || f.terminated || w.now.After(deadline) {
			return
		}
		if w.owner.stopped || !w.owner.coreStarted || w.owner.core.DrainWorker(id, w.now) == workload.NotDrained {
			w.after(150*time.Millisecond, attempt)
			return
		}
		*drained++
		w.after(w.durationBetween(0, time.Second), func() {
			if len(f.runs) > 0 {
				w.recordViolation("CUT", id+" was reported drained but runs tasks when its VM is removed")
			}
			f.terminated = true
			f.runs = nil
			f.unregister()
			w.after(2*time.Second, func() { w.addWorker(id+"+", f.info.Capacity) })
		})
	}
	attempt()
}

// runningCount returns the number of a job's runs on workers whose process is up.
func (w *world) runningCount(id workload.JobID) int {
	n := 0
	for _, f := range w.workers {
		for _, r := range f.runs {
			if r.task.Job == id && !f.terminated {
				n++
			}
		}
	}
	return n
}
