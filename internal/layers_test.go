// Package internal checks rules that span the packages below this folder.
package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "github.com/lagoonshift/lagoonshift/internal/"

// layers lists the layers from the lowest to the highest.
var layers = []string{"state", "coordination", "protocol", "transport"}

// outside lists what no layer may import: assembly, tools and stand-ins.
var outside = []string{"role", "operatorcli", "load", "experiment", "fake", "telemetry"}

// TestImportsGoDownwards checks that no layer imports a higher one.
func TestImportsGoDownwards(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		own := slices.Index(layers, firstElement(filepath.ToSlash(path)))
		if own < 0 {
			return nil
		}
		for _, imported := range internalImports(t, path) {
			name := firstElement(imported)
			if slices.Index(layers, name) > own || slices.Contains(outside, name) {
				t.Errorf("%s imports %s, which is not below it", path, imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// internalImports returns the packages below this folder that a file imports.
func internalImports(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if name, ok := strings.CutPrefix(imported, modulePrefix); ok {
			out = append(out, name)
		}
	}
	return out
}

func firstElement(path string) string {
	first, _, _ := strings.Cut(path, "/")
	return first
}

// TestOnlyTheCommandImportsThePlatform keeps the platform's names out of the
// product.
func TestOnlyTheCommandImportsThePlatform(t *testing.T) {
	for _, root := range []string{".", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, spec := range file.Imports {
				if strings.Contains(spec.Path.Value, "lagoonshift/platform") && root != "../cmd" {
					t.Errorf("%s imports the platform adapter", path)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
