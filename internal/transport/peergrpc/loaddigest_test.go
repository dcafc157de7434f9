package peergrpc

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// testEntry is an entry's end of a watch without a connection.
type testEntry struct {
	watch    *entryWatch
	sent     sentState
	list     listReader
	reported reportedWork
	engines  []fleet.Engine
}

func (e *testEntry) report(h *FleetHub, work fleet.Work) {
	number := e.reported.add(work)
	h.setWork(e.watch, number, work, nil)
}

// receive applies the next update of the hub and returns the work of the others.
func (e *testEntry) receive(t interface{ Fatal(...any) }, h *FleetHub) map[string]fleet.Load {
	var m *peerpb.FleetUpdate
	m, e.sent = h.update(e.watch, e.sent)
	update, err := toFleetUpdate("source", m)
	if err == nil && m.GetListChange() != nil {
		update.Engines, err = e.list.apply(m.GetListChange())
	}
	if err == nil {
		err = applyDigest(&update, m, e.list.engines, &e.reported)
	}
	if err != nil || !update.HasOthers {
		t.Fatal("no work of others in an update", err)
	}
	if update.Engines != nil {
		e.engines = update.Engines.Engines
	}
	return update.Others.Engines
}

func byID(engines []fleet.Engine) []fleet.Engine {
	out := slices.Clone(engines)
	slices.SortFunc(out, func(a, b fleet.Engine) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// TestDigestsAndChangesKeepEntriesUpToDate guards against an entry that counts its own work
// twice, or keeps engines that are gone, because it gets changes and shared figures in place
// of whole ones.
func TestDigestsAndChangesKeepEntriesUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestHub()
		entries := make([]*testEntry, 3)
		for i := range entries {
			entries[i] = &testEntry{watch: &entryWatch{}}
			entries[i].watch.takesDigests.Store(true)
			h.add(entries[i].watch, EntryInfo{Name: fmt.Sprint(i), Incarnation: uint64(i + 1)})
		}
		engine := rapid.Custom(func(t *rapid.T) fleet.Engine {
			return fleet.Engine{ID: rapid.StringMatching("[a-f]").Draw(t, "id"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving")}
		})
		load := rapid.Custom(func(t *rapid.T) fleet.Load {
			return fleet.Load{PromptTokens: rapid.IntRange(0, 9).Draw(t, "tokens"), Streams: rapid.IntRange(0, 9).Draw(t, "streams"), Calls: rapid.IntRange(1, 9).Draw(t, "calls"), FailingEntries: rapid.IntRange(0, 1).Draw(t, "failing")}
		})
		var listed []fleet.Engine
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				listed = rapid.SliceOfDistinct(engine, func(e fleet.Engine) string { return e.ID }).Draw(t, "list")
				h.SetEngines(fleet.List{Engines: listed})
			case 1:
				e.report(h, fleet.Work{Engines: rapid.MapOf(rapid.StringMatching("[a-h]"), load).Draw(t, "work")})
			case 2:
				h.loads = loadDigest{} // as if it were older than fleet.MinLoadInterval
				others := e.receive(t, h)
				want := make(map[string]fleet.Load)
				for _, other := range entries {
					if other != e {
						for id, l := range other.watch.work.Engines {
							want[id] = want[id].Add(l)
						}
					}
				}
				if !maps.Equal(others, want) {
					t.Fatalf("work of others: got %v, want %v", others, want)
				}
				if !reflect.DeepEqual(byID(e.engines), byID(listed)) && len(e.engines)+len(listed) > 0 {
					t.Fatalf("engines: got %v, want %v", e.engines, listed)
				}
			}
		}
	})
}

// TestEarlierEntriesGetWholeLists guards against updates that an entry of an earlier version
// can't read.
func TestEarlierEntriesGetWholeLists(t *testing.T) {
	h := newTestHub()
	w, other := &entryWatch{}, &entryWatch{}
	h.add(w, EntryInfo{Name: "earlier"})
	h.add(other, EntryInfo{Name: "other"})
	h.SetEngines(fleet.List{Engines: []fleet.Engine{{ID: "a"}, {ID: "b"}}})
	h.setWork(other, 1, fleet.Work{Engines: map[string]fleet.Load{"a": {Streams: 2}}}, nil)
	m, _ := h.update(w, sentState{})
	if len(m.GetEngines()) != 2 || len(m.GetOthers()) != 1 || m.GetListChange() != nil || len(m.GetLoadDigest()) > 0 {
		t.Errorf("got %v, want two engines and the load of one", m)
	}
}

