package exchange_test

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// beganRequests records the requests that were counted. It implements exchange.Usage.
type beganRequests struct {
	mu     sync.Mutex // guards the fields below
	counts map[string]int
	// at is when the newest request was counted.
	at time.Time
}

// Began implements exchange.Usage.
func (b *beganRequests) Began(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		b.counts = make(map[string]int)
	}
	b.counts[workspace]++
	b.at = time.Now()
}

// TestRequestsAreCountedOnce guards against requests that are counted for each attempt, or
// though no server has begun them.
func TestRequestsAreCountedOnce(t *testing.T) {
	const event = "id: 1\n\n"
	unusable := reply{err: fmt.Errorf("no signature: %w", exchange.ErrUnusable)}
	good, bad, lost, rejected := reply{status: 200, body: "good"}, reply{status: 500, body: "bad"}, reply{err: errReset}, reply{err: errRejected}
	stream := reply{status: 200, events: true, body: event}
	taken := streamRequest(true, 10)
	taken.LastEventID = "1"
	for name, c := range map[string]struct {
		request *exchange.Request
		replies []reply
		want    int
	}{
		"call":                                     {callRequest(route.Unsafe, 1), []reply{good}, 1},
		"error response":                           {callRequest(route.Unsafe, 1), []reply{bad}, 1},
		"two error responses":                      {callRequest(route.Safe, 2), []reply{bad, bad}, 1},
		"error response, then success":             {callRequest(route.Safe, 2), []reply{bad, good}, 1},
		"response without its end":                 {callRequest(route.Unsafe, 1), []reply{{status: 200, body: "g", cut: true}}, 1},
		"rejected, then success":                   {callRequest(route.Safe, 1), []reply{rejected, good}, 1},
		"always rejected":                          {callRequest(route.Safe, 1), []reply{rejected, rejected, rejected}, 0},
		"unusable response":                        {callRequest(route.Unsafe, 1), []reply{unusable}, 1},
		"unusable response, then success":          {callRequest(route.Safe, 2), []reply{unusable, good}, 1},
		"response lost":                            {callRequest(route.Unsafe, 1), []reply{lost}, 0},
		"response lost, then success":              {callRequest(route.Safe, 2), []reply{lost, good}, 1},
		"stream":                                   {streamRequest(true, 10), []reply{stream}, 1},
		"stream without an event":                  {streamRequest(false, 10), []reply{{status: 200, events: true, cut: true}}, 0},
		"stream with a part of an event":           {streamRequest(false, 10), []reply{{status: 200, events: true, body: "id: 1\n", cut: true}}, 0},
		"stream without an event, then with":       {streamRequest(true, 10), []reply{{status: 200, events: true, cut: true}, stream}, 1},
		"stream that goes on at another engine":    {streamRequest(true, 10), []reply{{status: 200, events: true, body: event, cut: true}, {status: 200, events: true, body: "id: 2\n\n"}}, 1},
		"error response where a stream was wanted": {streamRequest(false, 10), []reply{bad}, 1},
		"stream that its caller takes up again":    {taken, []reply{{status: 200, events: true, body: "id: 2\n\n"}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(c.replies...)
			w.origins.began[""] = "" // the caller that takes up its stream names no request
			c.request.Workspace = "north"
			o := w.run(t, c.request)
			want := map[string]int{}
			if c.want > 0 {
				want["north"] = c.want
			}
			if !maps.Equal(w.usage.counts, want) {
				t.Errorf("counted %v after %d sends with outcome %+v, want %v", w.usage.counts, len(w.sends), o, want)
			}
			c.request.Workspace = ""
			w = newFixture(c.replies...)
			w.run(t, c.request)
			if len(w.usage.counts) > 0 {
				t.Errorf("counted %v of a request without a workspace, want nothing", w.usage.counts)
			}
		})
	}
}

// TestRequestIsCountedWhenItBegins guards against requests that are counted in a later
// window: streams and long responses may last for minutes.
func TestRequestIsCountedWhenItBegins(t *testing.T) {
	for name, c := range map[string]struct {
		request *exchange.Request
		reply   reply
		want    time.Duration
	}{
		"stream": {
			streamRequest(false, 10),
			reply{status: 200, events: true, parts: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}, pause: 100 * time.Millisecond},
			100 * time.Millisecond,
		},
		"call": {callRequest(route.Unsafe, 1), reply{status: 200, body: "x", pause: 50 * time.Millisecond}, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(c.reply)
				w.writeTime = time.Second
				c.request.Workspace = "north"
				start := time.Now()
				w.run(t, c.request)
				if got := w.usage.at.Sub(start); got != c.want || w.usage.counts["north"] != 1 {
					t.Errorf("counted %v, after %v; want once, after %v", w.usage.counts, got, c.want)
				}
			})
		})
	}
}

// TestReplacedAttemptIsCountedOnce has a silent server replaced, which answers as its
// replacement does. It guards against a count for each of them, under the race detector too.
func TestReplacedAttemptIsCountedOnce(t *testing.T) {
	for pause := 200 * time.Millisecond; pause < 600*time.Millisecond; pause += 50 * time.Millisecond {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late, second := reply{status: 200, body: "late", pause: pause}, reply{status: 200, body: "second", pause: 50 * time.Millisecond}
				w := newFixture(late, second, second)
				call := callRequest(route.Safe, 3)
				call.Route.Objective = 100 * time.Millisecond
				call.Workspace = "north"
				o := w.run(t, call)
				if o.Result != exchange.Delivered || w.usage.counts["north"] != 1 {
					t.Errorf("counted %v with outcome %+v, want once", w.usage.counts, o)
				}
			})
		})
	}
}
