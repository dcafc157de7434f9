package controlrole

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// TestQuarantineSurvivesRestart saves parts in quarantine and loads them into a new
// detector, as after the loss of power of all processes. A damaged file must give
// an error and no parts.
func TestQuarantineSurvivesRestart(t *testing.T) {
	path := t.TempDir()
	folder, err := disk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if restored, err := loadQuarantine(folder, time.Now()); err != nil || len(restored) != 0 {
		t.Errorf("empty folder: got %v, error %v, want nothing", restored, err)
	}
	before := quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger())
	before.Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: time.Minute}})
	if err := saveQuarantine(folder, before, time.Now()); err != nil {
		t.Fatal(err)
	}
	restored, err := loadQuarantine(folder, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	after := quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger())
	after.Record(restored)
	if lists, _ := after.PartLists(); len(lists.Quarantined) != 1 || lists.Quarantined[0].Part != "deadly" || lists.Quarantined[0].Left < 50*time.Second {
		t.Errorf("got lists %+v, want the part with its time", lists)
	}
	file := filepath.Join(path, quarantineName)
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, content[:len(content)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if restored, err := loadQuarantine(folder, time.Now()); err == nil || len(restored) != 0 {
		t.Errorf("damaged file: got %v, error %v, want an error", restored, err)
	}
}

// TestOperatorReleasesPart lists a part in quarantine and releases it. An entry
// that still has the part on its list must not bring it back.
func TestOperatorReleasesPart(t *testing.T) {
	detector := quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger())
	known := []quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: time.Minute}}
	detector.Record(known)
	mux := http.NewServeMux()
	(&QuarantineAdmin{Detector: func() *quarantine.Detector { return detector }}).Register(mux)
	call := func(method, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, target, nil))
		return w
	}
	if got := call(http.MethodGet, "/v1/quarantine").Body.String(); got != "deadly 1m0s\n" {
		t.Errorf("got list %q", got)
	}
	if got := call(http.MethodDelete, "/v1/quarantine/deadly").Code; got != http.StatusOK {
		t.Errorf("release: got status %d, want 200", got)
	}
	detector.Record(known)
	if got := call(http.MethodGet, "/v1/quarantine").Body.String(); got != "" {
		t.Errorf("after the release: got list %q, want none", got)
	}
	if got := call(http.MethodDelete, "/v1/quarantine/deadly").Code; got != http.StatusNotFound {
		t.Errorf("second release: got status %d, want 404", got)
	}
}
