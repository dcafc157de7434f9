package quarantine_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// TestCrashLogNamesWhatIsLacking ends ten servers a second for three seconds.
func TestCrashLogNamesWhatIsLacking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
		d := newDeployment(3)
		d.replicas = []*quarantine.Detector{quarantine.NewDetector(clock.NewRuntime(), log)}
		d.exchange(true)
		for i := range 30 {
			d.warm()
			d.crashWaiting([]string{"system", "deadly", fmt.Sprint("deep-", i)}, []string{fmt.Sprint("other-", i)})
			d.wait(100 * time.Millisecond)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		entries := 0
		for _, line := range lines {
			if strings.Contains(line, "servers ended") {
				entries++
			}
		}
		if entries == 0 || entries > 4 {
			t.Errorf("got %d entries in 3 s, want some, and at most one a second:\n%s", entries, out.String())
		}
		for _, want := range []string{`"service":"llm"`, `"candidates":2`, `"begun":0`, `"part":"deadly"`, "crashes"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("no entry has %s:\n%s", want, out.String())
			}
		}
	})
}
