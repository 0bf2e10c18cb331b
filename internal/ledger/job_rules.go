package ledger

import (
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

func (s *State) submitJob(rec record.Record, b record.JobSubmit) refusal {
	if _, ok := s.Jobs[rec.Subject.Name]; ok {
		return refusef("job %s exists already", rec.Subject.Name)
	}
	if _, ok := s.Services[b.Service]; !ok {
		return refusef("there is no service %q", b.Service)
	}
	if b.MilliCores <= 0 || b.MemoryMB < 0 || b.Accelerators < 0 || b.RunTime < 0 {
		return refusef("job %s needs a size: milli_cores over 0, nothing negative", rec.Subject.Name)
	}
	if b.MilliCores > 1000*document.MaxCores || b.MemoryMB > document.MaxMemoryMB || b.Accelerators > document.MaxAccelerators {
		return refusef("job %s asks for more than any VM can have", rec.Subject.Name)
	}
	if n := len(s.Jobs); n >= MaxJobs {
		return refusef("%d jobs are queued, placed or lately ended; no more are taken until some are forgotten", n)
	}
	if _, ok := s.Quota(b.Service, b.Team); !ok {
		return refusef("team %q has no quota in service %s; its document's owner can add one", b.Team, b.Service)
	}
	j := &Job{
		Head:        Head{Revision: record.Revision(s.Offset), LastID: rec.ID},
		ID:          rec.Subject.Name,
		Spec:        b,
		SubmittedAt: s.Now,
		QueuedAt:    s.Now,
	}
	s.Jobs[j.ID] = j
	s.setJobStatus(j, JobQueued)
	addTo(s.poolJobs, b.Service, j.ID, j)
	return allowed
}

// placeJob reserves a worker for a job. The checks make placements that were
// planned on an older state harmless: two planners together cannot exceed a
// worker's capacity or a quota.
func (s *State) placeJob(rec record.Record, b record.JobPlace) refusal {
	j, reason := s.job(rec)
	if reason != allowed {
		return reason
	}
	if j.Status != JobQueued {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	vm, ok := s.VMs[b.Worker]
	if !ok || vm.Pool != j.Spec.Service || !vm.Serving() {
		return refusef("worker %s does not serve pool %s", b.Worker, j.Spec.Service)
	}
	if b.MilliCores < 0 || b.MilliCores > 1000*document.MaxCores || b.MemoryMB < 0 || b.MemoryMB > document.MaxMemoryMB {
		return refusef("the reservation for job %s is negative or larger than any VM", j.ID)
	}
	if reason := s.checkWorkerAvailable(vm); reason != allowed {
		return reason
	}
	want := Resources{MilliCores: b.MilliCores, MemoryMB: b.MemoryMB, Accelerators: j.Spec.Accelerators}
	if reason := s.checkCapacity(j, vm, want); reason != allowed {
		return reason
	}
	s.setJobStatus(j, JobPlaced)
	j.Worker = vm.ID
	j.Fence = s.Offset
	j.PlaceID = rec.ID
	j.Attempt++
	j.MilliCores, j.MemoryMB = b.MilliCores, b.MemoryMB
	j.FullMilliCores = b.MilliCores
	j.StartedAt = s.Now
	s.indexPlaced(j, 1)
	return allowed
}

// checkWorkerAvailable refuses a worker that is quarantined, on probation and
// busy, or has no free slot.
func (s *State) checkWorkerAvailable(vm *VM) refusal {
	if vm.Quarantined {
		return refusef("worker %s is set aside", vm.ID)
	}
	placed := len(s.workerJobs[vm.ID])
	if vm.ProbationLeft > 0 && placed > 0 {
		return refusef("worker %s is on probation and runs a job", vm.ID)
	}
	if slots := s.Services[vm.Pool].Doc.Limits.Slots; slots > 0 && placed >= slots {
		return refusef("all %d slots of worker %s are taken", slots, vm.ID)
	}
	return allowed
}

// checkCapacity checks that more fits the worker and the team's quota in
// addition to what is reserved.
func (s *State) checkCapacity(j *Job, vm *VM, more Resources) refusal {
	if !s.WorkerUse(vm.ID).Add(more, 1).Within(vm.Resources()) {
		return refusef("worker %s has no room for job %s", vm.ID, j.ID)
	}
	quota, _ := s.Quota(j.Spec.Service, j.Spec.Team)
	if !s.TeamUse(j.Spec.Service, j.Spec.Team).Add(more, 1).Within(quota) {
		return refusef("team %s would exceed its quota in service %s", j.Spec.Team, j.Spec.Service)
	}
	return allowed
}

func (s *State) endJob(rec record.Record, b record.JobEnd) refusal {
	j, reason := s.job(rec)
	if reason != allowed {
		return reason
	}
	if reason := j.checkResult(b); reason != allowed {
		return reason
	}
	s.endAttempt(j, b)
	return allowed
}

// endAttempt ends the job's attempt, or a job that cannot be placed.
func (s *State) endAttempt(j *Job, b record.JobEnd) {
	if j.Status == JobPlaced {
		s.indexPlaced(j, -1)
	}
	switch b.Result {
	case record.JobFailed:
		j.Failures = append(j.Failures, Failure{Worker: j.Worker, Started: j.StartedAt, Ended: s.Now})
	case record.JobLapsed:
		j.Lapses++
	case record.JobSucceeded:
		s.countProbationSuccess(j.Worker)
	}
	if b.Checkpoint != "" {
		j.Checkpoint = b.Checkpoint
	}
	j.PeakMilliCores = max(j.PeakMilliCores, b.PeakMilliCores)
	j.PeakMemoryMB = max(j.PeakMemoryMB, b.PeakMemoryMB)
	j.Result = b.Result
	if b.Reason != "" {
		j.Reason = truncate(b.Reason)
	}
	j.Preempt = nil
	s.requeueOrClose(j)
}

// checkResult refuses a result that does not match the job's status.
func (j *Job) checkResult(b record.JobEnd) refusal {
	if j.Ended() {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	switch b.Result {
	case record.JobUnplaceable:
		if j.Status != JobQueued {
			return refusef("job %s is %s, so it could be placed", j.ID, j.Status)
		}
		return allowed
	case record.JobSucceeded, record.JobFailed, record.JobPreempted,
		record.JobNotStarted, record.JobLapsed, record.JobStopped:
	default:
		return refusef("%q is no result of a job", b.Result)
	}
	if j.Status != JobPlaced {
		return refusef("job %s is not placed", j.ID)
	}
	if b.Result == record.JobPreempted && b.Checkpoint == "" && !j.Spec.Repeatable {
		return refusef("job %s is not repeatable and was not checkpointed", j.ID)
	}
	return allowed
}

// requeueOrClose queues the job again or ends it.
func (s *State) requeueOrClose(j *Job) {
	switch {
	case j.CancelAsked && j.Result != record.JobSucceeded:
		s.closeJob(j, JobCancelled)
	case j.canRetry():
		s.setJobStatus(j, JobQueued)
		j.QueuedAt = s.Now
		j.Worker = ""
	default:
		s.closeJob(j, JobDone)
	}
}

// canRetry reports whether a job whose attempt has ended may be placed again. A
// job that is not repeatable may be only if the attempt certainly did not run
// or was checkpointed: after a lapsed lease its task may still be running, and
// a second start would run it twice.
func (j *Job) canRetry() bool {
	switch j.Result {
	case record.JobNotStarted:
		return true
	case record.JobPreempted:
		return true
	case record.JobFailed, record.JobLapsed, record.JobStopped:
		return j.Spec.Repeatable && len(j.Failures)+j.Lapses < MaxTries
	}
	return false
}

// preemptJob records the preemption of a placed job. A throttle lowers its
// reservation at once, although the capacity is free only when the platform has
// throttled the task.
func (s *State) preemptJob(rec record.Record, b record.JobPreempt) refusal {
	j, reason := s.job(rec)
	if reason != allowed {
		return reason
	}
	if j.Status != JobPlaced {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	if j.Preempt != nil && j.Preempt.Action == record.PreemptCheckpoint {
		return refusef("job %s is being checkpointed", j.ID)
	}
	if reason := s.checkPreempt(j, b); reason != allowed {
		return reason
	}
	if b.Action != record.PreemptCheckpoint {
		s.indexPlaced(j, -1)
		j.MilliCores = b.MilliCores
		s.indexPlaced(j, 1)
	}
	j.Preempt = &Preemption{Action: b.Action, ID: rec.ID, Fence: s.Offset, For: b.For}
	return allowed
}

func (s *State) checkPreempt(j *Job, b record.JobPreempt) refusal {
	switch b.Action {
	case record.PreemptCheckpoint:
		if !j.Spec.Checkpointable {
			return refusef("job %s cannot be checkpointed", j.ID)
		}
		return allowed
	case record.PreemptThrottle:
		if b.MilliCores <= 0 || b.MilliCores >= j.MilliCores {
			return refusef("a throttle of job %s leaves it more than 0 and less than %d thousandths of a core", j.ID, j.MilliCores)
		}
		return allowed
	case record.PreemptRestore:
		if b.MilliCores <= j.MilliCores || b.MilliCores > j.FullMilliCores {
			return refusef("job %s is restored to more than %d and at most %d thousandths of a core", j.ID, j.MilliCores, j.FullMilliCores)
		}
		vm, ok := s.VMs[j.Worker]
		if !ok {
			return refusef("there is no VM %s", j.Worker)
		}
		return s.checkCapacity(j, vm, Resources{MilliCores: b.MilliCores - j.MilliCores})
	}
	return refusef("%q is no way to make room", b.Action)
}

func (s *State) cancelJob(rec record.Record, b record.JobCancel) refusal {
	j, reason := s.job(rec)
	if reason != allowed {
		return reason
	}
	if j.Ended() {
		return refusef("job %s is %s", j.ID, j.Status)
	}
	if j.CancelAsked {
		return refusef("job %s was cancelled already", j.ID)
	}
	j.CancelAsked = true
	j.CancelledAt = s.Now
	j.CancelID, j.CancelFence = rec.ID, s.Offset
	j.Reason = truncate(b.Reason)
	if j.Status == JobQueued {
		s.closeJob(j, JobCancelled)
	}
	return allowed
}

// closeJob ends a job and keeps it for RetiredSpan offsets.
func (s *State) closeJob(j *Job, status JobStatus) {
	s.setJobStatus(j, status)
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
