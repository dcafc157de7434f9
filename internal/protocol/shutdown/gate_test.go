package shutdown

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

const ms = time.Millisecond

func TestGateTakesWhatCanBeCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(clock.NewRuntime())
		slow := &route.Route{Name: "slow", Objective: 100 * ms, Timeout: 10 * time.Second}
		unknown := &route.Route{Name: "unknown", Objective: 100 * ms, Timeout: 10 * time.Second}
		g.Record(Completed{Route: "slow", Took: 3 * time.Second})
		g.Record(Completed{Route: "slow", Took: time.Second})
		if !g.Decide(Request{Route: slow, Wait: time.Hour}).Taken {
			t.Error("a request is refused before the process stops")
		}
		g.Stop(4*time.Second, 4*time.Second)
		for _, c := range []struct {
			after time.Duration
			route *route.Route
			wait  time.Duration
			want  bool
		}{
			{0, slow, 10 * time.Second, true},
			{1500 * ms, slow, 10 * time.Second, false},
			{0, slow, 2 * time.Second, true}, // its caller leaves before the end
			{0, unknown, 10 * time.Second, true},
			{2200 * ms, unknown, 10 * time.Second, false},
			{time.Second, unknown, ms, false},
		} {
			time.Sleep(c.after)
			if got := g.Decide(Request{Route: c.route, Wait: c.wait}).Taken; got != c.want {
				t.Errorf("route %s, caller waits %v: got %t, want %t", c.route.Name, c.wait, got, c.want)
			}
		}
	})
}

// TestGateTakesOnlyWhatIsCertainAtLast guards against requests that are cut though no caller
// should have come any more.
func TestGateTakesOnlyWhatIsCertainAtLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(clock.NewRuntime())
		r := Request{Route: &route.Route{Name: "r", Objective: 100 * ms}, Wait: 10 * time.Second}
		g.Stop(8*time.Second, 3*time.Second)
		time.Sleep(3*time.Second - ms)
		if d := g.Decide(r); !d.Taken || d.Basis != RouteSettings {
			t.Errorf("got %+v while estimates count, want it taken", d)
		}
		time.Sleep(ms)
		if d := g.Decide(r); d.Taken || d.Basis != CallerWaits || d.Left != 5*time.Second {
			t.Errorf("got %+v when estimates don't count any more", d)
		}
		r.Wait = 4900 * ms
		if d := g.Decide(r); !d.Taken {
			t.Errorf("got %+v for a caller that leaves before the end", d)
		}
	})
}

// TestStreamsAreTakenInTimeForLateSignals guards against streams that are cut because the process
// handled its signal late.
func TestStreamsAreTakenInTimeForLateSignals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(clock.NewRuntime())
		r := Request{Route: &route.Route{Name: "r", Kind: route.Streaming, Objective: 100 * ms, EventGap: 200 * ms}, Wait: 10 * time.Second, Output: 10}
		g.Stop(8*time.Second, 3*time.Second)
		time.Sleep(3*time.Second - signalDelay - ms)
		if d := g.Decide(r); !d.Taken {
			t.Errorf("got %+v while estimates count, want it taken", d)
		}
		time.Sleep(ms)
		if d := g.Decide(r); d.Taken {
			t.Errorf("got %+v, want it refused", d)
		}
	})
}

func TestGateForgetsOldDurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(clock.NewRuntime())
		r := Request{Route: &route.Route{Name: "r", Objective: 100 * ms}, Service: "s"}
		g.Record(Completed{Route: "r", Service: "s", Took: 3 * time.Second, First: time.Second, Events: 21})
		time.Sleep(recentPeriod)
		if got, want := g.recent(r), (Recent{Longest: 3 * time.Second, Requests: 1, First: time.Second, PerEvent: 100 * ms, Streams: 1}); got != want {
			t.Errorf("got %+v after one period, want %+v", got, want)
		}
		time.Sleep(2 * recentPeriod)
		if got := g.recent(r); got != (Recent{}) {
			t.Errorf("got %+v after three periods, want nothing", got)
		}
	})
}

func TestStreamsAreTakenOnTheirDeclaredOutput(t *testing.T) {
	stream := &route.Route{Name: "r", Kind: route.Streaming, Objective: 300 * ms, EventGap: 200 * ms}
	paced := Recent{Longest: 3 * time.Second, Requests: 5, First: 500 * ms, PerEvent: 50 * ms, Streams: 9}
	for name, c := range map[string]struct {
		output   int
		recent   Recent
		left     time.Duration
		expected time.Duration
		basis    Basis
	}{
		"at the pace of its service":        {40, paced, 4 * time.Second, 3120 * ms, DeclaredOutput},
		"longer than recent ones":           {100, paced, 4 * time.Second, 6720 * ms, DeclaredOutput},
		"shorter than recent ones":          {10, paced, 4 * time.Second, 3 * time.Second, RecentRequests},
		"enough recent ones":                {100, Recent{Longest: 3 * time.Second, Requests: minStreams, PerEvent: 50 * ms, Streams: 9}, 4 * time.Second, 3 * time.Second, RecentRequests},
		"without recent ones":               {10, Recent{}, 4 * time.Second, 3120 * ms, DeclaredOutput},
		"many events without recent ones":   {80, Recent{}, 7 * time.Second, 8 * time.Second, CallerWaits},
		"without a declared output":         {0, paced, 7 * time.Second, 8 * time.Second, CallerWaits},
		"first events came in no time":      {10, Recent{First: ms, PerEvent: 10 * ms}, time.Second, 840 * ms, DeclaredOutput},
		"its pace leaves no time to finish": {40, Recent{First: ms, PerEvent: 90 * ms}, 4 * time.Second, 5040 * ms, DeclaredOutput},
	} {
		got := Decide(Request{Route: stream, Wait: 8 * time.Second, Output: c.output}, c.recent, c.left, true)
		if got.Expected != c.expected || got.Basis != c.basis || got.Taken != (c.expected < c.left) {
			t.Errorf("%s: got %+v, want %v by %v", name, got, c.expected, c.basis)
		}
	}
}
