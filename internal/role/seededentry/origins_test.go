package seededentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
)

// TestEntryWithoutControlGuessesNoOrigin guards against deciding by a list that may be old:
// only the streams of this entry are known while no control replica answers.
func TestEntryWithoutControlGuessesNoOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		list := fleet.List{Engines: []fleet.Engine{{ID: "e", Service: "llm", Version: "v1"}}}
		a.setEngines("control", list)
		time.Sleep(2 * origin.Retention)
		a.setEngines("control", list)
		a.Origins().Began("llm", "own", "v1")
		if version, found := a.Origins().Find(t.Context(), "llm", "own"); !found || version != "v1" {
			t.Errorf("own stream: got %q, found %t, want v1", version, found)
		}
		if version, found := a.Origins().Find(t.Context(), "llm", "other"); found {
			t.Errorf("stream of another entry: got %q, want none", version)
		}
	})
}
