package workload

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Submission is a job as it is stored when it is accepted.
type Submission struct {
	Queue      string `json:"q"`
	Service    string `json:"v"`
	AcceptedMS int64  `json:"a"` // since 1970, by the clock of the node that accepted it
	Spec       Spec   `json:"j"`
}

// Progress is what the owner of a service stores of a job: the ends of runs that
// it has taken note of.
type Progress struct {
	// Done has, for each occurrence and step in order, the indexes of the tasks
	// that are done as a bit set of bytes.
	Done [][]byte `json:"d,omitempty"`
	// FailedRuns has the run numbers that ended by the task's own fault. Numbers
	// rather than a count: a later owner may see an end again whose
	// acknowledgement was lost, and must not count it twice.
	FailedRuns map[string][]int64 `json:"f,omitempty"`
	// Crashes has the crashes of workers that ran a task, by the same names.
	Crashes map[string][]Crash `json:"x,omitempty"`
	// Final is the job's state once it has ended.
	Final State `json:"t,omitempty"`
	// EndedMS is when it ended, since 1970.
	EndedMS int64 `json:"e,omitempty"`
	// Begun is set once a task was started.
	Begun bool `json:"b,omitempty"`
}

// Kinds of stored records, the first letter of their keys.
const (
	kindSubmission = "s/"
	kindCancel     = "c/"
	kindProgress   = "p/"

	keyHandover = "owner/left"
	keyTakeover = "owner/last"
)

// Handover is what an owner that gives a partition up in good order says of the
// runs that it leaves. With it the next owner knows what a worker that does not
// answer may run.
type Handover struct {
	Epoch int64     `json:"e"` // of the owner that wrote it
	Runs  []LeftRun `json:"r,omitempty"`
	// Closed are the workers that are being emptied: their VMs may be ordered any
	// moment, on this owner's word that nothing runs there.
	Closed []string `json:"x,omitempty"`
}

// LeftRun is one run of a Handover.
type LeftRun struct {
	Worker string `json:"w"`
	Task   string `json:"t"`
	Run    int64  `json:"n"`
	Born   int64  `json:"b,omitempty"` // of the incarnation that it was ordered to, as in Worker
	// Confirmed is set if the worker has answered the start or listed the run;
	// else the start may yet be carried out.
	Confirmed bool `json:"c,omitempty"`
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
		return kindSubmission + string(r.Job), value, errors.Wrap(err, "submission")
	case r.Progress != nil:
		value, err = json.Marshal(r.Progress)
		return kindProgress + string(r.Job), value, errors.Wrap(err, "progress")
	case r.Handover != nil:
		value, err = json.Marshal(r.Handover)
		return keyHandover, value, errors.Wrap(err, "handover")
	case r.Takeover != nil:
		value, err = json.Marshal(r.Takeover)
		return keyTakeover, value, errors.Wrap(err, "takeover")
	case r.Cancel:
		return kindCancel + string(r.Job), []byte("1"), nil
	default:
		return "", nil, errors.New("record without content")
	}
}

// Keys returns all keys of a job.
func Keys(id JobID) []string {
	return []string{kindSubmission + string(id), kindCancel + string(id), kindProgress + string(id)}
}

// DecodeRecord reads what Encode wrote. A record without a value was deleted;
// ok is false for it and for keys that are no job's.
func DecodeRecord(key string, value []byte) (r Record, ok bool, err error) {
	if len(value) == 0 || len(key) < 3 {
		return Record{}, false, nil
	}
	r.Job = JobID(key[2:])
	switch {
	case key == keyHandover:
		r.Handover = &Handover{}
		err = json.Unmarshal(value, r.Handover)
	case key == keyTakeover:
		r.Takeover = &Takeover{}
		err = json.Unmarshal(value, r.Takeover)
	case strings.HasPrefix(key, kindSubmission):
		r.Submission = &Submission{}
		err = json.Unmarshal(value, r.Submission)
	case strings.HasPrefix(key, kindProgress):
		r.Progress = &Progress{}
		err = json.Unmarshal(value, r.Progress)
	case strings.HasPrefix(key, kindCancel):
		r.Cancel = true
	default:
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, errors.Wrapf(err, "record %q", key)
	}
	return r, true, nil
}
