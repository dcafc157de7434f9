package peergrpc

import (
	"slices"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
)

// TestForwardPeersReachEntries guards against requests for entries that stop, that are cut
// off, or that are too old to take them, and against sending the whole list again.
func TestForwardPeersReachEntries(t *testing.T) {
	h := newTestHub()
	leads := true
	h.options.Leads = func() bool { return leads }
	a, b, old, receiver := &entryWatch{}, &entryWatch{}, &entryWatch{}, &entryWatch{}
	report := func(w *entryWatch, info EntryInfo) { h.handleReport(w, fromReport(Report{EntryInfo: info})) }
	report(a, EntryInfo{Name: "a", Incarnation: 1, Ready: true, ForwardAddress: "1", TakesWorkspaces: true})
	report(b, EntryInfo{Name: "b", Incarnation: 2, Ready: true, ForwardAddress: "2"})
	report(old, EntryInfo{Name: "old", Incarnation: 3, Ready: true})
	var sent sentState
	var held []forward.Peer
	receive := func() (sentPeers int) {
		t.Helper()
		message, next := h.update(receiver, sent)
		update, err := toFleetUpdate("source", message)
		if err != nil {
			t.Fatal(err)
		}
		sent, held = next, update.Peers.Apply(held)
		return len(update.Peers.Peers)
	}
	check := func(step string, sentPeers int, want ...forward.Peer) {
		t.Helper()
		if got := receive(); got != sentPeers || !slices.EqualFunc(held, want, forward.Peer.Equal) {
			t.Errorf("%s: got %d peers that make %+v, want %d that make %+v", step, got, held, sentPeers, want)
		}
	}
	peerA, peerB := forward.Peer{Name: "a", Address: "1", TakesWorkspaces: true}, forward.Peer{Name: "b", Address: "2"}
	check("first", 2, peerA, peerB)
	check("unchanged", 0, peerA, peerB)
	report(b, EntryInfo{Ready: true, UnreachableServices: []string{"llm"}})
	peerB.Unreachable = []string{"llm"}
	check("b is cut off", 1, peerA, peerB)
	report(a, EntryInfo{})
	check("a stops", 0, peerB)
	leads = false
	report(a, EntryInfo{Ready: true})
	check("another replica leads", 0, peerB)
	leads = true
	check("leads again", 1, peerA, peerB)
	h.remove(b)
	check("b is lost", 0, peerA)
}
