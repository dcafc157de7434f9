package peergrpc

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func newTestHub() *FleetHub {
	return NewFleetHub(HubOptions{
		Document:         func() document.Document { return document.Document{} },
		ControlAddresses: func() []string { return nil },
		Leads:            func() bool { return true },
		Log:              hclog.NewNullLogger(),
	})
}

// TestHoldingsReachEachEntryOnce checks that each entry receives the holdings
// that the others reported since it connected, in order and once each, and none
// of its own.
func TestHoldingsReachEachEntryOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestHub()
		entries := []*entryWatch{{}, {}, {}}
		want := make([][]prefixdir.Holding, len(entries))
		got := make([][]prefixdir.Holding, len(entries))
		for i, w := range entries {
			h.add(w, EntryInfo{Name: fmt.Sprint(i)})
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			if rapid.Bool().Draw(t, "asks") {
				got[i] = append(got[i], h.unsentHoldings(entries[i])...)
				continue
			}
			holding := prefixdir.Holding{Part: fmt.Sprint(step), Engine: "e"}
			h.recordHoldings(entries[i], []prefixdir.Holding{holding})
			for j := range entries {
				if j != i {
					want[j] = append(want[j], holding)
				}
			}
		}
		for i, w := range entries {
			got[i] = append(got[i], h.unsentHoldings(w)...)
			if !slices.Equal(got[i], want[i]) {
				t.Fatalf("entry %d received holdings %v, want %v", i, got[i], want[i])
			}
		}
	})
}

// TestHoldingsAreBounded checks that an entry to which more than maxKeptHoldings
// holdings are due receives the newest of them.
func TestHoldingsAreBounded(t *testing.T) {
	h := newTestHub()
	reporter, receiver := &entryWatch{}, &entryWatch{}
	h.add(reporter, EntryInfo{Name: "reporter"})
	h.add(receiver, EntryInfo{Name: "receiver"})
	for i := range maxKeptHoldings + 10 {
		h.recordHoldings(reporter, []prefixdir.Holding{{Part: fmt.Sprint(i)}})
	}
	got := h.unsentHoldings(receiver)
	if len(got) != maxKeptHoldings || got[len(got)-1].Part != fmt.Sprint(maxKeptHoldings+9) {
		t.Errorf("got %d holdings, the last one %+v; want %d, the last one part %d", len(got), got[len(got)-1], maxKeptHoldings, maxKeptHoldings+9)
	}
	if more := h.unsentHoldings(receiver); len(more) != 0 {
		t.Errorf("second call returned %v, want no holdings", more)
	}
}

// TestReadyEntriesAreCounted checks that the number of entries in updates is the
// number of newest incarnations that are ready, while entries connect, change
// their readiness and disconnect.
func TestReadyEntriesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestHub()
		var open []*entryWatch
		for incarnation := range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(open)).Draw(t, "watch")
			switch {
			case i == len(open):
				open = append(open, &entryWatch{wake: make(chan struct{}, 1)})
				h.handleReport(open[i], &peerpb.EntryReport{
					Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
					Incarnation: uint64(incarnation),
					Ready:       rapid.Bool().Draw(t, "ready"),
				})
			case rapid.Bool().Draw(t, "leaves"):
				h.remove(open[i])
				open = slices.Delete(open, i, i+1)
			default:
				h.handleReport(open[i], &peerpb.EntryReport{Ready: rapid.Bool().Draw(t, "ready")})
			}
			ready := 0
			for _, info := range h.Entries() {
				if info.Ready {
					ready++
				}
			}
			if got := h.update(&entryWatch{}, nil, nil).GetEntries(); int(got) != ready {
				t.Fatalf("update has %d entries, want %d", got, ready)
			}
		}
	})
}
