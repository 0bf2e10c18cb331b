// Package archtest holds the rules of the code's structure as tests; it has no
// product code.
package archtest

import (
	"fmt"
	"go/ast"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	module = "github.com/yuccadrift/yuccadrift/"
	// maxFileLines bounds a product file, maxFunctionLines a function.
	maxFileLines     = 400
	maxFunctionLines = 50
	// maxMainLines bounds cmd/*/main.go, which only wires.
	maxMainLines = 120
)

// pure packages decide without I/O: time and randomness come in as arguments.
var pure = []string{
	"record", "document", "ledger", "pool", "maintenance", "placement", "usage", "quarantine", "claim", "routing", "measure", "tomlfile", "invariant", "forecast",
	"workload", "scheduler", "fleet", "returntime", "acceptance", "workshare", "prospect", "admission", "slowdown", "rackhealth", "heldqueue", "logorder", "partitioning", "feasibility", "membudget",
}

// peers are the packages that may open connections: one for each peer that the
// system talks to, what binds their listeners, and what only tests and
// development use.
var peers = []string{
	"caller", "backend", "platform", "operator", "entrypeer", "stewardpeer", "peerserver", "admin", "listen", "standin", "testkit", "load", "bench/claims", "bench/requests",
	"front", "nodepeer",
}

// adapter is the folder of the users' platform: only it knows names of the wire.
const adapter = "platform/"

// wireNamesFile lists names of that platform's wire that mean nothing else, one a
// line. It lies in the adapter's folder, as does all that knows them.
const wireNamesFile = "../../" + adapter + "testdata/wire-names.txt"

// wireNameList and wireNames are those names, one by one and as a pattern.
var (
	wireNameList = readWireNames()
	wireNames    = anyOf(wireNameList)
)

func readWireNames() []string {
	text, err := os.ReadFile(wireNamesFile)
	if err != nil {
		panic(err)
	}
	return strings.Fields(string(text))
}

// anyOf is a pattern that finds each of some texts.
func anyOf(texts []string) *regexp.Regexp {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = regexp.QuoteMeta(text)
	}
	return regexp.MustCompile(strings.Join(quoted, "|"))
}

// forbidden imports of product files, with the reason.
var forbidden = map[string]string{
	"os/exec":           "a process starts no other process",
	"net/http/httputil": "no ready-made proxy",
	"math/rand":         "math/rand/v2 is used",
	"log":               "hclog is used",
	"flag":              "urfave/cli is used",
	"errors":            "pkg/errors is used",
	"unsafe":            "no memory tricks",
}

// forbiddenCalls of product files, with the reason.
var forbiddenCalls = map[string]string{
	"os.StartProcess":  "a process starts no other process",
	"syscall.ForkExec": "a process starts no other process",
	"syscall.Exec":     "a process starts no other process",
	"syscall.Mmap":     "no shared memory",
}

// impure are imports that reach outside the process or into the clock's and
// chance's hands. net/netip and net/url only parse.
var impure = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "math/rand", "math/rand/v2", "crypto/rand", "context"}

// clockCalls read the clock or wait on it.
var clockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// testName finds tests and benchmarks in a page.
var testName = regexp.MustCompile("`((?:Test|Benchmark)[A-Za-z0-9]+)`")

// A rule returns what breaks it in one file, one line each.
type rule func(s source) []string

