package controlrole

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// TestVerdictsSurviveRestart saves parts in quarantine and loads them into a new
// ledger, as after the loss of power of all processes. A damaged file must give
// an error and no parts.
func TestVerdictsSurviveRestart(t *testing.T) {
	path := t.TempDir()
	folder, err := disk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if restored, err := loadVerdicts(folder); err != nil || len(restored) != 0 {
		t.Errorf("empty folder: got %v, error %v, want nothing", restored, err)
	}
	before := quarantine.NewLedger(clock.Boot{}, hclog.NewNullLogger())
	before.Record([]quarantine.Evidence{{Kind: quarantine.Verdict, Parts: []string{"deadly"}, Left: time.Minute}})
	if err := saveVerdicts(folder, before); err != nil {
		t.Fatal(err)
	}
	restored, err := loadVerdicts(folder)
	if err != nil {
		t.Fatal(err)
	}
	after := quarantine.NewLedger(clock.Boot{}, hclog.NewNullLogger())
	after.Record(restored)
	if verdicts, _ := after.Verdicts(); len(verdicts.Quarantined) != 1 || verdicts.Quarantined[0].Part != "deadly" || verdicts.Quarantined[0].Left < 50*time.Second {
		t.Errorf("got verdicts %+v, want the part with its time", verdicts)
	}
	file := filepath.Join(path, verdictsName)
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, content[:len(content)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if restored, err := loadVerdicts(folder); err == nil || len(restored) != 0 {
		t.Errorf("damaged file: got %v, error %v, want an error", restored, err)
	}
}
