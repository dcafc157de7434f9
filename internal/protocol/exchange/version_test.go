package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
)

// fakeOrigins implements exchange.Origins.
type fakeOrigins struct {
	// began holds the versions by request.
	began map[string]string
	// finds holds the requests that were looked up, in order.
	finds []string
	// onBegan is called by Began, if set.
	onBegan func()
}

func newFakeOrigins() *fakeOrigins { return &fakeOrigins{began: make(map[string]string)} }

func (o *fakeOrigins) Began(_, request, version string) {
	if o.onBegan != nil {
		o.onBegan()
	}
	o.began[request] = version
}

func (o *fakeOrigins) Find(_ context.Context, _, request string) (version string, found bool) {
	o.finds = append(o.finds, request)
	version, found = o.began[request]
	return version, found
}

func prefillEngine(id, version string) fleet.Engine {
	return fleet.Engine{ID: id, Service: "llm", Phase: fleet.Prefill, Version: version}
}

func decodeEngine(id, version string) fleet.Engine {
	return fleet.Engine{ID: id, Service: "llm", Phase: fleet.Decode, Version: version}
}

// takeUp returns a request that goes on after event 1 of the stream of an earlier one.
func takeUp(resumes string, tokens int) *exchange.Request {
	r := streamRequest(true, tokens)
	r.ID, r.Resumes, r.LastEventID = "r2", resumes, "1"
	return r
}

// firstEvent breaks after one event; secondEvent is the rest of that stream.
var (
	firstEvent  = reply{status: 200, events: true, body: "id: 1\n\n", cut: true}
	secondEvent = reply{status: 200, events: true, body: "id: 2\n\n"}
)

// TestBrokenStreamGoesOnAtTheVersionThatBeganIt breaks streams of version v1 while servers of v2 have nothing to do.
func TestBrokenStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	for name, c := range map[string]struct {
		engines []fleet.Engine
		reply   reply
		tokens  int
		goesOn  bool
	}{
		"another server of v1":         {[]fleet.Engine{decodeEngine("a", "v1"), decodeEngine("b", "v2"), decodeEngine("c", "v1")}, firstEvent, 10, true},
		"no other server of v1":        {[]fleet.Engine{decodeEngine("a", "v2"), decodeEngine("b", "v1")}, firstEvent, 10, false},
		"v2 has the prefill engine":    {[]fleet.Engine{decodeEngine("a", "v1"), decodeEngine("b", "v1"), prefillEngine("p", "v2")}, firstEvent, 5000, true},
		"silent, another server of v1": {[]fleet.Engine{decodeEngine("a", "v1"), decodeEngine("b", "v2"), decodeEngine("c", "v1")}, reply{status: 200, events: true, body: "id: 1\n\n", silent: true}, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixtureOf(c.engines, c.reply, secondEvent)
				o := w.run(t, streamRequest(true, c.tokens))
				if goesOn := o.Result == exchange.Delivered; goesOn != c.goesOn {
					t.Errorf("got %v, want the stream to go on: %t", o.Result, c.goesOn)
				}
				for _, a := range append(w.sends, w.prefills...) {
					if a.Engine.Version != "v1" {
						t.Errorf("part of a stream of v1 was sent to engine %s of %s", a.Engine.ID, a.Engine.Version)
					}
				}
			})
		})
	}
}

// TestBrokenPlainStreamGoesOnAtTheVersionThatBeganIt has a service without engines.
func TestBrokenPlainStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	server := func(id, version string) fleet.Engine {
		return fleet.Engine{ID: id, Service: "plain", Version: version, Slots: 4}
	}
	w := newFixtureOf([]fleet.Engine{server("a", "v1"), server("b", "v2"), server("c", "v1")}, firstEvent, secondEvent)
	r := callRequest(route.Streaming, 2)
	r.Route.Resumable = true
	if o := w.run(t, r); o.Result != exchange.Delivered || w.sends[0].Engine.ID != "c" || w.sends[1].Engine.ID != "a" {
		t.Errorf("got %v from %s and the rest from %s, want it from c and a, both of v1", o.Result, w.sends[0].Engine.ID, w.sends[1].Engine.ID)
	}
}

