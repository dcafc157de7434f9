package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestConfigCheckCommand guards against flags that don't reach the check, and against wrong
// exit codes.
func TestConfigCheckCommand(t *testing.T) {
	folder := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	document, newer := write("a.json", `{"version":2}`), write("b.json", `{"version":3}`)
	unused := write("c.json", `{"version":3,"services":[{"name":"s"}]}`)
	settingsFile := exampleFolder + "settings.jsonc"
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{settingsFile, "--deployment", exampleFolder + "deployment.jsonc", "--against", settingsFile}, 0},
		{[]string{settingsFile, "--format", "document"}, 2},
		{[]string{settingsFile, "--against", "missing.jsonc"}, 2},
		{[]string{settingsFile, "--deployment", "missing.jsonc"}, 2},
		{[]string{"missing.jsonc"}, 2},
		{[]string{document}, 0},
		{[]string{document, "--json", "--retry-budget", "0.2"}, 0},
		{[]string{newer, "--against", document}, 0},
		{[]string{document, "--against", newer}, 1},
		{[]string{unused}, 1},
		{[]string{document, "--format", "tree"}, 2},
	} {
		code := 0
		if err := runCommand(t, append([]string{"config", "check"}, c.args...)...); err != nil {
			code = exitCode(err)
		}
		if code != c.code {
			t.Errorf("%v: got exit code %d, want %d", c.args, code, c.code)
		}
	}
}
