package exchange_test

import (
	"context"
	"fmt"
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
)

// halfBusyServers are servers of which some reset every second connection.
type halfBusyServers struct {
	*downServers
	busy map[string]bool
}

func (s *halfBusyServers) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	r, err := s.downServers.Send(ctx, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.busy[a.Engine.ID] && s.sends[a.Engine.ID]%2 == 1 {
		return nil, exchange.ErrNotSent
	}
	return r, err
}

// newGoneForwarder returns a forwarder of an entry that knows the servers.
func newGoneForwarder(engines []fleet.Engine) *exchange.Forwarder {
	view := fleet.NewView(engines)
	budget := retry.NewAccount(clock.NewRuntime(), retry.Bound{Share: 0.2, Slack: 10, Window: 10 * time.Second})
	return exchange.New(exchange.Options{
		View:    func() *fleet.View { return view },
		Tracker: fleet.NewTracker(),
		Outlier: outlier.NewSet(clock.NewRuntime()),
		Budget:  func(string) *retry.Account { return budget },
		Random:  func(int) int { return 0 },
		Log:     hclog.NewNullLogger(),
	})
}

func newStream(tokens int) func() *exchange.Request {
	return func() *exchange.Request { return streamRequest(true, tokens) }
}

// TestRequestsLeaveOutServersThatAreGone guards against attempt upon attempt at addresses that refuse connections while the servers that are left fail at times.
func TestRequestsLeaveOutServersThatAreGone(t *testing.T) {
	const (
		gone, left = 7, 4
		requests   = 400
	)
	for name, c := range map[string]struct {
		server  func(id string) fleet.Engine
		request func() *exchange.Request
	}{
		"decode engines": {func(id string) fleet.Engine { return decodeEngine(id, "v1") }, newStream(100)},
		"plain servers": {
			func(id string) fleet.Engine { return fleet.Engine{ID: id, Service: "plain", Slots: 9} },
			func() *exchange.Request { return callRequest(route.Unsafe, 1) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &halfBusyServers{downServers: &downServers{backAt: make(map[string]time.Time), sends: make(map[string]int)}, busy: make(map[string]bool)}
				var engines []fleet.Engine
				for i := range gone + left {
					id := fmt.Sprint("e", i)
					engines = append(engines, c.server(id))
					if i < gone {
						servers.backAt[id] = time.Now().Add(time.Hour)
					} else {
						servers.busy[id] = true
					}
				}
				carrier := newGoneForwarder(engines)
				var running sync.WaitGroup
				var mu sync.Mutex
				delivered := 0
				for range requests {
					running.Go(func() {
						r := c.request()
						r.Deadline = time.Now().Add(5 * time.Second)
						o := carrier.Run(t.Context(), r, servers, discardSink{})
						mu.Lock()
						defer mu.Unlock()
						if o.Result == exchange.Delivered {
							delivered++
						}
					})
					time.Sleep(10 * time.Millisecond)
				}
				running.Wait()
				futile := 0
				for i := range gone {
					futile += servers.sends[fmt.Sprint("e", i)]
				}
				t.Logf("%d of %d delivered, sends %v, %d connection attempts", delivered, requests, servers.sends, servers.reaches)
				if futile > gone {
					t.Errorf("%d sends to %d servers that are gone, want one each", futile, gone)
				}
				if delivered < requests-1 {
					t.Errorf("%d of %d requests delivered, want all but the one that finds the servers gone: the others have room", delivered, requests)
				}
			})
		})
	}
}