// TestBrokenStreamDoesNotWaitForTheRateLimitOfAnotherVersion leaves only servers at their rate limits.
func TestBrokenStreamDoesNotWaitForTheRateLimitOfAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := []fleet.Engine{decodeEngine("a", "v1"), decodeEngine("b", "v2"), decodeEngine("c", "v1")}
		w := newFixtureOf(engines, firstEvent, secondEvent)
		w.notices.Limits.SetView(fleet.NewView(engines))
		w.notices.Limits.SetPosition(ratelimit.Position{Count: 1})
		for e, perSecond := range map[int]float64{1: 10, 2: 4} {
			w.notices.Limits.Announce(engines[e], ratelimit.Limit{Limited: true, PerSecond: perSecond}, 0)
			for ok := true; ok; {
				_, ok = w.notices.Limits.Reserve(engines[e], 0)
			}
		}
		r := streamRequest(true, 10)
		r.Route.Objective = 2 * time.Second
		if o := w.run(t, r); o.Result != exchange.Delivered || w.sends[1].Engine.ID != "c" {
			t.Errorf("got %v after %d sends, want the rest from c", o.Result, len(w.sends))
		}
	})
}

// TestStreamWithoutEventsMayGoToAnyVersion loses a server before its first event.
func TestStreamWithoutEventsMayGoToAnyVersion(t *testing.T) {
	w := newFixtureOf([]fleet.Engine{decodeEngine("b", "v2"), decodeEngine("a", "v1")},
		reply{status: 200, events: true, cut: true}, reply{status: 200, events: true, body: "id: 1\n\n"})
	if o := w.run(t, streamRequest(true, 10)); o.Result != exchange.Delivered || w.sends[1].Engine.ID != "b" {
		t.Errorf("got %v after %d sends, want the whole stream from b", o.Result, len(w.sends))
	}
	if w.origins.began["r"] != "v2" {
		t.Errorf("the stream began at %q, want v2", w.origins.began["r"])
	}
}

// TestKVCacheStaysWithinItsVersion has prefill engines of two versions and a decode engine of one.
func TestKVCacheStaysWithinItsVersion(t *testing.T) {
	w := newFixtureOf([]fleet.Engine{prefillEngine("p2", "v2"), prefillEngine("p1", "v1"), decodeEngine("d2", "v2")}, reply{status: 200, events: true, body: "id: 1\n\n"})
	w.run(t, streamRequest(true, 5000))
	if len(w.prefills) != 1 || w.prefills[0].Engine.ID != "p2" {
		t.Errorf("got prefill calls %+v, want one at p2, whose version has a decode engine", w.prefills)
	}
	for _, a := range w.sends {
		if a.KVSource != nil && a.KVSource.Engine.Version != a.Engine.Version {
			t.Errorf("engine %s of %s got the KV cache of %s of %s", a.Engine.ID, a.Engine.Version, a.KVSource.Engine.ID, a.KVSource.Engine.Version)
		}
	}
}

// TestPrefixIsNotFetchedFromAnotherVersion has the holder of a shared prefix run another version than the only engines left.
func TestPrefixIsNotFetchedFromAnotherVersion(t *testing.T) {
	w := newFixtureOf([]fleet.Engine{prefillEngine("p1", "v1"), prefillEngine("p2", "v2"), decodeEngine("d2", "v2")}, reply{status: 200, events: true, body: "id: 1\n\n"})
	w.prefixes.RecordPrefill("customer", 9000, prefillEngine("p1", "v1"))
	r := streamRequest(true, 12000)
	r.Prompt.Parts = []placement.Part{{ID: "customer", Tokens: 9000}, {ID: "own", Tokens: 3000}}
	w.run(t, r)
	if len(w.prefills) != 1 || w.prefills[0].Engine.ID != "p2" || w.prefills[0].FetchFrom != nil {
		t.Errorf("got prefill calls %+v, want one at p2 that fetches nothing", w.prefills)
	}
}

