package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// reduceCapacity reduces a worker's capacity to a fraction for the given duration.
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

// crashFromRun ends the worker's process because one of its runs crashes it. All its runs are lost.
// A process under the same ID, or a replacement with another ID, follows some seconds later; see
// world.crashedWorkersRestart and world.crashesLoseVM.
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
		f.processDown = false // its VM is lost too: nothing refuses connections at its address
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

// maxEarlyExitAge is the age of a run below which the end of its worker's process may count as an
// early crash. It equals the scheduler's minIsolatedRunTime.
const maxEarlyExitAge = 500 * time.Millisecond

// endProcess ends the worker's process and returns its runs. Connections are refused from then on.
func (f *fakeWorker) endProcess() []*fakeRun {
	f.terminated, f.processDown = true, true
	runs := f.runs
	f.runs = nil
	for _, r := range runs {
		r.exited = true
		job := f.world.jobs[r.task.Job]
		job.lastRunningAt[r.task.String()] = f.world.now
		job.workerExits[r.task.String()]++
		if f.world.now.Sub(r.startedAt) < maxEarlyExitAge {
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

// startProcess starts the worker's process again under the same ID. The new incarnation has no state
// of the previous one; its clock and the sequence numbers of its exits start over. Its registry
// entry follows within a heartbeat.
func (f *fakeWorker) startProcess() {
	f.terminated, f.processDown = false, false
	f.restartCount++
	f.clockStartedAt = f.world.now
	f.highestToken, f.leaseExpiresAt, f.lastExitSequence, f.ackedUpTo, f.lastExitAtLeaseExpiry = 0, 0, 0, 0, 0
	f.unackedExits = nil
	f.highestEndedRun = map[string]int64{}
	f.info.Incarnation = f.world.now.UnixMilli()
	f.info.Restarted = true
	f.world.after(f.world.durationBetween(0, 600*time.Millisecond), f.register)
}

// register writes the worker's registry entry.
func (f *fakeWorker) register() {
	if f.terminated || f.cutFromRegistry {
		return
	}
	f.unregister()
	f.world.registry = append(f.world.registry, f.info)
}

// refusalAnswer returns the answer to a call to a worker whose process has ended or refuses
// connections: that of its replacement, if there is one.
func (f *fakeWorker) refusalAnswer() workload.WorkerAnswer {
	if f.hasReplacement {
		return workload.WorkerAnswer{Status: workload.WorkerReplaced}
	}
	return workload.WorkerAnswer{Status: workload.WorkerConnRefused}
}