var rules = map[string]rule{
	"forbidden imports and calls": func(s source) (broken []string) {
		for path, node := range s.imports() {
			if reason, ok := forbidden[path]; ok {
				broken = append(broken, s.at(node)+": imports "+path+": "+reason)
			}
		}
		s.selectors(func(name string, node ast.Node) {
			if reason, ok := forbiddenCalls[name]; ok {
				broken = append(broken, s.at(node)+": uses "+name+": "+reason)
			}
		})
		return broken
	},
	"pure packages import only pure ones": func(s source) (broken []string) {
		if !s.inPackages(pure) {
			return nil
		}
		for path, node := range s.imports() {
			name, own := strings.CutPrefix(path, module+"internal/")
			if slices.Contains(impure, path) || own && !slices.Contains(pure, name) {
				broken = append(broken, s.at(node)+": pure package imports "+path)
			}
		}
		return broken
	},
	"pure packages read no clock and start no goroutine": func(s source) (broken []string) {
		if !s.inPackages(pure) {
			return nil
		}
		s.selectors(func(name string, node ast.Node) {
			if call, ok := strings.CutPrefix(name, "time."); ok && slices.Contains(clockCalls, call) {
				broken = append(broken, s.at(node)+": pure package uses "+name)
			}
		})
		ast.Inspect(s.file, func(node ast.Node) bool {
			if statement, ok := node.(*ast.GoStmt); ok {
				broken = append(broken, s.at(statement)+": pure package starts a goroutine")
			}
			return true
		})
		return broken
	},
	"only peer packages open connections": func(s source) (broken []string) {
		if s.inPackages(peers) || strings.HasPrefix(s.path, adapter) {
			return nil
		}
		for path, node := range s.imports() {
			if path == "net" || path == "net/http" || strings.HasPrefix(path, "google.golang.org/grpc") {
				broken = append(broken, s.at(node)+": imports "+path+" outside the peer packages")
			}
		}
		return broken
	},
	"names of the wire stay in their folder": wireNamesOutside,
	"mains only wire": func(s source) (broken []string) {
		if !s.isMain() {
			return nil
		}
		if lines := s.set.Position(s.file.End()).Line; lines > maxMainLines {
			broken = append(broken, fmt.Sprintf("%s: %d lines, at most %d", s.path, lines, maxMainLines))
		}
		ast.Inspect(s.file, func(node ast.Node) bool {
			switch node.(type) {
			case *ast.GoStmt, *ast.ForStmt, *ast.SelectStmt, *ast.TypeSpec:
				broken = append(broken, fmt.Sprintf("%s: %T in a main", s.at(node), node))
			}
			return true
		})
		return broken
	},
	"files and functions are short": func(s source) (broken []string) {
		if lines := s.set.Position(s.file.End()).Line; lines > maxFileLines {
			broken = append(broken, fmt.Sprintf("%s: %d lines, at most %d", s.path, lines, maxFileLines))
		}
		for _, decl := range s.file.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok {
				lines := s.set.Position(function.End()).Line - s.set.Position(function.Pos()).Line + 1
				if lines > maxFunctionLines {
					broken = append(broken, fmt.Sprintf("%s: %s has %d lines, at most %d", s.at(function), function.Name.Name, lines, maxFunctionLines))
				}
			}
		}
		return broken
	},
	"exported items have a doc comment": func(s source) (broken []string) {
		for _, decl := range s.file.Decls {
			switch decl := decl.(type) {
			case *ast.FuncDecl:
				if decl.Doc == nil && decl.Name.IsExported() && !unexportedReceiver(decl) {
					broken = append(broken, s.at(decl)+": "+decl.Name.Name+" has no doc comment")
				}
			case *ast.GenDecl:
				broken = append(broken, undocumentedSpecs(s, decl)...)
			}
		}
		return broken
	},
}

// undocumentedSpecs lists exported types, constants and variables without a
// comment of their own or of their group.
func undocumentedSpecs(s source, decl *ast.GenDecl) (broken []string) {
	for _, spec := range decl.Specs {
		var names []*ast.Ident
		documented := decl.Doc != nil
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			names, documented = []*ast.Ident{spec.Name}, documented || spec.Doc != nil
		case *ast.ValueSpec:
			names, documented = spec.Names, documented || spec.Doc != nil || spec.Comment != nil
		}
		for _, name := range names {
			if name.IsExported() && !documented {
				broken = append(broken, s.at(name)+": "+name.Name+" has no doc comment")
			}
		}
	}
	return broken
}

// unexportedReceiver tells whether a method belongs to an unexported type, or
// to an interface that says what the method does.
func unexportedReceiver(decl *ast.FuncDecl) bool {
	if decl.Recv == nil {
		return false
	}
	base := decl.Recv.List[0].Type
	if star, ok := base.(*ast.StarExpr); ok {
		base = star.X
	}
	if generic, ok := base.(*ast.IndexExpr); ok {
		base = generic.X
	}
	ident, ok := base.(*ast.Ident)
	return ok && !ident.IsExported()
}

func TestProductFilesKeepTheRules(t *testing.T) {
	sources := productFiles(t, filepath.Join("..", ".."))
	require.NotEmpty(t, sources)
	for name, check := range rules {
		t.Run(name, func(t *testing.T) {
			var broken []string
			for _, s := range sources {
				broken = append(broken, check(s)...)
			}
			assert.Empty(t, strings.Join(broken, "\n"))
		})
	}
}

// Each package says what it is for. The comment stands in a product file, or in
// a test file where the package has only tests.
func TestPackagesHaveAComment(t *testing.T) {
	documented, packages := map[string]bool{}, map[string]bool{}
	for _, s := range parsedFiles(t, filepath.Join("..", "..")) {
		dir := path.Dir(s.path)
		packages[dir] = true
		if s.file.Doc == nil {
			continue
		}
		want := "Package " + s.file.Name.Name + " "
		if s.file.Name.Name == "main" {
			want = "Command " + path.Base(dir) + " "
		}
		documented[dir] = documented[dir] || strings.HasPrefix(s.file.Doc.Text(), want)
	}
	for dir := range packages {
		assert.True(t, documented[dir], "%s has no package comment", dir)
	}
	for _, name := range slices.Concat(pure, peers) {
		assert.True(t, packages["internal/"+name], "the lists above name %s, which is no package", name)
	}
}