// TestLostDecodeVersionReleasesItsHandle takes the decode engine of the prefilled version away during prefill.
func TestLostDecodeVersionReleasesItsHandle(t *testing.T) {
	engines := []fleet.Engine{prefillEngine("p1", "v1"), decodeEngine("d1", "v1"), decodeEngine("d2", "v2")}
	w := newFixtureOf(engines, reply{status: 200, events: true, body: "id: 1\n\n"})
	w.onPrefill = func() { w.notices.Post(engines[1], notice.Notice{Leaving: true}) }
	o := w.run(t, streamRequest(true, 5000))
	if o.Result != exchange.Delivered || len(w.released) != 1 || w.sends[0].Engine.ID != "d2" || w.sends[0].KVSource != nil {
		t.Errorf("got %v, released %v; want the handle released and the prompt prefilled by d2", o.Result, w.released)
	}
}

// TestTakenUpStreamGoesOnAtTheVersionThatBeganIt takes streams up while another version has idle servers.
func TestTakenUpStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	for _, tokens := range []int{10, 5000} {
		w := newFixtureOf([]fleet.Engine{
			decodeEngine("a", "v1"), decodeEngine("b", "v2"), decodeEngine("c", "v1"), prefillEngine("p1", "v1"), prefillEngine("p2", "v2"),
		}, reply{err: errRejected}, secondEvent, secondEvent)
		w.origins.began["r"] = "v2"
		o := w.run(t, takeUp("r", tokens))
		if o.Result != exchange.Refused || len(w.sends) != 1 || !slices.Equal(w.origins.finds, []string{"r"}) {
			t.Errorf("%d tokens: got %v after %d sends and look-ups %v; want a refusal after one at the only server of v2", tokens, o.Result, len(w.sends), w.origins.finds)
		}
		for _, a := range append(w.sends, w.prefills...) {
			if a.Engine.Version != "v2" {
				t.Errorf("%d tokens: part of a stream of v2 was sent to engine %s of %s", tokens, a.Engine.ID, a.Engine.Version)
			}
		}
		if o := w.run(t, takeUp("r", tokens)); o.Result != exchange.Delivered || w.sends[1].Engine.ID != "b" {
			t.Errorf("%d tokens: got %v, want the stream to go on at b", tokens, o.Result)
		}
		if _, ok := w.origins.began["r2"]; ok {
			t.Errorf("%d tokens: the request that takes the stream up counts as its origin", tokens)
		}
	}
}

// TestStreamsOfWorkspacesAreTheirOwn has workspaces take up a stream that one of them began.
func TestStreamsOfWorkspacesAreTheirOwn(t *testing.T) {
	for name, c := range map[string]struct {
		began, takesUp string
		want           exchange.Result
	}{
		"none":           {"", "", exchange.Delivered},
		"the same":       {"a", "a", exchange.Delivered},
		"another":        {"a", "b", exchange.Refused},
		"none, then one": {"", "a", exchange.Refused},
		"one, then none": {"a", "", exchange.Refused},
	} {
		w := newFixtureOf([]fleet.Engine{decodeEngine("a", "v1"), decodeEngine("b", "v2")}, reply{status: 200, events: true, body: "id: 1\n\n"}, secondEvent)
		first, second := streamRequest(true, 10), takeUp("r", 10)
		first.Workspace, second.Workspace = c.began, c.takesUp
		w.run(t, first)
		if o := w.run(t, second); o.Result != c.want {
			t.Errorf("%s: got %v, want %v", name, o.Result, c.want)
		}
		if _, plain := w.origins.began["r"]; plain != (c.began == "") {
			t.Errorf("%s: the origin is recorded as %v", name, w.origins.began)
		}
		if c.takesUp != "" && w.origins.finds[0] == "r" {
			t.Errorf("%s: the origin was looked up as %q", name, w.origins.finds)
		}
	}
}

