package ledger

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// MaxAttempts bounds how often a repeatable job is placed.
const MaxAttempts = 5

// JobStatus is where a job is in its life.
type JobStatus string

// Statuses of a job.
const (
	JobQueued    JobStatus = "queued"
	JobPlaced    JobStatus = "placed"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "cancelled"
)

// Job is one job and its latest placement.
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
	// Fence is the offset of the placement, the fencing token of its task.
	Fence      uint64 `json:"fence,omitempty"`
	Attempt    int    `json:"attempt"`
	MilliCores int    `json:"milli_cores"` // reserved by the placement
	MemoryMB   int    `json:"memory_mb"`
	// CancelAsked is set when a placed job was cancelled.
	CancelAsked bool             `json:"cancel_asked,omitempty"`
	Checkpoint  string           `json:"checkpoint,omitempty"`
	Result      record.JobResult `json:"result,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	// FailedOn lists the workers of failed attempts, latest last.
	FailedOn []string `json:"failed_on,omitempty"`
}

// Ended reports whether the job is over.
func (j *Job) Ended() bool { return j.Status == JobDone || j.Status == JobCancelled }

// Resources is an amount of worker resources.
type Resources struct {
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of r and o, with o counted times times.
func (r Resources) Add(o Resources, times int) Resources {
	return Resources{
		MilliCores:   r.MilliCores + times*o.MilliCores,
		MemoryMB:     r.MemoryMB + times*o.MemoryMB,
		Accelerators: r.Accelerators + times*o.Accelerators,
	}
}

// Within reports whether r does not exceed limit in any part.
func (r Resources) Within(limit Resources) bool {
	return r.MilliCores <= limit.MilliCores && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// Resources returns what the VM has for jobs.
func (v *VM) Resources() Resources {
	return Resources{MilliCores: 1000 * v.Cores, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
}

type teamKey struct{ service, team string }

// Reserved returns what the job's placement holds on its worker.
func (j *Job) Reserved() Resources {
	return Resources{MilliCores: j.MilliCores, MemoryMB: j.MemoryMB, Accelerators: j.Spec.Accelerators}
}

// TeamUse returns what a team's placed jobs hold in a service's pool.
func (s *State) TeamUse(service, team string) Resources { return s.teamUse[teamKey{service, team}] }

// WorkerUse returns what placed jobs hold on a worker.
func (s *State) WorkerUse(worker string) Resources {
	var sum Resources
	for _, j := range s.workerJobs[worker] {
		sum = sum.Add(j.Reserved(), 1)
	}
	return sum
}

// Quota returns the team's quota in the service's pool.
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

func (s *State) submitJob(rec record.Record, b record.JobSubmit) refusal {
	if _, ok := s.Jobs[rec.Subject.Name]; ok {
		return refusef("job %s exists already", rec.Subject.Name)
	}
	if _, ok := s.Services[b.Service]; !ok {
		return refusef("there is no service %q", b.Service)
	}
	if _, ok := s.Quota(b.Service, b.Team); !ok {
		return refusef("team %q has no quota in service %s; its document's owner can add one", b.Team, b.Service)
	}
	s.Jobs[rec.Subject.Name] = &Job{
		Head:        Head{Revision: record.Revision(s.Offset), LastID: rec.ID},
		ID:          rec.Subject.Name,
		Spec:        b,
		Status:      JobQueued,
		SubmittedAt: s.Now,
		QueuedAt:    s.Now,
	}
	return allowed
}

// placeJob reserves a worker for a job. The checks make a placement that was
// planned on older state harmless: two planners cannot overfill a worker or a
// quota between them.
func (s *State) placeJob(rec record.Record, b record.JobPlace) refusal {
	j, no := s.job(rec)
	if no != allowed {
		return no
	}
	if j.Status != JobQueued {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	vm, ok := s.VMs[b.Worker]
	if !ok || vm.Pool != j.Spec.Service || !vm.Serving() {
		return refusef("worker %s does not serve pool %s", b.Worker, j.Spec.Service)
	}
	want := Resources{MilliCores: b.MilliCores, MemoryMB: b.MemoryMB, Accelerators: j.Spec.Accelerators}
	if !s.WorkerUse(vm.ID).Add(want, 1).Within(vm.Resources()) {
		return refusef("worker %s has no room for job %s", vm.ID, j.ID)
	}
	quota, _ := s.Quota(j.Spec.Service, j.Spec.Team)
	if !s.TeamUse(j.Spec.Service, j.Spec.Team).Add(want, 1).Within(quota) {
		return refusef("team %s would exceed its quota in service %s", j.Spec.Team, j.Spec.Service)
	}
	j.Status = JobPlaced
	j.Worker = vm.ID
	j.Fence = s.Offset
	j.Attempt++
	j.MilliCores, j.MemoryMB = b.MilliCores, b.MemoryMB
	j.StartedAt = s.Now
	s.indexPlaced(j, 1)
	return allowed
}

func (s *State) endJob(rec record.Record, b record.JobEnd) refusal {
	j, no := s.job(rec)
	if no != allowed {
		return no
	}
	if j.Ended() {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	if j.Status == JobQueued && b.Result != record.JobUnplaceable {
		return refusef("job %s is not placed", j.ID)
	}
	if j.Status == JobPlaced {
		s.indexPlaced(j, -1)
	}
	if b.Result == record.JobFailed {
		j.FailedOn = append(j.FailedOn, j.Worker)
	}
	if b.Checkpoint != "" {
		j.Checkpoint = b.Checkpoint
	}
	j.Result, j.Reason = b.Result, b.Reason
	s.afterEnd(j)
	return allowed
}

// afterEnd queues the job again or ends it.
func (s *State) afterEnd(j *Job) {
	switch {
	case j.CancelAsked:
		s.closeJob(j, JobCancelled)
	case j.startsAgain():
		j.Status = JobQueued
		j.QueuedAt = s.Now
		j.Worker = ""
	default:
		s.closeJob(j, JobDone)
	}
}

// startsAgain decides whether a job whose attempt is over may be placed once
// more. A job that is not repeatable starts again only when its attempt
// certainly did not run or was checkpointed: after a lapsed lease its task may
// still be running, and a second start would run it twice.
func (j *Job) startsAgain() bool {
	switch j.Result {
	case record.JobNotStarted, record.JobPreempted:
		return true
	case record.JobFailed, record.JobLapsed:
		return j.Spec.Repeatable && j.Attempt < MaxAttempts
	}
	return false
}

func (s *State) cancelJob(rec record.Record, b record.JobCancel) refusal {
	j, no := s.job(rec)
	if no != allowed {
		return no
	}
	if j.Ended() {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	j.CancelAsked = true
	j.Reason = b.Reason
	if j.Status == JobQueued {
		s.closeJob(j, JobCancelled)
	}
	return allowed
}

// closeJob ends a job and keeps it for RetiredSpan offsets.
func (s *State) closeJob(j *Job, status JobStatus) {
	j.Status = status
	j.EndedAt = s.Now
	sub := record.Subject{Kind: record.SubjectJob, Name: j.ID}
	s.RetireQueue = append(s.RetireQueue, Retirement{Subject: sub, At: s.Offset})
}

func (s *State) job(rec record.Record) (*Job, refusal) {
	j, ok := s.Jobs[rec.Subject.Name]
	if !ok {
		return nil, refusef("there is no job %s", rec.Subject.Name)
	}
	return j, allowed
}

// indexPlaced adds (times = 1) or removes (times = -1) a placed job.
func (s *State) indexPlaced(j *Job, times int) {
	key := teamKey{j.Spec.Service, j.Spec.Team}
	s.teamUse[key] = s.teamUse[key].Add(j.Reserved(), times)
	if times > 0 {
		indexInto(s.workerJobs, j.Worker, j.ID, j)
		return
	}
	delete(s.workerJobs[j.Worker], j.ID)
}
