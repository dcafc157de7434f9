package peergrpc

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func newTestHub() *FleetHub {
	return NewFleetHub(HubOptions{
		Document:         func() document.Document { return document.Document{} },
		ControlAddresses: func() []string { return nil },
		Leads:            func() bool { return true },
		Quarantine:       quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger()),
		Retries:          retry.NewAggregator(clock.Boot{}, retry.Bound{}),
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

// TestNewEntryReceivesKeptHoldings checks that an entry that connects receives
// the newest holding of each prefix that was reported before.
func TestNewEntryReceivesKeptHoldings(t *testing.T) {
	h := newTestHub()
	reporter, late := &entryWatch{}, &entryWatch{}
	h.add(reporter, EntryInfo{Name: "reporter"})
	for _, engine := range []string{"first", "second"} {
		h.recordHoldings(reporter, []prefixdir.Holding{{Part: "a", Engine: engine}, {Part: "b", Engine: engine}})
	}
	h.add(late, EntryInfo{Name: "late"})
	want := []prefixdir.Holding{{Part: "a", Engine: "second"}, {Part: "b", Engine: "second"}}
	if got := h.unsentHoldings(late); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestIncompleteListReachesEntries checks that entries learn whether the list of
// engines was read whole, also when the engines stay the same.
func TestIncompleteListReachesEntries(t *testing.T) {
	h := newTestHub()
	w := &entryWatch{}
	h.add(w, EntryInfo{Name: "entry"})
	var sent sentState
	for _, incomplete := range []bool{true, false, true} {
		h.SetEngines(fleet.List{Engines: []fleet.Engine{{ID: "a"}}, Incomplete: incomplete})
		var message *peerpb.FleetUpdate
		message, sent = h.update(w, sent)
		update, err := toFleetUpdate("source", message)
		if err != nil || update.Engines == nil || update.Engines.Incomplete != incomplete || len(update.Engines.Engines) != 1 {
			t.Errorf("got %+v, error %v, want one engine, incomplete %t", update.Engines, err, incomplete)
		}
	}
}

// TestNumbersOfEnginesDoNotWrap guards against an engine that seems to have
// billions of slots because a number was out of the range of its field.
func TestNumbersOfEnginesDoNotWrap(t *testing.T) {
	for in, want := range map[int]int{-1: 0, 64: 64, math.MaxUint32 + 2: math.MaxUint32, math.MinInt: 0} {
		got, err := toEngine(fromEngine(fleet.Engine{Slots: in, WarmingMs: in}))
		if err != nil || got.Slots != want || got.WarmingMs != want {
			t.Errorf("%d became %d slots and %d ms, error %v, want %d", in, got.Slots, got.WarmingMs, err, want)
		}
	}
}

// TestFollowerSendsHeartbeats checks that a follower sends only heartbeats to
// entries that have a leader, and load figures more often to all others.
func TestFollowerSendsHeartbeats(t *testing.T) {
	h := newTestHub()
	h.options.Leads = func() bool { return false }
	w := &entryWatch{}
	h.add(w, EntryInfo{Name: "entry"})
	if got := h.interval(w); got != fleetHeartbeat {
		t.Errorf("interval for an entry with a leader: got %v, want %v", got, fleetHeartbeat)
	}
	w.wantsWork.Store(true)
	if got := h.interval(w); got != fleet.MinLoadInterval {
		t.Errorf("interval for an entry without a leader: got %v, want %v", got, fleet.MinLoadInterval)
	}
}

// TestWithdrawnEnginesReachEntries checks that an update marks the engines that
// the leader withdrew, also those without load, until the set is replaced.
func TestWithdrawnEnginesReachEntries(t *testing.T) {
	h := newTestHub()
	w := &entryWatch{}
	h.add(w, EntryInfo{Name: "entry"})
	marked := func() (out []string) {
		message, _ := h.update(w, sentState{})
		update, err := toFleetUpdate("source", message)
		if err != nil {
			t.Fatal(err)
		}
		for engine, load := range update.Others.Engines {
			if load.Withdrawn > 0 {
				out = append(out, engine)
			}
		}
		return out
	}
	h.Withdraw([]string{"e"})
	if got := marked(); !slices.Equal(got, []string{"e"}) {
		t.Errorf("got %v, want engine e", got)
	}
	h.Withdraw(nil)
	if got := marked(); len(got) != 0 {
		t.Errorf("got %v, want none", got)
	}
}

// TestPaceIsSummedUp checks that the streams of connected entries are summed up
// by service, each entry's newest report once.
func TestPaceIsSummedUp(t *testing.T) {
	h := newTestHub()
	entries := []*entryWatch{{}, {}}
	for _, w := range entries {
		for range 2 {
			h.handleReport(w, fromReport(Report{Pace: map[string]fleet.Pace{"llm": {Ended: 3, Tight: 2, Late: 1}}}))
		}
	}
	if got, want := h.Pace()["llm"], (fleet.Pace{Ended: 6, Tight: 4, Late: 2}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	h.remove(entries[0])
	if got := h.Pace()["llm"].Ended; got != 3 {
		t.Errorf("got %d streams after an entry left, want 3", got)
	}
}

// TestUnchangedAddressesAreSentOnce checks that an update has the addresses of
// the control replicas only if they differ from those of the last update.
func TestUnchangedAddressesAreSentOnce(t *testing.T) {
	h := newTestHub()
	addresses := []string{"a"}
	h.options.ControlAddresses = func() []string { return addresses }
	w := &entryWatch{}
	h.add(w, EntryInfo{Name: "entry"})
	first, sent := h.update(w, sentState{})
	second, sent := h.update(w, sent)
	addresses = []string{"a", "b"}
	third, _ := h.update(w, sent)
	if len(first.GetControlAddresses()) != 1 || len(second.GetControlAddresses()) != 0 || len(third.GetControlAddresses()) != 2 {
		t.Errorf("got %v, %v and %v, want one address, none, and two", first.GetControlAddresses(), second.GetControlAddresses(), third.GetControlAddresses())
	}
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
			if update, _ := h.update(&entryWatch{}, sentState{}); int(update.GetEntries()) != ready {
				t.Fatalf("update has %d entries, want %d", update.GetEntries(), ready)
			}
		}
	})
}

// TestPartListsReachEntriesOnce checks that evidence of one entry changes what the
// next update of another one says, and that updates repeat nothing.
func TestPartListsReachEntriesOnce(t *testing.T) {
	h := newTestHub()
	reporter, other := &entryWatch{wake: make(chan struct{}, 1)}, &entryWatch{wake: make(chan struct{}, 1)}
	evidence := []quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: time.Minute}}
	h.handleReport(reporter, fromReport(Report{EntryInfo: EntryInfo{Name: "reporter"}, Evidence: evidence}))
	update, sent := h.update(other, sentState{})
	lists := toPartLists(update)
	if lists == nil || len(lists.Quarantined) != 1 || lists.Quarantined[0].Part != "deadly" || lists.Quarantined[0].Left > time.Minute {
		t.Fatalf("first update: got lists %+v, want the part", lists)
	}
	if update, _ := h.update(other, sent); update.GetHasPartLists() {
		t.Error("second update repeats the lists")
	}
}

