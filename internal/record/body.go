package record

import "time"

// Kinds of body, by subject.
const (
	KindDocumentPublish Kind = "document.publish"
	KindDocumentRemove  Kind = "document.remove"
	KindVMRegister      Kind = "vm.register"
	KindVMDrain         Kind = "vm.drain"
	KindVMAdvance       Kind = "vm.advance"
	KindVMRedirect      Kind = "vm.redirect"
	KindVMJoin          Kind = "vm.join"
	KindVMDown          Kind = "vm.down"
	KindVMUp            Kind = "vm.up"
	KindVMGone          Kind = "vm.gone"
	KindVMQuarantine    Kind = "vm.quarantine"
	KindWaveStart       Kind = "wave.start"
	KindWaveControl     Kind = "wave.control"
	KindWaveSkip        Kind = "wave.skip"
	KindMemberJoin      Kind = "member.join"
	KindMemberLeave     Kind = "member.leave"
	KindMemberRefresh   Kind = "member.refresh"
	KindMemberSuspect   Kind = "member.suspect"
	KindMemberTrust     Kind = "member.trust"
	KindJobSubmit       Kind = "job.submit"
	KindJobPlace        Kind = "job.place"
	KindJobEnd          Kind = "job.end"
	KindJobCancel       Kind = "job.cancel"
	KindJobPreempt      Kind = "job.preempt"
	KindClockWitness    Kind = "clock.witness"
)

var decoders = map[Kind]func([]byte) (Record, error){
	KindDocumentPublish: decoderOf[DocumentPublish],
	KindDocumentRemove:  decoderOf[DocumentRemove],
	KindVMRegister:      decoderOf[VMRegister],
	KindVMDrain:         decoderOf[VMDrain],
	KindVMAdvance:       decoderOf[VMAdvance],
	KindVMRedirect:      decoderOf[VMRedirect],
	KindVMJoin:          decoderOf[VMJoin],
	KindVMDown:          decoderOf[VMDown],
	KindVMUp:            decoderOf[VMUp],
	KindVMGone:          decoderOf[VMGone],
	KindVMQuarantine:    decoderOf[VMQuarantine],
	KindWaveStart:       decoderOf[WaveStart],
	KindWaveControl:     decoderOf[WaveControl],
	KindWaveSkip:        decoderOf[WaveSkip],
	KindMemberJoin:      decoderOf[MemberJoin],
	KindMemberLeave:     decoderOf[MemberLeave],
	KindMemberRefresh:   decoderOf[MemberRefresh],
	KindMemberSuspect:   decoderOf[MemberSuspect],
	KindMemberTrust:     decoderOf[MemberTrust],
	KindJobSubmit:       decoderOf[JobSubmit],
	KindJobPlace:        decoderOf[JobPlace],
	KindJobEnd:          decoderOf[JobEnd],
	KindJobCancel:       decoderOf[JobCancel],
	KindJobPreempt:      decoderOf[JobPreempt],
	KindClockWitness:    decoderOf[ClockWitness],
}

// DocumentPublish replaces a service's document. Subject: the service.
type DocumentPublish struct {
	// Text is the TOML document as its owner wrote it.
	Text string `json:"text"`
}

// DocumentRemove removes a service. It is refused while VMs, jobs or a wave
// depend on the service.
type DocumentRemove struct{}

// VMRegister makes a VM of the platform's list known. Subject: the VM.
type VMRegister struct {
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"` // IP:port of its backend server
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
}

// DrainReason says why a VM is taken out of service.
type DrainReason string

// Reasons of a drain.
const (
	DrainMaintenance DrainReason = "maintenance"
	DrainMove        DrainReason = "move"
	DrainOperator    DrainReason = "operator"
)

// VMDrain is the decision to take a VM out of service. It is effective only
// while its pool's availability budget allows one more unavailable VM.
type VMDrain struct {
	Reason DrainReason `json:"reason"`
	// Wave is the maintenance wave that the drain belongs to, or empty. With it
	// the VM is rebooted once drained.
	Wave string `json:"wave,omitempty"`
	// Target is the pool to join afterwards; empty keeps the pool. A drain with
	// both Wave and Target makes one disturbance serve both.
	Target string `json:"target,omitempty"`
	// Release lets the VM leave its pool for the common reserve of free VMs. It
	// excludes Target.
	Release bool `json:"release,omitempty"`
	// Estimate is how long the VM is expected to be unavailable.
	Estimate time.Duration `json:"estimate"`
}

// VMPhase is where a VM is in its life.
type VMPhase string

