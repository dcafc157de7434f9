// Package examples contains tests that the example files are valid.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/load"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

var folders = []string{"reseat-works", "tui-lane"}

func TestDeploymentFiles(t *testing.T) {
	for _, folder := range folders {
		d, err := deployment.Load(filepath.Join(folder, "deployment.jsonc"))
		if err != nil {
			t.Fatal(err)
		}
		if d.Name != folder || len(d.Control) != 3 || len(d.Entries) != 8 {
			t.Errorf("%s: %d control and %d entry processes, want 3 and 8", d.Name, len(d.Control), len(d.Entries))
		}
	}
}

func TestMixFiles(t *testing.T) {
	for _, file := range []string{"reseat-works/mix.jsonc", "reseat-works/surge.jsonc", "tui-lane/mix.jsonc"} {
		if _, err := load.LoadMix(file); err != nil {
			t.Error(err)
		}
	}
}

func TestSettingsFiles(t *testing.T) {
	for _, folder := range folders {
		content, err := os.ReadFile(filepath.Join(folder, "settings.jsonc"))
		if err != nil {
			t.Fatal(err)
		}
		d, err := deployment.Load(filepath.Join(folder, "deployment.jsonc"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.ParseSubtrees(content, d.Zones); err != nil {
			t.Errorf("%s: %v", folder, err)
		}
	}
}
