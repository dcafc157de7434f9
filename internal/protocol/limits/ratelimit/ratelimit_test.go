package ratelimit_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }
func (c *manualClock) Wall() time.Time    { return time.Unix(0, int64(c.now)) }

func servers(n int) *fleet.View {
	var out []fleet.Engine
	for i := range n {
		out = append(out, server(i))
	}
	return fleet.NewView(out)
}

func server(i int) fleet.Engine {
	return fleet.Engine{ID: fmt.Sprintf("s%03d", i), Service: "llm"}
}

// newEntries returns the limiters of n entries that know of the servers' limit.
func newEntries(c clock.Clock, n int, view *fleet.View, limit ratelimit.Limit) []*ratelimit.Limiter {
	var out []*ratelimit.Limiter
	for i := range n {
		l := ratelimit.NewLimiter(c)
		l.SetView(view)
		l.SetPosition(ratelimit.Position{Index: i, Count: n})
		for e := range view.All() {
			l.Announce(e, limit, c.Now())
		}
		out = append(out, l)
	}
	return out
}

// TestEntriesTogetherStayWithinRate lets any number of entries send as much as they may, after a pause, and while one of them leaves.
func TestEntriesTogetherStayWithinRate(t *testing.T) {
	const (
		span = 4 * time.Second
		step = 20 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		c := &manualClock{}
		count := rapid.IntRange(1, 200).Draw(t, "entries")
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		leavesAt := rapid.IntRange(0, 400).Draw(t, "leaves at step")
		entries := newEntries(c, count, servers(1), ratelimit.Limit{Limited: true, PerSecond: rate})
		c.now = c.now.Add(time.Minute)
		var sent []clock.Instant
		for i := range 400 {
			if i == leavesAt && count > 1 {
				entries = entries[1:]
				for j, l := range entries {
					l.SetPosition(ratelimit.Position{Index: j, Count: len(entries)})
				}
			}
			for _, l := range entries {
				for ok := true; ok; {
					if _, ok = l.Reserve(server(0), 0); ok {
						sent = append(sent, c.now)
					}
				}
			}
			c.now = c.now.Add(step)
		}
		first, most := 0, 0
		for i, at := range sent {
			for sent[first].Add(span).Before(at) {
				first++
			}
			most = max(most, i-first+1)
		}
		if allowed := 1.5*rate*span.Seconds() + 5; float64(most) > allowed {
			t.Errorf("%d entries sent %d requests in %v at %.1f/s, %.1f allowed", count, most, span, rate, allowed)
		}
		total := float64(len(sent))
		if mean := total / (400 * step.Seconds()); rate >= 1 && (mean < 0.7*rate || mean > 1.6*rate) {
			t.Errorf("%d entries sent %.1f requests a second, want about %.1f", count, mean, rate)
		}
	})
}

// TestEachEntryHasAShare checks that no entry is without a share of a service
// whose rates suffice for one each.
func TestEachEntryHasAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &manualClock{}
		count := rapid.IntRange(1, 60).Draw(t, "entries")
		rate := float64(rapid.IntRange(1, 8).Draw(t, "rate"))
		view := servers((count + int(rate)) / (1 + int(rate)))
		for i, l := range newEntries(c, count, view, ratelimit.Limit{Limited: true, PerSecond: rate}) {
			if !slices.ContainsFunc(view.Engines("llm"), func(e fleet.Engine) bool { return l.Wait(e) != ratelimit.Never }) {
				t.Errorf("entry %d of %d has no share of any of %d servers at %.0f/s", i, count, view.Len(), rate)
			}
		}
	})
}

