// Package trace records what happened in a real run as compressed JSON lines,
// and replays it: the log's entries are folded again and compared with the
// outcomes that were recorded, and the promises are checked against what the
// platform listed and what callers were told.
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

// Version of the format.
const Version = 1

// ErrFormat means that the bytes are no trace of this version.
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

// Header says what was recorded.
type Header struct {
	Version  int       `json:"version"`
	Recorded time.Time `json:"recorded"`
	Stream   string    `json:"stream"`
	Note     string    `json:"note,omitempty"`
	// Snapshot is the state before the first entry; empty for the empty state.
	Snapshot []byte `json:"snapshot,omitempty"`
}

// Entry is one entry of the log with the outcome that the recording process
// stated for it.
type Entry struct {
	Offset  uint64          `json:"offset"`
	Data    json.RawMessage `json:"data,omitempty"`
	Raw     []byte          `json:"raw,omitempty"` // in place of Data when that is no JSON
	Status  ledger.Status   `json:"status"`
	Reason  string          `json:"reason,omitempty"`
	Current record.Revision `json:"current,omitempty"`
}

// Bytes returns the entry as it stood on the log.
func (e Entry) Bytes() []byte {
	if e.Raw != nil {
		return e.Raw
	}
	return e.Data
}

// NewEntry returns the trace's entry for the log's bytes and their outcome.
func NewEntry(data []byte, out ledger.Outcome) Entry {
	e := Entry{Offset: out.Offset, Status: out.Status, Reason: out.Reason, Current: out.Current}
	if json.Valid(data) {
		e.Data = data
	} else {
		e.Raw = data
	}
	return e
}

// VM is a change on the platform's lagging list.
type VM struct {
	At     time.Time `json:"at"` // when the list was true
	ID     string    `json:"id"`
	State  string    `json:"state"` // empty: no longer listed
	BootID string    `json:"boot_id,omitempty"`
}

// Request is what one caller saw of one request, and what the backend servers
// counted for its key.
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

// End closes a trace. Without it the trace was cut short.
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

// NewWriter begins a trace with its header.
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

// Close ends the trace with its last line.
func (w *Writer) Close(end End) error {
	if err := w.Write(Line{End: &end}); err != nil {
		return err
	}
	return errors.Wrap(w.zip.Close(), "write trace")
}

// Read calls visit for each line in order. The error is ErrFormat.
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
		return errors.Wrap(ErrFormat, "cut short: no last line")
	}
	return nil
}
