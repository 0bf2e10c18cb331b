package figure

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Format is an output format of tables.
type Format string

// The formats.
const (
	FormatTable Format = "table" // Markdown, as used in docs/MEASUREMENTS.md
	FormatJSON  Format = "json"
	FormatCSV   Format = "csv" // one line for each sample
)

// Write writes tables to w in the given format. It returns an error if the format
// is unknown or if w returns one.
func Write(w io.Writer, format Format, tables []Table) error {
	switch format {
	case FormatTable:
		return writeMarkdown(w, tables)
	case FormatJSON:
		return writeJSON(w, tables)
	case FormatCSV:
		return writeCSV(w, tables)
	}
	return errors.Errorf("unknown format %q, expected table, json or csv", format)
}

func writeMarkdown(w io.Writer, tables []Table) error {
	var text strings.Builder
	for _, t := range tables {
		columns := slices.Concat(t.Labels, t.Quantities)
		fmt.Fprintf(&text, "%s:\n\n| %s |\n|%s\n", t.Title, strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
		for _, row := range t.Rows {
			cells := slices.Clone(row.Labels)
			for _, s := range row.Samples {
				cells = append(cells, s.String())
			}
			fmt.Fprintf(&text, "| %s |\n", strings.Join(cells, " | "))
		}
		text.WriteString("\n")
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// line is one sample with its table, row and quantity.
type line struct {
	Table    string   `json:"table"`
	Labels   []string `json:"labels"`
	Quantity string   `json:"quantity"`
	Runs     int      `json:"runs"`
	Median   float64  `json:"median"`
	Min      float64  `json:"least"`
	Max      float64  `json:"greatest"`
}

func lines(tables []Table) []line {
	var list []line
	for _, t := range tables {
		for _, row := range t.Rows {
			for i, s := range row.Samples {
				list = append(list, line{
					Table: t.Title, Labels: row.Labels, Quantity: t.Quantities[i],
					Runs: len(s), Median: s.Median(), Min: s.Min(), Max: s.Max(),
				})
			}
		}
	}
	return list
}

func writeJSON(w io.Writer, tables []Table) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(lines(tables))
}

func writeCSV(w io.Writer, tables []Table) error {
	out := csv.NewWriter(w)
	records := [][]string{{"table", "row", "quantity", "runs", "median", "least", "greatest"}}
	number := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	for _, l := range lines(tables) {
		records = append(records, []string{
			l.Table, strings.Join(l.Labels, "/"), l.Quantity, strconv.Itoa(l.Runs), number(l.Median), number(l.Min), number(l.Max),
		})
	}
	return out.WriteAll(records)
}