// TestLimitEndsOnlyByLaterRequest checks that a response without a limit counts only if its request was sent after the limit was announced.
func TestLimitEndsOnlyByLaterRequest(t *testing.T) {
	c := &manualClock{}
	l := newEntries(c, 2, servers(1), ratelimit.Limit{Limited: true, PerSecond: 0.5})[1]
	if l.Wait(server(0)) != ratelimit.Never {
		t.Fatal("an entry without a share may send")
	}
	sent := c.now
	c.now = c.now.Add(time.Second)
	if !l.Announce(server(0), ratelimit.Limit{Limited: true, PerSecond: 2}, sent) {
		t.Error("another rate is no news")
	}
	if l.Announce(server(0), ratelimit.Limit{}, sent) || l.Wait(server(0)) == 0 {
		t.Error("an older response ended the limit")
	}
	if !l.Announce(server(0), ratelimit.Limit{}, c.now) || l.Wait(server(0)) != 0 {
		t.Error("the limit did not end")
	}
	other := server(0)
	other.StartedMs++
	if l.Announce(server(0), ratelimit.Limit{Limited: true}, c.now); l.Wait(other) != 0 {
		t.Error("the limit of one incarnation holds for the next one")
	}
}

// TestReservedRequestsWaitTheirTurn checks the waits of requests that come faster than the rate.
func TestReservedRequestsWaitTheirTurn(t *testing.T) {
	c := &manualClock{}
	l := newEntries(c, 1, servers(1), ratelimit.Limit{Limited: true, PerSecond: 2})[0]
	for i := range 3 {
		want := time.Duration(i+1) * 500 * time.Millisecond
		if wait, ok := l.Reserve(server(0), 2*time.Second); !ok || (wait-want).Abs() > time.Millisecond {
			t.Errorf("request %d: got wait %v, %t, want %v", i, wait, ok, want)
		}
	}
	if wait, ok := l.Reserve(server(0), 1900*time.Millisecond); ok {
		t.Errorf("got wait %v, want none within 1.9 s", wait)
	}
	l.Charge(server(0))
	if got := l.Wait(server(0)); (got - 2*time.Second).Abs() > time.Millisecond {
		t.Errorf("got wait %v, want 2 s", got)
	}
}

// TestLimitOfZeroIsAskedAgain checks that a server that takes no requests gets one from time to time, since only its response ends the limit.
func TestLimitOfZeroIsAskedAgain(t *testing.T) {
	c := &manualClock{}
	l := newEntries(c, 1, servers(1), ratelimit.Limit{Limited: true})[0]
	if wait := l.Wait(server(0)); wait < time.Second || wait > time.Minute {
		t.Errorf("got wait %v, want between a second and a minute", wait)
	}
}

// TestSavedRequestsEndWithTheShare checks that an entry that gets its share of a rate back starts anew.
func TestSavedRequestsEndWithTheShare(t *testing.T) {
	c := &manualClock{}
	l := newEntries(c, 1, servers(1), ratelimit.Limit{Limited: true, PerSecond: 0.5})[0]
	c.now = c.now.Add(time.Minute)
	if l.Wait(server(0)) != 0 {
		t.Fatal("nothing was saved up in a minute")
	}
	l.SetPosition(ratelimit.Position{Index: 1, Count: 2})
	c.now = c.now.Add(time.Minute)
	l.SetPosition(ratelimit.Position{Index: 0, Count: 2})
	if wait := l.Wait(server(0)); wait != 2*time.Second {
		t.Errorf("got wait %v, want 2 s", wait)
	}
}

// TestRegistersConverge checks that registers which exchange what they differ in end up with the newest limit of each server.
func TestRegistersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &manualClock{now: clock.Instant(time.Hour)}
		hub := ratelimit.NewRegister(c)
		const entries = 4
		var registers [entries]*ratelimit.Register
		var known, knownByHub [entries]ratelimit.Peer
		for i := range registers {
			registers[i] = ratelimit.NewRegister(c)
		}
		exchange := func(i int) {
			hub.Merge(&knownByHub[i], registers[i].Pending(&known[i]))
			registers[i].Merge(&known[i], hub.Pending(&knownByHub[i]))
		}
		newest := make(map[string]ratelimit.Limit)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			c.now = c.now.Add(time.Second)
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				exchange(i)
			case 1:
				known[i], knownByHub[i] = ratelimit.Peer{}, ratelimit.Peer{}
			default:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				rate := rapid.Float64Range(0, 9).Draw(t, "rate")
				registers[i].Set(name, ratelimit.Limit{Limited: true, PerSecond: rate}, c.now)
				newest[name] = ratelimit.Limit{Limited: true, PerSecond: rate}
			}
		}
		for range 5 { // a round for each way between two entries, and back
			for i := range registers {
				exchange(i)
			}
		}
		for i, r := range registers {
			got := make(map[string]ratelimit.Limit)
			for _, a := range r.Pending(&ratelimit.Peer{}) {
				got[a.Server] = a.Limit
			}
			if fmt.Sprint(got) != fmt.Sprint(newest) {
				t.Errorf("entry %d: got %v, want %v", i, got, newest)
			}
			if again := r.Pending(&known[i]); len(again) > 0 {
				t.Errorf("entry %d still sends %v", i, again)
			}
		}
	})
}

