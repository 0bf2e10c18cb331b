package scheduler

import (
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// maxStepsWithBitmaps is the number of steps of all occurrences up to which a job's progress has a bitmap for each
// of them, as earlier versions read it. A bitmap of its own takes at least three bytes in the record.
const maxStepsWithBitmaps = 4096

// progressToStore returns the record of a job's current progress.
func (j *job) progressToStore() *workload.Progress {
	progress := &workload.Progress{FinalState: j.finalState, EndedAtMS: j.endedAtMS, Started: j.started}
	if j.finalState.IsTerminal() {
		return progress // the tasks of an ended job are no longer needed
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			s.addTaskProgress(i, progress)
		}
	}
	if len(j.steps) > maxStepsWithBitmaps {
		progress.DoneTasks = j.doneTasks()
		return progress
	}
	for _, s := range j.steps {
		bits := []byte{}
		if s.doneCount > 0 {
			bits = make([]byte, (len(s.tasks)+7)/8)
			s.setDoneBits(bits, 0)
		}
		progress.DoneBitmaps = append(progress.DoneBitmaps, bits)
	}
	return progress
}

// addTaskProgress adds what has happened to a task that is not done, or to a member of a gang, which fails as a whole.
func (s *step) addTaskProgress(index int, progress *workload.Progress) {
	t := &s.tasks[index]
	if t.done && !s.spec.Gang || len(t.failedRuns) == 0 && len(t.crashes) == 0 {
		return
	}
	name := s.taskKey(index).String()[len(s.job.id)+1:]
	if len(t.failedRuns) > 0 {
		if progress.FailedRuns == nil {
			progress.FailedRuns = map[string][]int64{}
		}
		progress.FailedRuns[name] = slices.Clone(t.failedRuns)
	}
	if len(t.crashes) > 0 && !t.done {
		if progress.Crashes == nil {
			progress.Crashes = map[string][]workload.Crash{}
		}
		progress.Crashes[name] = slices.Clone(t.crashes)
	}
}

// setDoneBits sets the bits of the tasks that are done, from bit first on.
func (s *step) setDoneBits(bits []byte, first int) {
	for i := range s.tasks {
		if s.tasks[i].done {
			bits[(first+i)/8] |= 1 << ((first + i) % 8)
		}
	}
}

// doneTasks returns the bitmap of the tasks of all steps that are done.
func (j *job) doneTasks() []byte {
	tasks := 0
	for _, s := range j.steps {
		tasks += len(s.tasks)
	}
	bits := make([]byte, (tasks+7)/8)
	first := 0
	for _, s := range j.steps {
		if s.doneCount > 0 {
			s.setDoneBits(bits, first)
		}
		first += len(s.tasks)
	}
	return bits
}

// markStoredDone marks the tasks as done that are so in stored progress.
func (j *job) markStoredDone(progress *workload.Progress) {
	first := 0
	for i, s := range j.steps {
		bits, offset := progress.DoneTasks, first
		if len(bits) == 0 {
			if i >= len(progress.DoneBitmaps) {
				return
			}
			bits, offset = progress.DoneBitmaps[i], 0
		}
		for k := range s.tasks {
			bit := offset + k
			if bit/8 < len(bits) && bits[bit/8]&(1<<(bit%8)) != 0 {
				s.markDone(&s.tasks[k])
			}
		}
		first += len(s.tasks)
	}
}
