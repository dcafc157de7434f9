package seededentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/protocol/workspace"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

func newTestAgent() *Agent {
	c := clock.NewRuntime()
	return New(Options{Name: "entry", Clock: c, Notices: notice.NewBoard(c), Log: hclog.NewNullLogger(), Seeds: func() []string { return nil }})
}

func engineCount(w fleet.Work) int { return len(w.Engines) }

// TestWorkGoesToTheLeader checks that this entry's work is reported only to the
// leader while there is one, and to every replica before the first leader and
// after the leader has timed out.
func TestWorkGoesToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.tracker.AddWork("engine", fleet.Load{Streams: 1})
		if r := a.report("follower", false); engineCount(r.Work) != 1 || !r.WantWork {
			t.Errorf("report before any leader = %+v, want the work of one engine and WantWork", r)
		}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, HasOthers: true})
		if r := a.report("follower", false); engineCount(r.Work) != 0 || r.WantWork {
			t.Errorf("report to a follower = %+v, want no work and no WantWork", r)
		}
		if r := a.report("leader", false); engineCount(r.Work) != 1 || r.WantWork {
			t.Errorf("report to the leader = %+v, want the work of one engine and no WantWork", r)
		}
		time.Sleep(leaderTimeout)
		if r := a.report("follower", false); engineCount(r.Work) != 1 || !r.WantWork {
			t.Errorf("report after the leader timed out = %+v, want the work of one engine and WantWork", r)
		}
	})
}

// TestDeparturesAreReported checks that the other entries learn which engines
// told this one that they leave.
func TestDeparturesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		leaving := fleet.Engine{ID: "leaving", StartedMs: 1}
		a.setEngines("leader", fleet.List{Engines: []fleet.Engine{leaving, {ID: "staying"}}})
		a.options.Notices.Post(leaving, notice.Notice{Leaving: true})
		if got := a.report("leader", false).Work.Engines; len(got) != 1 || got["leaving"].LeavingEntries != 1 {
			t.Errorf("got %+v, want only the leaving engine", got)
		}
		leaving.StartedMs++
		a.setEngines("leader", fleet.List{Engines: []fleet.Engine{leaving}})
		if got := a.report("leader", false).Work.Engines; len(got) > 0 {
			t.Errorf("got %+v after a restart of the engine, want none", got)
		}
	})
}

// TestIncompleteListOfOneReplicaRemovesNoEngine guards against a control replica
// that has read a part of the list only and hides the engines that others know.
func TestIncompleteListOfOneReplicaRemovesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		update := func(source string, list fleet.List) int {
			a.deliver(peergrpc.Update{Source: source, Engines: &list})
			return a.View().Len()
		}
		if got := update("whole", fleet.List{Engines: []fleet.Engine{{ID: "a"}, {ID: "b"}}}); got != 2 {
			t.Errorf("got %d engines, want 2", got)
		}
		if got := update("part", fleet.List{Engines: []fleet.Engine{{ID: "a"}}, Incomplete: true}); got != 2 {
			t.Errorf("got %d engines after an incomplete list, want 2", got)
		}
		if got := update("whole", fleet.List{Engines: []fleet.Engine{{ID: "a"}}}); got != 1 {
			t.Errorf("got %d engines after a complete list, want 1", got)
		}
	})
}

// TestRateLimitsAreExchanged checks that the rate limits that this entry learns are
// reported to every replica once, and that those of other entries hold here.
func TestRateLimitsAreExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		own, other := fleet.Engine{ID: "own", StartedMs: 1}, fleet.Engine{ID: "other", StartedMs: 1}
		a.setEngines("leader", fleet.List{Engines: []fleet.Engine{own, other}})
		a.options.Notices.Post(own, notice.Notice{RateLimit: &ratelimit.Limit{Limited: true, PerSecond: 2}})
		for _, replica := range []string{"leader", "follower"} {
			first, second, again := a.report(replica, true), a.report(replica, false), a.report(replica, true)
			if len(first.RateLimits) != 1 || len(second.RateLimits) != 0 || len(again.RateLimits) != 1 {
				t.Errorf("%s got %v, %v, and %v over a new connection", replica, first.RateLimits, second.RateLimits, again.RateLimits)
			}
		}
		limit := ratelimit.Announcement{Server: other.Incarnation(), Limit: ratelimit.Limit{Limited: true, PerSecond: 2}}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, Entries: 2, Index: -1, RateLimits: []ratelimit.Announcement{limit}})
		time.Sleep(time.Second)
		if a.options.Notices.Accepts(other) {
			t.Error("an entry that has no place among the others may send to a limited server")
		}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, Entries: 1})
		time.Sleep(time.Second)
		if !a.options.Notices.Accepts(other) {
			t.Error("the only entry may not send to a limited server")
		}
	})
}