// Phases of a VM. A pool VM is serving, or on its way through a drain:
// draining -> drained -> [rebooting] -> returning -> serving, with a move
// draining -> drained -> [rebooting] -> released -> (join) -> returning -> serving,
// and with a release draining -> drained -> [rebooting] -> free.
const (
	PhaseFree      VMPhase = "free" // in no pool
	PhaseServing   VMPhase = "serving"
	PhaseDraining  VMPhase = "draining"
	PhaseDrained   VMPhase = "drained"
	PhaseRebooting VMPhase = "rebooting"
	PhaseReleased  VMPhase = "released" // still charged to its old pool until the join
	PhaseReturning VMPhase = "returning"
)

// VMAdvance records that a VM reached the next phase of a drain, or, for
// rebooting, the decision to reboot.
type VMAdvance struct {
	To VMPhase `json:"to"`
}

// VMRedirect gives a drain in progress another end: the VM joins Target, or is
// released, instead of going back to its pool. One disturbance then serves
// both.
type VMRedirect struct {
	Target  string `json:"target,omitempty"`
	Release bool   `json:"release,omitempty"`
}

// VMJoin puts a free or released VM into a pool.
type VMJoin struct {
	Pool string `json:"pool"`
	// Want is how many VMs the author wants the pool to have. A join of a free
	// VM that finds as many there is refused, so that two planners cannot fill
	// one gap twice; 0 means no such check.
	Want int `json:"want,omitempty"`
}

// VMDown records that a VM was found unhealthy.
type VMDown struct {
	Cause string `json:"cause"`
}

// VMUp records that a VM was seen healthy. It ends a failure or, from
// returning, a drain, and with it the charge to the pool's budget.
type VMUp struct{}

// VMGone records that the platform no longer has the VM.
type VMGone struct{}

// VMQuarantine sets a worker aside for job placement, or lets it back.
type VMQuarantine struct {
	On bool `json:"on"`
	// Evidence names the jobs whose failures led to it.
	Evidence []string `json:"evidence,omitempty"`
}

// WaveStart begins a maintenance wave over pools. Subject: the wave.
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

// WaveSkip takes a VM out of a wave, as one that never came back or whose long
// job may not be disturbed. Subject: the wave.
type WaveSkip struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}

// MemberJoin makes one run of an entry process a member. Subject: the member,
// named by node and incarnation. A member with the same Address is removed: the
// joining process has bound the address, so the older one cannot be running.
type MemberJoin struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP:port for entry peers
	// AcksUntil is by when all leases have run out that the former process at
	// the address acked, by their holders' wall clocks.
	AcksUntil time.Time `json:"acks_until"`
}

// MemberLeave is a planned leave, or an operator's word that the member is gone.
type MemberLeave struct {
	// AcksUntil is by when all leases have run out that the member acked, by
	// their holders' wall clocks; it acks none after this record was written.
	// Zero when that is not known: electorates then keep the member.
	AcksUntil time.Time `json:"acks_until"`
}

// MemberRefresh sets the subject's electorate. Only the subject itself writes it
// and it names the electorate outright, so a member always knows who can evict
// it: while the record's outcome is unknown, the old electorate or this one.
type MemberRefresh struct {
	Electorate []string `json:"electorate"`
}

// MemberSuspect records that member By cannot reach the subject. The subject is
// evicted once a strict majority of its electorate suspects it. Base is not
// checked, so that suspicions need not queue behind each other.
type MemberSuspect struct {
	By string `json:"by"`
	// Seq rises with every suspect or trust record of By about the subject. A
	// copy that surfaces after a later word of By has a lower Seq and is void.
	Seq uint64 `json:"seq"`
	// Until is when the last lease that By acked runs out, by the subject's own
	// wall clock.
	Until time.Time `json:"until"`
}

// MemberTrust takes By's suspicion back.
type MemberTrust struct {
	By  string `json:"by"`
	Seq uint64 `json:"seq"`
}

// JobSubmit asks for a job. Subject: the job.
type JobSubmit struct {
	Service      string        `json:"service"`     // whose pool runs it
	Team         string        `json:"team"`        // whose quota it counts against
	MilliCores   int           `json:"milli_cores"` // thousandths of a core
	MemoryMB     int           `json:"memory_mb"`
	Accelerators int           `json:"accelerators"`
	RunTime      time.Duration `json:"run_time"` // declared
	Urgent       bool          `json:"urgent"`
	// Repeatable jobs may be started again after an unknown end.
	Repeatable     bool `json:"repeatable"`
	Checkpointable bool `json:"checkpointable"`
}

// JobPlace is the decision to start a job on a worker. Its offset is the
// task's fencing token.
type JobPlace struct {
	Worker string `json:"worker"`
	// MilliCores and MemoryMB are what is reserved, after correction by usage.
	MilliCores int `json:"milli_cores"`
	MemoryMB   int `json:"memory_mb"`
	// Attempt counts placements of the job from 1.
	Attempt int `json:"attempt"`
}

