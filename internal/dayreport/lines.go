// Package dayreport explains a day of a deployment from the logs of its nodes: what callers
// were refused and why, which jobs began late and what they waited for, and what happened
// to the owners, the store and the VMs meanwhile. It is pure but for the reading of the
// logs.
package dayreport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a log, in bytes. A longer one counts as cut.
const maxLineBytes = 1 << 20

// maxProblems is how many lines of each file that can't be read are named; the others are
// counted.
const maxProblems = 5

// Line is one line of a node's log, as far as the report needs it.
type Line struct {
	At          time.Time `json:"@timestamp"`
	Message     string    `json:"@message"`
	Node        string    `json:"node"`
	Job         string    `json:"job"`
	Queue       string    `json:"queue"`
	Service     string    `json:"service"`
	Method      string    `json:"method"`
	Status      int       `json:"status"` // of an answer; a text in other lines
	Reason      string    `json:"reason"`
	AgeMS       int64     `json:"age_ms"`
	SinceMS     int64     `json:"since_ms"`
	Partition   int       `json:"partition"`
	Topic       string    `json:"topic"`
	HandedOver  bool      `json:"handed_over"` // the owner before left word of its runs
	VM          string    `json:"vm"`
	Pool        string    `json:"pool"`
	Maintenance bool      `json:"maintain"`
	Wave        int64     `json:"wave"`
	Done        int       `json:"done"`
	Outcome     string    `json:"outcome"`
	State       string    `json:"state"`
	Version     int64     `json:"version"`
}

// Problem is a line that can't be read.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Kind string `json:"what"` // "foreign" or "cut"
}

// Kinds of lines that can't be read: of another program, and such that begin as a line of a
// node does.
const (
	foreign   = "foreign"
	truncated = "cut"
)

// Log is what was read of the logs of all nodes.
type Log struct {
	Lines []Line
	// Foreign and Cut count the lines that can't be read, of which Problems names the first
	// of each file.
	Foreign, Truncated int
	Problems           []Problem
}

// Read adds the lines of a log that is called name. What stands before the first brace of
// a line is passed over. A line that can't be read is counted and is no error; only the
// reader's own errors are.
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

// readLine reads a line without its end. whole is false if it is longer than maxLine; the
// rest of it is passed over.
func readLine(in *bufio.Reader) (text []byte, complete bool, err error) {
	text, more, err := in.ReadLine()
	if err != nil || !more {
		return text, true, err
	}
	for more && err == nil {
		_, more, err = in.ReadLine()
	}
	if errors.Is(err, io.EOF) {
		err = nil // the next call tells
	}
	return nil, false, err
}

// addLine adds a line and returns "", or what keeps it from being read.
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
		// A field of that name has another type in this message; the others are there.
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
