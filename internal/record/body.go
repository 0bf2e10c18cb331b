package record

import "time"

// DocumentPublish creates or replaces a service's document. Subject: the service.
type DocumentPublish struct {
	// Text is the TOML document, unchanged.
	Text string `json:"text"`
}

// DocumentRemove removes a service. It is refused while VMs, jobs or a wave
// depend on the service.
type DocumentRemove struct{}

// VMRegister adds a VM from the platform's list to the state. Subject: the VM.
type VMRegister struct {
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"` // IP:port of its backend server
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
}

// DrainReason is the reason why a VM is taken out of service.
type DrainReason string

// Reasons of a drain.
const (
	DrainMaintenance DrainReason = "maintenance"
	DrainMove        DrainReason = "move"
	DrainOperator    DrainReason = "operator"
)

// VMDrain takes a VM out of service. It is effective only if the availability
// budget of the VM's pool allows one more unavailable VM.
type VMDrain struct {
	Reason DrainReason `json:"reason"`
	// Wave is the maintenance wave that the drain belongs to, or empty. A VM
	// that is drained for a wave is rebooted.
	Wave string `json:"wave,omitempty"`
	// Target is the pool that the VM joins afterwards. If it is empty, the VM
	// returns to its pool. With both Wave and Target, the VM is taken out of
	// service only once for the reboot and the move.
	Target string `json:"target,omitempty"`
	// Release moves the VM to the common reserve of free VMs. It excludes
	// Target.
	Release bool `json:"release,omitempty"`
	// Estimate is how long the VM is expected to be unavailable.
	Estimate time.Duration `json:"estimate"`
}

// VMPhase is a phase of a VM's lifecycle.
type VMPhase string

// Phases of a VM. A VM of a pool is serving or passes through one of these
// drains:
//
//	drain:   draining -> drained -> [rebooting] -> returning -> serving
//	move:    draining -> drained -> [rebooting] -> released -> (join) -> returning -> serving
//	release: draining -> drained -> [rebooting] -> free
const (
	PhaseFree      VMPhase = "free" // in no pool
	PhaseServing   VMPhase = "serving"
	PhaseDraining  VMPhase = "draining"
	PhaseDrained   VMPhase = "drained"
	PhaseRebooting VMPhase = "rebooting"
	PhaseReleased  VMPhase = "released" // charged to its previous pool until the join
	PhaseReturning VMPhase = "returning"
)

// VMAdvance records that a VM reached the next phase of a drain. To
// PhaseRebooting, it is the decision to reboot the VM.
type VMAdvance struct {
	To VMPhase `json:"to"`
}

// VMRedirect changes the destination of a drain in progress: the VM joins
// Target or is released instead of returning to its pool. The VM then is not
// drained a second time for the move.
type VMRedirect struct {
	Target  string `json:"target,omitempty"`
	Release bool   `json:"release,omitempty"`
}

// VMJoin puts a free or released VM into a pool.
type VMJoin struct {
	Pool string `json:"pool"`
	// Want is the number of VMs that the author wants the pool to have. The
	// join of a free VM is refused if the pool has that many already, so that
	// two planners cannot fill the same gap twice. 0 disables the check.
	Want int `json:"want,omitempty"`
}

// VMDown records that a VM was found unhealthy.
type VMDown struct {
	Cause string `json:"cause"`
}

// VMUp records that a VM was found healthy. It ends a failure or, in phase
// returning, a drain, and with it the charge to the pool's budget.
type VMUp struct{}

// VMGone records that the platform no longer has the VM.
type VMGone struct{}

// VMQuarantine excludes a worker from job placement, or readmits it.
type VMQuarantine struct {
	On bool `json:"on"`
	// Evidence lists the jobs whose failures led to the quarantine.
	Evidence []string `json:"evidence,omitempty"`
}

// WaveStart starts a maintenance wave over pools. Subject: the wave.
type WaveStart struct {
	Pools    []string  `json:"pools"`
	Deadline time.Time `json:"deadline"`
}

// WaveCommand changes a wave's status.
type WaveCommand string

// Commands to a wave.
const (
	WavePause  WaveCommand = "pause"
	WaveResume WaveCommand = "resume"
	WaveAbort  WaveCommand = "abort"
	WaveFinish WaveCommand = "finish"
)

// WaveControl is a command to a wave.
type WaveControl struct {
	Command WaveCommand `json:"command"`
	Reason  string      `json:"reason,omitempty"`
}

// WaveSkip removes a VM from a wave, for example because it did not become
// healthy again or because its long job must not be interrupted. Subject: the
// wave.
type WaveSkip struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}

// MemberJoin adds an entry process to the members. Subject: the member, named
// by node and incarnation. A member with the same Address is removed: the
// joining process has bound the address, so the earlier process cannot be
// running.
type MemberJoin struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP:port for entry peers
	// AcksUntil is when the last lease expires that the earlier process at
	// Address acknowledged, by the wall clocks of the lease holders.
	AcksUntil time.Time `json:"acks_until"`
}

