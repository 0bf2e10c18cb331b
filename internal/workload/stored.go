package workload

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Submission is a job as it is stored when it is accepted.
type Submission struct {
	Queue        string `json:"q"`
	Service      string `json:"v"`
	AcceptedAtMS int64  `json:"a"` // since 1970, by the clock of the node that accepted it
	Spec         Spec   `json:"j"`
}

// Progress is what the owner of a service stores of a job: the ends of runs that
// it has taken note of.
type Progress struct {
	// DoneBitmaps has, for each occurrence and step in order, the indexes of the tasks
	// that are done as a bit set of bytes.
	DoneBitmaps [][]byte `json:"d,omitempty"`
	// FailedRuns has the run numbers that ended by the task's own fault. Numbers
	// rather than a count: a later owner may see an end again whose
	// acknowledgement was lost, and must not count it twice.
	FailedRuns map[string][]int64 `json:"f,omitempty"`
	// Crashes has the crashes of workers that ran a task, by the same names.
	Crashes map[string][]Crash `json:"x,omitempty"`
	// FinalState is the job's state once it has ended.
	FinalState JobState `json:"t,omitempty"`
	// CompletedAtMS is when it ended, since 1970.
	CompletedAtMS int64 `json:"e,omitempty"`
	// Started is set once a task was started.
	Started bool `json:"b,omitempty"`
}

// Kinds of stored records, the first letter of their keys.
const (
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	progressPrefix   = "p/"

	handoverKey = "owner/left"
	takeoverKey = "owner/last"
)

// Handover is what an owner that gives a partition up in good order says of the
// runs that it leaves. With it the next owner knows what a worker that does not
// answer may run.
type Handover struct {
	Epoch int64         `json:"e"` // of the owner that wrote it
	Runs  []HandoverRun `json:"r,omitempty"`
	// DrainingWorkers are the workers that are being emptied: their VMs may be ordered any
	// moment, on this owner's word that nothing runs there.
	DrainingWorkers []string `json:"x,omitempty"`
}

// HandoverRun is one run of a Handover.
type HandoverRun struct {
	Worker      string `json:"w"`
	Task        string `json:"t"`
	Run         int64  `json:"n"`
	Incarnation int64  `json:"b,omitempty"` // of the incarnation that it was ordered to, as in Worker
	// StartConfirmed is set if the worker has answered the start or listed the run;
	// else the start may yet be carried out.
	StartConfirmed bool `json:"c,omitempty"`
}

// Takeover names the owner that took a partition over last.
type Takeover struct {
	Epoch int64 `json:"e"`
	// Address is where the owner's node answers others; owners of earlier versions left it
	// out.
	Address string `json:"a,omitempty"`
}

// Record is a stored fact about a job, or about the owner of the partition. One
// of the pointers and Cancel is set; none is where the record was deleted.
type Record struct {
	Job        JobID
	Submission *Submission
	Progress   *Progress
	Cancel     bool
	Handover   *Handover
	Takeover   *Takeover
}

// Encode returns the key and value under which a record is stored.
func (r Record) Encode() (key string, value []byte, err error) {
	switch {
	case r.Submission != nil:
		value, err = json.Marshal(r.Submission)
		return submissionPrefix + string(r.Job), value, errors.Wrap(err, "submission")
	case r.Progress != nil:
		value, err = json.Marshal(r.Progress)
		return progressPrefix + string(r.Job), value, errors.Wrap(err, "progress")
	case r.Handover != nil:
		value, err = json.Marshal(r.Handover)
		return handoverKey, value, errors.Wrap(err, "handover")
	case r.Takeover != nil:
		value, err = json.Marshal(r.Takeover)
		return takeoverKey, value, errors.Wrap(err, "takeover")
	case r.Cancel:
		return cancelPrefix + string(r.Job), []byte("1"), nil
	default:
		return "", nil, errors.New("record without content")
	}
}

// JobKeys returns all keys of a job.
func JobKeys(id JobID) []string {
	return []string{submissionPrefix + string(id), cancelPrefix + string(id), progressPrefix + string(id)}
}

// DecodeRecord reads what Encode wrote. A record without a value was deleted;
// ok is false for it and for keys that are no job's.
func DecodeRecord(key string, value []byte) (r Record, ok bool, err error) {
	if len(value) == 0 || len(key) < 3 {
		return Record{}, false, nil
	}
	r.Job = JobID(key[2:])
	switch {
	case key == handoverKey:
		r.Handover = &Handover{}
		err = json.Unmarshal(value, r.Handover)
	case key == takeoverKey:
		r.Takeover = &Takeover{}
		err = json.Unmarshal(value, r.Takeover)
	case strings.HasPrefix(key, submissionPrefix):
		r.Submission = &Submission{}
		err = json.Unmarshal(value, r.Submission)
	case strings.HasPrefix(key, progressPrefix):
		r.Progress = &Progress{}
		err = json.Unmarshal(value, r.Progress)
	case strings.HasPrefix(key, cancelPrefix):
		r.Cancel = true
	default:
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, errors.Wrapf(err, "record %q", key)
	}
	return r, true, nil
}
