package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// flakyServers are servers of which some answer a part of their requests with errors at
// once. It implements exchange.Sender.
type flakyServers struct {
	mu sync.Mutex // guards the fields below
	// errorShare is the part of its requests that a server fails, by ID.
	errorShare map[string]float64
	random     *rand.Rand
	calls      map[string]int
	failures   int
}

// serviceTime is how long a server works on a request that it doesn't fail.
const serviceTime = 400 * time.Millisecond

var errStatus = errors.New("status 500")

// serve reports whether a server answers a request.
func (f *flakyServers) serve(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[id]++
	if f.random.Float64() < f.errorShare[id] {
		f.failures++
		return false
	}
	return true
}

func (f *flakyServers) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	if !f.serve(a.Engine.ID) {
		return &exchange.Response{Status: 500, Body: io.NopCloser(strings.NewReader("error"))}, nil
	}
	if !clock.Sleep(ctx, serviceTime) {
		return nil, ctx.Err()
	}
	return &exchange.Response{Success: true, EventStream: a.Engine.Phase == fleet.Decode, Status: 200, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))}, nil
}

func (f *flakyServers) Prefill(ctx context.Context, a exchange.Attempt) (string, error) {
	if !f.serve(a.Engine.ID) {
		return "", errStatus
	}
	if !clock.Sleep(ctx, 20*time.Millisecond) {
		return "", ctx.Err()
	}
	return "handle", nil
}

func (f *flakyServers) Ended(context.Context, fleet.Engine) bool  { return false }
func (f *flakyServers) Reach(context.Context, fleet.Engine) error { return nil }
func (f *flakyServers) Release(exchange.KVSource)                 {}

// takeCalls returns the numbers of calls at servers that fail requests and at all, and
// counts anew.
func (f *flakyServers) takeCalls(flaky []string) (atFlaky, total, failures int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.calls {
		total += n
	}
	for _, id := range flaky {
		atFlaky += f.calls[id]
	}
	failures = f.failures
	clear(f.calls)
	f.failures = 0
	return atFlaky, total, failures
}

// flakyCluster is a group of entries in front of flaky servers.
type flakyCluster struct {
	*flakyServers
	entries  []*exchange.Forwarder
	trackers []*fleet.Tracker
	outliers []*outlier.Set
}

func newFlakyCluster(entries int, engines []fleet.Engine) *flakyCluster {
	c := &flakyCluster{flakyServers: &flakyServers{errorShare: make(map[string]float64), calls: make(map[string]int), random: rand.New(rand.NewPCG(3, 3))}}
	view := fleet.NewView(engines)
	for i := range entries {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		var mu sync.Mutex
		tracker := fleet.NewTracker()
		budget := retry.NewAccount(clock.NewRuntime(), retry.Bound{Share: 0.2, Slack: 2, Window: 10 * time.Second})
		outliers := outlier.NewSet(clock.NewRuntime())
		c.trackers, c.outliers = append(c.trackers, tracker), append(c.outliers, outliers)
		c.entries = append(c.entries, exchange.New(exchange.Options{
			View:    func() *fleet.View { return view },
			Tracker: tracker,
			Outlier: outliers,
			Budget:  func(string) *retry.Account { return budget },
			Random: func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			},
			Log: hclog.NewNullLogger(),
		}))
	}
	return c
}

// exchangeLoads sends all entries each other's load until ctx ends.
func (c *flakyCluster) exchangeLoads(ctx context.Context) {
	_ = clock.Every(ctx, digestInterval, func(context.Context) {
		sum := fleet.NewSum()
		work := make([]fleet.Work, len(c.trackers))
		for i, t := range c.trackers {
			work[i] = t.Own()
			for _, id := range c.outliers[i].Failing() {
				work[i].Engines[id] = work[i].Engines[id].Add(fleet.Load{FailingEntries: 1})
			}
			sum.Add(work[i])
		}
		for i, t := range c.trackers {
			t.SetOthers(sum.Without(work[i]))
		}
	})
}

// run sends requests at a rate for a time and returns the numbers of all, of those
// answered and of those answered at the first attempt.
func (c *flakyCluster) run(t *testing.T, request func() *exchange.Request, perSecond float64, length time.Duration) (sent, served, atOnce int) {
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	random := rand.New(rand.NewPCG(7, 7))
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		entry := c.entries[random.IntN(len(c.entries))]
		calls.Go(func() {
			r := request()
			r.Deadline = time.Now().Add(5 * time.Second)
			o := entry.Run(t.Context(), r, c, discardSink{})
			mu.Lock()
			defer mu.Unlock()
			if o.Result == exchange.Delivered && o.Err == nil {
				served++
				if o.Attempts == 1 {
					atOnce++
				}
			}
		})
	}
	calls.Wait()
	return sent, served, atOnce
}

