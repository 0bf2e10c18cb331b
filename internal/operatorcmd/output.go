package operatorcmd

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// format is the output format of results.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
	formatCSV   format = "csv"
)

func (f format) valid() bool {
	return f == formatTable || f == formatJSON || f == formatCSV
}

// table is one titled block of a result.
type table struct {
	title  string
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// printResult prints value as JSON, or the tables as text or CSV. In CSV, each
// row begins with its table's title, so that one output can hold several tables.
func printResult(out io.Writer, f format, value any, tables ...*table) error {
	switch f {
	case formatJSON:
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(value), "print the result")
	case formatCSV:
		return printCSV(out, tables)
	}
	return printText(out, tables)
}

func printCSV(out io.Writer, tables []*table) error {
	w := csv.NewWriter(out)
	for _, t := range tables {
		for _, row := range append([][]string{t.header}, t.rows...) {
			if err := w.Write(append([]string{t.title}, row...)); err != nil {
				return errors.Wrap(err, "print the result")
			}
		}
	}
	w.Flush()
	return errors.Wrap(w.Error(), "print the result")
}

func printText(out io.Writer, tables []*table) error {
	first := true
	for _, t := range tables {
		if len(t.rows) == 0 {
			continue
		}
		if !first {
			fmt.Fprintln(out)
		}
		first = false
		fmt.Fprintln(out, t.title)
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{t.header}, t.rows...) {
			fmt.Fprintln(w, "  "+strings.Join(row, "\t"))
		}
		if err := w.Flush(); err != nil {
			return errors.Wrap(err, "print the result")
		}
	}
	return nil
}

// dash is printed for a missing value.
const dash = "-"

func orDash(s string) string {
	if s == "" {
		return dash
	}
	return s
}

// formatDuration formats a duration for a table, rounded according to its size.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return d.Round(100 * time.Millisecond).String()
	case d < 2*day:
		return d.Round(time.Second).String()
	}
	return fmt.Sprintf("%d days", d/day)
}

const day = 24 * time.Hour

// formatTime formats a time for a table, in UTC. The zero time is a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return dash
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