// MemberLeave is a planned leave, or an operator's statement that the member
// is gone.
type MemberLeave struct {
	// AcksUntil is when the last lease expires that the member acknowledged, by
	// the wall clocks of the lease holders. The member acknowledges no lease
	// after it wrote this record. If AcksUntil is zero, the time is unknown and
	// the member stays in the electorates.
	AcksUntil time.Time `json:"acks_until"`
}

// MemberRefresh sets the subject's electorate. Only the subject writes it, and
// it lists the whole electorate, so a member always knows who can evict it:
// while the record's outcome is unknown, either the old electorate or this one.
type MemberRefresh struct {
	Electorate []string `json:"electorate"`
}

// MemberSuspect records that member By cannot reach the subject. The subject is
// evicted once a strict majority of its electorate suspects it. Base is not
// checked, so that concurrent suspicions do not make each other void.
type MemberSuspect struct {
	By string `json:"by"`
	// Seq increases with every suspect or trust record of By on the subject. A
	// copy that appears after a later record of By has a lower Seq and is void.
	Seq uint64 `json:"seq"`
	// Until is when the last lease that By acknowledged expires, by the
	// subject's wall clock.
	Until time.Time `json:"until"`
}

// MemberTrust withdraws By's suspicion.
type MemberTrust struct {
	By  string `json:"by"`
	Seq uint64 `json:"seq"`
}

// JobSubmit submits a job. Subject: the job.
type JobSubmit struct {
	Service      string        `json:"service"`     // whose pool runs the job
	Team         string        `json:"team"`        // whose quota the job counts against
	MilliCores   int           `json:"milli_cores"` // thousandths of a core
	MemoryMB     int           `json:"memory_mb"`
	Accelerators int           `json:"accelerators"`
	RunTime      time.Duration `json:"run_time"` // as declared by the submitter
	Urgent       bool          `json:"urgent"`
	// Repeatable jobs may be restarted if the outcome of a run is unknown.
	Repeatable     bool `json:"repeatable"`
	Checkpointable bool `json:"checkpointable"`
}

// JobPlace starts a job on a worker. The record's offset is the task's fencing
// token.
type JobPlace struct {
	Worker string `json:"worker"`
	// MilliCores and MemoryMB are the reserved resources, corrected by the
	// usage of earlier jobs.
	MilliCores int `json:"milli_cores"`
	MemoryMB   int `json:"memory_mb"`
	// Attempt counts placements of the job from 1.
	Attempt int `json:"attempt"`
}

// JobResult is the result of one attempt or of the whole job.
type JobResult string

// Results of a job. A job that was not started or was preempted returns to the
// queue. After a failure, an expired lease or a stop it returns only if it is
// repeatable, and only a limited number of times.
const (
	JobSucceeded   JobResult = "succeeded"
	JobFailed      JobResult = "failed"
	JobPreempted   JobResult = "preempted" // checkpointed to free capacity
	JobNotStarted  JobResult = "not-started"
	JobLapsed      JobResult = "lapsed" // lease expired, outcome unknown
	JobUnplaceable JobResult = "unplaceable"
	JobStopped     JobResult = "stopped" // after a cancellation
)

// JobEnd records the result of a placement, or that a job can never be placed.
type JobEnd struct {
	Result     JobResult `json:"result"`
	Reason     string    `json:"reason,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	// PeakMilliCores and PeakMemoryMB are the task's peak usage according to
	// usage reports, 0 without a report. Later jobs of the same shape are sized
	// by them.
	PeakMilliCores int `json:"peak_milli_cores,omitempty"`
	PeakMemoryMB   int `json:"peak_memory_mb,omitempty"`
}

// PreemptAction is how a placed job frees capacity.
type PreemptAction string

// Actions on a placed job. PreemptRestore undoes PreemptThrottle.
const (
	PreemptCheckpoint PreemptAction = "checkpoint"
	PreemptThrottle   PreemptAction = "throttle"
	PreemptRestore    PreemptAction = "restore"
)

// JobPreempt makes a placed job free capacity for an urgent job or for a drain.
// The record's offset is the fencing token of the action on the task.
type JobPreempt struct {
	Action PreemptAction `json:"action"`
	// MilliCores is the reservation after a throttle or restore.
	MilliCores int `json:"milli_cores,omitempty"`
	// For names the urgent job or the VM that the capacity is freed for.
	For string `json:"for,omitempty"`
}

// JobCancel cancels a job.
type JobCancel struct {
	Reason string `json:"reason,omitempty"`
}

// ClockWitness reports the author's clock: the record's Author and Time are its
// whole content. Subject: clock and the author's node. Base is not checked.
type ClockWitness struct{}
