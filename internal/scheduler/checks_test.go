package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// shrinkGrace is how long a room that has shrunk doesn't count as smaller: the word has
// to reach the owner, three seconds and a heartbeat.
const shrinkGrace = 4500 * time.Millisecond

// checkRoom checks that no start brings an unguarded worker over its room.
func (w *world) checkRoom(f *fakeWorker, task string) {
	if w.now.Sub(f.shrunkAt) > shrinkGrace {
		w.breaks("LIMIT", task+" brings "+f.info.ID+" over its room")
	}
}

// notice is how long a lasting task may be away before it counts as missing
// whatever the cause.
const notice = 4500 * time.Millisecond

// checkStop checks that the step of a lasting task bears its stop: others that
// were stopped, or are away for long, are within what it may miss. A job that was given up
// has ended, and all its tasks with it.
func (w *world) checkStop(r *fakeRun) {
	j := w.jobs[r.task.Job]
	spec := &j.sub.Spec.Steps[r.task.Step]
	name := r.task.String()
	if !spec.Lasting || spec.MayMiss == 0 || !j.cancelled.IsZero() || j.givenUp {
		return
	}
	away := 0
	for i := range spec.Count {
		other := workload.TaskKey{Job: j.id, Step: r.task.Step, Index: i}
		if other == r.task || w.atWork(other) {
			continue
		}
		if j.ordered[other.String()] || w.now.Sub(j.lastSeen[other.String()]) > notice {
			away++
		}
	}
	if away >= spec.MayMiss {
		w.breaks("AVAIL", fmt.Sprintf("%s is stopped while %d others are away", name, away))
	}
	j.ordered[name] = true
}

// atWork tells whether a task runs on a worker that lives.
func (w *world) atWork(key workload.TaskKey) bool {
	for _, f := range w.workers {
		for _, r := range f.runs {
			if r.task == key && !f.gone && !r.stopped {
				return true
			}
		}
	}
	return false
}

func runName(task string, run int64) string { return fmt.Sprint(task, "#", run) }

// checkStart checks the promises about a start.
func (w *world) checkStart(j *fakeJob, spec *workload.Step, s workload.Start, on *fakeWorker) {
	name := s.Task.String()
	if j.noted[name] && !spec.Speculative {
		w.breaks("TWICE", name+" starts after its end was acknowledged")
	}
	for _, run := range j.doneRuns[name] {
		j.again[runName(name, run)] = !spec.Speculative // allowed only where that end is lost
	}
	if j.shown == workload.Completed {
		w.breaks("TWICE", name+" starts after its job was shown as completed")
	}
	for _, other := range w.workers {
		for _, r := range other.runs {
			if r.task == s.Task && !spec.Speculative {
				w.breaks("TWICE", fmt.Sprintf("%s run %d starts on %s while run %d is on %s", name, s.Run, on.info.ID, r.number, other.info.ID))
			}
		}
	}
	for _, d := range spec.DependsOn {
		for i := range j.sub.Spec.Steps[d].Count {
			before := workload.TaskKey{Job: j.id, Occurrence: s.Task.Occurrence, Step: d, Index: i}.String()
			if !j.done[before] {
				w.breaks("ORDER", name+" starts before "+before+" is done")
			}
		}
	}
	if w.silentCrashes && w.crashers[name] && j.crashes[name] == mostSilent {
		w.breaks("BUDGET", fmt.Sprintf("%s is started again after %d VMs were lost under it", name, mostSilent))
	}
	if !w.silentCrashes && w.crashers[name] && j.crashes[name] >= 3 {
		j.startsAfter[name]++
		if j.startsAfter[name] == 3 {
			w.breaks("BUDGET", name+" is started three times more after three workers have crashed under it")
		}
	}
	if !j.cancelled.IsZero() && w.now.Sub(j.cancelled) > 3*time.Second {
		w.breaks("UNASKED", name+" starts "+w.now.Sub(j.cancelled).String()+" after its job was cancelled")
	}
	if j.failed[name] >= testConfig.Queues[0].MaxAttempts && !spec.Lasting {
		w.breaks("BUDGET", name+" starts after all its attempts have failed")
	}
	if spec.MaxPerWorker > 0 {
		n := 0
		for _, r := range on.runs {
			if r.task.Job == s.Task.Job && r.task.Step == s.Task.Step && r.task.Occurrence == s.Task.Occurrence {
				n++
			}
		}
		if n >= spec.MaxPerWorker {
			w.breaks("ROUTE", name+" is one too many of its step on "+on.info.ID)
		}
	}
}
