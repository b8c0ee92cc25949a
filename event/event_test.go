package event

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const pagePath = "../docs/EVENTS.md"

// definedNames returns the names of this package's variables that are set to the
// result of define.
func definedNames(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	var names []string
	for _, f := range files {
		file, err := parser.ParseFile(token.NewFileSet(), f, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			call, ok := spec.Values[0].(*ast.CallExpr)
			if !ok {
				return true
			}
			if fn, ok := call.Fun.(*ast.Ident); ok && fn.Name == "define" {
				names = append(names, spec.Names[0].Name)
			}
			return true
		})
	}
	return names
}

// TestEveryEventIsLogged guards against events in the catalogue that no code
// outside of tests refers to.
func TestEveryEventIsLogged(t *testing.T) {
	var source strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		source.Write(text)
		return err
	})
	assert.NilError(t, err)
	names := definedNames(t)
	assert.Equal(t, len(names), len(All()))
	for _, name := range names {
		assert.Check(t, strings.Contains(source.String(), "event."+name), name)
	}
}

// TestPageMatchesCatalogue guards against a change of the catalogue without a new
// rendering of docs/EVENTS.md. With -update it renders the page.
func TestPageMatchesCatalogue(t *testing.T) {
	var want bytes.Buffer
	WriteMarkdown(&want)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pagePath, want.Bytes(), 0o644))
	}
	got, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String())
}
