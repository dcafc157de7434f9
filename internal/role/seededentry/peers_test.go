package seededentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// TestPeersComeFromTheLeader guards against the short list of a replica that has just
// started, and against an entry that forgets its peers without a control replica.
func TestPeersComeFromTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		deliver := func(source string, leads bool, c forward.Change) {
			a.deliver(peergrpc.Update{Source: source, Leads: leads, HasOthers: leads, Peers: c})
		}
		check := func(step string, want int) {
			t.Helper()
			if got := len(a.Peers()); got != want {
				t.Errorf("%s: got %d peers, want %d", step, got, want)
			}
		}
		one, two := forward.Peer{Name: "1"}, forward.Peer{Name: "2"}
		check("at first", 0)
		deliver("follower", false, forward.Change{Whole: true, Peers: []forward.Peer{one}})
		check("without a leader", 1)
		deliver("leader", true, forward.Change{Whole: true, Peers: []forward.Peer{one, two}})
		check("from the leader", 2)
		deliver("follower", false, forward.Change{Whole: true})
		check("from a follower", 2)
		deliver("follower", true, forward.Change{})
		check("the follower leads", 0)
		deliver("leader", true, forward.Change{Removed: []string{"1"}})
		check("the leader leads again", 1)
		time.Sleep(time.Hour)
		check("without control replicas", 1)
	})
}

func TestUnreachableServicesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent()
		a.isolated = func(service string) bool { return service == "cut" }
		a.table.Store(&route.Table{Services: map[string]route.Service{"cut": {}, "reached": {}}})
		if got := a.report("leader", false).UnreachableServices; len(got) != 1 || got[0] != "cut" {
			t.Errorf("got %v, want the service of which no server is reached", got)
		}
	})
}