// TestInvalidDigestsAreRefused guards against a crash on a damaged digest.
func TestInvalidDigestsAreRefused(t *testing.T) {
	short, err := proto.Marshal(&peerpb.LoadDigest{Engines: []uint32{1, 2}, Streams: []uint32{1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, encoded := range map[string][]byte{"fields of unequal length": short, "no message": {0xff}} {
		if err := applyDigest(&Update{}, &peerpb.FleetUpdate{LoadDigest: encoded}, nil, &reportedWork{}); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// BenchmarkUpdates sends each of 300 entries one update on 3,000 engines with load, as at
// each interval of a leader, and reports the bytes of all updates.
func BenchmarkUpdates(b *testing.B) {
	const entries, engines = 300, 3000
	for name, digests := range map[string]bool{"whole": false, "digests": true} {
		b.Run(name, func(b *testing.B) {
			h := newTestHub()
			watches := make([]*entryWatch, entries)
			list, work := fleet.List{}, fleet.Work{Engines: make(map[string]fleet.Load)}
			for i := range engines {
				id := fmt.Sprintf("i-%010x", i)
				list.Engines = append(list.Engines, fleet.Engine{ID: id, Service: "llm", Address: "10.0.0.1:8080", Zone: "zone-a", Version: "v1", Slots: 24})
				work.Engines[id] = fleet.Load{Streams: i % 24, PromptTokens: i}
			}
			h.SetEngines(list)
			for i := range watches {
				watches[i] = &entryWatch{}
				watches[i].takesDigests.Store(digests)
				h.add(watches[i], EntryInfo{Name: fmt.Sprint(i), Incarnation: uint64(i + 1)})
			}
			h.setWork(watches[0], 1, work, nil)
			sent, size := sentState{engines: h.engines.Load(), controlAddresses: []string{}}, 0
			for b.Loop() {
				size = 0
				h.loads = loadDigest{}
				for _, w := range watches {
					m, _ := h.update(w, sent)
					encoded, err := proto.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					size += len(encoded)
				}
			}
			b.ReportMetric(float64(size)/1e6, "MB/interval")
		})
	}
}

// TestDigestsHoldSumAndWithdrawnEngines checks that each of several digests, which share buffers,
// has the load of all entries and marks the withdrawn engines, those without load too.
func TestDigestsHoldSumAndWithdrawnEngines(t *testing.T) {
	ids := []string{"a", "b", "c", "unlisted"}
	rapid.Check(t, func(t *rapid.T) {
		h, w := newTestHub(), &entryWatch{}
		h.add(w, EntryInfo{Name: "entry"})
		h.SetEngines(fleet.List{Engines: []fleet.Engine{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
		numbered := make(map[uint32]fleet.Engine)
		for id, number := range h.engines.Load().numbers {
			numbered[number] = fleet.Engine{ID: id}
		}
		for report := range rapid.Uint64Range(1, 5).Draw(t, "reports") {
			work := fleet.Work{Engines: make(map[string]fleet.Load)}
			for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID).Draw(t, "loaded") {
				work.Engines[id] = fleet.Load{Streams: rapid.IntRange(1, 9).Draw(t, "streams"), FailingEntries: rapid.IntRange(0, 1).Draw(t, "failing")}
			}
			h.setWork(w, report+1, work, nil)
			h.Withdraw(rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID).Draw(t, "withdrawn"))
			h.loads.madeAt = time.Time{}
			encoded, _, err := h.digest(w)
			if err != nil {
				t.Fatal(err)
			}
			var digest peerpb.LoadDigest
			if err := proto.Unmarshal(encoded, &digest); err != nil {
				t.Fatal(err)
			}
			got, err := decodeDigest(&digest, numbered)
			if want := h.markWithdrawn(h.sum.Without(fleet.Work{})).Engines; err != nil || !maps.Equal(got, want) {
				t.Fatalf("got %v, error %v, want %v", got, err, want)
			}
		}
	})
}