// TestTakeUpOfUnknownOriginIsNotSent takes up a stream that no one remembers, or whose version has no server left.
func TestTakeUpOfUnknownOriginIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		began map[string]string
		want  error
	}{
		"unknown origin":           {nil, exchange.ErrOriginUnknown},
		"no server of its version": {map[string]string{"r": "v0"}, exchange.ErrVersionGone},
	} {
		w := newFixtureOf([]fleet.Engine{decodeEngine("a", "v1"), prefillEngine("p", "v1")}, secondEvent)
		for request, version := range c.began {
			w.origins.began[request] = version
		}
		o := w.run(t, takeUp("r", 5000))
		if o.Result != exchange.Refused || !errors.Is(o.Err, c.want) || o.RetryAfter <= 0 || len(w.sends)+len(w.prefills) > 0 {
			t.Errorf("%s: got %v with %v after %d sends and %d prefill calls, want a refusal as not run with %v", name, o.Result, o.Err, len(w.sends), len(w.prefills), c.want)
		}
	}
}

// TestNewStreamIsKnownBeforeItsFirstEvent lets a caller take up what it has got, at any time.
func TestNewStreamIsKnownBeforeItsFirstEvent(t *testing.T) {
	w := newFixtureOf([]fleet.Engine{decodeEngine("a", "v1")}, reply{status: 200, events: true, body: "id: 1\n\n"})
	w.origins.onBegan = func() {
		if w.received.Len() > 0 {
			t.Error("the caller got events before their origin was recorded")
		}
	}
	if w.run(t, streamRequest(true, 10)); w.origins.began["r"] != "v1" || len(w.origins.finds) > 0 {
		t.Errorf("got origins %v and look-ups %v, want r to have begun at v1 and no look-up", w.origins.began, w.origins.finds)
	}
}

// versionedServers behave at random. It implements exchange.Sender and exchange.Sink.
type versionedServers struct {
	random *rand.Rand
	// reachMu guards reachRandom: connection attempts run beside a request.
	reachMu     sync.Mutex
	reachRandom *rand.Rand
	handles     map[string]bool
	next        int
	received    strings.Builder
	faults      []string
	// required is the version that the caller's stream began at, if known.
	required string

	mu sync.Mutex // guards ends: a check of a server may outlast its request
	// ends draws which servers have ended.
	ends *rand.Rand
}

func (w *versionedServers) check(a exchange.Attempt) {
	if w.required != "" && a.Engine.Version != w.required {
		w.faults = append(w.faults, fmt.Sprintf("sent to %s of %s, the stream began at %s", a.Engine.ID, a.Engine.Version, w.required))
	}
	if a.FetchFrom != nil && a.FetchFrom.Version != a.Engine.Version {
		w.faults = append(w.faults, fmt.Sprintf("%s of %s fetches from %s of %s", a.Engine.ID, a.Engine.Version, a.FetchFrom.ID, a.FetchFrom.Version))
	}
	if s := a.KVSource; s != nil && s.Engine.Version != a.Engine.Version {
		w.faults = append(w.faults, fmt.Sprintf("%s of %s decodes what %s of %s prefilled", a.Engine.ID, a.Engine.Version, s.Engine.ID, s.Engine.Version))
	}
}

func (w *versionedServers) failure() error {
	return []error{errRejected, errReset, exchange.ErrServerNotFound, exchange.ErrNotSent}[w.random.IntN(4)]
}

func (w *versionedServers) Prefill(_ context.Context, a exchange.Attempt) (string, error) {
	w.check(a)
	if w.random.IntN(4) == 0 {
		return "", w.failure()
	}
	w.next++
	handle := fmt.Sprint("handle-", w.next)
	w.handles[handle] = true
	return handle, nil
}

func (w *versionedServers) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	w.check(a)
	var err error
	if w.random.IntN(4) == 0 {
		err = w.failure()
	}
	if mayHaveRun := !errors.Is(err, exchange.ErrNotRun); mayHaveRun && a.KVSource != nil {
		delete(w.handles, a.KVSource.Handle) // the engine fetches it
	}
	if err != nil {
		return nil, err
	}
	from, _ := strconv.Atoi(a.LastEventID) // zero for a new stream
	var events strings.Builder
	for id := from + 1; id <= from+w.random.IntN(4); id++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", id, a.Engine.Version)
	}
	pipe, writer := io.Pipe()
	switch w.random.IntN(4) {
	case 0:
		_ = writer.CloseWithError(errReset)
	case 1:
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	default:
		_ = writer.Close()
	}
	return &exchange.Response{
		Success: true, EventStream: true, Status: 200, Body: &readCloser{io.MultiReader(strings.NewReader(events.String()), pipe), pipe},
	}, nil
}

