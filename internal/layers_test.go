// Package internal contains tests of the dependencies between the packages of
// the module.
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

// layers lists the layers, lowest first.
var layers = []string{"state", "coordination", "protocol", "transport"}

// outside lists the folders that no layer may import: process assembly, tools and
// fakes.
var outside = []string{"role", "operatorcli", "configcheck", "load", "experiment", "fake", "telemetry"}

// TestImportsGoDownwards checks that no package of a layer imports a higher layer
// or a folder outside the layers.
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
				t.Errorf("%s imports %s, which is in a higher layer or outside the layers", path, imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// internalImports returns the imports of a file that are below modulePrefix,
// without that prefix.
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

// TestOnlyTheCommandImportsThePlatform checks that no package except the command
// imports the platform adapter, so that nothing else depends on the platform.
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
					t.Errorf("%s imports the platform adapter, which only cmd may import", path)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
