package prefixdir_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/prefixdir"
)

// TestLongPrefixIsAnnouncedOnce checks what other entries are told: long parts, a
// new reader at once and the same one only after a while.
func TestLongPrefixIsAnnouncedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := prefixdir.New()
		e, other := fleet.Engine{ID: "e", Born: 1}, fleet.Engine{ID: "other", Born: 1}
		wantAnnounced := func(want int) {
			t.Helper()
			if got := d.Drain(); len(got) != want {
				t.Errorf("told %v, want %d holdings", got, want)
			}
		}
		d.Read("long", 5000, e)
		d.Read("long", 5000, e)
		d.Read("short", 200, e)
		d.Read("", 0, e)
		wantAnnounced(1)
		d.Read("long", 5000, other)
		wantAnnounced(1)
		time.Sleep(2 * time.Second)
		d.Read("long", 5000, other)
		wantAnnounced(1)
		if h, ok := d.Holder("short"); !ok || h.Engine != "e" {
			t.Errorf("holder of the short part: %+v, %t", h, ok)
		}
	})
}

// TestRemoteHoldingReplacesLocal checks that what others tell replaces what was known.
func TestRemoteHoldingReplacesLocal(t *testing.T) {
	d := prefixdir.New()
	d.Read("part", 5000, fleet.Engine{ID: "e"})
	d.Learn([]prefixdir.Holding{{Part: "part", Engine: "other", Born: 7}})
	if h, ok := d.Holder("part"); !ok || h.Engine != "other" || h.Born != 7 {
		t.Errorf("holder %+v, %t", h, ok)
	}
	if _, ok := d.Holder("unknown"); ok {
		t.Error("a part that nobody read has a holder")
	}
}

// TestDirectoryIsBounded checks that parts nobody asks for are forgotten and
// new ones kept.
func TestDirectoryIsBounded(t *testing.T) {
	d := prefixdir.New()
	const parts = 100000
	for i := range parts {
		d.Learn([]prefixdir.Holding{{Part: fmt.Sprint(i), Engine: "e"}})
	}
	if _, ok := d.Holder("0"); ok {
		t.Error("the oldest part is still known")
	}
	if _, ok := d.Holder(fmt.Sprint(parts - 1)); !ok {
		t.Error("the newest part is not known")
	}
}