// TestNewRequestsWaitForAServer guards against refusing each new request while all servers are down for a moment, against attempt upon attempt at them, and against long waits of more requests than the first one that is back can take.
func TestNewRequestsWaitForAServer(t *testing.T) {
	const (
		requests = 40
		// futile bounds the sends where each request goes on: one more for each.
		futile  = 2 * requests
		soon    = 300 * time.Millisecond
		most    = 500 * time.Millisecond
		waiting = 48
	)
	llm := []fleet.Engine{decodeEngine("a", "v1"), decodeEngine("b", "v1"), prefillEngine("p", "v1")}
	plain := []fleet.Engine{{ID: "a", Service: "plain", Slots: 9}, {ID: "b", Service: "plain", Slots: 9}}
	call := func() *exchange.Request { return callRequest(route.Unsafe, 1) }
	for name, c := range map[string]struct {
		engines    []fleet.Engine
		request    func() *exchange.Request
		down       map[string]time.Duration
		deadline   time.Duration
		sent, goOn int
		maxSends   int
	}{
		"short prompts":      {llm, newStream(10), map[string]time.Duration{"a": soon, "b": time.Hour}, 8 * time.Second, requests, requests, futile},
		"long prompts":       {llm, newStream(5000), map[string]time.Duration{"a": soon, "b": soon}, 8 * time.Second, requests, requests, futile},
		"calls":              {plain, call, map[string]time.Duration{"a": soon, "b": time.Hour}, 8 * time.Second, requests, requests, futile},
		"not back":           {llm, newStream(10), map[string]time.Duration{"a": time.Hour, "b": time.Hour}, 8 * time.Second, requests, 0, requests},
		"not back in time":   {plain, call, map[string]time.Duration{"a": time.Second, "b": time.Hour}, 600 * time.Millisecond, requests, 0, requests},
		"long, not back yet": {llm, newStream(5000), map[string]time.Duration{"a": time.Hour, "b": time.Hour}, 8 * time.Second, requests, 0, requests},
		"more than fit":      {plain, call, map[string]time.Duration{"a": soon, "b": time.Hour}, 8 * time.Second, 5 * requests, waiting, 2 * waiting},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &downServers{backAt: make(map[string]time.Time), sends: make(map[string]int)}
				for id, down := range c.down {
					servers.backAt[id] = time.Now().Add(down)
				}
				carrier := newGoneForwarder(c.engines)
				var running sync.WaitGroup
				results := make(chan exchange.Outcome, c.sent)
				for range c.sent {
					running.Go(func() {
						r, started := c.request(), time.Now()
						r.Deadline = started.Add(c.deadline)
						results <- carrier.Run(t.Context(), r, servers, discardSink{})
						if waited := time.Since(started); waited >= most {
							t.Errorf("a request took %v, want less than %v", waited, most)
						}
					})
					time.Sleep(soon / 2 / time.Duration(c.sent))
				}
				running.Wait()
				close(results)
				went := 0
				for o := range results {
					if o.Result == exchange.Delivered {
						went++
					} else if o.Result != exchange.Refused || o.RetryAfter <= 0 {
						t.Errorf("got outcome %+v, want a refusal with a time to come back", o)
					}
				}
				if went != c.goOn {
					t.Errorf("%d of %d requests delivered, want %d", went, c.sent, c.goOn)
				}
				if sends := servers.count(); sends > c.maxSends {
					t.Errorf("%d sends for %d requests, want at most %d: %v", sends, c.sent, c.maxSends, servers.sends)
				}
				if c.goOn == 0 && servers.prefills > len(c.down) {
					t.Errorf("%d prompts prefilled that no engine can decode, want at most %d", servers.prefills, len(c.down))
				}
			})
		})
	}
}

// TestOneEntryDoesNotMakeServersGoneForOthers guards against refusing requests because an entry that is cut off reports all servers as missing.
func TestOneEntryDoesNotMakeServersGoneForOthers(t *testing.T) {
	w := newFixture(reply{status: 200, body: "answer"})
	missing := make(map[string]fleet.Load)
	for e := range w.view.All() {
		missing[e.ID] = fleet.Load{MissingEntries: 1}
	}
	w.tracker.SetOthers(fleet.Work{Engines: missing})
	tried := 0
	w.onReach = func() { tried++ }
	if o := w.run(t, callRequest(route.Safe, 1)); o.Result != exchange.Delivered || tried > 0 {
		t.Errorf("got %v after %d connection attempts, want the request delivered without", o, tried)
	}
}
