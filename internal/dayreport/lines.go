// Package dayreport explains a day of a deployment from the logs of its nodes: which calls
// were refused and why, which jobs started slowly and what they probably waited for, and what
// happened to the owners, the store and the VMs at that time. Apart from reading the logs and
// writing the page it does no I/O and holds no state.
package dayreport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a log. A longer line counts as truncated.
const maxLineBytes = 1 << 20

// maxProblems is how many unreadable lines of each file are listed. Further ones are only
// counted.
const maxProblems = 5

// Line holds the fields of a node's log line that the report needs.
type Line struct {
	At          time.Time `json:"@timestamp"`
	Message     string    `json:"@message"`
	Node        string    `json:"node"`
	Job         string    `json:"job"`
	Queue       string    `json:"queue"`
	Service     string    `json:"service"`
	Workspace   string    `json:"workspace"`
	Method      string    `json:"method"`
	Path        string    `json:"path"`
	Status      int       `json:"status"` // HTTP status of an answer; a string in other lines
	Reason      string    `json:"reason"`
	AgeMS       int64     `json:"age_ms"`
	SinceMS     int64     `json:"since_ms"`
	HeldMS      int64     `json:"held_ms"` // how long a request waited for the store
	RetryAfterS int64     `json:"retry_after_s"`
	TookMS      int64     `json:"took_ms"` // of an answer, from the call to it
	Partition   int       `json:"partition"`
	Topic       string    `json:"topic"`
	HandedOver  bool      `json:"handed_over"` // the previous owner handed its runs over
	VM          string    `json:"vm"`
	Pool        string    `json:"pool"`
	Rack        string    `json:"rack"`
	Maintenance bool      `json:"maintain"`
	Wave        int64     `json:"wave"`
	Done        int       `json:"done"`
	Outcome     string    `json:"outcome"`
	State       string    `json:"state"`
	Version     int64     `json:"version"`
}

// Problem is an unreadable line.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Kind string `json:"what"` // "foreign" or "cut"
}

// Kinds of unreadable lines: lines of other programs, and lines that are too long or whose JSON
// is invalid, usually because it was cut off.
const (
	foreign   = "foreign"
	truncated = "cut"
)

// Log holds the lines that were read from the logs of all nodes.
type Log struct {
	Lines []Line
	// Foreign and Truncated count the unreadable lines. Problems lists the first maxProblems
	// of each file.
	Foreign, Truncated int
	Problems           []Problem
}

// Read adds the lines of the log r. name identifies the log in Problems and errors. Text before
// the first brace of a line is ignored. An unreadable line is counted and is not an error; Read
// returns only errors of r.
func (l *Log) Read(r io.Reader, name string) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	reported := 0
	for n := 1; ; n++ {
		text, complete, err := readLine(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "%s: line %d", name, n)
		}
		kind := l.addLine(text, complete)
		if kind != "" && reported < maxProblems {
			l.Problems = append(l.Problems, Problem{File: name, Line: n, Kind: kind})
			reported++
		}
	}
}

// readLine reads a line and strips its end. If the line is longer than in's buffer, complete is
// false, text is nil and the whole line is skipped.
func readLine(in *bufio.Reader) (text []byte, complete bool, err error) {
	text, more, err := in.ReadLine()
	if err != nil || !more {
		return text, true, err
	}
	for more && err == nil {
		_, more, err = in.ReadLine()
	}
	if errors.Is(err, io.EOF) {
		err = nil // the next call returns it
	}
	return nil, false, err
}

// addLine adds a line and returns "", or counts it as unreadable and returns its kind of problem.
func (l *Log) addLine(text []byte, complete bool) (problem string) {
	if !complete {
		l.Truncated++
		return truncated
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return ""
	}
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		l.Foreign++
		return foreign
	}
	var line Line
	err := json.Unmarshal(text[brace:], &line)
	var syntax *json.SyntaxError
	switch wrongType := (*json.UnmarshalTypeError)(nil); {
	case errors.As(err, &wrongType):
		// A field of the same name has another type in this message. The other fields are decoded.
	case errors.As(err, &syntax):
		l.Truncated++
		return truncated
	case err != nil:
		l.Foreign++
		return foreign
	}
	if line.At.IsZero() || line.Message == "" {
		l.Foreign++
		return foreign
	}
	l.Lines = append(l.Lines, line)
	return ""
}
