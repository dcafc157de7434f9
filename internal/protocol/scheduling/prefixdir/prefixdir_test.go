package prefixdir_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
)

// TestLongPrefixIsAnnouncedOnce checks that only long prefixes are announced: a
// new holder immediately and the same holder only after reannounceInterval.
func TestLongPrefixIsAnnouncedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := prefixdir.New()
		e, other := fleet.Engine{ID: "e", StartedMs: 1}, fleet.Engine{ID: "other", StartedMs: 1}
		wantAnnounced := func(want int) {
			t.Helper()
			if got := d.TakePending(); len(got) != want {
				t.Errorf("announced %v, want %d holdings", got, want)
			}
		}
		d.RecordPrefill("long", 5000, e)
		d.RecordPrefill("long", 5000, e)
		d.RecordPrefill("short", 200, e)
		d.RecordPrefill("", 0, e)
		wantAnnounced(1)
		d.RecordPrefill("long", 5000, other)
		wantAnnounced(1)
		time.Sleep(4900 * time.Millisecond)
		d.RecordPrefill("long", 5000, other)
		wantAnnounced(0)
		time.Sleep(200 * time.Millisecond)
		d.RecordPrefill("long", 5000, other)
		wantAnnounced(1)
		if h, ok := d.Holder("short", ""); !ok || h.Engine != "e" {
			t.Errorf("holder of the short prefix: got %+v, %t, want engine e", h, ok)
		}
	})
}

// TestRemoteHoldingReplacesLocal checks that a holding announced by another
// entry replaces the known one.
func TestRemoteHoldingReplacesLocal(t *testing.T) {
	d := prefixdir.New()
	d.RecordPrefill("part", 5000, fleet.Engine{ID: "e"})
	d.AddRemote([]prefixdir.Holding{{Part: "part", Engine: "other", EngineStartedMs: 7}})
	if h, ok := d.Holder("part", ""); !ok || h.Engine != "other" || h.EngineStartedMs != 7 {
		t.Errorf("got holder %+v, %t, want engine other started at 7", h, ok)
	}
	if _, ok := d.Holder("unknown", ""); ok {
		t.Error("got a holder for a prefix that no engine prefilled")
	}
}

// TestDirectoryIsBounded checks that old prefixes are dropped and new ones kept
// when the directory is full.
func TestDirectoryIsBounded(t *testing.T) {
	d := prefixdir.New()
	const parts = 100000
	for i := range parts {
		d.AddRemote([]prefixdir.Holding{{Part: fmt.Sprint(i), Engine: "e"}})
	}
	if _, ok := d.Holder("0", ""); ok {
		t.Error("the oldest prefix is still known")
	}
	if _, ok := d.Holder(fmt.Sprint(parts-1), ""); !ok {
		t.Error("the newest prefix is not known")
	}
}

// TestVersionsHoldPrefixesOfTheirOwn has engines of two versions prefill the same prefix.
func TestVersionsHoldPrefixesOfTheirOwn(t *testing.T) {
	d := prefixdir.New()
	d.RecordPrefill("part", 5000, fleet.Engine{ID: "old", Version: "v1"})
	d.RecordPrefill("part", 5000, fleet.Engine{ID: "new", Version: "v2"})
	remote := prefixdir.New()
	remote.AddRemote(d.TakePending())
	for version, want := range map[string]string{"v1": "old", "v2": "new", "v3": ""} {
		for _, known := range []*prefixdir.Directory{d, remote} {
			if h, ok := known.Holder("part", version); h.Engine != want || ok != (want != "") {
				t.Errorf("holder at %s: got %q, want %q", version, h.Engine, want)
			}
		}
	}
}
