package archtest

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// source is one parsed product file.
type source struct {
	path string // slash-separated, from the module's root
	file *ast.File
	set  *token.FileSet
}

func (s source) at(node ast.Node) string {
	return fmt.Sprintf("%s:%d", s.path, s.set.Position(node.Pos()).Line)
}

// inPackages tells whether the file lies in one of the named internal packages.
func (s source) inPackages(names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(s.path, "internal/"+name+"/") })
}

func (s source) isMain() bool {
	return strings.HasPrefix(s.path, "cmd/") && strings.HasSuffix(s.path, "/main.go")
}

func (s source) imports() map[string]ast.Node {
	found := map[string]ast.Node{}
	for _, spec := range s.file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		found[path] = spec
	}
	return found
}

// selectors calls visit with "package.Name" for every selector on an identifier.
func (s source) selectors(visit func(name string, node ast.Node)) {
	ast.Inspect(s.file, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			if x, ok := selector.X.(*ast.Ident); ok {
				visit(x.Name+"."+selector.Sel.Name, node)
			}
		}
		return true
	})
}

// productFiles returns every Go file but tests, the test kit and generated code.
func productFiles(t *testing.T, root string) []source {
	return slices.DeleteFunc(parsedFiles(t, root), func(s source) bool {
		return strings.HasSuffix(s.path, "_test.go") || strings.HasPrefix(s.path, "internal/testkit/") || ast.IsGenerated(s.file)
	})
}

func parsedFiles(t *testing.T, root string) []source {
	var sources []source
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		relative, err := filepath.Rel(root, path)
		require.NoError(t, err)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		sources = append(sources, parse(t, filepath.ToSlash(relative), string(text)))
		return nil
	})
	require.NoError(t, err)
	return sources
}

func parse(t *testing.T, path, text string) source {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, text, parser.ParseComments)
	require.NoError(t, err)
	return source{path: path, file: file, set: set}
}
