// Package tomlfile decodes TOML text strictly and reports every mistake at
// once, each with its file, line and key. Settings, service documents and the
// stand-in share it. It reads no file and holds no state.
package tomlfile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a TOML text.
type Problem struct {
	File     string
	Line     int    // 1-based
	Key      string // dotted path such as "route[1].path"; empty for a syntax error
	Wrong    string // what is wrong, such as `"fast" is not a duration`
	Expected string // what would be right; empty when Wrong says it all
	// Malformed marks a syntax error: the text after Line was not read.
	Malformed bool
}

// String returns "file:line: key: wrong, expected what".
func (p Problem) String() string {
	text := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Key != "" {
		text += p.Key + ": "
	}
	text += p.Wrong
	if p.Expected != "" {
		text += ", expected " + p.Expected
	}
	return text
}

// MaxProblems is how many mistakes of one text are reported. The decoder stops
// at each, so a text with thousands would be read thousands of times; a service
// document is read by every node as it folds the log.
const MaxProblems = 100

// Problems are the mistakes of one text, in the order of its lines.
type Problems []Problem

// Error returns one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there is no problem. It spares callers the typed nil
// that a plain conversion to error would give.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Malformed tells whether the text broke off at a syntax error. Checks for
// missing keys are meaningless then.
func (ps Problems) Malformed() bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Malformed })
}

// Has tells whether key has a problem. Its value then may be a default that the
// text never named, so a check of another key against it would mislead.
func (ps Problems) Has(key string) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Key == key })
}

// Add takes p in, in line order, unless MaxProblems were found. A key that has
// a problem already keeps its first one: a value that could not be decoded
// still holds its default, and a second complaint about that default would
// mislead.
func (ps *Problems) Add(p Problem) {
	if len(*ps) >= MaxProblems {
		return
	}
	if p.Key != "" && ps.Has(p.Key) {
		return
	}
	*ps = append(*ps, p)
	slices.SortStableFunc(*ps, func(a, b Problem) int { return a.Line - b.Line })
}
