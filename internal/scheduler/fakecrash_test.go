package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// reduceCapacity lets a worker's room shrink to a share of what it was, and grow again.
func (f *fakeWorker) reduceCapacity(fraction float64, duration time.Duration) {
	full := f.info.Capacity
	f.capacityReducedAt = f.world.now
	f.setCapacity(workload.Resources{CPU: int(float64(full.CPU) * fraction), MemoryMB: int(float64(full.MemoryMB) * fraction)})
	f.world.after(duration, func() { f.setCapacity(full) })
}

// setCapacity has the worker say what it has room for.
func (f *fakeWorker) setCapacity(capacity workload.Resources) {
	f.info.Capacity = capacity
	for i := range f.world.registry {
		if f.world.registry[i].ID == f.info.ID {
			f.world.registry[i].Capacity = capacity
		}
	}
}

// crashDelay is how long after its start a task that crashes workers does so.
const crashDelay = 10 * time.Millisecond

// crashFromRun ends the worker's process by one of its tasks, and all that it runs.
func (f *fakeWorker) crashFromRun(culprit *fakeRun) {
	if f.terminated {
		return
	}
	for _, r := range f.endProcess() {
		taskName := r.task.String()
		f.world.jobs[r.task.Job].workerCrashes[taskName]++
		if r.task.Job != culprit.task.Job {
			f.world.bystanderRunsLost++
		}
	}
	if f.world.crashesLoseVM {
		f.processCrashed = false // its VM is gone as well: nothing at its address refuses calls
		f.world.after(registryEntryTTL, func() { f.unregister() })
		f.world.after(f.world.durationBetween(time.Second, 5*time.Second), func() { f.world.addWorker(f.info.ID+"+", f.info.Capacity) })
		return
	}
	if f.world.crashedWorkersRestart {
		f.world.after(f.world.durationBetween(300*time.Millisecond, 4*time.Second), f.startProcess)
		return
	}
	f.world.after(registryEntryTTL, func() { f.unregister() })
	f.world.after(f.world.durationBetween(time.Second, 5*time.Second), func() {
		f.hasSuccessor = true
		f.world.addWorker(f.info.ID+"'", f.info.Capacity)
	})
}

// earlyCrash is how soon after a run's start its worker's crash speaks against the task.
const earlyCrash = 500 * time.Millisecond

// endProcess ends the worker's process and returns what it ran. Calls are refused from then on.
func (f *fakeWorker) endProcess() []*fakeRun {
	f.terminated, f.processCrashed = true, true
	runs := f.runs
	f.runs = nil
	for _, r := range runs {
		r.exited = true
		job := f.world.jobs[r.task.Job]
		job.lastRunningAt[r.task.String()] = f.world.now
		job.workerExits[r.task.String()]++
		if f.world.now.Sub(r.startedAt) < earlyCrash {
			job.earlyWorkerExits[r.task.String()]++
		}
		if job.submission.Spec.Steps[r.task.Step].Gang {
			f.world.breakGang(r)
		}
	}
	waitingPolls := f.waitingPolls
	f.waitingPolls = nil
	for _, respond := range waitingPolls {
		respond()
	}
	return runs
}

// restart ends the worker's process and brings it back under its ID after a while.
func (f *fakeWorker) restart(downtime time.Duration) {
	if f.terminated {
		return
	}
	f.endProcess()
	f.world.after(downtime, f.startProcess)
}

// startProcess starts the worker's process again under its ID: it knows nothing of before, and
// its clock and its numbers begin anew. Calls that were on their way reach it. Its entry
// follows within a heartbeat.
func (f *fakeWorker) startProcess() {
	f.terminated, f.processCrashed = false, false
	f.restartCount++
	f.clockStartedAt = f.world.now
	f.highestToken, f.leaseExpiresAt, f.lastExitNumber, f.ackedUpTo, f.lastExitAtLeaseExpiry = 0, 0, 0, 0, 0
	f.unackedExits = nil
	f.highestRunByTask = map[string]int64{}
	f.info.Incarnation = f.world.now.UnixMilli()
	f.world.after(f.world.durationBetween(0, 600*time.Millisecond), f.register)
}

// register writes the worker's entry.
func (f *fakeWorker) register() {
	if f.terminated {
		return
	}
	f.unregister()
	f.world.registry = append(f.world.registry, f.info)
}

// refusalAnswer is how a call to a worker whose process has ended is answered.
func (f *fakeWorker) refusalAnswer() workload.WorkerAnswer {
	if f.hasSuccessor {
		return workload.WorkerAnswer{Status: workload.WorkerReplaced}
	}
	return workload.WorkerAnswer{Status: workload.WorkerConnRefused}
}
