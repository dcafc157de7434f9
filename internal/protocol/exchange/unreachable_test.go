package exchange_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// TestOnlyUnreachedServersAreUnreachable guards against forwarding requests that a server
// has seen or turned away, or that no entry may place.
func TestOnlyUnreachedServersAreUnreachable(t *testing.T) {
	refused := fmt.Errorf("%w: %w", exchange.ErrServerNotFound, exchange.ErrNotSent)
	repeat := func(errs ...error) (out []reply) {
		for i := range 12 {
			out = append(out, reply{err: errs[i%len(errs)]})
		}
		return out
	}
	for name, c := range map[string]struct {
		request     *exchange.Request
		replies     []reply
		prepare     func(w *fixture)
		result      exchange.Result
		unreachable bool
	}{
		"connections refused":       {callRequest(route.Unsafe, 1), repeat(refused), nil, exchange.Refused, true},
		"connections time out":      {callRequest(route.Unsafe, 1), repeat(exchange.ErrNotSent), nil, exchange.Refused, true},
		"stream, refused":           {streamRequest(false, 100), repeat(refused), nil, exchange.Refused, true},
		"prompt, prefill refused":   {streamRequest(false, 5000), repeat(refused), func(w *fixture) { w.prefillErrs = []error{refused, refused, refused} }, exchange.Refused, true},
		"turned away":               {callRequest(route.Unsafe, 1), repeat(errRejected), nil, exchange.Refused, false},
		"turned away by one":        {callRequest(route.Unsafe, 1), repeat(refused, errRejected), nil, exchange.Refused, false},
		"prefill turned away":       {streamRequest(false, 5000), repeat(refused), func(w *fixture) { w.prefillErrs = []error{errRejected} }, exchange.Refused, false},
		"address of another server": {callRequest(route.Unsafe, 1), repeat(exchange.ErrServerNotFound), nil, exchange.Refused, false},
		"may have run":              {callRequest(route.Unsafe, 2), repeat(refused, errReset), nil, exchange.Failed, false},
		"in quarantine": {&exchange.Request{
			ID: "r", Route: &route.Route{Kind: route.Streaming, MaxAttempts: 1}, Service: route.Service{Name: "llm"},
			Prompt: &placement.Prompt{Tokens: 20, Parts: []placement.Part{{ID: "bad", Tokens: 10}, {ID: "own", Tokens: 10}}},
		}, repeat(refused), func(w *fixture) {
			w.quarantine.SetPartLists("control", quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: "bad", Left: time.Minute}}})
		}, exchange.Refused, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(c.replies...)
			w.ended, w.drops = true, true
			if c.prepare != nil {
				c.prepare(w)
			}
			o := w.run(t, c.request)
			if o.Result != c.result || errors.Is(o.Err, exchange.ErrUnreachable) != c.unreachable {
				t.Errorf("%s: got %v with error %v, want %v, unreachable %t", name, o.Result, o.Err, c.result, c.unreachable)
			}
		})
	}
}

// TestForwardedRequestsDoNotWaitForServers guards against a refusal that takes the waits of
// several entries while a service is down.
func TestForwardedRequestsDoNotWaitForServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := reply{err: fmt.Errorf("%w: %w", exchange.ErrServerNotFound, exchange.ErrNotSent)}
		w := newFixture(refused, refused, refused)
		w.ended = true
		forwarded := callRequest(route.Unsafe, 1)
		forwarded.Forwarded = true
		began := time.Now()
		if o := w.run(t, forwarded); !errors.Is(o.Err, exchange.ErrUnreachable) || time.Since(began) > 0 {
			t.Errorf("got %v with error %v after %v, want a refusal at once", o.Result, o.Err, time.Since(began))
		}
	})
}

// TestRequestsOfOtherEntriesAreCountedOnce guards against a retry budget that grows with
// each request that another entry has counted.
func TestRequestsOfOtherEntriesAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := reply{status: 200}
		w := newFixture(good, good)
		counted := callRequest(route.Safe, 1)
		counted.Counted = true
		w.run(t, counted)
		w.run(t, callRequest(route.Safe, 1))
		if got := w.budget.Usage().Requests; got != 1 {
			t.Errorf("%d requests are counted, want 1", got)
		}
	})
}
