package workload

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Submission is the stored record of an accepted job.
type Submission struct {
	Queue        string `json:"q"`
	Service      string `json:"v"`
	Workspace    string `json:"w,omitempty"` // whose key handed the job in, "" for none
	AcceptedAtMS int64  `json:"a"`           // Unix milliseconds, by the clock of the node that accepted the job
	// FirstAttemptAtMS is when the caller first handed the job in, by the clock of the node that stored the job,
	// if earlier attempts could not be stored; 0 otherwise.
	FirstAttemptAtMS int64 `json:"fa,omitempty"`
	// MaxAttempts is how often a task may fail by the queue's configuration when the job was accepted, for the time
	// after the queue was removed; 0 if it sets no limit, and in records of earlier versions.
	MaxAttempts int  `json:"ma,omitempty"`
	Spec        Spec `json:"j"`
}

// FirstHandedInAt returns when the caller handed the job in for the first time, as far as known.
func (s *Submission) FirstHandedInAt() time.Time {
	if s.FirstAttemptAtMS > 0 {
		return time.UnixMilli(s.FirstAttemptAtMS)
	}
	return time.UnixMilli(s.AcceptedAtMS)
}

// WithoutWork returns the submission without its payload, and with one empty step in place of its steps.
// It replaces the submission of a job that has ended: a later owner still shows the job, and reads a tenth
// of the bytes.
func (s *Submission) WithoutWork() *Submission {
	brief := *s
	brief.Spec = Spec{Steps: []Step{{Count: 1}}}
	return &brief
}

// IsOtherJob reports whether another submission under the same ID hands in another job rather than the same one
// again. withoutWork is set if the submissions may be stored without their work.
func (s *Submission) IsOtherJob(other *Submission, withoutWork bool) bool {
	if s.Workspace != other.Workspace || s.Queue != other.Queue {
		return true
	}
	return !withoutWork && !s.Spec.Equal(&other.Spec)
}

// Progress is the stored record of what the owner knows of a job's runs: completed tasks,
// failed runs and crashes.
type Progress struct {
	// DoneBitmaps has a bitmap of the tasks that are done, by index, for each occurrence
	// and step in order. It is empty if DoneTasks is set.
	DoneBitmaps [][]byte `json:"d,omitempty"`
	// DoneTasks has a bitmap of the tasks that are done, of all occurrences and steps in order. It replaces
	// DoneBitmaps for jobs of many steps.
	DoneTasks []byte `json:"dt,omitempty"`
	// FailedRuns has the numbers of runs that failed by the task's own fault, by task
	// (OCCURRENCE.STEP.INDEX). It has numbers rather than a count: a later owner may read
	// an exit again whose acknowledgement was lost, and must not count it twice.
	FailedRuns map[string][]int64 `json:"f,omitempty"`
	// Crashes has the crashes of workers that ran a task, by task as in FailedRuns.
	Crashes map[string][]Crash `json:"x,omitempty"`
	// FinalState is the job's terminal state, "" until the job ends.
	FinalState JobState `json:"t,omitempty"`
	// EndedAtMS is when the job ended, in Unix milliseconds.
	EndedAtMS int64 `json:"e,omitempty"`
	// Started is set once a task of the job has been started.
	Started bool `json:"b,omitempty"`
}

// WithoutFailures returns the progress without the tasks' failed runs and crashes.
func (p *Progress) WithoutFailures() *Progress {
	brief := *p
	brief.FailedRuns, brief.Crashes = nil, nil
	return &brief
}

// Prefixes of the keys of a job's records, and keys of the owners' records.
const (
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	progressPrefix   = "p/"
	loansPrefix      = "l/" // followed by a workspace

	ownerPrefix   = "owner/"
	handoverKey   = ownerPrefix + "left"
	takeoverKey   = ownerPrefix + "last"
	fenceKey      = ownerPrefix + "fence"
	longLeasesKey = ownerPrefix + "leases"
)

// IsOwnerKey reports whether a record with the key is one of an owner of the partition.
func IsOwnerKey(key string) bool { return strings.HasPrefix(key, ownerPrefix) }

// anonymousCancel is the value of a cancellation that doesn't state who sent it.
const anonymousCancel = "1"

// Handover is the report that an owner stores when it gives up a partition in an orderly
// way: the runs that it leaves. With it the next owner knows what an unreachable worker
// may run.
type Handover struct {
	Epoch int64         `json:"e"` // of the owner that wrote it
	Runs  []HandoverRun `json:"r,omitempty"`
	// DrainingWorkers are the workers that are being drained. Their VMs may be moved or
	// maintained at any moment, as this owner may have reported the workers as drained.
	DrainingWorkers []string `json:"x,omitempty"`
}

// HandoverRun is one run of a Handover.
type HandoverRun struct {
	Worker      string `json:"w"`
	Task        string `json:"t"`
	Run         int64  `json:"n"`
	Incarnation int64  `json:"b,omitempty"` // of the worker that the run was ordered to, as in Worker
	// StartConfirmed is set if the worker has answered the start or listed the run.
	// Otherwise the start may still be carried out.
	StartConfirmed bool `json:"c,omitempty"`
}

