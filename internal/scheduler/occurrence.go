package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// An occurrence of a job is open while its steps and tasks are in memory: from when it is due, or a worker names one of
// its tasks, until all of them are done. What is known of the others is whether they are done, so that a job costs no
// more memory if it has more occurrences.

// maxWaitingTasks is the number of tasks in open occurrences of a job without runs from which on no further occurrence
// is opened because it is due: a schedule that begins in the past has thousands that are.
const maxWaitingTasks = 1024

// openOccurrence is an occurrence with its steps.
type openOccurrence struct {
	number int
	steps  []*step
}

// setSubmission sets the job's submission. None of its occurrences is open or done.
func (j *job) setSubmission(submission *workload.Submission) {
	j.submission = submission
	j.remainingTasks = j.tasksPerOccurrence() * submission.Spec.Occurrences()
	if submission.Spec.Repeat == 0 {
		j.openOccurrence(0)
	}
}

func (j *job) tasksPerOccurrence() int {
	n := 0
	for i := range j.submission.Spec.Steps {
		n += j.submission.Spec.Steps[i].Count
	}
	return n
}

// openSteps returns the steps of the open occurrences, ordered by occurrence, then step.
func (j *job) openSteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.open {
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}

func (j *job) findOpen(number int) (index int, isOpen bool) {
	return slices.BinarySearchFunc(j.open, number, func(o openOccurrence, n int) int { return cmp.Compare(o.number, n) })
}

// occurrenceSteps returns the steps of an occurrence, none unless it is open.
func (j *job) occurrenceSteps(number int) []*step {
	i, isOpen := j.findOpen(number)
	if !isOpen {
		return nil
	}
	return j.open[i].steps
}

// openOccurrence opens an occurrence unless it is open, and returns its steps.
func (j *job) openOccurrence(number int) []*step {
	i, isOpen := j.findOpen(number)
	if isOpen {
		return j.open[i].steps
	}
	o := openOccurrence{number: number}
	for n := range j.submission.Spec.Steps {
		spec := &j.submission.Spec.Steps[n]
		s := &step{job: j, spec: spec, occurrence: number, number: n, tasks: make([]*task, spec.Count), idleCount: spec.Count}
		if j.isOccurrenceDone(number) {
			s.idleCount, s.doneCount = 0, spec.Count
			for i := range s.tasks {
				s.tasks[i] = doneTask
			}
		}
		o.steps = append(o.steps, s)
	}
	j.open = slices.Insert(j.open, i, o)
	return o.steps
}

// isOccurrenceDone reports whether an occurrence was closed since all its tasks are done.
func (j *job) isOccurrenceDone(number int) bool {
	return number < j.firstUndone || number/8 < len(j.doneOccurrences) && j.doneOccurrences[number/8]&(1<<(number%8)) != 0
}

// setOccurrenceDone records that all tasks of an occurrence are done.
func (j *job) setOccurrenceDone(number int) {
	if j.doneOccurrences == nil {
		j.doneOccurrences = make([]byte, (j.submission.Spec.Occurrences()+7)/8)
	}
	j.doneOccurrences[number/8] |= 1 << (number % 8)
	for j.firstUndone < j.submission.Spec.Occurrences() && j.doneOccurrences[j.firstUndone/8]&(1<<(j.firstUndone%8)) != 0 {
		j.firstUndone++
	}
}

// closeDoneOccurrences closes the occurrences of a repeated job whose tasks are done, unless they have runs or crashes.
func (j *job) closeDoneOccurrences() {
	if j.submission.Spec.Repeat == 0 {
		return
	}
	j.open = slices.DeleteFunc(j.open, func(o openOccurrence) bool {
		for _, s := range o.steps {
			if s.doneCount < len(s.tasks) || len(s.liveRunsByWorker) > 0 || s.hasCrashes {
				return false
			}
		}
		j.setOccurrenceDone(o.number)
		return true
	})
}

// MaxWaitingOccurrences returns how many occurrences of a job with a spec an owner opens because they are due.
func MaxWaitingOccurrences(spec *workload.Spec, now time.Time) int {
	due, waiting, tasks := 0, 0, 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count
	}
	for ; due < spec.Occurrences() && waiting < maxWaitingTasks && !now.Before(spec.DueAt(due)); due++ {
		waiting += tasks
	}
	return due
}

// openDue opens the occurrences that are due until the given time, as many as may wait, and returns all open ones that
// are.
func (j *job) openDue(until time.Time) []openOccurrence {
	if j.submission.Spec.Repeat == 0 {
		if until.Before(j.submission.Spec.DueAt(0)) {
			return nil
		}
		return j.open
	}
	waiting := j.waitingTasks()
	for number := j.firstUndone; number < j.submission.Spec.Occurrences() && waiting < maxWaitingTasks && !until.Before(j.submission.Spec.DueAt(number)); number++ {
		if _, isOpen := j.findOpen(number); !isOpen && !j.isOccurrenceDone(number) {
			j.openOccurrence(number)
			waiting += j.tasksPerOccurrence()
		}
	}
	due, _ := slices.BinarySearchFunc(j.open, until, func(o openOccurrence, until time.Time) int {
		if until.Before(j.submission.Spec.DueAt(o.number)) {
			return 1
		}
		return -1
	})
	return j.open[:due]
}

// waitingTasks returns the number of idle tasks of the open occurrences that have no run.
func (j *job) waitingTasks() int {
	waiting := 0
	for _, o := range j.open {
		if !slices.ContainsFunc(o.steps, func(s *step) bool { return len(s.liveRunsByWorker) > 0 }) {
			waiting += idleTaskCount(o.steps)
		}
	}
	return waiting
}

// closedDueOccurrences returns the number of occurrences that are due and neither open nor done.
func (j *job) closedDueOccurrences(now time.Time) int {
	n := 0
	for number := j.firstUndone; number < j.submission.Spec.Occurrences() && !now.Before(j.submission.Spec.DueAt(number)); number++ {
		if _, isOpen := j.findOpen(number); !isOpen && !j.isOccurrenceDone(number) {
			n++
		}
	}
	return n
}

// step returns a step by occurrence and number, nil if there is none. It opens the occurrence.
func (j *job) step(occurrence, number int) *step {
	if j.submission == nil || number >= len(j.submission.Spec.Steps) || occurrence >= j.submission.Spec.Occurrences() {
		return nil
	}
	return j.openOccurrence(occurrence)[number]
}
