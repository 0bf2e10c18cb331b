package tomlfile

import (
	"bytes"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Decode decodes data into a T. Keys that T does not have are problems. file is
// only used as the name of the text in problems. If there are problems, the
// value holds what could be decoded, and after a syntax error nothing.
func Decode[T any](file string, data []byte) (T, Positions, Problems) {
	var zero T
	return DecodeWithDefaults(file, data, zero)
}

// DecodeWithDefaults is like Decode with defaults for the keys that are not in the text.
// defaults must not contain maps or slices that the text may set.
func DecodeWithDefaults[T any](file string, data []byte, defaults T) (T, Positions, Problems) {
	positions := indexKeys(file, data)
	if positions.firstSyntaxError != nil {
		return defaults, positions, Problems{*positions.firstSyntaxError}
	}
	var problems Problems
	rest := bytes.Clone(data)
	for {
		value := defaults
		err := decodeStrict(rest, &value)
		if err == nil {
			return value, positions, problems
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			for i := range min(len(unknown.Errors), MaxProblems) {
				problems.Add(positions.unknownKey(&unknown.Errors[i], value))
			}
			return value, positions, problems
		}
		problem, offset := positions.decodeError(err, rest, value)
		problems.Add(problem)
		if len(problems) >= MaxProblems || !positions.blankExpression(rest, offset) {
			return value, positions, problems
		}
	}
}

func decodeStrict(data []byte, into any) error {
	return toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
}

// blankExpression overwrites the expression at offset with spaces, so that the
// next pass decodes what follows. Without it an operator would see one mistake
// per attempt, because the decoder stops at the first value that it cannot
// store. It returns false if there was nothing to overwrite, which ends the
// passes.
func (p Positions) blankExpression(data []byte, offset int) bool {
	i := p.expressionAt(offset)
	if i < 0 {
		return false
	}
	start, end := p.expressions[i].start, p.expressions[i].end
	if p.expressions[i].header != "" { // its keys would otherwise belong to the previous table
		for i++; i < len(p.expressions) && p.expressions[i].header == ""; i++ {
			end = p.expressions[i].end
		}
	}
	changed := false
	for j := start; j < end; j++ {
		if data[j] != '\n' && data[j] != ' ' {
			data[j] = ' '
			changed = true
		}
	}
	return changed
}

// unknownKey returns the problem of a key that value's type does not have.
func (p Positions) unknownKey(err *toml.DecodeError, value any) Problem {
	offset := p.offset(err)
	expected := ""
	if known := knownKeys(value, err.Key()); len(known) > 0 {
		expected = "one of " + strings.Join(known, ", ")
	}
	return Problem{File: p.file, Line: p.lineAt(offset), Key: p.keyPathAt(offset, err.Key()), Wrong: "unknown key", Expected: expected}
}

// decodeError returns the problem of a duplicate key or a value of the wrong
// type, and its offset in rest.
func (p Positions) decodeError(err error, rest []byte, value any) (Problem, int) {
	var located *toml.DecodeError
	var path []string
	var offset int
	if errors.As(err, &located) {
		offset, path = p.offset(located), located.Key()
	} else {
		offset = p.firstFailingOffset(rest, value)
	}
	wrong, expected := describeMismatch(strings.TrimPrefix(err.Error(), "toml: "), value, path)
	return Problem{File: p.file, Line: p.lineAt(offset), Key: p.keyAt(offset), Wrong: wrong, Expected: expected}, offset
}

// firstFailingOffset returns the offset of the first expression that cannot be
// decoded into value's type. It is needed if the value is not a string, as in
// window = 30: the decoder then returns the error of an UnmarshalText method
// without a position. The decoder works in the order of the text, so the shortest
// prefix that fails ends with the failing expression.
func (p Positions) firstFailingOffset(rest []byte, value any) int {
	i := sort.Search(len(p.expressions), func(i int) bool {
		target := reflect.New(reflect.TypeOf(value))
		err := decodeStrict(rest[:p.expressions[i].end], target.Interface())
		var unknown *toml.StrictMissingError
		return err != nil && !errors.As(err, &unknown)
	})
	if i == len(p.expressions) {
		return 0
	}
	return p.expressions[i].start
}

// offset returns the offset of err's 1-based row and column.
func (p Positions) offset(err *toml.DecodeError) int {
	row, column := err.Position()
	start := 0
	for ; row > 1; row-- {
		start += 1 + bytes.IndexByte(p.data[start:], '\n')
	}
	return min(start+column-1, len(p.data))
}