// Each rule finds the file that breaks it, so an empty result means something.
func TestRulesFindViolations(t *testing.T) {
	for name, example := range map[string]struct{ path, text, found string }{
		"forbidden imports and calls":                        {"internal/caller/a.go", "package a\nimport \"os/exec\"\n", "internal/caller/a.go:2: imports os/exec: a process starts no other process"},
		"pure packages import only pure ones":                {"internal/pool/a.go", "package a\nimport \"" + module + "internal/platform\"\n", "internal/pool/a.go:2: pure package imports " + module + "internal/platform"},
		"pure packages read no clock and start no goroutine": {"internal/pool/a.go", "package a\nvar t = time.Now()\n", "internal/pool/a.go:2: pure package uses time.Now"},
		"names of the wire stay in their folder":             {"internal/owner/a.go", "package a\nvar t = \"/v1/" + wireNameList[0] + "\"\n", "internal/owner/a.go:2: \"/v1/" + wireNameList[0] + "\" is a name of the wire"},
		"only peer packages open connections":                {"internal/follower/a.go", "package a\nimport \"net\"\n", "internal/follower/a.go:2: imports net outside the peer packages"},
		"mains only wire":                                    {"cmd/x/main.go", "package main\nfunc main() { go f() }\n", "cmd/x/main.go:2: *ast.GoStmt in a main"},
		"files and functions are short":                      {"internal/x/a.go", "package a\nfunc f() {" + strings.Repeat("\n", maxFunctionLines) + "}\n", "internal/x/a.go:2: f has 51 lines, at most 50"},
		"exported items have a doc comment":                  {"internal/x/a.go", "package a\ntype T int\n", "internal/x/a.go:2: T has no doc comment"},
	} {
		require.Contains(t, rules, name)
		assert.Equal(t, []string{example.found}, rules[name](parse(t, example.path, example.text)), name)
	}
	assert.Len(t, rules, 8, "a new rule needs an example above")
}

// wireNamesOutside returns the names of the wire in a file outside the adapter's folder.
func wireNamesOutside(s source) (broken []string) {
	if strings.HasPrefix(s.path, adapter) {
		return nil
	}
	ast.Inspect(s.file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && wireNames.MatchString(literal.Value) {
			broken = append(broken, s.at(literal)+": "+literal.Value+" is a name of the wire")
		}
		return true
	})
	return broken
}

// Guards against tests that write the platform's names down a second time.
func TestTestsKeepNamesOfTheWireInTheirFolder(t *testing.T) {
	for _, s := range parsedFiles(t, filepath.Join("..", "..")) {
		if strings.HasSuffix(s.path, "_test.go") {
			assert.Empty(t, wireNamesOutside(s))
		}
	}
}

// The list of the wire's names holds none that the adapter doesn't use: such a name
// would be looked for in vain, and its present spelling not at all.
func TestNamesOfTheWireAreInUse(t *testing.T) {
	require.GreaterOrEqual(t, len(wireNameList), 19)
	var adapterText strings.Builder
	for _, s := range productFiles(t, filepath.Join("..", "..")) {
		if !strings.HasPrefix(s.path, adapter) {
			continue
		}
		text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(s.path)))
		require.NoError(t, err)
		adapterText.Write(text)
	}
	for _, name := range wireNameList {
		assert.Contains(t, adapterText.String(), name)
	}
}

// The pages that say what is proved name tests that exist.
func TestNamedTestsExist(t *testing.T) {
	tests := map[string]bool{}
	for _, s := range parsedFiles(t, filepath.Join("..", "..")) {
		for _, decl := range s.file.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && strings.HasSuffix(s.path, "_test.go") {
				tests[function.Name.Name] = true
			}
		}
	}
	for _, page := range []string{"DESIGN.md", "PROOFS.md"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", page))
		require.NoError(t, err)
		names := testName.FindAllStringSubmatch(string(text), -1)
		require.NotEmpty(t, names, page)
		for _, name := range names {
			assert.True(t, tests[name[1]], "%s names %s", page, name[1])
		}
	}
}

// A library that comes in says what it is for.
func TestDependenciesAreDescribed(t *testing.T) {
	mod, err := os.ReadFile(filepath.Join("..", "..", "go.mod"))
	require.NoError(t, err)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "DEPENDENCIES.md"))
	require.NoError(t, err)
	described := 0
	for line := range strings.Lines(string(mod)) {
		path, version, found := strings.Cut(strings.TrimSpace(line), " v")
		if found && strings.HasPrefix(line, "\t") && !strings.Contains(version, "// indirect") {
			assert.Contains(t, string(page), "| "+path+" |")
			described++
		}
	}
	assert.NotZero(t, described)
}
