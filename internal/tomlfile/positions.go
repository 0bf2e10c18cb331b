package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// keyPosition is the offset at which a key, table or array element starts.
type keyPosition struct {
	key    string
	offset int
}

// expression is a top-level expression: a key with its value, or a table header.
type expression struct {
	start, end int
	header     string // path of the table that a header opens, otherwise empty
}

// Positions maps the keys of one TOML text to their positions. Keys are dotted
// paths such as "pool.size"; elements of arrays and of arrays of tables have an
// index, such as "route[1].path".
type Positions struct {
	file             string
	data             []byte
	keys             []keyPosition
	firstIndex       map[string]int // key -> index into keys
	expressions      []expression
	firstSyntaxError *Problem // the syntax error at which parsing stopped
}

// Has reports whether the text contains the key.
func (p Positions) Has(key string) bool {
	_, ok := p.firstIndex[key]
	return ok
}

// Line returns the 1-based line of the key. For a missing key it returns the
// line of the closest enclosing table that is present, or 1.
func (p Positions) Line(key string) int {
	for key != "" {
		if i, ok := p.firstIndex[key]; ok {
			return p.lineAt(p.keys[i].offset)
		}
		key = parent(key)
	}
	return 1
}

// Problem returns a problem at the line of key.
func (p Positions) Problem(key, wrong, expected string) Problem {
	return Problem{File: p.file, Line: p.Line(key), Key: key, Wrong: wrong, Expected: expected}
}

func (p Positions) lineAt(offset int) int {
	return 1 + bytes.Count(p.data[:offset], []byte{'\n'})
}

// keyAt returns the last key that starts at or before offset, or the table whose
// header is there.
func (p Positions) keyAt(offset int) string {
	if i := p.expressionAt(offset); i >= 0 && p.expressions[i].header != "" {
		return p.expressions[i].header
	}
	key := ""
	for _, k := range p.keys {
		if k.offset > offset {
			break
		}
		key = k.key
	}
	return key
}

// keyPathAt returns the first key at or after offset that ends with the last
// part of path. The dotted key "a.b" is recorded twice, as "a" and as "a.b".
func (p Positions) keyPathAt(offset int, path []string) string {
	if i := p.expressionAt(offset); i < 0 || p.expressions[i].header != "" || len(path) == 0 {
		return p.keyAt(offset)
	}
	for _, k := range p.keys {
		if k.offset >= offset && k.key[strings.LastIndexByte(k.key, '.')+1:] == path[len(path)-1] {
			return k.key
		}
	}
	return p.keyAt(offset)
}

// expressionAt returns the index of the expression that contains offset, or -1.
func (p Positions) expressionAt(offset int) int {
	for i, e := range p.expressions {
		if e.start <= offset && offset < e.end {
			return i
		}
	}
	return -1
}

// parent returns the path without its last element.
func parent(key string) string {
	if strings.HasSuffix(key, "]") {
		return key[:strings.LastIndexByte(key, '[')]
	}
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i]
	}
	return ""
}

// indexer walks the expressions of a text and records where each key starts.
type indexer struct {
	positions *Positions
	elements  map[string]int // path of an array of tables to the number of its elements so far
	table     string         // path of the current table
}

// indexKeys parses data and returns the positions of all keys up to the first
// syntax error.
func indexKeys(file string, data []byte) Positions {
	p := Positions{file: file, data: data, firstIndex: map[string]int{}}
	in := indexer{positions: &p, elements: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		in.expression(parser.Expression())
	}
	p.firstSyntaxError = parseError(file, &parser)
	for i := range p.expressions {
		p.expressions[i].end = len(data)
		if i+1 < len(p.expressions) {
			p.expressions[i].end = p.expressions[i+1].start
		}
	}
	return p
}

// parseError returns the error that stopped parser, or nil if it reached the end
// of the text.
func parseError(file string, parser *unstable.Parser) *Problem {
	err := parser.Error()
	if err == nil {
		return nil
	}
	line := 1
	var located *unstable.ParserError
	if errors.As(err, &located) {
		line = parser.Shape(parser.Range(located.Highlight)).Start.Line
	}
	return &Problem{File: file, Line: line, Wrong: "not valid TOML: " + err.Error(), Malformed: true}
}

func (in *indexer) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		in.header(node, false)
	case unstable.ArrayTable:
		in.header(node, true)
	case unstable.KeyValue:
		start := in.keyValue(in.table, node)
		in.positions.expressions = append(in.positions.expressions, expression{start: start})
	}
}

// header records a [table] or [[array of tables]] and makes it the current table.
func (in *indexer) header(node *unstable.Node, array bool) {
	path, start := "", -1
	for it := node.Key(); it.Next(); {
		offset := int(it.Node().Raw.Offset)
		if start < 0 {
			start = offset
		}
		path = join(path, string(it.Node().Data))
		if array && it.IsLast() {
			in.record(path, offset)
			in.elements[path]++
		}
		if n := in.elements[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		in.record(path, offset)
	}
	in.table = path
	lineStart := 1 + bytes.LastIndexByte(in.positions.data[:start], '\n')
	in.positions.expressions = append(in.positions.expressions, expression{start: lineStart, header: path})
}

// keyValue records a key below prefix and all keys within its value. It returns
// the offset of the key.
func (in *indexer) keyValue(prefix string, node *unstable.Node) int {
	path, start := prefix, -1
	for it := node.Key(); it.Next(); {
		offset := int(it.Node().Raw.Offset)
		if start < 0 {
			start = offset
		}
		path = join(path, string(it.Node().Data))
		in.record(path, offset)
	}
	in.value(path, node.Value())
	return start
}

func (in *indexer) value(path string, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		for it := node.Children(); it.Next(); {
			in.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := node.Children(); it.Next(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			if it.Node().Kind != unstable.Array { // the parser has no offset for arrays
				in.record(element, int(it.Node().Raw.Offset))
			}
			in.value(element, it.Node())
		}
	}
}

func (in *indexer) record(key string, offset int) {
	p := in.positions
	if _, ok := p.firstIndex[key]; !ok {
		p.firstIndex[key] = len(p.keys)
	}
	p.keys = append(p.keys, keyPosition{key: key, offset: offset})
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