// TestOthersWorkComesFromTheLeader checks that a follower's figures on the other
// entries' work are ignored until the leader has timed out, and that figures
// older than maxLoadAge are discarded.
func TestOthersWorkComesFromTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		sendUpdate := func(source string, leads, hasOthers bool, streams int) {
			a.deliver(peergrpc.Update{Source: source, Leads: leads, HasOthers: hasOthers, Others: fleet.Work{Engines: map[string]fleet.Load{"engine": {Streams: streams}}}})
		}
		wantStreams := func(want int) {
			t.Helper()
			if got := a.tracker.Load("engine").Streams; got != want {
				t.Errorf("engine has %d streams, want %d", got, want)
			}
		}
		sendUpdate("leader", true, true, 5)
		sendUpdate("follower", false, true, 3)
		sendUpdate("follower", false, false, 0)
		wantStreams(5)
		time.Sleep(leaderTimeout)
		sendUpdate("follower", false, false, 0)
		wantStreams(5)
		sendUpdate("follower", false, true, 3)
		wantStreams(3)
		time.Sleep(maxLoadAge)
		a.expireOtherLoad(t.Context())
		wantStreams(0)
	})
}

// TestHoldingsGoToTheLeader checks that recorded prefix holdings are kept until
// they can be reported to a leader, and that holdings of other entries are taken
// over.
func TestHoldingsGoToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.prefixes.RecordPrefill("part", 5000, fleet.Engine{ID: "engine"})
		if r := a.report("follower", false); len(r.Holdings) != 0 {
			t.Errorf("holdings reported to a follower = %v, want none", r.Holdings)
		}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, Holdings: []prefixdir.Holding{{Part: "other", Engine: "engine"}}})
		if r := a.report("leader", false); len(r.Holdings) != 1 {
			t.Errorf("holdings reported to the leader = %v, want one", r.Holdings)
		}
		if h, ok := a.prefixes.Holder("other", ""); !ok || h.Engine != "engine" {
			t.Errorf("Holder(other) = %+v, %t, want engine", h, ok)
		}
	})
}

// TestEntryKnowsThatItMayBeOutdated guards against a final rejection of a key that a newer
// document has: the entry has heard of that document, has no control replica, or only
// replicas that are cut off from the leader.
func TestEntryKnowsThatItMayBeOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		connected := 0
		a.connected = func() int { return connected }
		check := func(step string, want bool) {
			t.Helper()
			if got := a.MayBeOutdated(a.version()); got != want {
				t.Errorf("%s: got %t, want %t", step, got, want)
			}
		}
		hear := func(source string, leads bool, version uint64) {
			a.deliver(peergrpc.Update{Source: source, Leads: leads, DocumentVersion: version})
		}
		time.Sleep(2 * leaderSilence)
		check("at first", true)
		a.table.Store(&route.Table{Version: 3})
		connected = 1
		check("before a leader", true)
		hear("leader", true, 3)
		check("same version", false)
		hear("follower", false, 4)
		check("newer version at a follower", true)
		hear("leader", true, 3)
		check("newer version, then the older one again", true)
		a.table.Store(&route.Table{Version: 4})
		check("newer version in force", false)
		hear("follower", false, 2)
		check("older version at a follower", false)
		connected = 0
		check("without a control replica", true)
		connected = 1
		time.Sleep(leaderSilence - time.Millisecond)
		hear("follower", false, 4)
		check("leader silent for a moment", false)
		time.Sleep(time.Millisecond)
		hear("follower", false, 4)
		check("leader silent", true)
		hear("leader", true, 4)
		check("leader again, by a message that may be old", true)
		time.Sleep(leaderSettling)
		check("leader again", false)
	})
}

// TestEntryReadsOldMessagesAfterASuspension guards against a final rejection of a key that was
// added while the entry was suspended: it first reads messages of the leader that waited in its
// socket, which name the version before.
func TestEntryReadsOldMessagesAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.connected = func() int { return 1 }
		a.table.Store(&route.Table{Version: 1})
		hear := func(version uint64) {
			a.deliver(peergrpc.Update{Source: "leader", Leads: true, DocumentVersion: version})
		}
		hear(1)
		if a.MayBeOutdated(a.version()) {
			t.Error("outdated before the suspension")
		}
		time.Sleep(3 * time.Second)
		hear(1)
		if !a.MayBeOutdated(a.version()) {
			t.Error("not outdated by a message that waited while the entry was suspended")
		}
		hear(2)
		a.table.Store(&route.Table{Version: 2})
		time.Sleep(leaderSettling)
		hear(2)
		if a.MayBeOutdated(a.version()) {
			t.Error("outdated after messages that didn't wait")
		}
	})
}

// TestRequestOfTheEarlierDocument guards against a final rejection of a key by a request that
// got the document before a newer one that has the key came into force here.
func TestRequestOfTheEarlierDocument(t *testing.T) {
	a := newTestAgent()
	a.connected = func() int { return 1 }
	a.options.Decode = func(content []byte) (*route.Table, error) { return &route.Table{Version: uint64(content[0])}, nil }
	hear := func(version uint64) {
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, DocumentVersion: version, Document: []byte{byte(version)}})
	}
	hear(1)
	held := a.Table()
	hear(2)
	if !a.MayBeOutdated(held.Version) || a.MayBeOutdated(a.Table().Version) {
		t.Errorf("version %d counts as outdated: %t, version %d: %t; want only the first", held.Version, a.MayBeOutdated(held.Version), a.Table().Version, a.MayBeOutdated(a.Table().Version))
	}
}

