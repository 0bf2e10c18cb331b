package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// job is one accepted job.
type job struct {
	id  workload.JobID
	sub *workload.Submission // nil where only a cancel or progress was read yet
	// queue is that of the configuration in force, nil if it has none of that name.
	queue *workload.Queue
	// steps has one entry for each occurrence and step, occurrences first.
	steps     []*step
	remaining int // tasks that are not done, lasting ones included
	live      int // runs that are not known to have ended
	begun     bool
	cancelled bool
	final     workload.State // "" until the job ends
	endedMS   int64
	shown     workload.State // what is stored of final
	progress  *workload.Progress
}

// step is one step of one occurrence.
type step struct {
	job        *job
	spec       *workload.Step
	occurrence int
	number     int
	tasks      []task
	done       int
	idle       int       // tasks that are neither done nor have a run
	crashed    bool      // workers have crashed under its tasks
	waits      time.Time // since when idle tasks find no room, zero if none do
	// trialWaits is since when it waits as a gang with suspects.
	trialWaits time.Time
	// searchAfter is when runs that give way to its tasks are looked for again.
	searchAfter time.Time
	lastRun     int64
	perWorker   map[string]int // live runs by worker
	checkpoint  string         // of a gang
	tickets     *tickets
	ranked      bool // of the first step: the occurrence is in the ranking
	// share is that of the occurrence's size, nil before it is ranked and for lasting
	// tasks.
	share *sizeShare
}

// task is one task of a step.
type task struct {
	done   bool
	runs   []*run  // live
	failed []int64 // run numbers that ended by the task's own fault
	gotOn  bool    // a run of it was at work for a while
	// crashes are those of workers that ran it, the latest last. storedIn is the
	// sequence of the write that stores them.
	crashes  []workload.Crash
	storedIn int64
	// planned is its trial that begins once it is stored, nil if there is none.
	planned    *plannedTrial
	checkpoint string
	avoid      string    // worker where it failed last
	avoidUntil time.Time // until then it isn't tried there again
	notBefore  time.Time // the next run
}

// open builds the steps of a stored job.
func (j *job) open(s *workload.Submission) {
	j.sub = s
	for o := range s.Spec.Occurrences() {
		for i := range s.Spec.Steps {
			spec := &s.Spec.Steps[i]
			st := &step{
				job:        j,
				spec:       spec,
				occurrence: o,
				number:     i,
				tasks:      make([]task, spec.Count),
				idle:       spec.Count,
				perWorker:  map[string]int{},
			}
			j.steps = append(j.steps, st)
			j.remaining += spec.Count
		}
	}
}

// occurrence returns the steps of one occurrence.
func (j *job) occurrence(o int) []*step {
	n := len(j.sub.Spec.Steps)
	return j.steps[o*n : (o+1)*n]
}

// step returns a step by occurrence and number, nil if there is none.
func (j *job) step(occurrence, number int) *step {
	if j.sub == nil || number >= len(j.sub.Spec.Steps) || occurrence >= j.sub.Spec.Occurrences() {
		return nil
	}
	return j.steps[occurrence*len(j.sub.Spec.Steps)+number]
}

// find returns the step and task of a key, nil if there is none.
func (c *Core) find(k workload.TaskKey) (*step, *task) {
	j, ok := c.jobs[k.Job]
	if !ok {
		return nil, nil
	}
	s := j.step(k.Occurrence, k.Step)
	if s == nil || k.Index >= len(s.tasks) {
		return nil, nil
	}
	return s, &s.tasks[k.Index]
}

func (s *step) key(index int) workload.TaskKey {
	return workload.TaskKey{Job: s.job.id, Occurrence: s.occurrence, Step: s.number, Index: index}
}

