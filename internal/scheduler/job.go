package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// job is an accepted job with all its steps. It ends when finalState is set. Callers see the
// end once storedState has the same value.
type job struct {
	id         workload.JobID
	submission *workload.Submission // nil while only a cancellation or progress was read
	// queue is the job's queue in the current configuration, nil if it was removed.
	queue   *workload.Queue
	account *account // of its workspace, nil if it has none
	// isBeyondWeight is set if its workspace had handed in more jobs than its weight allows.
	isBeyondWeight bool
	// isOrdered is set once the partition is known up to the job's record, which is at logOffset; isNew
	// if all its records lie behind this owner's fence; inSnapshot if it was known when the owner began. See
	// logorder.go.
	isOrdered, isNew, inSnapshot bool
	logOffset                    int64
	prediction                   startPrediction
	open                         []openOccurrence // ordered by number
	// doneOccurrences is a bitmap of the closed occurrences that are done, nil if there is none; all before firstUndone
	// are.
	doneOccurrences []byte
	firstUndone     int
	remainingTasks  int  // tasks that are not done, long-running ones included
	liveRuns        int  // runs that are not known to have ended
	started         bool // one of its tasks has been started
	cancelRequested bool
	// earlyCancels are who sent the cancellations that were read before the job; see CancelJob.
	earlyCancels     []*workload.Requester
	finalState       workload.JobState // "" until the job ends
	endedAtMS        int64
	storedState      workload.JobState  // finalState as stored, pending until then
	restoredProgress *workload.Progress // stored by earlier owners, nil if there is none
}

// step is one step of one occurrence of a job, with its tasks.
type step struct {
	job                     *job
	spec                    *workload.Step
	occurrence              int
	number                  int
	tasks                   []*task // nil for those to which nothing has happened; see peek and task
	doneCount               int
	idleCount               int       // tasks that are not done and have no run
	hasCrashes              bool      // its tasks have or had crash records
	waitingForCapacitySince time.Time // since when idle tasks find no free capacity, zero if they don't wait
	// waitingForIsolationSince is since when a gang waits for workers for its suspects.
	waitingForIsolationSince time.Time
	hold                     stepHold
	acceptsDroppedExits      bool // it can't be placed without workers that may drop their exits
	// nextPreemptionSearchAt is when the step may search for preemptible runs again.
	nextPreemptionSearchAt time.Time
	lastRunSeq             int64          // of this epoch's run numbers
	liveRunsByWorker       map[string]int // by worker ID; nil before the first run
	liveRunsByRack         map[string]int // by the rack of the worker when the run was added; nil before the first run
	checkpoint             string         // newest of any task; a gang restarts from it
	failedOn               []string       // IDs of the workers that its runs failed on since one succeeded, at most maxWorkersBlamed
	advice                 *adviceState   // nil if no advice is needed: any worker may run it
	occurrenceRanked       bool           // set on an occurrence's first step while the occurrence is ranked
	// sizeStats is the record of the occurrence's job size in its queue, nil before the
	// occurrence is ranked and for long-running jobs.
	sizeStats *sizeStats
}

// task is one task of a step. It is idle, and waits for a start, while it is not done and has
// no runs.
type task struct {
	done         bool
	runs         []*run  // not known to have ended
	failedRuns   []int64 // numbers of runs that failed by the task's own fault
	madeProgress bool    // a run of it ran for minProgressTime, or it was cleared
	// crashes are the recorded crashes of workers that ran the task, latest last, and the
	// record of a planned isolated run. The write with sequence crashesStoredInWrite stores
	// them.
	crashes              []workload.Crash
	crashesStoredInWrite int64
	// plannedIsolatedRun is an isolated run that starts once the plan is stored, nil if none
	// is planned.
	plannedIsolatedRun *plannedIsolatedRun
	checkpoint         string
	avoidWorker        string    // ID of the worker where it failed last
	avoidUntil         time.Time // until then it does not start on avoidWorker
	notBefore          time.Time // earliest time of the next start
	earlyFailures      int       // in a row, of a long-running task
}

// newTask and doneTask are what all tasks are to which nothing has happened, and those that are done and of which nothing
// else matters any more. They are never written.
var newTask, doneTask = &task{}, &task{done: true}

// peek returns a task for reading.
func (s *step) peek(index int) *task {
	if s.tasks[index] == nil {
		return newTask
	}
	return s.tasks[index]
}

// task returns a task for reading and writing.
func (s *step) task(index int) *task {
	switch s.tasks[index] {
	case nil:
		s.tasks[index] = &task{}
	case doneTask:
		s.tasks[index] = &task{done: true}
	}
	return s.tasks[index]
}

// releaseDone frees what is kept of a task that is done, unless something may still be asked of it.
func (s *step) releaseDone(index int) {
	if t := s.peek(index); t.done && len(t.runs) == 0 && len(t.crashes) == 0 && !s.spec.Gang {
		s.tasks[index] = doneTask
	}
}

// findTask returns the step and task of a key, nil if there is no such task.
func (c *Core) findTask(k workload.TaskKey) (*step, *task) {
	j, ok := c.jobs[k.Job]
	if !ok {
		return nil, nil
	}
	s := j.step(k.Occurrence, k.Step)
	if s == nil || k.Index >= len(s.tasks) {
		return nil, nil
	}
	return s, s.task(k.Index)
}

func (s *step) taskKey(index int) workload.TaskKey {
	return workload.TaskKey{Job: s.job.id, Occurrence: s.occurrence, Step: s.number, Index: index}
}