func (w *versionedServers) Ended(context.Context, fleet.Engine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends.IntN(2) == 0
}

func (w *versionedServers) Reach(context.Context, fleet.Engine) error {
	w.reachMu.Lock()
	defer w.reachMu.Unlock()
	if w.reachRandom.IntN(2) == 0 {
		return exchange.ErrServerNotFound
	}
	return nil
}

func (w *versionedServers) Release(s exchange.KVSource)                    { delete(w.handles, s.Handle) }
func (w *versionedServers) WriteResponse(*exchange.Response, []byte) error { return nil }
func (w *versionedServers) BeginStream(*exchange.Response) error           { return nil }

func (w *versionedServers) WriteEvents(events []byte) error {
	w.received.Write(events)
	return nil
}

// versions returns the versions whose events the caller has.
func (w *versionedServers) versions() []string {
	var out []string
	for line := range strings.Lines(w.received.String()) {
		if version, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	return out
}

// TestNoStreamIsJoinedFromTwoVersions draws mixes of versions and phases, and failures and silence of servers.
func TestNoStreamIsJoinedFromTwoVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var engines []fleet.Engine
		for i := range rapid.IntRange(1, 8).Draw(rt, "engines") {
			phase := rapid.SampledFrom([]fleet.Phase{fleet.Prefill, fleet.Decode, fleet.NoPhase}).Draw(rt, "phase")
			version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "version")
			engines = append(engines, fleet.Engine{ID: fmt.Sprint("e", i), Service: "llm", Phase: phase, Version: version})
		}
		r := streamRequest(true, rapid.SampledFrom([]int{100, 700, 12000}).Draw(rt, "tokens"))
		r.Route.MaxAttempts = 4
		r.Prompt.Parts = []placement.Part{{ID: "shared", Tokens: r.Prompt.Tokens / 2}, {ID: "own", Tokens: r.Prompt.Tokens / 2}}
		w := &versionedServers{random: rand.New(rand.NewPCG(seed, 1)), reachRandom: rand.New(rand.NewPCG(seed, 2)), ends: rand.New(rand.NewPCG(seed, 3)), handles: make(map[string]bool)}
		if rapid.Bool().Draw(rt, "taken up") {
			w.required = rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "began at")
			r.ID, r.Resumes, r.LastEventID = "r2", "r", "1"
		}
		holder := rapid.SampledFrom(engines).Draw(rt, "holder")
		synctest.Test(t, func(t *testing.T) { w.run(t.Context(), r, engines, holder) })
		if versions := w.versions(); len(versions) > 1 || len(versions) == 1 && w.required != "" && versions[0] != w.required {
			rt.Errorf("the caller has events of %v, the stream began at %q", versions, w.required)
		}
		if len(w.handles) > 0 {
			rt.Errorf("handles %v were neither used nor released", w.handles)
		}
		if len(w.faults) > 0 {
			rt.Error(w.faults)
		}
	})
}

func (w *versionedServers) run(ctx context.Context, r *exchange.Request, engines []fleet.Engine, holder fleet.Engine) {
	c, view, origins, prefixes := clock.NewRuntime(), fleet.NewView(engines), newFakeOrigins(), prefixdir.New()
	budget := retry.NewAccount(c, retry.Bound{Share: 0.2, Slack: 10, Window: 10 * time.Second})
	prefixes.RecordPrefill("shared", r.Prompt.Tokens/2, holder)
	if w.required != "" {
		origins.began["r"] = w.required
	}
	r.Deadline = time.Now().Add(10 * time.Second)
	exchange.New(exchange.Options{
		View:     func() *fleet.View { return view },
		Tracker:  fleet.NewTracker(),
		Outlier:  outlier.NewSet(c),
		Prefixes: prefixes,
		Origins:  origins,
		Budget:   func(string) *retry.Account { return budget },
		Random:   w.random.IntN,
		Log:      hclog.NewNullLogger(),
	}).Run(ctx, r, w, w)
}