// TestFailingServersGetWhatSoundOnesHaveNoRoomFor guards against most of the work at servers that fail half of it at once and therefore have the least load.
func TestFailingServersGetWhatSoundOnesHaveNoRoomFor(t *testing.T) {
	const servers, flaky, entries = 10, 7, 8
	server := func(phase fleet.Phase, slots int) func(i int) fleet.Engine {
		return func(i int) fleet.Engine {
			return fleet.Engine{ID: fmt.Sprint("e", i), Service: map[fleet.Phase]string{fleet.Decode: "llm", fleet.NoPhase: "plain"}[phase], Phase: phase, Slots: slots}
		}
	}
	for name, c := range map[string]struct {
		server  func(i int) fleet.Engine
		request func() *exchange.Request
		// perSecond is half of what the sound servers have slots for.
		perSecond float64
	}{
		"decode": {server(fleet.Decode, 64), func() *exchange.Request { return streamRequest(true, 10) }, 240},
		"calls":  {server(fleet.NoPhase, 16), func() *exchange.Request { return callRequest(route.Safe, 2) }, 60},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engines []fleet.Engine
				var failing []string
				for i := range servers {
					engines = append(engines, c.server(i))
					if i < flaky {
						failing = append(failing, engines[i].ID)
					}
				}
				cluster := newFlakyCluster(entries, engines)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go cluster.exchangeLoads(ctx)
				for _, id := range failing {
					cluster.errorShare[id] = 0.5
				}
				cluster.run(t, c.request, c.perSecond, 5*time.Second) // until the entries know
				cluster.takeCalls(nil)
				sent, served, atOnce := cluster.run(t, c.request, c.perSecond, 20*time.Second)
				atFlaky, total, failures := cluster.takeCalls(failing)
				t.Logf("of %d requests %d served, %d at the first attempt; %d of %d calls at failing servers, %d failed", sent, served, atOnce, atFlaky, total, failures)
				if atOnce*100 < sent*90 {
					t.Errorf("%d of %d requests served at the first attempt, want 90%%: the sound servers have room", atOnce, sent)
				}
				if served*1000 < sent*995 {
					t.Errorf("%d of %d requests served, want 99.5%%: the retries may go to sound servers", served, sent)
				}
				cluster.run(t, c.request, 3*c.perSecond, 10*time.Second)
				atFlaky, total, _ = cluster.takeCalls(failing)
				if atFlaky*4 < total {
					t.Errorf("%d of %d calls at failing servers, want a quarter: the sound ones have no room", atFlaky, total)
				}
				clear(cluster.errorShare)
				cluster.run(t, c.request, 3*c.perSecond, 10*time.Second)
				cluster.takeCalls(nil)
				cluster.run(t, c.request, 3*c.perSecond, 10*time.Second)
				if atFlaky, total, _ := cluster.takeCalls(failing); atFlaky*2 < total {
					t.Errorf("%d of %d calls at servers that are sound again, want half at least", atFlaky, total)
				}
			})
		})
	}
}

// TestShortPromptsSpareFailingPrefillEngines guards against prefill calls, each of which may cost a retry, for prompts that a decode engine prefills quickly while all prefill engines fail half of them.
func TestShortPromptsSpareFailingPrefillEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engines []fleet.Engine
		for i := range 4 {
			engines = append(engines,
				fleet.Engine{ID: fmt.Sprint("p", i), Service: "llm", Phase: fleet.Prefill, Slots: 32},
				fleet.Engine{ID: fmt.Sprint("d", i), Service: "llm", Phase: fleet.Decode, Slots: 32})
		}
		cluster := newFlakyCluster(1, engines)
		for i := range 4 {
			cluster.errorShare[fmt.Sprint("p", i)] = 0.5
		}
		request := func() *exchange.Request { return streamRequest(true, 2*placement.LocalPrefillLimit) }
		cluster.run(t, request, 20, 5*time.Second)
		cluster.takeCalls(nil)
		sent, served, _ := cluster.run(t, request, 20, 20*time.Second)
		atPrefill, _, _ := cluster.takeCalls([]string{"p0", "p1", "p2", "p3"})
		t.Logf("of %d requests %d served, %d prefill calls", sent, served, atPrefill)
		if served*100 < sent*99 {
			t.Errorf("%d of %d requests served, want 99%%", served, sent)
		}
		if atPrefill*10 > sent*4 {
			t.Errorf("%d prefill calls for %d requests, want at most 40%%", atPrefill, sent)
		}
	})
}

// TestPlainResponseInsteadOfStreamIsAFailure guards against the next attempt at the server that answered the last one with a plain response where a stream was to go on.
func TestPlainResponseInsteadOfStreamIsAFailure(t *testing.T) {
	w := newFixture(
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\n", cut: true},
		reply{status: 200, body: "boom"},
		reply{status: 200, events: true, body: "id: 2\ndata: b\n\n"},
	)
	r := streamRequest(true, 10)
	r.Route.MaxAttempts = 3
	if o := w.run(t, r); o.Result != exchange.Delivered || w.sends[1].Engine.ID == w.sends[2].Engine.ID {
		t.Errorf("got %v after sends to %s, %s and %s; want delivered by the third", o.Result, w.sends[0].Engine.ID, w.sends[1].Engine.ID, w.sends[2].Engine.ID)
	}
}