// ready tells whether the step's tasks may run: its time has come and all that
// it depends on is done.
func (s *step) ready(now time.Time) bool {
	if due := s.job.sub.Spec.Due(s.occurrence); !due.IsZero() && now.UnixMilli() < due.UnixMilli() {
		return false
	}
	for _, d := range s.spec.DependsOn {
		before := s.job.step(s.occurrence, d)
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// attach adds a live run to its task.
func (s *step) attach(t *task, r *run) {
	if len(t.runs) == 0 && !t.done {
		s.idle--
	}
	if s.idle == 0 {
		s.waits = time.Time{}
	}
	t.runs = append(t.runs, r)
	s.perWorker[r.worker.info.ID]++
	s.job.live++
	s.job.begun = true
}

// detach takes a run that has ended off its task.
func (s *step) detach(t *task, r *run) {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	if len(t.runs) == 0 && !t.done {
		s.idle++
	}
	s.job.live--
	if s.perWorker[r.worker.info.ID]--; s.perWorker[r.worker.info.ID] == 0 {
		delete(s.perWorker, r.worker.info.ID)
	}
}

// finish marks a task done.
func (s *step) finish(t *task) {
	if t.done {
		return
	}
	t.done = true
	if len(t.runs) == 0 {
		s.idle--
	}
	s.done++
	s.job.remaining--
}

// restore applies what is stored of a job to it.
func (c *Core) restore(j *job) {
	p := j.progress
	for i, s := range j.steps {
		if i >= len(p.Done) {
			break
		}
		for k := range s.tasks {
			if k/8 < len(p.Done[i]) && p.Done[i][k/8]&(1<<(k%8)) != 0 {
				s.finish(&s.tasks[k])
			}
		}
	}
	for name, runs := range p.FailedRuns {
		if s, i := c.storedTask(j, name); s != nil {
			s.tasks[i].failed = runs
		}
	}
	for name, crashes := range p.Crashes {
		if s, i := c.storedTask(j, name); s != nil {
			c.recallCrashes(s, i, crashes)
		}
	}
	j.begun = j.begun || p.Begun
	if p.Final.Ended() {
		j.final = p.Final
		j.shown = p.Final
		j.endedMS = p.EndedMS
	}
}

// recallCrashes takes what is stored of the crashes under a task.
func (c *Core) recallCrashes(s *step, index int, crashes []workload.Crash) {
	c.markCrashed(s)
	s.tasks[index].crashes = crashes
	for _, crash := range crashes {
		if (crash.Pending || crash.Unclear) && !s.job.progress.Final.Ended() {
			c.resume(s, index, crash)
		}
	}
}

// storedTask returns the step and index of a task by its name in what is stored of a
// job, a nil step if there is none.
func (c *Core) storedTask(j *job, name string) (*step, int) {
	key, err := workload.ParseTaskKey(string(j.id) + "." + name)
	if err != nil {
		c.note(Decision{Verb: "ignored", Job: j.id, Reason: "stored progress: " + err.Error()})
		return nil, 0
	}
	s, _ := c.find(key)
	return s, key.Index
}

// settle ends a job that was cancelled before it was read.
func (c *Core) settle(j *job) {
	if j.cancelled && !j.final.Ended() {
		j.final = workload.Cancelled
		j.endedMS = j.sub.AcceptedMS
		c.dirty[j.id] = j
	}
}

// end gives a job its final state and stops what it runs.
func (c *Core) end(j *job, final workload.State, now time.Time) {
	if j.final.Ended() {
		return
	}
	j.final = final
	j.endedMS = now.UnixMilli()
	c.dirty[j.id] = j
	c.count(final)
	c.note(Decision{Verb: "ended", Job: j.id, Queue: j.sub.Queue, Reason: string(final), Age: now.Sub(time.UnixMilli(j.sub.AcceptedMS))})
	for _, s := range j.steps {
		for i := range s.tasks {
			for _, r := range s.tasks[i].runs {
				c.stop(r, "job "+string(final))
			}
		}
	}
	c.dirtyPlan = true
}

func (c *Core) count(final workload.State) {
	switch final {
	case workload.Completed:
		c.Counts.Completed++
	case workload.Failed:
		c.Counts.Failed++
	case workload.Cancelled:
		c.Counts.Cancelled++
	}
}

// storedProgress is what is to be stored of a job now.
func (j *job) storedProgress() *workload.Progress {
	p := &workload.Progress{Final: j.final, EndedMS: j.endedMS, Begun: j.begun}
	if j.final.Ended() {
		return p // the tasks of an ended job are of no more use
	}
	for _, s := range j.steps {
		bits := []byte{}
		if s.done > 0 {
			bits = make([]byte, (len(s.tasks)+7)/8)
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done {
				bits[i/8] |= 1 << (i % 8)
			}
			name := s.key(i).String()[len(j.id)+1:]
			if len(t.failed) > 0 {
				if p.FailedRuns == nil {
					p.FailedRuns = map[string][]int64{}
				}
				p.FailedRuns[name] = slices.Clone(t.failed)
			}
			if len(t.crashes) > 0 && !t.done {
				if p.Crashes == nil {
					p.Crashes = map[string][]workload.Crash{}
				}
				p.Crashes[name] = slices.Clone(t.crashes)
			}
		}
		p.Done = append(p.Done, bits)
	}
	return p
}