// JobResult is how one attempt, or the whole job, ended.
type JobResult string

// Results of a job. One that was not started or was preempted goes back to the
// queue; after a failure, lapse or stop a job does so only if it is repeatable,
// and only a bounded number of times.
const (
	JobSucceeded   JobResult = "succeeded"
	JobFailed      JobResult = "failed"
	JobPreempted   JobResult = "preempted" // checkpointed to make room
	JobNotStarted  JobResult = "not-started"
	JobLapsed      JobResult = "lapsed" // lease lapsed, end unknown
	JobUnplaceable JobResult = "unplaceable"
	JobStopped     JobResult = "stopped" // after a cancellation
)

// JobEnd records the end of a placement, or that a job can never be placed.
type JobEnd struct {
	Result     JobResult `json:"result"`
	Reason     string    `json:"reason,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	// PeakMilliCores and PeakMemoryMB are the most that usage reports showed
	// the task to use; 0 when none came. Later jobs of its shape are sized by
	// them.
	PeakMilliCores int `json:"peak_milli_cores,omitempty"`
	PeakMemoryMB   int `json:"peak_memory_mb,omitempty"`
}

// PreemptAction is how a placed job makes room.
type PreemptAction string

// Ways to make room, and to take a throttling back.
const (
	PreemptCheckpoint PreemptAction = "checkpoint"
	PreemptThrottle   PreemptAction = "throttle"
	PreemptRestore    PreemptAction = "restore"
)

// JobPreempt is the decision that a placed job makes room for urgent work or
// for a drain. Its offset is the fencing token of the action on the task.
type JobPreempt struct {
	Action PreemptAction `json:"action"`
	// MilliCores is what stays reserved after a throttle or restore.
	MilliCores int `json:"milli_cores,omitempty"`
	// For names the urgent job or the VM that needs the room.
	For string `json:"for,omitempty"`
}

// JobCancel withdraws a job.
type JobCancel struct {
	Reason string `json:"reason,omitempty"`
}

// ClockWitness says no more than its record's author and time: what the
// author's clock shows. Subject: clock and the author's node. Base is not
// checked.
type ClockWitness struct{}

// Kind implements Body.
func (DocumentPublish) Kind() Kind { return KindDocumentPublish }

// Kind implements Body.
func (DocumentRemove) Kind() Kind { return KindDocumentRemove }

// Kind implements Body.
func (VMRegister) Kind() Kind { return KindVMRegister }

// Kind implements Body.
func (VMDrain) Kind() Kind { return KindVMDrain }

// Kind implements Body.
func (VMAdvance) Kind() Kind { return KindVMAdvance }

// Kind implements Body.
func (VMRedirect) Kind() Kind { return KindVMRedirect }

// Kind implements Body.
func (VMJoin) Kind() Kind { return KindVMJoin }

// Kind implements Body.
func (VMDown) Kind() Kind { return KindVMDown }

// Kind implements Body.
func (VMUp) Kind() Kind { return KindVMUp }

// Kind implements Body.
func (VMGone) Kind() Kind { return KindVMGone }

// Kind implements Body.
func (VMQuarantine) Kind() Kind { return KindVMQuarantine }

// Kind implements Body.
func (WaveStart) Kind() Kind { return KindWaveStart }

// Kind implements Body.
func (WaveControl) Kind() Kind { return KindWaveControl }

// Kind implements Body.
func (WaveSkip) Kind() Kind { return KindWaveSkip }

// Kind implements Body.
func (MemberJoin) Kind() Kind { return KindMemberJoin }

// Kind implements Body.
func (MemberLeave) Kind() Kind { return KindMemberLeave }

// Kind implements Body.
func (MemberRefresh) Kind() Kind { return KindMemberRefresh }

// Kind implements Body.
func (MemberSuspect) Kind() Kind { return KindMemberSuspect }

// Kind implements Body.
func (MemberTrust) Kind() Kind { return KindMemberTrust }

// Kind implements Body.
func (JobSubmit) Kind() Kind { return KindJobSubmit }

// Kind implements Body.
func (JobPlace) Kind() Kind { return KindJobPlace }

// Kind implements Body.
func (JobEnd) Kind() Kind { return KindJobEnd }

// Kind implements Body.
func (JobCancel) Kind() Kind { return KindJobCancel }

// Kind implements Body.
func (JobPreempt) Kind() Kind { return KindJobPreempt }

// Kind implements Body.
func (ClockWitness) Kind() Kind { return KindClockWitness }
