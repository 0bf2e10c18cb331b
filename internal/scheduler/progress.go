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
	for s := range j.openSteps() {
		for i := range s.tasks {
			s.addTaskProgress(i, progress)
		}
	}
	specs, occurrences := j.submission.Spec.Steps, j.submission.Spec.Occurrences()
	if len(specs)*occurrences > maxStepsWithBitmaps {
		progress.DoneTasks = j.doneTasks()
		return progress
	}
	for o := range occurrences {
		for n := range specs {
			bits := []byte{}
			if j.hasDoneTasks(o, n) {
				bits = make([]byte, (specs[n].Count+7)/8)
				j.setDoneBits(bits, 0, o, n)
			}
			progress.DoneBitmaps = append(progress.DoneBitmaps, bits)
		}
	}
	return progress
}

// addTaskProgress adds what has happened to a task that is not done, or to a member of a gang, which fails as a whole.
func (s *step) addTaskProgress(index int, progress *workload.Progress) {
	t := s.peek(index)
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

// hasDoneTasks reports whether tasks of a step of an occurrence are done.
func (j *job) hasDoneTasks(occurrence, number int) bool {
	if steps := j.occurrenceSteps(occurrence); steps != nil {
		return steps[number].doneCount > 0
	}
	return j.isOccurrenceDone(occurrence)
}

// setDoneBits sets the bits of the tasks of a step of an occurrence that are done, from bit first on.
func (j *job) setDoneBits(bits []byte, first, occurrence, number int) {
	steps := j.occurrenceSteps(occurrence)
	for i := range j.submission.Spec.Steps[number].Count {
		if steps == nil || steps[number].peek(i).done {
			bits[(first+i)/8] |= 1 << ((first + i) % 8)
		}
	}
}

// doneTasks returns the bitmap of the tasks of all occurrences that are done.
func (j *job) doneTasks() []byte {
	specs, occurrences := j.submission.Spec.Steps, j.submission.Spec.Occurrences()
	bits := make([]byte, (j.tasksPerOccurrence()*occurrences+7)/8)
	first := 0
	for o := range occurrences {
		for n := range specs {
			if j.hasDoneTasks(o, n) {
				j.setDoneBits(bits, first, o, n)
			}
			first += specs[n].Count
		}
	}
	return bits
}

// markStoredDone marks the tasks as done that are so in stored progress. Occurrences of which all tasks are done, or none,
// stay closed.
func (j *job) markStoredDone(progress *workload.Progress) {
	specs, first := j.submission.Spec.Steps, 0
	for o := range j.submission.Spec.Occurrences() {
		done := make([][]int, len(specs))
		total := 0
		for n := range specs {
			bits, offset := progress.DoneTasks, first
			if len(bits) == 0 {
				if i := o*len(specs) + n; i < len(progress.DoneBitmaps) {
					bits, offset = progress.DoneBitmaps[i], 0
				}
			}
			done[n] = setBits(bits, offset, specs[n].Count)
			total += len(done[n])
			first += specs[n].Count
		}
		switch {
		case total == 0:
		case j.submission.Spec.Repeat > 0 && total == j.tasksPerOccurrence() && j.occurrenceSteps(o) == nil:
			if !j.isOccurrenceDone(o) {
				j.setOccurrenceDone(o)
				j.remainingTasks -= total
			}
		default:
			for n, s := range j.openOccurrence(o) {
				for _, i := range done[n] {
					s.markDone(s.task(i))
					s.releaseDone(i)
				}
			}
		}
	}
}

// setBits returns which of count bits, from bit first on, are set.
func setBits(bits []byte, first, count int) []int {
	var set []int
	for i := range count {
		if bit := first + i; bit/8 < len(bits) && bits[bit/8]&(1<<(bit%8)) != 0 {
			set = append(set, i)
		}
	}
	return set
}
