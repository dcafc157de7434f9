package fleet_test

import (
	"slices"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestLeavingIsSticky applies an outdated list after a newer one: the engine
// stays leaving until another incarnation has its id.
func TestLeavingIsSticky(t *testing.T) {
	r := fleet.NewRoster()
	r.Update([]fleet.Engine{{ID: "a", StartedMs: 1}})
	r.Update([]fleet.Engine{{ID: "a", StartedMs: 1, Leaving: true}})
	if got := r.Update([]fleet.Engine{{ID: "a", StartedMs: 1}}); !got[0].Leaving {
		t.Error("an outdated list cleared the Leaving flag")
	}
	if got := r.Update([]fleet.Engine{{ID: "a", StartedMs: 2}}); got[0].Leaving {
		t.Error("a new incarnation inherited the Leaving flag")
	}
}

// TestLeavingSurvivesMissingListEntry checks that a leaving engine stays so
// after a list that lacks it.
func TestLeavingSurvivesMissingListEntry(t *testing.T) {
	r := fleet.NewRoster()
	r.Update([]fleet.Engine{{ID: "a", Leaving: true}})
	r.Update(nil)
	if got := r.Update([]fleet.Engine{{ID: "a"}}); !got[0].Leaving {
		t.Error("a list without the engine cleared its Leaving flag")
	}
}

// TestIncompleteListRemovesNoEngine guards against engines that are taken as gone
// because their part of the list couldn't be read.
func TestIncompleteListRemovesNoEngine(t *testing.T) {
	known := []fleet.Engine{{ID: "a", StartedMs: 1}, {ID: "b", StartedMs: 1}, {ID: "c", Leaving: true}}
	read := fleet.List{Engines: []fleet.Engine{{ID: "a", StartedMs: 2}, {ID: "d"}}}
	if got := read.Over(known); !slices.Equal(got, read.Engines) {
		t.Errorf("a complete list gave %+v", got)
	}
	read.Incomplete = true
	want := []fleet.Engine{{ID: "a", StartedMs: 2}, {ID: "d"}, {ID: "b", StartedMs: 1}}
	if got := read.Over(known); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestEngineListedTwiceIsOne guards against an engine that counts twice because
// the list names it twice.
func TestEngineListedTwiceIsOne(t *testing.T) {
	a := fleet.Engine{ID: "a", StartedMs: 1, Address: "10.0.0.1:1"}
	leaving, restarted, moved := a, a, a
	leaving.Leaving, restarted.StartedMs, moved.Address = true, 2, "10.0.0.2:1"
	want := []fleet.Engine{leaving, restarted, moved}
	if got := fleet.Distinct([]fleet.Engine{a, restarted, leaving, moved, a, moved}); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
