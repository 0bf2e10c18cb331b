// Package workload has the job model: queues, jobs of steps and tasks, and the
// workers that run them. It is pure; the adapter of the users' platform
// translates their formats to it.
package workload

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// JobID is chosen by the caller, 16 hexadecimal digits.
type JobID string

// Resources is what a task reserves or a worker has.
type Resources struct {
	CPU      int `json:"c,omitempty"` // thousandths of a core
	MemoryMB int `json:"m,omitempty"`
	GPU      int `json:"g,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Times returns r for n tasks.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: n * r.CPU, MemoryMB: n * r.MemoryMB, GPU: n * r.GPU}
}

// DividedBy returns the n-th part, 0 for none.
func (r Resources) DividedBy(n int) Resources {
	if n == 0 {
		return Resources{}
	}
	return Resources{CPU: r.CPU / n, MemoryMB: r.MemoryMB / n, GPU: r.GPU / n}
}

// Max returns the larger of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPU: max(r.GPU, o.GPU)}
}

// FitsIn tells whether r is within o.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Step is a set of alike tasks of a job.
type Step struct {
	Count     int       `json:"n"`
	Resources Resources `json:"r"`
	// EstimateMS is the caller's rough estimate of a task's run time in
	// milliseconds, 0 if there is none.
	EstimateMS int64 `json:"e,omitempty"`
	// DependsOn numbers earlier steps whose tasks must all be done before.
	DependsOn     []int  `json:"d,omitempty"`
	Checkpoints   bool   `json:"k,omitempty"`
	Gang          bool   `json:"gg,omitempty"` // all tasks run at once or not at all
	SameRack      bool   `json:"sr,omitempty"` // a gang that is slower over several racks
	RequiredLabel string `json:"l,omitempty"`  // label that the worker must have
	DataRack      string `json:"ra,omitempty"` // rack where the data lies
	// MaxPerWorker bounds the tasks of one occurrence of the step on one
	// worker; 0 is unbounded.
	MaxPerWorker int    `json:"x,omitempty"`
	Speculative  bool   `json:"sp,omitempty"` // copies may run in parallel
	LongRunning  bool   `json:"la,omitempty"` // runs until the job is cancelled
	Image        string `json:"i,omitempty"`
	// LatencyTargetMS bounds the tail of the response times of a serving task, in
	// milliseconds; 0 is none.
	LatencyTargetMS int64 `json:"t,omitempty"`
	// BestEffortCPU marks tasks that use the processor time that others leave over;
	// their processors aren't reserved.
	BestEffortCPU bool `json:"f,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step may be away at once by acts of
	// the system; 0 is no bound.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Reservation is what one task of the step takes of a worker's capacity.
func (s *Step) Reservation() Resources {
	r := s.Resources
	if s.BestEffortCPU {
		r.CPU = 0
	}
	return r
}

// Spec is what the caller asks to be run.
type Spec struct {
	Payload string `json:"p"` // handed to the workers as it is
	Steps   []Step `json:"s"`
	// Repeat is how many occurrences the job has, 0 for a job that runs once
	// and at once.
	Repeat int `json:"rp,omitempty"`
	// StartAtMS is when occurrence 0 is due, IntervalMS the time between two,
	// both in milliseconds, the first since 1970.
	StartAtMS  int64 `json:"st,omitempty"`
	IntervalMS int64 `json:"iv,omitempty"`
}

// Occurrences is how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// DueAt is when an occurrence may begin; the zero time is at once.
func (s *Spec) DueAt(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.StartAtMS + int64(occurrence)*s.IntervalMS)
}

// Bounds of a job that is accepted.
const (
	maxPayloadBytes = 4000    // bytes, the platform's bound
	maxTasksPerJob  = 100_000 // of one job with all occurrences; keeps one job from exhausting a node's memory
	maxOccurrences  = 10_000
)

// Validate returns why the job cannot be taken.
func (s *Spec) Validate() error {
	if len(s.Payload) > maxPayloadBytes {
		return errors.Errorf("spec has %d bytes, at most %d are taken", len(s.Payload), maxPayloadBytes)
	}
	if len(s.Steps) == 0 {
		return errors.New("a job needs at least one step")
	}
	if s.Repeat < 0 || s.Repeat > maxOccurrences {
		return errors.Errorf("%d occurrences, between 0 and %d are taken", s.Repeat, maxOccurrences)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks*s.Occurrences() > maxTasksPerJob {
		return errors.Errorf("the job has more than %d tasks", maxTasksPerJob)
	}
	return nil
}

func (s *Step) validate(i int) error {
	if s.Count < 1 || s.Count > maxTasksPerJob {
		return errors.Errorf("step %d: count %d is not between 1 and %d", i, s.Count, maxTasksPerJob)
	}
	if s.Resources.CPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0 {
		return errors.Errorf("step %d: a need is negative", i)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			return errors.Errorf("step %d: depends on step %d, which is not an earlier one", i, d)
		}
	}
	return nil
}

// ParseJobID checks an ID.
func ParseJobID(text string) (JobID, error) {
	if len(text) != 16 {
		return "", errors.Errorf("job ID %q does not have 16 digits", text)
	}
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return "", errors.Errorf("job ID %q is not hexadecimal", text)
		}
	}
	return JobID(text), nil
}

// TaskKey names a task.
type TaskKey struct {
	Job                     JobID
	Occurrence, Step, Index int
}

// String is the task's name, ID.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	return k.StepName() + "." + strconv.Itoa(k.Index)
}

// StepName is the name of the task's step, ID.OCCURRENCE.STEP.
func (k TaskKey) StepName() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// ParseTaskKey reads what String writes.
func ParseTaskKey(text string) (TaskKey, error) {
	job, rest, _ := strings.Cut(text, ".")
	k := TaskKey{Job: JobID(job)}
	for i, field := range [...]*int{&k.Occurrence, &k.Step, &k.Index} {
		part, after, more := strings.Cut(rest, ".")
		if last := i == taskKeyNumbers-1; more == last {
			return TaskKey{}, errors.Errorf("task name %q does not have four parts", text)
		}
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskKey{}, errors.Errorf("task name %q: %q is no number", text, part)
		}
		*field = n
		rest = after
	}
	return k, nil
}

// taskKeyNumbers is how many numbers follow the job in a task's name.
const taskKeyNumbers = 3

// JobState of a job as callers see it.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// IsTerminal tells whether the state is final.
func (s JobState) IsTerminal() bool { return s == Completed || s == Failed || s == Cancelled }
