package exchange_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// TestSilentReplacementIsReplaced guards against waiting for a replacement that is silent
// too, against asking one server twice, and against load that is never taken away.
func TestSilentReplacementIsReplaced(t *testing.T) {
	for _, c := range []struct {
		attempts, servers int
		answered          bool
	}{{3, 8, true}, {4, 8, true}, {6, 8, true}, {3, 2, false}, {4, 2, false}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent, quick := reply{status: 200, body: "silent", pause: time.Hour}, reply{status: 200, body: "quick"}
				w := newFixture(silent, silent, quick, quick, quick, quick, quick, quick)
				w.view = decoders(c.servers)
				call := callRequest(route.Safe, c.attempts)
				call.Route.Objective = 100 * time.Millisecond
				start := time.Now()
				o := w.run(t, call)
				if took := time.Since(start); c.answered && (o.Result != exchange.Delivered || took > time.Second) {
					t.Errorf("got %v after %v, want the response of the third server", o.Result, took)
				}
				asked := make(map[string]int)
				for _, a := range w.sends {
					asked[a.Engine.ID]++
				}
				for _, e := range w.view.Engines("plain") {
					if asked[e.ID] > 1 {
						t.Errorf("server %s got the request %d times", e.ID, asked[e.ID])
					}
					if load := w.tracker.Load(e.ID); load.Calls != 0 {
						t.Errorf("server %s has %d calls after the only request has ended", e.ID, load.Calls)
					}
				}
			})
		})
	}
}

// losing is a fixture whose first server is lost while its replacement works. It implements
// exchange.Sender.
type losing struct{ *fixture }

// Send implements exchange.Sender.
func (l *losing) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	l.mu.Lock()
	first := len(l.sends) == 0
	if first && !l.replies[0].events {
		l.sends = append(l.sends, a)
		l.mu.Unlock()
		clock.Sleep(ctx, 400*time.Millisecond)
		return nil, errReset
	}
	l.mu.Unlock()
	if !first && !clock.Sleep(ctx, 500*time.Millisecond) {
		return nil, ctx.Err()
	}
	return l.fixture.Send(ctx, a)
}

// TestServerLostWhileItIsReplacedCostsNoReplacement guards against ending the replacement of
// a silent server when that server is lost.
func TestServerLostWhileItIsReplacedCostsNoReplacement(t *testing.T) {
	call := callRequest(route.Safe, 2)
	call.Route.Objective = 100 * time.Millisecond
	for name, c := range map[string]struct {
		request *exchange.Request
		replies []reply
		want    string
	}{
		"call": {call, []reply{{}, {status: 200, body: "second"}}, "second"},
		"stream": {
			streamRequest(true, 10),
			[]reply{
				{status: 200, events: true, body: "id: 1\n\n", parts: []string{"x"}, pause: 1400 * time.Millisecond},
				{status: 200, events: true, body: "id: 2\n\n"},
			},
			"id: 1\n\nid: 2\n\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &losing{fixture: newFixture(c.replies...)}
				l.view = decoders(8)
				c.request.Deadline = time.Now().Add(5 * time.Second)
				if o := l.carrier.Run(t.Context(), c.request, l, l); o.Result != exchange.Delivered || l.received.String() != c.want {
					t.Errorf("got %+v and %q, want %q", o, l.received.String(), c.want)
				}
			})
		})
	}
}
