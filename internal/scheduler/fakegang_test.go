package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// startGangWork schedules the end of all members of a gang as done, one estimated duration after the
// last of them has started.
func (w *world) startGangWork(lastStarted *fakeRun, spec *workload.Step) {
	if spec.LongRunning || len(w.gangMembers(lastStarted)) < spec.Count {
		return
	}
	duration := time.Duration(spec.EstimateMS) * time.Millisecond
	w.after(duration, func() {
		members := w.gangMembers(lastStarted)
		if len(members) < spec.Count {
			return
		}
		for _, m := range members {
			m.worker.endRun(m.run, workload.ExitDone)
		}
	})
}

// gangMember is a member of a gang and its worker.
type gangMember struct {
	worker *fakeWorker
	run    *fakeRun
}

// gangMembers returns the running members of a run's gang, including the run.
func (w *world) gangMembers(member *fakeRun) []gangMember {
	var members []gangMember
	for _, id := range w.workerIDs() {
		f := w.workers[id]
		for _, r := range f.runs {
			if r.task.Job == member.task.Job && r.task.Step == member.task.Step && r.runNumber == member.runNumber {
				members = append(members, gangMember{f, r})
			}
		}
	}
	return members
}

// breakGang ends the remaining members of a gang.
func (w *world) breakGang(lost *fakeRun) {
	for _, m := range w.gangMembers(lost) {
		m.worker.endRun(m.run, workload.ExitGangBroken)
	}
}
