package fleet_test

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestLeavingIsSticky lets an older list follow a newer one: the engine stays
// closed, until another incarnation takes its id.
func TestLeavingIsSticky(t *testing.T) {
	r := fleet.NewRoster()
	r.Update([]fleet.Engine{{ID: "a", Born: 1}})
	r.Update([]fleet.Engine{{ID: "a", Born: 1, Leaving: true}})
	if got := r.Update([]fleet.Engine{{ID: "a", Born: 1}}); !got[0].Leaving {
		t.Error("a lagging list reopened a leaving engine")
	}
	if got := r.Update([]fleet.Engine{{ID: "a", Born: 2}}); got[0].Leaving {
		t.Error("a new incarnation is closed")
	}
}

// TestLeavingSurvivesMissingListEntry passes over a list that lacks the engine.
func TestLeavingSurvivesMissingListEntry(t *testing.T) {
	r := fleet.NewRoster()
	r.Update([]fleet.Engine{{ID: "a", Leaving: true}})
	r.Update(nil)
	if got := r.Update([]fleet.Engine{{ID: "a"}}); !got[0].Leaving {
		t.Error("an engine that was missing from one list is open again")
	}
}