// TestEvidenceSurvivesTransport checks that a replica gets all of what an entry has seen.
func TestEvidenceSurvivesTransport(t *testing.T) {
	sent := quarantine.Evidence{
		Kind: quarantine.Crash, Service: "llm", Engine: "e/1", Request: "r", Begun: true, Parts: []string{"a", "b"}, Age: time.Second, Left: time.Minute,
		Fingerprint: quarantine.NewFingerprint("caller", []byte("content")),
	}
	got := toEvidence(fromReport(Report{Evidence: []quarantine.Evidence{sent}}).GetEvidence())
	if !reflect.DeepEqual(got, []quarantine.Evidence{sent}) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}

// TestRateLimitsReachOtherEntries checks that a rate limit that one entry reports
// is in the next update of each other one, and is not repeated.
func TestRateLimitsReachOtherEntries(t *testing.T) {
	h := newTestHub()
	reporter, other := &entryWatch{wake: make(chan struct{}, 1)}, &entryWatch{wake: make(chan struct{}, 1)}
	limit := ratelimit.Announcement{Server: "e/1", Limit: ratelimit.Limit{Limited: true, PerSecond: 2.9}, Age: time.Second}
	h.handleReport(reporter, fromReport(Report{EntryInfo: EntryInfo{Name: "reporter"}, RateLimits: []ratelimit.Announcement{limit}}))
	sent := func(w *entryWatch) []ratelimit.Announcement {
		message, _ := h.update(w, sentState{})
		update, err := toFleetUpdate("source", message)
		if err != nil {
			t.Fatal(err)
		}
		return update.RateLimits
	}
	if got := sent(other); len(got) != 1 || got[0].Server != limit.Server || got[0].Limit != limit.Limit || got[0].Age < limit.Age || got[0].Age > 2*limit.Age {
		t.Errorf("got %+v, want %+v", got, limit)
	}
	if again, back := sent(other), sent(reporter); len(again) > 0 || len(back) > 0 {
		t.Errorf("got %+v again, and %+v back at the reporter", again, back)
	}
}