// isReady reports whether the step's tasks may run: the occurrence is due and all steps that
// it depends on are done.
func (s *step) isReady(now time.Time) bool {
	if due := s.job.submission.Spec.DueAt(s.occurrence); !due.IsZero() && now.UnixMilli() < due.UnixMilli() {
		return false
	}
	for _, d := range s.spec.DependsOn {
		dependency := s.job.step(s.occurrence, d)
		if dependency.doneCount < len(dependency.tasks) {
			return false
		}
	}
	return true
}

// addRun adds a live run to a task.
func (s *step) addRun(t *task, r *run) {
	if len(t.runs) == 0 && !t.done {
		s.idleCount--
	}
	if s.idleCount == 0 {
		s.waitingForCapacitySince = time.Time{}
	}
	s.hold = stepHold{}
	t.runs = append(t.runs, r)
	if a := s.job.account; a != nil {
		a.reserved = a.reserved.Add(s.spec.Resources)
	}
	if s.liveRunsByWorker == nil {
		s.liveRunsByWorker, s.liveRunsByRack = map[string]int{}, map[string]int{}
	}
	s.liveRunsByWorker[r.worker.info.ID]++
	r.rack = r.worker.info.Rack()
	s.liveRunsByRack[r.rack]++
	s.job.liveRuns++
	s.job.started = true
}

// removeRun removes a run that has ended from its task.
func (s *step) removeRun(t *task, r *run) {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	if len(t.runs) == 0 && !t.done {
		s.idleCount++
	}
	if a := s.job.account; a != nil {
		a.reserved = a.reserved.Sub(s.spec.Resources)
	}
	s.job.liveRuns--
	if s.liveRunsByRack[r.rack]--; s.liveRunsByRack[r.rack] == 0 {
		delete(s.liveRunsByRack, r.rack)
	}
	if s.liveRunsByWorker[r.worker.info.ID]--; s.liveRunsByWorker[r.worker.info.ID] == 0 {
		delete(s.liveRunsByWorker, r.worker.info.ID)
	}
}

// markDone marks a task done.
func (s *step) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	if len(t.runs) == 0 {
		s.idleCount--
	}
	s.doneCount++
	s.job.remainingTasks--
}

// applyStoredProgress applies the stored progress of a job.
func (c *Core) applyStoredProgress(j *job) {
	progress := j.restoredProgress
	j.markStoredDone(progress)
	for name, runs := range progress.FailedRuns {
		if s, i := c.findStoredTask(j, name); s != nil {
			s.task(i).failedRuns = runs
		}
	}
	for name, crashes := range progress.Crashes {
		if s, i := c.findStoredTask(j, name); s != nil {
			c.restoreCrashes(s, i, crashes)
		}
	}
	j.started = j.started || progress.Started
	if progress.FinalState.IsTerminal() {
		j.finalState = progress.FinalState
		j.storedState = progress.FinalState
		j.endedAtMS = progress.EndedAtMS
	}
}

// restoreCrashes restores the stored crash records of a task.
func (c *Core) restoreCrashes(s *step, index int, crashes []workload.Crash) {
	c.trackStepWithCrashes(s)
	s.task(index).crashes = crashes
	for _, crash := range crashes {
		if (crash.IsolatedRunPending || crash.Unconfirmed) && !s.job.restoredProgress.FinalState.IsTerminal() {
			c.restoreRunFromCrashRecord(s, index, crash)
		}
	}
}

// findStoredTask returns the step and index of a task by its name in stored progress, and a
// nil step if there is no such task.
func (c *Core) findStoredTask(j *job, name string) (*step, int) {
	key, err := workload.ParseTaskKey(string(j.id) + "." + name)
	if err != nil {
		c.recordDecision(Decision{Verb: "ignored", Job: j.id, Reason: "stored progress: " + err.Error()})
		return nil, 0
	}
	s, _ := c.findTask(key)
	return s, key.Index
}

// applyEarlyCancel cancels a job whose cancellation was read before the job.
func (c *Core) applyEarlyCancel(j *job) {
	j.cancelRequested = j.cancelRequested || slices.ContainsFunc(j.earlyCancels, j.mayBeCancelledBy)
	j.earlyCancels = nil
	if j.cancelRequested && !j.finalState.IsTerminal() {
		j.finalState = workload.Cancelled
		j.endedAtMS = j.submission.AcceptedAtMS
		c.dirtyJobs[j.id] = j
	}
}

// mayBeCancelledBy reports whether a requester may cancel the job. A cancellation that doesn't
// state its requester is one of an earlier version or of a deployment without workspaces.
func (j *job) mayBeCancelledBy(by *workload.Requester) bool {
	return by == nil || by.MayAccess(j.submission.Workspace, j.submission.Queue)
}

// endJob gives a job its final state (completed, failed or cancelled) and stops its runs.
func (c *Core) endJob(j *job, final workload.JobState, now time.Time) {
	if j.finalState.IsTerminal() {
		return
	}
	j.finalState = final
	j.endedAtMS = now.UnixMilli()
	c.dirtyJobs[j.id] = j
	c.countFinalState(final)
	c.recordDecision(Decision{Verb: "ended", Job: j.id, Queue: j.submission.Queue, Reason: string(final), Age: now.Sub(time.UnixMilli(j.submission.AcceptedAtMS))})
	for s := range j.openSteps() {
		for i := range s.tasks {
			for _, r := range s.peek(i).runs {
				c.stopRun(r, "job "+string(final))
			}
		}
	}
	c.planStale = true
}

func (c *Core) countFinalState(final workload.JobState) {
	switch final {
	case workload.Completed:
		c.Counts.CompletedJobs++
	case workload.Failed:
		c.Counts.FailedJobs++
	case workload.Cancelled:
		c.Counts.CancelledJobs++
	}
}