// version returns the version of the newest document, or zero.
func (a *Agent) version() uint64 {
	if table := a.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// TestFirstDocumentIsConfirmed guards against an entry that starts with the document of a
// replica that lags, and serves keys that were removed long before.
func TestFirstDocumentIsConfirmed(t *testing.T) {
	withKeys := func(version uint64) *route.Table {
		directory, err := workspace.NewDirectory(nil)
		if err != nil {
			t.Fatal(err)
		}
		return &route.Table{Version: version, Workspaces: directory}
	}
	start := func(table func(version uint64) *route.Table) (a *Agent, hear func(source string, leads bool, version uint64), check func(step string, want uint64)) {
		a = newTestAgent()
		a.connected = func() int { return 1 }
		a.options.Decode = func(content []byte) (*route.Table, error) { return table(uint64(content[0])), nil }
		hear = func(source string, leads bool, version uint64) {
			a.deliver(peergrpc.Update{Source: source, Leads: leads, DocumentVersion: version, Document: []byte{byte(version)}})
		}
		check = func(step string, want uint64) {
			t.Helper()
			got := uint64(0)
			if table := a.Table(); table != nil {
				got = table.Version
			}
			if got != want {
				t.Errorf("%s: version %d is in force, want %d", step, got, want)
			}
		}
		return a, hear, check
	}
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(2 * leaderSilence)
		a, hear, check := start(withKeys)
		hear("follower", false, 1)
		check("document of a follower", 0)
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, DocumentVersion: 2})
		check("a newer one at the leader", 0)
		hear("leader", true, 2)
		check("the leader's document", 2)
		a.deliver(peergrpc.Update{Source: "follower", DocumentVersion: 3})
		time.Sleep(2 * leaderSilence)
		check("in force already", 2)

		a, hear, check = start(withKeys)
		hear("follower", false, 1)
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, DocumentVersion: 1})
		check("confirmed by the leader", 1)

		_, hear, check = start(withKeys)
		hear("follower", false, 1)
		time.Sleep(maxConfirmation - time.Millisecond)
		check("no leader", 0)
		time.Sleep(time.Millisecond)
		check("no leader for long", 1)

		_, hear, check = start(func(version uint64) *route.Table { return &route.Table{Version: version} })
		hear("follower", false, 1)
		check("no workspaces", 1)
	})
}

// TestWorkspaceUsesAreExchangedWhileSaturated guards against workspace figures that are sent
// while there is room or to followers, and figures of others that stay in a partition.
func TestWorkspaceUsesAreExchangedWhileSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		uses := a.Uses()
		for _, name := range []string{"a", "b"} {
			uses.Ask(time.Now(), "llm", name, "", false, 1000)
			uses.Grant(time.Now(), "llm", name, 1000)
		}
		others := []fairshare.Use{{Service: "llm", Workspace: "a", Asked: 5000, Granted: 5000}}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, HasOthers: true, OthersUses: others})
		if r := a.report("leader", false); len(r.Uses) != 0 {
			t.Errorf("reported %+v while there is room, want nothing", r.Uses)
		}
		s := uses.Shares(time.Now(), "llm")
		if s.Capacity < 5400 {
			t.Errorf("got a capacity of %v, want that of all entries", s.Capacity)
		}
		if r := a.report("leader", false); len(r.Uses) != 2 {
			t.Errorf("reported %+v while saturated, want two workspaces", r.Uses)
		}
		if r := a.report("follower", false); len(r.Uses) != 0 {
			t.Errorf("reported %+v to a follower, want nothing", r.Uses)
		}
		time.Sleep(maxLoadAge)
		a.expireOtherLoad(t.Context())
		if s := uses.Shares(time.Now(), "llm"); s.Capacity > 500 {
			t.Errorf("got a capacity of %v without the others, want this entry's", s.Capacity)
		}
	})
}

// TestKVTokensOfOthersStayInAPartition guards against an entry that takes engines to be empty
// once it hears nothing of the other entries.
func TestKVTokensOfOthersStayInAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		others := fleet.Work{Engines: map[string]fleet.Load{"engine": {Streams: 5, KVTokens: 40000}, "idle": {Streams: 1}}}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, HasOthers: true, Entries: 3, Index: 1, Others: others})
		if index, entries := a.tracker.Position(); index != 1 || entries != 3 {
			t.Errorf("got position %d of %d, want 1 of 3", index, entries)
		}
		time.Sleep(maxLoadAge)
		a.expireOtherLoad(t.Context())
		if got := a.tracker.Load("engine"); got != (fleet.Load{KVTokens: 40000}) {
			t.Errorf("got %+v, want the KV tokens only", got)
		}
	})
}
