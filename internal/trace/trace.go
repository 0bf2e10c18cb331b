// Package trace records a real run as compressed JSON lines and replays it. A
// replay folds the log's entries again, compares the outcomes with the recorded
// ones, and checks the promises against the platform's list of VMs and the
// outcomes stated to callers.
package trace

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Version is the version of the trace format.
const Version = 1

// ErrFormat means that the data is not a complete trace of this version.
var ErrFormat = errors.New("not a trace")

// Line is one line of a trace; exactly one field is set. The first line is a
// Header and the last an End.
type Line struct {
	Header  *Header  `json:"header,omitempty"`
	Entry   *Entry   `json:"entry,omitempty"`
	VM      *VM      `json:"vm,omitempty"`
	Request *Request `json:"request,omitempty"`
	End     *End     `json:"end,omitempty"`
}

// Header describes the recording.
type Header struct {
	Version  int       `json:"version"`
	Recorded time.Time `json:"recorded"`
	Stream   string    `json:"stream"`
	Note     string    `json:"note,omitempty"`
	// Snapshot is the state before the first entry, or empty for the empty state.
	Snapshot []byte `json:"snapshot,omitempty"`
}

// Entry is one entry of the log with the outcome of folding it during the recording.
type Entry struct {
	Offset  uint64          `json:"offset"`
	Data    json.RawMessage `json:"data,omitempty"`
	Raw     []byte          `json:"raw,omitempty"` // instead of Data if the entry is not JSON
	Status  ledger.Status   `json:"status"`
	Reason  string          `json:"reason,omitempty"`
	Current record.Revision `json:"current,omitempty"`
}

// Bytes returns the data of the entry as read from the log.
func (e Entry) Bytes() []byte {
	if e.Raw != nil {
		return e.Raw
	}
	return e.Data
}

// NewEntry returns the Entry for the data of a log entry and its outcome.
func NewEntry(data []byte, out ledger.Outcome) Entry {
	e := Entry{Offset: out.Offset, Status: out.Status, Reason: out.Reason, Current: out.Current}
	if json.Valid(data) {
		e.Data = data
	} else {
		e.Raw = data
	}
	return e
}

// VM is a change in the platform's lagging list.
type VM struct {
	At     time.Time `json:"at"` // AsOf of the list
	ID     string    `json:"id"`
	State  string    `json:"state"` // empty: no longer listed
	BootID string    `json:"boot_id,omitempty"`
}

// Request is one request with the outcome stated to its caller and the backend
// servers' counters for its key.
type Request struct {
	At         time.Time `json:"at"`
	Key        string    `json:"key"`
	Service    string    `json:"service,omitempty"`
	Outcome    string    `json:"outcome"` // ran, not-run or unknown, as stated to the caller
	Repeatable bool      `json:"repeatable"`
	// Runs and Seen are the backend servers' counters at the end.
	Runs int `json:"runs"`
	Seen int `json:"seen"`
}

// End is the last line of a trace. A trace without it is incomplete.
type End struct {
	Offset uint64 `json:"offset"`
	// Statuses counts the entries by outcome.
	Statuses map[ledger.Status]int `json:"statuses"`
	Facts    Facts                 `json:"facts"`
}

// Writer writes a trace.
type Writer struct {
	zip *gzip.Writer
	enc *json.Encoder
}

// NewWriter returns a Writer after writing the header.
func NewWriter(to io.Writer, h Header) (*Writer, error) {
	zip := gzip.NewWriter(to)
	w := &Writer{zip: zip, enc: json.NewEncoder(zip)}
	h.Version = Version
	return w, w.Write(Line{Header: &h})
}

// Write appends a line.
func (w *Writer) Write(line Line) error {
	return errors.Wrap(w.enc.Encode(line), "write trace")
}

// Close writes the last line and flushes the trace.
func (w *Writer) Close(end End) error {
	if err := w.Write(Line{End: &end}); err != nil {
		return err
	}
	return errors.Wrap(w.zip.Close(), "write trace")
}

// Read calls visit for each line in order. It returns ErrFormat if the data is not a
// complete trace of this version.
func Read(from io.Reader, visit func(Line)) error {
	zip, err := gzip.NewReader(from)
	if err != nil {
		return errors.Wrap(ErrFormat, err.Error())
	}
	defer zip.Close()
	dec := json.NewDecoder(zip)
	first, ended := true, false
	for {
		var line Line
		if err := dec.Decode(&line); err == io.EOF {
			break
		} else if err != nil {
			return errors.Wrap(ErrFormat, err.Error())
		}
		if first && (line.Header == nil || line.Header.Version != Version) {
			return errors.Wrapf(ErrFormat, "no header of version %d", Version)
		}
		first, ended = false, line.End != nil
		visit(line)
	}
	if !ended {
		return errors.Wrap(ErrFormat, "incomplete: no last line")
	}
	return nil
}
