package peergrpc

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestKVTokensAreExchanged guards against engines that look empty alongside entries that don't
// report what requests need in KV caches.
func TestKVTokensAreExchanged(t *testing.T) {
	h := newTestHub()
	reporter, other := &entryWatch{}, &entryWatch{}
	h.handleReport(other, fromReport(Report{EntryInfo: EntryInfo{Name: "other", Incarnation: 1}}))
	work := fleet.Work{Engines: map[string]fleet.Load{"e": {Streams: 2, KVTokens: 9000}}}
	h.handleReport(reporter, fromReport(Report{EntryInfo: EntryInfo{Name: "reporter", Incarnation: 2}, Work: work}))
	earlier := &entryWatch{}
	h.handleReport(earlier, &peerpb.EntryReport{Name: "earlier", Incarnation: 3, Loads: []*peerpb.EngineLoad{{Engine: "e", Streams: 3, PromptTokens: 500}}})
	message, _ := h.update(other, sentState{})
	update, err := toFleetUpdate("replica", message)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := update.Others.Engines["e"].KVTokens, 9000+3*streamKVTokens+500; got != want {
		t.Errorf("got %d tokens, want %d", got, want)
	}
	// A replica of an earlier version leaves the field out of its sums.
	received := func(l *peerpb.EngineLoad) int {
		l.Engine = "e"
		return toEarlierWork([]*peerpb.EngineLoad{l}, nil).Engines["e"].KVTokens
	}
	if got, want := received(&peerpb.EngineLoad{Streams: 5}), 5*streamKVTokens; got != want {
		t.Errorf("from an earlier replica: got %d tokens, want %d", got, want)
	}
	if got := received(&peerpb.EngineLoad{Calls: 5, Missing: 1}); got != 0 {
		t.Errorf("engine without streams: got %d tokens, want none", got)
	}
}
