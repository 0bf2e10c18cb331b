// Package tomlfile strictly decodes TOML text and reports all mistakes at once,
// each with its file, line and key. It is used for settings, service documents
// and the stand-in's configuration. It reads no files and holds no state.
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
	Expected string // the accepted values; empty if Wrong is sufficient
	// Malformed marks a syntax error. The text after Line was not decoded.
	Malformed bool
}

// String returns "file:line: key: wrong, expected ...", without the parts that
// are empty.
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
// at each mistake and is run again, so without a limit a text with thousands of
// mistakes would be decoded thousands of times. Every node decodes each service
// document when it applies the log.
const MaxProblems = 100

// Problems lists the mistakes of one text in the order of its lines.
type Problems []Problem

// Error returns one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there is no problem. A direct conversion
// of empty Problems to error would not be nil.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Malformed reports whether decoding ended at a syntax error. In that case a
// check for missing keys is meaningless.
func (ps Problems) Malformed() bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Malformed })
}

// Has reports whether key has a problem. Its value may then be a default that is
// not in the text, so a problem found by comparing another key with it would be
// misleading.
func (ps Problems) Has(key string) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Key == key })
}

// Add inserts p in line order. It ignores p if there are MaxProblems already or
// if p.Key has a problem: a value that could not be decoded still holds its
// default, and a second problem on that default would be misleading.
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
