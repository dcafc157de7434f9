package exchange_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// silence is longer than any time limit on a silent attempt, and shorter than the
// patience of a caller.
const silence = 1700 * time.Millisecond

// pausing is a stream whose server falls silent after its first event and goes on.
func pausing(pause time.Duration) reply {
	return reply{status: 200, events: true, body: "id: 1\n\n", parts: []string{"id: 2\n\n"}, pause: pause}
}

// TestSilentServerKeepsStreamThatNoOtherCanTake guards against cutting a stream off for
// its server's silence when no other server may get it.
func TestSilentServerKeepsStreamThatNoOtherCanTake(t *testing.T) {
	for name, c := range map[string]struct {
		tokens int
		spoil  func(w *fixture)
	}{
		"no retry left":             {10, func(w *fixture) { w.slack = 0 }},
		"no retry left for prefill": {5000, func(w *fixture) { w.slack = 1.5 }},
		"no other server": {10, func(w *fixture) {
			w.view = fleet.NewView([]fleet.Engine{{ID: "d0", Service: "llm", Phase: fleet.Decode}})
		}},
		"prefill fails everywhere": {5000, func(w *fixture) {
			w.prefillErrs = []error{nil, errReset, errReset, errReset, errReset, errReset, errReset, errReset}
			w.slack = 2.5
		}},
		"prompt in quarantine": {10, func(w *fixture) {
			time.AfterFunc(silence/2, func() {
				w.quarantine.SetPartLists("c", quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: "shared", Left: time.Minute}}})
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(pausing(silence))
				c.spoil(w)
				request := streamRequest(true, c.tokens)
				request.Prompt.Parts = []placement.Part{{ID: "shared", Tokens: 1}, {ID: "own", Tokens: c.tokens - 1}}
				o := w.run(t, request)
				if o.Result != exchange.Delivered || w.received.String() != "id: 1\n\nid: 2\n\n" || len(w.sends) != 1 {
					t.Errorf("got %+v after %d sends and events %q, want both events from one server", o, len(w.sends), w.received.String())
				}
			})
		})
	}
}

// decoders returns a list of servers that do all work of their service.
func decoders(count int) *fleet.View {
	var engines []fleet.Engine
	for i := range count {
		engines = append(engines,
			fleet.Engine{ID: fmt.Sprint("d", i), Service: "llm", Phase: fleet.Decode},
			fleet.Engine{ID: fmt.Sprint("s", i), Service: "plain", Slots: 6})
	}
	return fleet.NewView(engines)
}

// TestSilentServerIsKeptOnceAttemptsAreUsedUp guards against ending a silent attempt that
// the limits on attempts allow no other one to follow.
func TestSilentServerIsKeptOnceAttemptsAreUsedUp(t *testing.T) {
	rejected := reply{err: errRejected}
	late, second := reply{status: 200, body: "late", pause: silence}, reply{status: 200, body: "second"}
	call := callRequest(route.Safe, 2)
	call.Route.Objective = 100 * time.Millisecond
	for name, c := range map[string]struct {
		request *exchange.Request
		spoil   func(w *fixture)
		replies []reply
	}{
		"stream after three rejections": {streamRequest(true, 10), func(*fixture) {}, []reply{rejected, rejected, rejected, pausing(silence), pausing(0)}},
		"call after three rejections":   {call, func(*fixture) {}, []reply{rejected, rejected, rejected, late, second}},
		"prefill servers end in the preparation": {streamRequest(true, 5000), func(w *fixture) {
			w.ended, w.prefillErrs = true, []error{nil, errReset, errReset}
			w.view = fleet.NewView(append(w.view.Engines("llm"), decoders(8).Engines("llm")...))
		}, []reply{pausing(silence), pausing(0)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(c.replies...)
				w.view = decoders(8)
				if c.request.Prompt != nil && c.request.Prompt.Tokens > 1000 {
					w.view = newFixture().view
				}
				c.spoil(w)
				if o := w.run(t, c.request); o.Result != exchange.Delivered || strings.Contains(w.received.String(), "second") {
					t.Errorf("got %+v after %d sends and %q, want the response of the silent server", o, len(w.sends), w.received.String())
				}
			})
		})
	}
}

// TestServerThatGoesOnKeepsItsStream guards against moving a stream whose server goes on
// while the prompt is prefilled for another one, and against leaving its KV cache behind.
func TestServerThatGoesOnKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(pausing(silence), pausing(0))
		w.prefillTime, w.quickPrefills = silence, 1
		o := w.run(t, streamRequest(true, 5000))
		if o.Result != exchange.Delivered || w.received.String() != "id: 1\n\nid: 2\n\n" || len(w.sends) != 1 {
			t.Errorf("got %+v after %d sends and events %q, want both events from one server", o, len(w.sends), w.received.String())
		}
		left := 0
		for {
			if _, ok := w.budget.Take(); !ok {
				break
			}
			left++
		}
		if want := int(w.slack) - 1; left != want {
			t.Errorf("%d retries are left, want %d: only the prefill call was made", left, want)
		}
	})
}

