package peergrpc

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestBegunStreamsSurviveTransport checks that a replica answers with the version
// that an entry reported, and with the versions that are listed.
func TestBegunStreamsSurviveTransport(t *testing.T) {
	h := newTestHub()
	h.SetEngines(fleet.List{Engines: []fleet.Engine{{ID: "a", Service: "llm", Version: "v1"}, {ID: "b", Service: "llm", Version: "v2"}}})
	streams := []origin.Streams{
		{Version: origin.Version{Service: "llm", Version: "v1"}, IDs: []origin.ID{origin.StreamID("llm", "one"), origin.StreamID("llm", "two")}},
		{Version: origin.Version{Service: "llm", Version: "v2"}, IDs: []origin.ID{origin.StreamID("llm", "three")}},
	}
	h.handleReport(&entryWatch{}, fromReport(Report{EntryInfo: EntryInfo{Name: "entry"}, Streams: streams}))
	for request, want := range map[string]string{"one": "v1", "two": "v1", "three": "v2", "four": ""} {
		got, err := h.StreamOrigin(t.Context(), &peerpb.StreamOriginRequest{Service: "llm", Id: uint64(origin.StreamID("llm", request))})
		if err != nil {
			t.Fatal(err)
		}
		if got.GetVersion() != want || got.GetRecorded() != (want != "") || got.GetConflicting() || got.GetCovered() || len(got.GetListed()) != 2 {
			t.Errorf("%s: got %v, want version %q and two listed ones", request, got, want)
		}
	}
}

// TestOldListIsNotVouchedFor guards against joining two versions because a replica
// that was frozen or cut off takes its old list for complete.
func TestOldListIsNotVouchedFor(t *testing.T) {
	h := newTestHub()
	h.Origins().StartFirst()
	h.SetEngines(fleet.List{Engines: []fleet.Engine{{ID: "a", Service: "llm", Version: "v1"}}})
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {maxVouchedListAge + time.Second, false}} {
		h.listedAt.Store(int64(clock.Boot{}.Now().Add(-c.age)))
		got, err := h.StreamOrigin(t.Context(), &peerpb.StreamOriginRequest{Service: "llm", Id: 1})
		if err != nil || got.GetCovered() != c.want || len(got.GetListed()) != 1 {
			t.Errorf("list of age %v: got %v, error %v, want it vouched for: %t", c.age, got, err, c.want)
		}
	}
}

// TestSilentReplicaDoesNotHoldUpStreams checks that a replica that accepts
// connections and answers nothing delays a stream for no longer than
// streamOriginTimeout.
func TestSilentReplicaDoesNotHoldUpStreams(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	pool := NewPool(insecure.NewCredentials())
	defer pool.Close()
	f := NewFleetWatcher(WatcherOptions{Pool: pool, Seeds: func() []string { return []string{silent.Addr().String()} }, Log: hclog.NewNullLogger()})
	start := time.Now()
	if got := f.StreamOrigin(t.Context(), "llm", 1, false); len(got) > 0 {
		t.Errorf("got answers %+v, want none", got)
	}
	if took := time.Since(start); took > 4*streamOriginTimeout {
		t.Errorf("took %v, want about %v", took, streamOriginTimeout)
	}
	if got := f.StreamOrigin(t.Context(), "llm", 1, true); len(got) > 0 {
		t.Errorf("got answers %+v without an open watch, want none", got)
	}
}
