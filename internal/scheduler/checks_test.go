package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// capacityUpdateDelay is how long after a reduction an owner may still use a worker's old capacity:
// the new capacity reaches the owner within three seconds and a heartbeat.
const capacityUpdateDelay = 4500 * time.Millisecond

// checkCapacity checks the start of a task that exceeds the free capacity of a worker that does not
// enforce it. The start is allowed within capacityUpdateDelay after a reduction of the capacity.
func (w *world) checkCapacity(f *fakeWorker, task string) {
	if w.now.Sub(f.capacityReducedAt) > capacityUpdateDelay {
		w.recordViolation("LIMIT", task+" starts on "+f.info.ID+" and exceeds its capacity")
	}
}

// unavailabilityGrace is how long a long-running task may not run, for whatever cause, before it
// counts as unavailable.
const unavailabilityGrace = 4500 * time.Millisecond

// checkMaxUnavailable checks that the stop of a long-running task keeps its step within
// MaxUnavailable. Another task of the step counts as unavailable if it was stopped and has not
// started again, or has not run for more than unavailabilityGrace. Steps without MaxUnavailable,
// cancelled jobs and jobs that failed because a task crashes workers are not checked.
func (w *world) checkMaxUnavailable(r *fakeRun) {
	job := w.jobs[r.task.Job]
	spec := &job.submission.Spec.Steps[r.task.Step]
	taskName := r.task.String()
	if !spec.LongRunning || spec.MaxUnavailable == 0 || !job.cancelledAt.IsZero() || job.failedForCrashes {
		return
	}
	unavailable := 0
	for i := range spec.Count {
		other := workload.TaskKey{Job: job.id, Step: r.task.Step, Index: i}
		if other == r.task || w.isRunning(other) {
			continue
		}
		if job.stoppedNotRestarted[other.String()] || w.now.Sub(job.lastRunningAt[other.String()]) > unavailabilityGrace {
			unavailable++
		}
	}
	if unavailable >= spec.MaxUnavailable {
		w.recordViolation("AVAIL", fmt.Sprintf("%s is stopped while %d others are unavailable", taskName, unavailable))
	}
	job.stoppedNotRestarted[taskName] = true
}

// isRunning reports whether a task runs on a worker whose process is up and is not being stopped.
func (w *world) isRunning(key workload.TaskKey) bool {
	for _, f := range w.workers {
		for _, r := range f.runs {
			if r.task == key && !f.terminated && !r.stopRequested {
				return true
			}
		}
	}
	return false
}

// runKey returns the key of a run in fakeJob.supersededDoneRuns.
func runKey(task string, run int64) string { return fmt.Sprint(task, "#", run) }

// checkStart checks the rules for the start of a task.
func (w *world) checkStart(job *fakeJob, spec *workload.Step, s workload.Start, target *fakeWorker) {
	taskName := s.Task.String()
	if job.acknowledged[taskName] && !spec.Speculative {
		w.recordViolation("TWICE", taskName+" starts after its exit was acknowledged")
	}
	for _, run := range job.doneRuns[taskName] {
		job.supersededDoneRuns[runKey(taskName, run)] = !spec.Speculative // recordAck records a violation if that exit is acknowledged later
	}
	if job.shownState == workload.Completed {
		w.recordViolation("TWICE", taskName+" starts after its job was shown as completed")
	}
	for _, other := range w.workers {
		for _, r := range other.runs {
			if r.task == s.Task && !spec.Speculative {
				w.recordViolation("TWICE", fmt.Sprintf("%s run %d starts on %s while run %d is on %s", taskName, s.Run, target.info.ID, r.runNumber, other.info.ID))
			}
		}
	}
	for _, d := range spec.DependsOn {
		for i := range job.submission.Spec.Steps[d].Count {
			dependency := workload.TaskKey{Job: job.id, Occurrence: s.Task.Occurrence, Step: d, Index: i}.String()
			if !job.done[dependency] {
				w.recordViolation("ORDER", taskName+" starts before "+dependency+" is done")
			}
		}
	}
	if w.crashesLoseVM && w.crashingTasks[taskName] && job.workerCrashes[taskName] == maxSilentVMLosses {
		w.recordViolation("BUDGET", fmt.Sprintf("%s is started again after the loss of %d VMs that ran it", taskName, maxSilentVMLosses))
	}
	if !w.crashesLoseVM && w.crashingTasks[taskName] && job.workerCrashes[taskName] >= 3 {
		job.startsAfterThreeCrashes[taskName]++
		if job.startsAfterThreeCrashes[taskName] == 3 {
			w.recordViolation("BUDGET", taskName+" is started three more times after three worker crashes")
		}
	}
	if !job.cancelledAt.IsZero() && w.now.Sub(job.cancelledAt) > 3*time.Second {
		w.recordViolation("UNASKED", taskName+" starts "+w.now.Sub(job.cancelledAt).String()+" after its job was cancelled")
	}
	if job.failures[taskName] >= testConfig.Queues[0].MaxAttempts && !spec.LongRunning {
		w.recordViolation("BUDGET", taskName+" starts after all its attempts have failed")
	}
	if spec.MaxPerWorker > 0 {
		n := 0
		for _, r := range target.runs {
			if r.task.Job == s.Task.Job && r.task.Step == s.Task.Step && r.task.Occurrence == s.Task.Occurrence {
				n++
			}
		}
		if n >= spec.MaxPerWorker {
			w.recordViolation("ROUTE", taskName+" exceeds the step's MaxPerWorker on "+target.info.ID)
		}
	}
}
