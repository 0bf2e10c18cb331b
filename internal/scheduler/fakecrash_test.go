package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// reduceCapacity reduces a worker's capacity to a fraction for a while.
func (f *fakeWorker) reduceCapacity(fraction float64, duration time.Duration) {
	full := f.info.Capacity
	f.capacityReducedAt = f.world.now
	f.setCapacity(workload.Resources{CPU: int(float64(full.CPU) * fraction), MemoryMB: int(float64(full.MemoryMB) * fraction)})
	f.world.after(duration, func() { f.setCapacity(full) })
}

// setCapacity sets the worker's capacity, also in its registry entry.
func (f *fakeWorker) setCapacity(capacity workload.Resources) {
	f.info.Capacity = capacity
	for i := range f.world.registry {
		if f.world.registry[i].ID == f.info.ID {
			f.world.registry[i].Capacity = capacity
		}
	}
}

// crashDelay is the time from the start of a crashing task to the crash of its worker.
const crashDelay = 10 * time.Millisecond

// crashFromRun ends the worker's process because of one of its tasks. All of its runs are lost.
func (f *fakeWorker) crashFromRun(cause *fakeRun) {
	if f.terminated {
		return
	}
	for _, r := range f.endProcess() {
		taskName := r.task.String()
		f.world.jobs[r.task.Job].workerCrashes[taskName]++
		if r.task.Job != cause.task.Job {
			f.world.lostRunsOfOtherJobs++
		}
	}
	if f.world.crashesLoseVM {
		f.processDown = false // the VM is lost too: nothing at its address refuses calls
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
		f.hasReplacement = true
		f.world.addWorker(f.info.ID+"'", f.info.Capacity)
	})
}

// earlyCrash is how soon after a run's start a crash of its worker is attributed to the task.
const earlyCrash = 500 * time.Millisecond

// endProcess ends the worker's process and returns the runs that it had. Calls are refused from
// then on.
func (f *fakeWorker) endProcess() []*fakeRun {
	f.terminated, f.processDown = true, true
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

// restart ends the worker's process and starts it again under the same ID after downtime.
func (f *fakeWorker) restart(downtime time.Duration) {
	if f.terminated {
		return
	}
	f.endProcess()
	f.world.after(downtime, f.startProcess)
}

// startProcess starts the worker's process again under the same ID. The process knows nothing of
// the previous incarnation; its clock and exit numbers start over. Calls in flight reach it. Its
// registry entry follows within a heartbeat.
func (f *fakeWorker) startProcess() {
	f.terminated, f.processDown = false, false
	f.restartCount++
	f.clockStartedAt = f.world.now
	f.highestToken, f.leaseExpiresAt, f.lastExitSequence, f.ackedUpTo, f.lastExitAtLeaseExpiry = 0, 0, 0, 0, 0
	f.unackedExits = nil
	f.highestEndedRun = map[string]int64{}
	f.info.Incarnation = f.world.now.UnixMilli()
	f.world.after(f.world.durationBetween(0, 600*time.Millisecond), f.register)
}

// register writes the worker's registry entry.
func (f *fakeWorker) register() {
	if f.terminated {
		return
	}
	f.unregister()
	f.world.registry = append(f.world.registry, f.info)
}

// refusalAnswer returns the answer to a call to a worker whose process has ended or refuses
// connections.
func (f *fakeWorker) refusalAnswer() workload.WorkerAnswer {
	if f.hasReplacement {
		return workload.WorkerAnswer{Status: workload.WorkerReplaced}
	}
	return workload.WorkerAnswer{Status: workload.WorkerConnRefused}
}