// TestReplacementThatRefusesCostsNoStream guards against giving a silent server up for one
// that then refuses the request.
func TestReplacementThatRefusesCostsNoStream(t *testing.T) {
	notFound := fmt.Errorf("%w: %w", exchange.ErrServerNotFound, exchange.ErrNotSent)
	for name, refusal := range map[string]reply{
		"full":            {err: errRejected},
		"not found":       {err: notFound},
		"lost":            {err: errReset},
		"error response":  {status: 500, body: "bad"},
		"no event stream": {status: 200, body: "plain"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(pausing(silence), refusal, refusal, refusal, refusal)
				w.view, w.slack = decoders(2), 1
				o := w.run(t, streamRequest(true, 10))
				if o.Result != exchange.Delivered || w.received.String() != "id: 1\n\nid: 2\n\n" || len(w.sends) != 2 {
					t.Errorf("got %+v after %d sends and events %q, want both events from the silent server", o, len(w.sends), w.received.String())
				}
			})
		})
	}
}

// TestSilentServerKeepsCallThatNoOtherCanTake guards against giving up a call for its
// server's silence when no other server may get it.
func TestSilentServerKeepsCallThatNoOtherCanTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{status: 200, body: "late", pause: silence}, reply{status: 200, body: "second"})
		w.slack = 0
		request := callRequest(route.Safe, 2)
		request.Route.Objective = 100 * time.Millisecond
		if o := w.run(t, request); o.Result != exchange.Delivered || w.received.String() != "late" || len(w.sends) != 1 {
			t.Errorf("got %+v after %d sends and body %q, want the response of the only server asked", o, len(w.sends), w.received.String())
		}
	})
}

// TestSilentPrefillIsKeptWithoutRetry guards against giving up a slow prefill call when
// the prompt may not be prefilled elsewhere.
func TestSilentPrefillIsKeptWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{status: 200, events: true, body: "id: 1\n\n"})
		w.slack = 0
		w.prefillTime = 2 * time.Second
		if o := w.run(t, streamRequest(true, 5000)); o.Result != exchange.Delivered || len(w.prefills) != 1 {
			t.Errorf("got %+v after %d prefill calls, want delivered after one", o, len(w.prefills))
		}
	})
}

// TestRequestWithoutAnEventGetsAnAnswer guards against closing a caller's connection
// without a byte after a stream that broke before its first event.
func TestRequestWithoutAnEventGetsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		replies   []reply
	}{
		"not resumable":          {false, []reply{{status: 200, events: true, cut: true}}},
		"inside the first event": {false, []reply{{status: 200, events: true, body: "id: 1\nda", cut: true}}},
		"resumed, then refused":  {true, []reply{{status: 200, events: true, cut: true}, {err: errRejected}, {err: errRejected}, {err: errRejected}}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(c.replies...)
			if o := w.run(t, streamRequest(c.resumable, 10)); o.Result != exchange.Failed || w.streamsBegun != 0 {
				t.Errorf("got %v and %d streams begun, want a failure that can be answered", o.Result, w.streamsBegun)
			}
		})
	}
}

// TestSilenceAloneNeverCutsAStream draws silences, budgets and fleets. Servers that fall
// silent and go on must never make a stream incomplete.
func TestSilenceAloneNeverCutsAStream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1900), 20, 20).Draw(rt, "pauses_ms")
		notFound := fmt.Errorf("%w: %w", exchange.ErrServerNotFound, exchange.ErrNotSent)
		errs := rapid.SliceOfN(rapid.SampledFrom([]error{nil, errRejected, notFound}), 20, 20).Draw(rt, "errs")
		slack := rapid.Float64Range(0, 3).Draw(rt, "slack")
		tokens := rapid.SampledFrom([]int{10, 5000}).Draw(rt, "tokens")
		servers := rapid.IntRange(1, 3).Draw(rt, "servers")
		prefillTime := time.Duration(rapid.IntRange(0, 1000).Draw(rt, "prefill_ms")) * time.Millisecond
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			var replies []reply
			for i, ms := range pauses {
				r := pausing(time.Duration(ms) * time.Millisecond)
				if i > 0 {
					r.err = errs[i]
				}
				replies = append(replies, r)
			}
			w := newFixture(replies...)
			w.slack, w.prefillTime = slack, prefillTime
			var engines []fleet.Engine
			for i := range servers {
				engines = append(engines,
					fleet.Engine{ID: fmt.Sprint("p", i), Service: "llm", Phase: fleet.Prefill},
					fleet.Engine{ID: fmt.Sprint("d", i), Service: "llm", Phase: fleet.Decode})
			}
			w.view = fleet.NewView(engines)
			o := w.run(t, streamRequest(true, tokens))
			if got := w.received.String(); o.Result != exchange.Delivered || !strings.HasPrefix(got, "id: 1\n\n") || strings.Count(got, "id: 1\n") != 1 || !strings.HasSuffix(got, "id: 2\n\n") {
				failure = fmt.Sprintf("got %+v after %d sends and events %q, want both events", o, len(w.sends), got)
			}
			used := 0
			for i, a := range w.sends {
				if a.KVSource != nil && (i == 0 || errs[i] == nil) {
					used++
				}
			}
			if w.handles != used+len(w.released) {
				failure = fmt.Sprintf("%d handles were made, %d used and %d released", w.handles, used, len(w.released))
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
