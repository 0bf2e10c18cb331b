package ledger

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// MaxTries limits the attempts of a repeatable job that fail or lapse.
const MaxTries = 5

// ProbationJobs is the number of jobs that a worker released from quarantine
// runs one at a time.
const ProbationJobs = 3

// MaxJobs limits the jobs in the state, including ended ones that are still
// kept, so that a runaway submitter cannot fill the memory of all nodes.
const MaxJobs = 50_000

// JobStatus is the status of a job.
type JobStatus string

// Statuses of a job.
const (
	JobQueued    JobStatus = "queued"
	JobPlaced    JobStatus = "placed"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "cancelled"
)

// Job is a job and its latest placement.
type Job struct {
	Head
	ID          string           `json:"id"`
	Spec        record.JobSubmit `json:"spec"`
	Status      JobStatus        `json:"status"`
	SubmittedAt time.Time        `json:"submitted_at"`
	QueuedAt    time.Time        `json:"queued_at"`
	StartedAt   time.Time        `json:"started_at"`
	EndedAt     time.Time        `json:"ended_at"`
	Worker      string           `json:"worker,omitempty"`
	// Fence is the offset of the placement and the fencing token of its task.
	Fence uint64 `json:"fence,omitempty"`
	// PlaceID is the ID of the placement's record and the operation ID of the
	// task's start.
	PlaceID    string `json:"place_id,omitempty"`
	Attempt    int    `json:"attempt"`
	MilliCores int    `json:"milli_cores"` // reserved on the worker
	MemoryMB   int    `json:"memory_mb"`
	// FullMilliCores is the reservation of the placement before any throttling.
	FullMilliCores int `json:"full_milli_cores,omitempty"`
	// Preempt is the latest preemption of the placed job, or nil.
	Preempt *Preemption `json:"preempt,omitempty"`
	// CancelAsked is set once the job was cancelled, at CancelledAt. CancelID
	// and CancelFence identify the stop of its task.
	CancelAsked bool             `json:"cancel_asked,omitempty"`
	CancelledAt time.Time        `json:"cancelled_at,omitzero"`
	CancelID    string           `json:"cancel_id,omitempty"`
	CancelFence uint64           `json:"cancel_fence,omitempty"`
	Checkpoint  string           `json:"checkpoint,omitempty"`
	Result      record.JobResult `json:"result,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	// PeakMilliCores and PeakMemoryMB are the highest usage seen in any
	// attempt; 0 if unknown.
	PeakMilliCores int `json:"peak_milli_cores,omitempty"`
	PeakMemoryMB   int `json:"peak_memory_mb,omitempty"`
	// Failures lists the failed attempts, latest last. Lapses counts the
	// attempts whose lease lapsed.
	Failures []Failure `json:"failures,omitempty"`
	Lapses   int       `json:"lapses,omitempty"`
}

// Failure is one failed attempt of a job.
type Failure struct {
	Worker  string    `json:"worker"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
}

// Preemption is an effective decision to preempt a placed job. ID and Fence
// identify the action on its task.
type Preemption struct {
	Action record.PreemptAction `json:"action"`
	ID     string               `json:"id"`
	Fence  uint64               `json:"fence"`
	For    string               `json:"for,omitempty"`
}

// Ended reports whether the job is done or cancelled.
func (j *Job) Ended() bool { return j.Status == JobDone || j.Status == JobCancelled }

// Succeeded reports whether the job ended successfully.
func (j *Job) Succeeded() bool { return j.Status == JobDone && j.Result == record.JobSucceeded }

// Resources is an amount of worker resources.
type Resources struct {
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Add returns r plus times times o.
func (r Resources) Add(o Resources, times int) Resources {
	return Resources{
		MilliCores:   r.MilliCores + times*o.MilliCores,
		MemoryMB:     r.MemoryMB + times*o.MemoryMB,
		Accelerators: r.Accelerators + times*o.Accelerators,
	}
}

// Within reports whether r does not exceed limit in any resource.
func (r Resources) Within(limit Resources) bool {
	return r.MilliCores <= limit.MilliCores && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// Resources returns the VM's capacity for jobs.
func (v *VM) Resources() Resources {
	return Resources{MilliCores: 1000 * v.Cores, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
}

type teamKey struct{ service, team string }

// Reserved returns the resources that the job's placement reserves on its
// worker.
func (j *Job) Reserved() Resources {
	return Resources{MilliCores: j.MilliCores, MemoryMB: j.MemoryMB, Accelerators: j.Spec.Accelerators}
}

// TeamUse returns the resources reserved by a team's placed jobs in a service's
// pool.
func (s *State) TeamUse(service, team string) Resources { return s.teamUse[teamKey{service, team}] }

// WorkerUse returns the resources reserved by the placed jobs of a worker.
func (s *State) WorkerUse(worker string) Resources {
	var sum Resources
	for _, j := range s.workerJobs[worker] {
		sum = sum.Add(j.Reserved(), 1)
	}
	return sum
}

// Quota returns the team's quota in the service's pool, or false if it has
// none.
func (s *State) Quota(service, team string) (Resources, bool) {
	svc, ok := s.Services[service]
	if !ok {
		return Resources{}, false
	}
	for _, q := range svc.Doc.Quotas {
		if q.Team == team {
			return Resources{MilliCores: q.MilliCores, MemoryMB: q.MemoryMB, Accelerators: q.Accelerators}, true
		}
	}
	return Resources{}, false
}

// indexJobs builds the job indexes of a restored state.
func (s *State) indexJobs() {
	for _, j := range s.Jobs {
		addTo(s.poolJobs, j.Spec.Service, j.ID, j)
		if j.Status == JobQueued {
			s.queuedJobs[j.Spec.Service]++
		}
		if j.Status == JobPlaced {
			s.indexPlaced(j, 1)
		}
	}
}

// indexPlaced adds (times = 1) or removes (times = -1) a placed job.
func (s *State) indexPlaced(j *Job, times int) {
	key := teamKey{j.Spec.Service, j.Spec.Team}
	s.teamUse[key] = s.teamUse[key].Add(j.Reserved(), times)
	if times > 0 {
		addTo(s.workerJobs, j.Worker, j.ID, j)
		return
	}
	removeFrom(s.workerJobs, j.Worker, j.ID)
	if s.teamUse[key] == (Resources{}) {
		delete(s.teamUse, key)
	}
}

// setJobStatus changes a job's status and updates the count of queued jobs.
func (s *State) setJobStatus(j *Job, status JobStatus) {
	if j.Status == JobQueued {
		s.queuedJobs[j.Spec.Service]--
	}
	if status == JobQueued {
		s.queuedJobs[j.Spec.Service]++
	}
	j.Status = status
}