// TestPositionsAreDistinct checks that the entries that accept new work have the
// positions from 1 to their number, and all others none.
func TestPositionsAreDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTestHub()
		watches := make(map[*entryWatch]bool)
		for incarnation := range rapid.IntRange(1, 12).Draw(t, "entries") {
			w := &entryWatch{wake: make(chan struct{}, 1)}
			watches[w] = rapid.Bool().Draw(t, "ready")
			h.handleReport(w, &peerpb.EntryReport{Name: fmt.Sprint("e", incarnation), Incarnation: uint64(incarnation + 1), Ready: watches[w]})
			if rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
				h.remove(w)
				delete(watches, w)
			}
		}
		var got []uint32
		for w, ready := range watches {
			update, _ := h.update(w, sentState{})
			if !ready && update.GetPosition() != 0 {
				t.Errorf("an entry that is not ready has position %d", update.GetPosition())
			}
			if ready {
				got = append(got, update.GetPosition())
			}
		}
		slices.Sort(got)
		for i, position := range got {
			if int(position) != i+1 {
				t.Fatalf("got positions %v, want 1 to %d", got, len(got))
			}
		}
	})
}

// TestEngineSurvivesEncoding checks that entries receive every field of an engine,
// and an update when any of them changes.
func TestEngineSurvivesEncoding(t *testing.T) {
	engine := fleet.Engine{
		ID: "e", StartedMs: 7, Service: "llm", Address: "127.0.0.1:1", Zone: "a", Version: "v1.1", Phase: fleet.Decode,
		Leaving: true, Slots: 4, WarmingMs: 9,
	}
	got, err := toEngine(fromEngine(engine))
	if err != nil || got != engine {
		t.Errorf("got %+v and error %v, want %+v", got, err, engine)
	}
	upgraded := engine
	upgraded.Version = "v1.2"
	if sameEngine(fromEngine(engine), fromEngine(upgraded)) {
		t.Error("an engine with another software version counts as unchanged")
	}
}

// TestIncompleteListsForgetNothingOfEnginesInUse guards against dropping the rate limit and
// the software version of an engine that incomplete lists don't name.
func TestIncompleteListsForgetNothingOfEnginesInUse(t *testing.T) {
	h := newTestHub()
	named, unnamed := fleet.Engine{ID: "named", Version: "v2"}, fleet.Engine{ID: "unnamed", Version: "v1"}
	h.SetEngines(fleet.List{Engines: []fleet.Engine{named, unnamed}})
	reporter, other := &entryWatch{}, &entryWatch{}
	h.add(reporter, EntryInfo{Name: "reporter"})
	limit := ratelimit.Announcement{Server: unnamed.Incarnation(), Limit: ratelimit.Limit{Limited: true, PerSecond: 2}, Age: time.Hour}
	h.handleReport(reporter, fromReport(Report{RateLimits: []ratelimit.Announcement{limit}}))
	for range 2 {
		h.SetEngines(fleet.List{Engines: []fleet.Engine{named}, Incomplete: true})
	}
	h.add(other, EntryInfo{Name: "other"})
	message, _ := h.update(other, sentState{})
	if got := message.GetRateLimits(); len(got) != 1 || got[0].GetServer() != unnamed.Incarnation() {
		t.Errorf("got rate limits %v, want that of the engine that isn't named", got)
	}
	if changes := h.origins.SetEngines([]fleet.Engine{named, unnamed}); len(changes) != 0 {
		t.Errorf("versions changed with the next complete list: %+v, want none", changes)
	}
}
