// Package logstory extracts the lines on one request, job, task, VM or worker
// from the logs of all nodes and writes them in the order of their times.
package logstory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one parsed line of a log.
type Line struct {
	At      time.Time
	Node    string
	Module  string
	Message string
	// Fields holds the remaining fields as name=value, sorted.
	Fields []string
}

// omittedFields lists the JSON fields that Line.Fields leaves out: those with a
// field of their own in Line, and the level and zone.
var omittedFields = []string{"@timestamp", "@message", "@module", "@level", "node", "zone"}

// Read returns the lines of a log that contain id, in the order of the log. Text
// before the first brace of a line is ignored. Lines that are not JSON are left
// out.
func Read(r io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, id) {
			continue
		}
		_, object, found := strings.Cut(text, "{")
		if !found {
			continue
		}
		if line, ok := parse("{" + object); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

func parse(text string) (Line, bool) {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber() // run numbers exceed the precision of float64
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	stringField := func(name string) string {
		value, _ := fields[name].(string) // "" if the field is missing
		return value
	}
	line := Line{Node: stringField("node"), Module: stringField("@module"), Message: stringField("@message")}
	at, err := time.Parse(time.RFC3339, stringField("@timestamp"))
	if err != nil {
		return Line{}, false
	}
	line.At = at
	for name, value := range fields {
		if !slices.Contains(omittedFields, name) && value != "" && value != nil {
			line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Fields)
	return line, true
}

// Write sorts lines by time and writes them to w, one per line.
func Write(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%s  %-14s %-10s %-18s %s\n",
			l.At.Format("15:04:05.000"), l.Node, l.Module[strings.LastIndex(l.Module, ".")+1:], l.Message, strings.Join(l.Fields, " "))
		if err != nil {
			return errors.Wrap(err, "story")
		}
	}
	return nil
}
