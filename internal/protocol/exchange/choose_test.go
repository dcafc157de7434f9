package exchange_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// limitedServers counts what servers get and answers each request. It implements
// exchange.Sender and exchange.Sink.
type limitedServers struct {
	view      *fleet.View
	forwarder *exchange.Forwarder
	limits    *ratelimit.Limiter
	arrivals  map[string]int
	// err is the error of all sends, if set.
	err error
}

func newLimitedServers(engines ...fleet.Engine) *limitedServers {
	c := clock.NewRuntime()
	board, budget := notice.NewBoard(c), retry.NewAccount(c, retry.Bound{Share: 1, Slack: 1000, Window: 10 * time.Second})
	w := &limitedServers{view: fleet.NewView(engines), limits: board.Limits, arrivals: make(map[string]int)}
	w.limits.SetView(w.view)
	w.limits.SetPosition(ratelimit.Position{Count: 1})
	w.forwarder = exchange.New(exchange.Options{
		View:    func() *fleet.View { return w.view },
		Tracker: fleet.NewTracker(),
		Outlier: outlier.NewSet(c),
		Notices: board,
		Budget:  func(string) *retry.Account { return budget },
		Random:  rand.New(rand.NewPCG(1, 1)).IntN,
		Log:     hclog.NewNullLogger(),
	})
	return w
}

func (w *limitedServers) limit(e fleet.Engine, perSecond float64) {
	w.limits.Announce(e, ratelimit.Limit{Limited: true, PerSecond: perSecond}, 0)
}

func (w *limitedServers) Prefill(_ context.Context, a exchange.Attempt) (string, error) {
	w.arrivals[a.Engine.ID]++
	return "handle", w.err
}

func (w *limitedServers) Send(_ context.Context, a exchange.Attempt) (*exchange.Response, error) {
	w.arrivals[a.Engine.ID]++
	if w.err != nil {
		return nil, w.err
	}
	return &exchange.Response{Success: true, Status: 200, Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

func (w *limitedServers) Ended(context.Context, fleet.Engine) bool { return false }

func (w *limitedServers) Reach(context.Context, fleet.Engine) error      { return nil }
func (w *limitedServers) Release(exchange.KVSource)                      {}
func (w *limitedServers) WriteResponse(*exchange.Response, []byte) error { return nil }
func (w *limitedServers) BeginStream(*exchange.Response) error           { return nil }
func (w *limitedServers) WriteEvents([]byte) error                       { return nil }

func (w *limitedServers) run(t *testing.T, service string, prompt *placement.Prompt) exchange.Outcome {
	t.Helper()
	r := &exchange.Request{
		ID: "r", Service: route.Service{Name: service}, Prompt: prompt, Deadline: time.Now().Add(10 * time.Second),
		Route: &route.Route{Kind: route.Safe, MaxAttempts: 3, Objective: time.Second},
	}
	return w.forwarder.Run(t.Context(), r, w, w)
}

// TestEverySendCountsAgainstRateLimits sends more calls, prefills, decodes and retries than the limited server of each kind takes.
func TestEverySendCountsAgainstRateLimits(t *testing.T) {
	const perSecond, requests = 2.0, 200
	long, short := &placement.Prompt{Tokens: 5000}, &placement.Prompt{Tokens: 100}
	for name, c := range map[string]struct {
		phase  fleet.Phase
		prompt *placement.Prompt
		err    error
	}{
		"calls":   {fleet.NoPhase, nil, nil},
		"retries": {fleet.NoPhase, nil, exchange.ErrNotRun},
		"prefill": {fleet.Prefill, long, nil},
		"decode":  {fleet.Decode, short, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limited, free := fleet.Engine{ID: "limited", Service: "s", Phase: c.phase}, fleet.Engine{ID: "free", Service: "s", Phase: c.phase}
				w := newLimitedServers(limited, free, fleet.Engine{ID: "other", Service: "s", Phase: fleet.Decode})
				w.err = c.err
				w.limit(limited, perSecond)
				started := time.Now()
				for range requests {
					w.run(t, "s", c.prompt)
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(started)
				if got, most := w.arrivals["limited"], int(perSecond*took.Seconds())+1; got > most || got < most/2 {
					t.Errorf("the limited server got %d requests in %v, want %d to %d", got, took, most/2, most)
				}
				if w.arrivals["free"] == 0 {
					t.Error("the server without a limit got nothing")
				}
			})
		})
	}
}

// TestRequestsWaitOrReturnAtRateLimit checks that a request waits for a limited server within half of its objective, and that one which can't be sent by then is refused at once.
func TestRequestsWaitOrReturnAtRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		only := fleet.Engine{ID: "only", Service: "s"}
		w := newLimitedServers(only)
		w.limit(only, 3)
		started := time.Now()
		if got := w.run(t, "s", nil); got.Result != exchange.Delivered {
			t.Errorf("got %v (%v), want an answer", got.Result, got.Err)
		}
		if waited := time.Since(started); waited < 300*time.Millisecond || waited > 500*time.Millisecond {
			t.Errorf("answered after %v, want a third of a second", waited)
		}
		w.limit(only, 0.5)
		started = time.Now()
		got := w.run(t, "s", nil)
		if got.Result != exchange.Refused || time.Since(started) > 0 {
			t.Errorf("got %v after %v, want a refusal at once", got.Result, time.Since(started))
		}
		if got.RetryAfter < time.Second || got.RetryAfter > 3*time.Second {
			t.Errorf("got Retry-After %v, want about 2 s", got.RetryAfter)
		}
	})
}