// TestUnlistedServersAreForgotten checks that the register doesn't grow with the restarts of servers.
func TestUnlistedServersAreForgotten(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	r := ratelimit.NewRegister(c)
	r.Set("gone", ratelimit.Limit{Limited: true}, c.now)
	r.Set("listed", ratelimit.Limit{Limited: true}, c.now)
	for _, after := range []time.Duration{30 * time.Second, time.Minute} {
		c.now = c.now.Add(after)
		r.Retain(func(server string) bool { return server == "listed" })
		if got, want := len(r.Pending(&ratelimit.Peer{})), map[time.Duration]int{30 * time.Second: 2, time.Minute: 1}[after]; got != want {
			t.Errorf("%v later: got %d records, want %d", after, got, want)
		}
	}
}

// TestPeersLearnOfReusedSlots guards against a peer that doesn't get the limit of a new server
// because it had that of a server that was dropped.
func TestPeersLearnOfReusedSlots(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	r, p := ratelimit.NewRegister(c), &ratelimit.Peer{}
	limit := ratelimit.Limit{Limited: true, PerSecond: 2}
	for i := range 3 {
		server := fmt.Sprint("server-", i)
		r.Set(server, limit, c.now)
		if got := r.Pending(p); len(got) != 1 || got[0].Server != server {
			t.Errorf("got %v, want %s", got, server)
		}
		c.now = c.now.Add(2 * time.Minute)
		r.Retain(func(string) bool { return false })
	}
}

// TestPeerWithOlderLimitGetsNewer checks that a peer that sends a limit which the register has
// replaced gets the newer one, also if nothing else has changed.
func TestPeerWithOlderLimitGetsNewer(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	r, p := ratelimit.NewRegister(c), &ratelimit.Peer{}
	newer := ratelimit.Limit{Limited: true, PerSecond: 2}
	r.Set("server", newer, c.now)
	r.Pending(p)
	older := ratelimit.Announcement{Server: "server", Limit: ratelimit.Limit{Limited: true, PerSecond: 9}, Age: time.Minute}
	if changed := r.Merge(p, []ratelimit.Announcement{older}); len(changed) > 0 {
		t.Errorf("changed %v, want nothing", changed)
	}
	if got := r.Pending(p); len(got) != 1 || got[0].Limit != newer {
		t.Errorf("got %v, want %v", got, newer)
	}
	if again := r.Pending(p); len(again) > 0 {
		t.Errorf("got %v again", again)
	}
}

// BenchmarkPeers measures the memory of what a control replica knows of the rate limits that
// 295 entries have of 2,999 servers, and the time until it knows that all of them have them.
func BenchmarkPeers(b *testing.B) {
	const entries, servers = 295, 2999
	r := ratelimit.NewRegister(&manualClock{now: clock.Instant(time.Hour)})
	for i := range servers {
		r.Set(fmt.Sprintf("i-%017x/%d", i, i), ratelimit.Limit{Limited: true, PerSecond: 2.9}, clock.Instant(time.Hour))
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, peers := heap(), make([]ratelimit.Peer, entries)
	for i := range peers {
		r.Pending(&peers[i])
	}
	used := heap() - before
	for b.Loop() {
		for i := range peers {
			r.Pending(&peers[i])
		}
	}
	b.ReportMetric(float64(used)/entries/servers, "heap-B/pair")
	runtime.KeepAlive(peers)
}
