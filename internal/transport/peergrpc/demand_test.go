package peergrpc

import (
	"math"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestDemandIsSummedUp guards against demand of entries that is lost, counted twice, or kept
// after an entry has left.
func TestDemandIsSummedUp(t *testing.T) {
	h := newTestHub()
	entries := []*entryWatch{{}, {}}
	report := func(w *entryWatch, name string, requests int) {
		message := fromReport(Report{EntryInfo: EntryInfo{Name: name}, Demand: map[string]fleet.Demand{
			"llm": {Interval: 2 * time.Second, Requests: requests, PromptTokens: 1000 * requests, EngineRate: 50_000, InProgress: 2.5},
		}})
		h.handleReport(w, message)
	}
	report(entries[0], "a", 100)
	report(entries[0], "a", 10)
	report(entries[1], "b", 30)
	got := h.Demand()["llm"]
	if got.Requests != 20 || got.PromptTokens != 20_000 || got.InProgress != 5 || math.Abs(got.EngineRate-50_000) > 1 {
		t.Errorf("got %+v, want 20 requests and 20,000 tokens a second, 5 in progress", got)
	}
	h.remove(entries[1])
	if got := h.Demand()["llm"]; got.Requests != 5 {
		t.Errorf("after an entry has left: got %+v, want 5 requests a second", got)
	}
	h.handleReport(entries[0], &peerpb.EntryReport{Name: "a"}) // of an earlier version
	if got := h.Demand(); len(got) != 0 {
		t.Errorf("after a report without demand: got %v, want none", got)
	}
}

// TestReclaimableSurvivesEncoding guards against reclaimable servers that entries take for
// others, also where nothing else in the list changes.
func TestReclaimableSurvivesEncoding(t *testing.T) {
	e := fleet.Engine{ID: "a", Service: "llm", Address: "10.0.0.1:1", Reclaimable: true}
	got, err := toEngine(fromEngine(e))
	if err != nil || got != e {
		t.Errorf("got %+v and error %v, want %+v", got, err, e)
	}
	other := e
	other.Reclaimable = false
	if sameEngine(fromEngine(e), fromEngine(other)) {
		t.Error("a reclaimable server is taken for the same as another one")
	}
}
