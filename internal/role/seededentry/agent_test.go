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

func engines(w fleet.Work) int { return len(w.Engines) }

// TestWorkGoesToTheLeader checks who is told of this entry's work: the leader
// alone while there is one, and everybody once it falls silent.
func TestWorkGoesToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.tracker.AddWork("engine", fleet.Load{Streams: 1})
		if r := a.report("follower"); engines(r.Work) != 1 || !r.WantWork {
			t.Errorf("before any leader: %+v", r)
		}
		a.deliver(peergrpc.Update{Source: "leader", Leads: true, HasOthers: true})
		if r := a.report("follower"); engines(r.Work) != 0 || r.WantWork {
			t.Errorf("to a follower: %+v", r)
		}
		if r := a.report("leader"); engines(r.Work) != 1 || r.WantWork {
			t.Errorf("to the leader: %+v", r)
		}
		time.Sleep(leaderSilence)
		if r := a.report("follower"); engines(r.Work) != 1 || !r.WantWork {
			t.Errorf("after the leader fell silent: %+v", r)
		}
	})
}

// TestOthersWorkComesFromTheLeader checks whose word on the others' work is
// taken.
func TestOthersWorkComesFromTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		tell := func(source string, leads, has bool, streams int) {
			a.deliver(peergrpc.Update{Source: source, Leads: leads, HasOthers: has, Others: fleet.Work{Engines: map[string]fleet.Load{"engine": {Streams: streams}}}})
		}
		expect := func(want int) {
			t.Helper()
			if got := a.tracker.Load("engine").Streams; got != want {
				t.Errorf("%d streams, want %d", got, want)
			}
		}
		tell("leader", true, true, 5)
		tell("follower", false, true, 3)
		tell("follower", false, false, 0)
		expect(5)
		time.Sleep(leaderSilence)
		tell("follower", false, false, 0)
		expect(5)
		tell("follower", false, true, 3)
		expect(3)
		time.Sleep(loadAge)
		a.expireOthers(t.Context())
		expect(0)
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
