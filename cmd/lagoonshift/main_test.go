package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

const exampleFolder = "../../examples/reseat-works/"

// runCommand runs a command line and returns its error.
func runCommand(t *testing.T, args ...string) error {
	t.Helper()
	app := kingpin.New("lagoonshift", "")
	commands := make(map[string]command)
	addEntry(app, commands)
	addCheck(app, commands)
	addConfig(app, commands)
	addExperiment(app, commands)
	selected, err := app.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	return commands[selected](t.Context())
}

func TestWrongFilesEndWithTheUsageCode(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(broken, []byte("{\n\"teams/t\": 5}"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no such file", []string{"check", "missing.jsonc"}, "missing.jsonc"},
		{"wrong settings", []string{"check", exampleFolder + "deployment.jsonc", "--settings", broken}, broken + ":2: /teams/t: expected an object"},
		{"wrong mix", []string{"check", exampleFolder + "deployment.jsonc", "--mix", broken}, broken + ":2: /teams/t: unknown field"},
		{"no such cell", []string{"experiment", "run", "--cell", "stedy"}, `no cell "stedy", expected one of steady`},
		{"no such process", []string{"entry", "--deployment", exampleFolder + "deployment.jsonc", "--name", "entry-99"}, `no entry process "entry-99"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := runCommand(t, test.args...)
			if err == nil || exitCode(err) != exitUsage || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error = %v, want one with the usage code that contains %q", err, test.want)
			}
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q has several lines, want one", err)
			}
		})
	}
}

func TestExamplesPass(t *testing.T) {
	if err := runCommand(t, "check", exampleFolder+"deployment.jsonc", "--settings", exampleFolder+"settings.jsonc", "--mix", exampleFolder+"mix.jsonc"); err != nil {
		t.Error(err)
	}
}
