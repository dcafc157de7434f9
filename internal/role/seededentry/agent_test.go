package seededentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

func newTestAgent() *Agent {
	return New(Options{Name: "entry", Clock: clock.NewRuntime(), Log: hclog.NewNullLogger(), Seeds: func() []string { return nil }})
}

func engineCount(w fleet.Work) int { return len(w.Engines) }

// TestWorkGoesToTheLeader checks who is told of this entry's work: the leader
// alone while there is one, and everybody once it falls silent.
func TestWorkGoesToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.tracker.AddWork("engine", fleet.Load{Streams: 1})
		if r := a.report("follower"); engineCount(r.Work) != 1 || !r.WantWork {
			t.Errorf("before any leader: %+v", r)
		}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, HasOthers: true})
		if r := a.report("follower"); engineCount(r.Work) != 0 || r.WantWork {
			t.Errorf("to a follower: %+v", r)
		}
		if r := a.report("leader"); engineCount(r.Work) != 1 || r.WantWork {
			t.Errorf("to the leader: %+v", r)
		}
		time.Sleep(leaderTimeout)
		if r := a.report("follower"); engineCount(r.Work) != 1 || !r.WantWork {
			t.Errorf("after the leader fell silent: %+v", r)
		}
	})
}

// TestOthersWorkComesFromTheLeader checks whose word on the others' work is
// taken.
func TestOthersWorkComesFromTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		sendUpdate := func(source string, leads, hasOthers bool, streams int) {
			a.deliver(peergrpc.Update{Source: source, Leads: leads, HasOthers: hasOthers, Others: fleet.Work{Engines: map[string]fleet.Load{"engine": {Streams: streams}}}})
		}
		wantStreams := func(want int) {
			t.Helper()
			if got := a.tracker.Load("engine").Streams; got != want {
				t.Errorf("%d streams, want %d", got, want)
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

// TestHoldingsGoToTheLeader checks that what engines read is kept until a
// leader can be told.
func TestHoldingsGoToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.prefixes.RecordPrefill("part", 5000, fleet.Engine{ID: "engine"})
		if r := a.report("follower"); len(r.Holdings) != 0 {
			t.Errorf("told a follower: %v", r.Holdings)
		}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, Holdings: []prefixdir.Holding{{Part: "other", Engine: "engine"}}})
		if r := a.report("leader"); len(r.Holdings) != 1 {
			t.Errorf("told the leader: %v", r.Holdings)
		}
		if h, ok := a.prefixes.Holder("other"); !ok || h.Engine != "engine" {
			t.Errorf("learned %+v, %t", h, ok)
		}
	})
}
