// Package workload is the job model: queues, jobs of steps and tasks, the workers that
// run them, the orders to workers and the stored records. It does no I/O. The adapter of
// the users' platform translates their formats to these types.
package workload

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// JobID is chosen by the caller, 16 hexadecimal digits.
type JobID string

// Resources are the resources that a task reserves or a worker has.
type Resources struct {
	CPU      int `json:"c,omitempty"` // thousandths of a core
	MemoryMB int `json:"m,omitempty"`
	GPU      int `json:"g,omitempty"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Times returns r times n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: n * r.CPU, MemoryMB: n * r.MemoryMB, GPU: n * r.GPU}
}

// DividedBy returns r divided by n. It returns the zero value if n is 0.
func (r Resources) DividedBy(n int) Resources {
	if n == 0 {
		return Resources{}
	}
	return Resources{CPU: r.CPU / n, MemoryMB: r.MemoryMB / n, GPU: r.GPU / n}
}

// Max returns the larger value of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPU: max(r.GPU, o.GPU)}
}

// Min returns the smaller value of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), MemoryMB: min(r.MemoryMB, o.MemoryMB), GPU: min(r.GPU, o.GPU)}
}

// AtLeastZero returns r with 0 in place of negative values.
func (r Resources) AtLeastZero() Resources { return r.Max(Resources{}) }

// String returns the resources as logged: thousandths of a core, MB and, if there are any, GPUs.
func (r Resources) String() string {
	text := strconv.Itoa(r.CPU) + "m/" + strconv.Itoa(r.MemoryMB) + "MB"
	if r.GPU != 0 {
		text += "/" + strconv.Itoa(r.GPU) + "gpu"
	}
	return text
}

// FitsIn reports whether no resource of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count     int       `json:"n"`
	Resources Resources `json:"r"`
	// EstimateMS is the caller's rough estimate of a task's run time in milliseconds, 0 if
	// the caller gave none.
	EstimateMS int64 `json:"e,omitempty"`
	// DependsOn has the numbers of earlier steps whose tasks must all be done first.
	DependsOn     []int  `json:"d,omitempty"`
	Checkpoints   bool   `json:"k,omitempty"`
	Gang          bool   `json:"gg,omitempty"` // all tasks run at the same time or none does
	SameRack      bool   `json:"sr,omitempty"` // the gang is slower across several racks
	RequiredLabel string `json:"l,omitempty"`  // that the worker must have, "" for none
	DataRack      string `json:"ra,omitempty"` // rack of the data, "" for none
	// MaxPerWorker bounds the tasks of one occurrence of the step on one worker; 0 is
	// no bound.
	MaxPerWorker int    `json:"x,omitempty"`
	Speculative  bool   `json:"sp,omitempty"` // a task may have speculative copies
	LongRunning  bool   `json:"la,omitempty"` // runs until the job is cancelled
	Image        string `json:"i,omitempty"`
	// LatencyTargetMS is the target for the tail latency of a serving task, in
	// milliseconds; 0 is no target: the task is not a serving task.
	LatencyTargetMS int64 `json:"t,omitempty"`
	// BestEffortCPU marks tasks that use processor time that others leave over. No
	// processors are reserved for them.
	BestEffortCPU bool `json:"f,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that may be unavailable at once
	// because of the scheduler's own actions; 0 is no bound.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Reservation returns the capacity that one task of the step reserves on a worker.
func (s *Step) Reservation() Resources {
	r := s.Resources
	if s.BestEffortCPU {
		r.CPU = 0
	}
	return r
}

// Spec is a job as its caller submits it.
type Spec struct {
	Payload string `json:"p"` // passed to the workers unchanged
	Steps   []Step `json:"s"`
	// Repeat is the number of occurrences, 0 for a job that runs once and immediately.
	Repeat int `json:"rp,omitempty"`
	// StartAtMS is when occurrence 0 is due, in Unix milliseconds. IntervalMS is the time
	// between two occurrences, in milliseconds.
	StartAtMS  int64 `json:"st,omitempty"`
	IntervalMS int64 `json:"iv,omitempty"`
}

// Equal reports whether two specs describe the same work.
func (s *Spec) Equal(other *Spec) bool {
	a, b := *s, *other
	a.Steps, b.Steps = nil, nil
	return reflect.DeepEqual(a, b) && slices.EqualFunc(s.Steps, other.Steps, func(a, b Step) bool {
		if !slices.Equal(a.DependsOn, b.DependsOn) {
			return false
		}
		a.DependsOn, b.DependsOn = nil, nil // no steps and an empty list mean the same
		return reflect.DeepEqual(a, b)
	})
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// progressOverheadBytes is what the record of a job's progress takes beside the bitmap of its tasks.
const progressOverheadBytes = 200

// MaxProgressBytes returns how large the record of the job's progress may become, without failed runs and crashes:
// a bit for each task, in base64.
func (s *Spec) MaxProgressBytes() int {
	tasks := 0
	for _, step := range s.Steps {
		tasks += step.Count
	}
	return tasks*s.Occurrences()/6 + progressOverheadBytes
}

// DueAt returns when an occurrence may start. The zero time means immediately.
func (s *Spec) DueAt(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.StartAtMS + int64(occurrence)*s.IntervalMS)
}

// Bounds of a job that is accepted.
const (
	maxPayloadBytes = 4000    // the platform's limit
	maxTasksPerJob  = 100_000 // over all occurrences; keeps one job from exhausting a node's memory
	maxOccurrences  = 10_000
)

// Validate returns an error if the job can't be accepted.
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

// ParseJobID validates a job ID.
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

// TaskKey identifies a task.
type TaskKey struct {
	Job                     JobID
	Occurrence, Step, Index int
}

// String returns the task's name, ID.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	return k.StepName() + "." + strconv.Itoa(k.Index)
}

// StepName returns the name of the task's step, ID.OCCURRENCE.STEP.
func (k TaskKey) StepName() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// ParseTaskKey parses a name that String returned.
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
			return TaskKey{}, errors.Errorf("task name %q: %q is not a non-negative number", text, part)
		}
		*field = n
		rest = after
	}
	return k, nil
}

// taskKeyNumbers is the number of numeric parts after the job ID in a task's name.
const taskKeyNumbers = 3

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// IsTerminal reports whether the state is final.
func (s JobState) IsTerminal() bool { return s == Completed || s == Failed || s == Cancelled }