// Takeover names the owner that took over the partition last.
type Takeover struct {
	Epoch int64 `json:"e"`
	// Address is where the owner's node answers other nodes. Earlier versions did not
	// store it.
	Address string `json:"a,omitempty"`
	// InLogOrder is set if this owner, and each earlier one that may still act, starts a job only once
	// it has read the partition up to the job's record and found no later takeover before it.
	InLogOrder bool `json:"o,omitempty"`
}

// Fence names the owner that fenced the earlier ones last. Its record lies before all that the owner reads
// and writes.
type Fence struct {
	Epoch int64 `json:"e"`
}

// LongLeases names the workers on which runs may last longer than the leases that owners have granted, as an order to
// an earlier process of the worker may have reached its present one. Later owners count with it.
type LongLeases struct {
	// ExpiresAtMS is when they have expired, by worker, in Unix milliseconds by the clock of the owner that stored them.
	ExpiresAtMS map[string]int64 `json:"w,omitempty"`
	// CheckedAcks tells of workers that have restarted, by ID, which process has been checked for acknowledgements to an
	// earlier one.
	CheckedAcks map[string]CheckedAcks `json:"a,omitempty"`
}

// CheckedAcks states that a process of a worker, which started at Incarnation in Unix milliseconds, may drop its exits
// up to a sequence number unread, 0 for none.
type CheckedAcks struct {
	Incarnation      int64 `json:"i"`
	MayDropExitsUpTo int64 `json:"n,omitempty"`
}

// Record is a stored record of a job or of an owner of the partition. Exactly one of
// Submission, Progress, Cancel, Handover, Takeover, Fence, Loans and LongLeases is set.
type Record struct {
	// Offset is the record's place in its partition. It is set on records that were read.
	Offset     int64
	Job        JobID
	Submission *Submission
	Progress   *Progress
	Cancel     bool
	// CancelledBy is who sent a cancellation, nil if it was stored without that.
	CancelledBy *Requester
	Handover    *Handover
	Takeover    *Takeover
	Fence       *Fence
	Loans       *Loans
	LongLeases  *LongLeases
}

// Encode returns the key and value of the record in the store.
func (r Record) Encode() (key string, value []byte, err error) {
	switch {
	case r.Submission != nil:
		value, err = encodeValue(r.Submission)
		return submissionPrefix + string(r.Job), value, errors.Wrap(err, "submission")
	case r.Progress != nil:
		value, err = encodeValue(r.Progress)
		return progressPrefix + string(r.Job), value, errors.Wrap(err, "progress")
	case r.Handover != nil:
		value, err = encodeValue(r.Handover)
		return handoverKey, value, errors.Wrap(err, "handover")
	case r.Takeover != nil:
		value, err = encodeValue(r.Takeover)
		return takeoverKey, value, errors.Wrap(err, "takeover")
	case r.Fence != nil:
		value, err = encodeValue(r.Fence)
		return fenceKey, value, errors.Wrap(err, "fence")
	case r.Loans != nil:
		value, err = encodeValue(r.Loans)
		return loansPrefix + r.Loans.Workspace, value, errors.Wrap(err, "loans")
	case r.LongLeases != nil:
		value, err = encodeValue(r.LongLeases)
		return longLeasesKey, value, errors.Wrap(err, "long leases")
	case r.Cancel && r.CancelledBy == nil:
		return cancelPrefix + string(r.Job), []byte(anonymousCancel), nil
	case r.Cancel:
		value, err = encodeValue(r.CancelledBy)
		return cancelPrefix + string(r.Job), value, errors.Wrap(err, "cancellation")
	default:
		return "", nil, errors.New("record without content")
	}
}

// JobKeys returns the keys of all records of a job.
func JobKeys(id JobID) []string {
	return []string{submissionPrefix + string(id), cancelPrefix + string(id), progressPrefix + string(id)}
}

// DecodeRecord parses a key and value that Encode returned. ok is false for a record
// without a value, which was deleted, and for unknown keys.
func DecodeRecord(key string, value []byte) (r Record, ok bool, err error) {
	if len(value) == 0 || len(key) < 3 {
		return Record{}, false, nil
	}
	r.Job = JobID(key[2:])
	switch {
	case key == handoverKey:
		r.Handover = &Handover{}
		err = decodeValue(value, r.Handover)
	case key == takeoverKey:
		r.Takeover = &Takeover{}
		err = decodeValue(value, r.Takeover)
	case key == fenceKey:
		r.Fence = &Fence{}
		err = decodeValue(value, r.Fence)
	case key == longLeasesKey:
		r.LongLeases = &LongLeases{}
		err = decodeValue(value, r.LongLeases)
	case strings.HasPrefix(key, loansPrefix):
		r.Loans = &Loans{}
		err = decodeValue(value, r.Loans)
	case strings.HasPrefix(key, submissionPrefix):
		r.Submission = &Submission{}
		err = decodeValue(value, r.Submission)
	case strings.HasPrefix(key, progressPrefix):
		r.Progress = &Progress{}
		err = decodeValue(value, r.Progress)
	case strings.HasPrefix(key, cancelPrefix):
		r.Cancel = true
		if string(value) != anonymousCancel {
			r.CancelledBy = &Requester{}
			err = decodeValue(value, r.CancelledBy)
		}
	default:
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, errors.Wrapf(err, "record %q", key)
	}
	return r, true, nil
}
