package forward

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

func first(int) int { return 0 }

// names returns the names of the peers that a search asks one after the other.
func names(s *Search) (out []string) {
	for p, ok := s.next(); ok; p, ok = s.next() {
		out = append(out, p.Name)
	}
	return out
}

// TestPeersThatCannotServeAreNotAsked guards against loops and against requests that travel
// between entries without a server.
func TestPeersThatCannotServeAreNotAsked(t *testing.T) {
	self, cut := Peer{Name: "self", Address: "0"}, Peer{Name: "cut", Address: "1", Unreachable: []string{"llm"}}
	a, b, c := Peer{Name: "a", Address: "2"}, Peer{Name: "b", Address: "3", Unreachable: []string{"other"}}, Peer{Name: "c", Address: "4"}
	for name, tc := range map[string]struct {
		peers []Peer
		left  time.Duration
		want  []string
	}{
		"none known":        {nil, time.Second, nil},
		"only this entry":   {[]Peer{self}, time.Second, nil},
		"all cut off":       {[]Peer{self, cut}, time.Second, nil},
		"one":               {[]Peer{self, cut, a}, time.Second, []string{"a"}},
		"cut off elsewhere": {[]Peer{cut, b}, time.Second, []string{"b"}},
		"two at most":       {[]Peer{self, cut, a, b, c}, time.Second, []string{"a", "b"}},
		"deadline near":     {[]Peer{a}, minRemaining - time.Millisecond, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := NewPicker(Options{Name: "self", Peers: func() []Peer { return tc.peers }, Random: first, Pauses: NewPauses(clock.NewRuntime())})
			if got := names(f.Begin("llm", time.Now().Add(tc.left))); !slices.Equal(got, tc.want) {
				t.Errorf("%s: asked %v, want %v", name, got, tc.want)
			}
		})
	}
}

// TestPeerOfEarlierVersionGetsNoWorkspace guards against requests that run without the name of
// their workspace, also if no other peer is left.
func TestPeerOfEarlierVersionGetsNoWorkspace(t *testing.T) {
	old, a := Peer{Name: "old", Address: "1"}, Peer{Name: "a", Address: "2", TakesWorkspaces: true}
	for _, peers := range [][]Peer{{old}, {old, a}} {
		f := NewPicker(Options{Peers: func() []Peer { return peers }, Random: first, Pauses: NewPauses(clock.NewRuntime())})
		got := names(f.Begin("llm", time.Now().Add(time.Minute), TakesWorkspaces))
		if slices.Contains(got, "old") || len(got) != len(peers)-1 {
			t.Errorf("of %d peers, %v were asked", len(peers), got)
		}
		if got = names(f.Begin("llm", time.Now().Add(time.Minute))); len(got) != len(peers) {
			t.Errorf("without a workspace: of %d peers, %v were asked", len(peers), got)
		}
	}
}

// TestPausedPeersAreAskedLast guards against paying a failed connection for each request,
// and against refusals while a paused peer is all there is.
func TestPausedPeersAreAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := Peer{Name: "a", Address: "1"}, Peer{Name: "b", Address: "2"}
		f := NewPicker(Options{Name: "self", Peers: func() []Peer { return []Peer{a, b} }, Random: first, Pauses: NewPauses(clock.NewRuntime())})
		asked := func() []string { return names(f.Begin("llm", time.Now().Add(time.Minute))) }
		h := f.Begin("llm", time.Now().Add(time.Minute))
		check := func(step string, want ...string) {
			t.Helper()
			if got := asked(); !slices.Equal(got, want) {
				t.Errorf("%s: asked %v, want %v", step, got, want)
			}
		}
		f.Begin("other", time.Now().Add(time.Minute)).record(a, Declined)
		check("declined for another service", "a", "b")
		h.record(a, Declined)
		check("declined", "b", "a")
		h.record(a, Unreached)
		time.Sleep(declinedPause)
		check("unreached", "b", "a")
		time.Sleep(unreachedPause - declinedPause)
		check("after the pause", "a", "b")
		h.record(b, Declined)
		if n := len(*f.options.Pauses.until.Load()); n != 1 {
			t.Errorf("%d pauses are kept, want those that are over dropped", n)
		}
	})
}

// TestRequestThatMayHaveRunIsNotForwardedAgain guards against a second run of a request.
func TestRequestThatMayHaveRunIsNotForwardedAgain(t *testing.T) {
	peers := []Peer{{Name: "a", Address: "1"}, {Name: "b", Address: "2"}}
	for first, want := range map[Answer]int{Answered: 1, Failed: 1, Unreached: 2, Declined: 2} {
		f := NewPicker(Options{Peers: func() []Peer { return peers }, Random: func(int) int { return 0 }, Pauses: NewPauses(clock.NewRuntime())})
		asked := 0
		last := f.Begin("llm", time.Now().Add(time.Minute)).Run(t.Context(), func(Peer) Answer { asked++; return first })
		if asked != want || last != first {
			t.Errorf("%v: %d peers were asked, last %v; want %d", first, asked, last, want)
		}
	}
}

func TestReceiverDeclinesWhatItCannotServe(t *testing.T) {
	for want, r := range map[string]Receiver{
		"":              {Routes: true, Version: 2},
		"stopping":      {Routes: true, Version: 2, Stopping: true},
		"no routes yet": {},
		"older routes":  {Routes: true, Version: 1},
		"isolated":      {Routes: true, Version: 2, Isolated: true},
	} {
		if got := r.Declines(2); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestLoadSpreadsOverPeers guards against a peer that gets all requests.
func TestLoadSpreadsOverPeers(t *testing.T) {
	var next int
	f := NewPicker(Options{
		Peers: func() []Peer {
			return []Peer{{Name: "a", Address: "1"}, {Name: "b", Address: "2"}, {Name: "c", Address: "3"}}
		},
		Random: func(n int) int { next++; return next % n },
		Pauses: NewPauses(clock.NewRuntime()),
	})
	got := make(map[string]int)
	for range 30 {
		p, _ := f.Begin("llm", time.Now().Add(time.Minute)).next()
		got[p.Name]++
	}
	if got["a"] != 10 || got["b"] != 10 || got["c"] != 10 {
		t.Errorf("got %v, want 10 requests each", got)
	}
}

// TestChangesRebuildTheList checks that a receiver of changes holds the sender's list.
func TestChangesRebuildTheList(t *testing.T) {
	list := func(t *rapid.T) []Peer {
		var out []Peer
		for i := range 5 {
			if rapid.Bool().Draw(t, "listed") {
				out = append(out, Peer{Name: fmt.Sprint(i), Address: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address"), Unreachable: rapid.SampledFrom([][]string{nil, {"llm"}}).Draw(t, "unreachable")})
			}
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		var sent, held []Peer
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			next := Sorted(list(t))
			change := Difference(sent, next)
			if step == 0 {
				change.Whole = true
			}
			if change.Empty() != (step > 0 && slices.EqualFunc(sent, next, Peer.Equal)) {
				t.Fatalf("change %+v from %v to %v", change, sent, next)
			}
			held, sent = change.Apply(held), next
			if !slices.EqualFunc(held, next, Peer.Equal) {
				t.Fatalf("the receiver holds %v, want %v", held, next)
			}
		}
	})
}
