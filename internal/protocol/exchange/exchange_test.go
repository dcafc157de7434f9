package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

var errReset = errors.New("connection reset")

// reply is what the fake servers do with one send.
type reply struct {
	err    error
	status int
	events bool
	body   string
	// cut ends the body with errReset and silent leaves it open.
	cut, silent bool
}

// world is a caller, an entry and servers that follow a script.
type world struct {
	replies  []reply
	sends    []exchange.Attempt
	prefills []exchange.Attempt
	// prefillErrs are the results of the prefill calls, nil after the last.
	prefillErrs []error
	// slack is what the retry budget allows beyond its share.
	slack    float64
	released []string
	begun    int
	answer   bytes.Buffer
	status   int
	carrier  *exchange.Carrier
}

func newWorld(replies ...reply) *world {
	w := &world{replies: replies, slack: 10}
	var engines []fleet.Engine
	for i := range 3 {
		engines = append(engines,
			fleet.Engine{ID: fmt.Sprint("p", i), Service: "llm", Phase: fleet.Prefill},
			fleet.Engine{ID: fmt.Sprint("d", i), Service: "llm", Phase: fleet.Decode},
			fleet.Engine{ID: fmt.Sprint("s", i), Service: "plain", Slots: 6})
	}
	view := fleet.NewView(engines)
	c := clock.NewRuntime()
	budget := retry.NewWindow(c, 0.2, 10*time.Second)
	w.carrier = exchange.New(exchange.Options{
		View:    func() *fleet.View { return view },
		Tracker: fleet.NewTracker(),
		Outlier: outlier.NewSet(c),
		Budget:  func(string) (*retry.Window, float64) { return budget, w.slack },
		Random:  func(int) int { return 0 },
		Log:     hclog.NewNullLogger(),
	})
	return w
}

func (w *world) Prefill(_ context.Context, a exchange.Attempt) (string, error) {
	w.prefills = append(w.prefills, a)
	if n := len(w.prefills); n <= len(w.prefillErrs) && w.prefillErrs[n-1] != nil {
		return "", w.prefillErrs[n-1]
	}
	return fmt.Sprint("handle-", len(w.prefills)), nil
}

func (w *world) Send(ctx context.Context, a exchange.Attempt) (*exchange.Answer, error) {
	w.sends = append(w.sends, a)
	r := w.replies[len(w.sends)-1]
	if r.err != nil {
		return nil, r.err
	}
	body := []io.Reader{strings.NewReader(r.body)}
	pipe, writer := io.Pipe()
	switch {
	case r.cut:
		_ = writer.CloseWithError(errReset)
		body = append(body, pipe)
	case r.silent:
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
		body = append(body, pipe)
	}
	return &exchange.Answer{
		Success: r.status < 300,
		Events:  r.events,
		Status:  r.status,
		Body:    &readCloser{io.MultiReader(body...), pipe},
	}, nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

func (w *world) Release(s exchange.Source) { w.released = append(w.released, s.Handle) }

func (w *world) Whole(a *exchange.Answer, body []byte) error {
	w.status = a.Status
	w.answer.Write(body)
	return nil
}

func (w *world) Begin(*exchange.Answer) error {
	w.begun++
	return nil
}

func (w *world) Events(events []byte) error {
	w.answer.Write(events)
	return nil
}

func (w *world) run(t *testing.T, r *exchange.Request) exchange.Outcome {
	t.Helper()
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(5 * time.Second)
	}
	return w.carrier.Run(t.Context(), r, w, w)
}

func call(kind route.Kind, attempts int) *exchange.Request {
	return &exchange.Request{ID: "r", Route: &route.Route{Kind: kind, MaxAttempts: attempts}, Service: route.Service{Name: "plain"}}
}

func stream(resumable bool, tokens int) *exchange.Request {
	return &exchange.Request{
		ID:      "r",
		Route:   &route.Route{Kind: route.Streaming, MaxAttempts: 2, Resumable: resumable, EventGap: 200 * time.Millisecond},
		Service: route.Service{Name: "llm"},
		Prompt:  &placement.Prompt{Tokens: tokens},
	}
}

var errFull = fmt.Errorf("full: %w", exchange.ErrNotRun)

func TestWhatMayBeSentAgain(t *testing.T) {
	good := reply{status: 200, body: "good"}
	bad := reply{status: 500, body: "bad"}
	for name, c := range map[string]struct {
		request *exchange.Request
		replies []reply
		result  exchange.Result
		status  int
		sends   int
	}{
		"unsafe after a refusal":          {call(route.Unsafe, 1), []reply{{err: errFull}, good}, exchange.Delivered, 200, 2},
		"unsafe after a lost answer":      {call(route.Unsafe, 2), []reply{{err: errReset}, good}, exchange.Failed, 0, 1},
		"unsafe after a cut answer":       {call(route.Unsafe, 2), []reply{{status: 200, body: "g", cut: true}, good}, exchange.Failed, 0, 1},
		"unsafe after a failure":          {call(route.Unsafe, 2), []reply{bad, good}, exchange.Delivered, 500, 1},
		"safe after a lost answer":        {call(route.Safe, 2), []reply{{err: errReset}, good}, exchange.Delivered, 200, 2},
		"safe after a failure":            {call(route.Safe, 2), []reply{bad, good}, exchange.Delivered, 200, 2},
		"safe after two failures":         {call(route.Safe, 2), []reply{bad, bad, good}, exchange.Delivered, 500, 2},
		"safe, first bad and then lost":   {call(route.Safe, 2), []reply{bad, {err: errReset}}, exchange.Delivered, 500, 2},
		"nothing ran":                     {call(route.Safe, 1), []reply{{err: errFull}, {err: errFull}, {err: errFull}}, exchange.Refused, 0, 3},
		"one may have run":                {call(route.Safe, 2), []reply{{err: errReset}, {err: errFull}, {err: errFull}}, exchange.Failed, 0, 3},
		"stream that can't be resumed":    {stream(false, 10), []reply{{status: 200, events: true, body: "id: 1\n\n", cut: true}}, exchange.Cut, 0, 1},
		"stream after a refusal":          {stream(false, 10), []reply{{err: errFull}, {status: 200, events: true}}, exchange.Delivered, 0, 2},
		"stream lost before its answer":   {stream(false, 10), []reply{{err: errReset}}, exchange.Failed, 0, 1},
		"resumable lost before an answer": {stream(true, 10), []reply{{err: errReset}, {status: 200, events: true}}, exchange.Delivered, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(c.replies...)
			o := w.run(t, c.request)
			if o.Result != c.result || w.status != c.status || len(w.sends) != c.sends {
				t.Errorf("%v, status %d after %d sends; want %v, %d after %d", o.Result, w.status, len(w.sends), c.result, c.status, c.sends)
			}
			if o.Result == exchange.Refused && o.RetryAfter <= 0 {
				t.Error("a refusal without a time to come back")
			}
		})
	}
}

// TestResumedStreamIsWhole breaks a stream in the middle of an event; the next
// engine repeats an event that the caller has.
func TestResumedStreamIsWhole(t *testing.T) {
	w := newWorld(
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", cut: true},
		reply{status: 200, events: true, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"})
	if o := w.run(t, stream(true, 10)); o.Result != exchange.Delivered {
		t.Fatalf("%+v", o)
	}
	if got := w.answer.String(); got != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" {
		t.Errorf("the caller got %q", got)
	}
	if w.begun != 1 || w.sends[1].LastEvent != "2" || w.sends[0].Engine.ID == w.sends[1].Engine.ID {
		t.Errorf("begun %d times, resumed after %q at %s", w.begun, w.sends[1].LastEvent, w.sends[1].Engine.ID)
	}
}

// TestSilentStreamGoesOnElsewhere leaves a stream open without events.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(
			reply{status: 200, events: true, body: "id: 1\n\n", silent: true},
			reply{status: 200, events: true, body: "id: 2\n\n"})
		start := time.Now()
		o := w.run(t, stream(true, 10))
		if o.Result != exchange.Delivered || w.answer.String() != "id: 1\n\nid: 2\n\n" {
			t.Errorf("%v, got %q", o.Result, w.answer.String())
		}
		if waited := time.Since(start); waited > 2*time.Second {
			t.Errorf("went on after %v, when the caller has left", waited)
		}
	})
}

// TestSilentServerOfASafeCall keeps the first server silent: the second one
// answers well before the caller's deadline.
func TestSilentServerOfASafeCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(reply{status: 200, silent: true}, reply{status: 200, body: "good"})
		r := call(route.Safe, 2)
		r.Route.Objective = 100 * time.Millisecond
		start := time.Now()
		if o := w.run(t, r); o.Result != exchange.Delivered || w.answer.String() != "good" {
			t.Errorf("%+v, got %q", o, w.answer.String())
		}
		if waited := time.Since(start); waited > 500*time.Millisecond {
			t.Errorf("waited %v", waited)
		}
	})
}

// TestSilentEngineGetsNoMoreWork stalls one stream: the next request goes to
// another engine, though the silent one has the least load.
func TestSilentEngineGetsNoMoreWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(
			reply{status: 200, events: true, silent: true},
			reply{status: 200, events: true, body: "id: 1\n\n"},
			reply{status: 200, events: true, body: "id: 1\n\n"})
		w.run(t, stream(true, 10))
		w.run(t, stream(true, 10))
		if len(w.sends) != 3 || w.sends[2].Engine.ID == w.sends[0].Engine.ID {
			t.Errorf("%d sends, the last to %s", len(w.sends), w.sends[len(w.sends)-1].Engine.ID)
		}
	})
}

func TestLongPromptsAreReadByAPrefillEngine(t *testing.T) {
	w := newWorld(reply{status: 200, events: true})
	w.run(t, stream(true, placement.WholeLimit))
	if len(w.prefills) != 1 || w.sends[0].Source == nil || w.sends[0].Source.Handle != "handle-1" || len(w.released) != 0 {
		t.Errorf("%d prefills, source %v, released %v", len(w.prefills), w.sends[0].Source, w.released)
	}
	w = newWorld(reply{status: 200, events: true})
	w.run(t, stream(true, 10))
	if len(w.prefills) != 0 || w.sends[0].Source != nil {
		t.Errorf("a short prompt took %d prefills", len(w.prefills))
	}
}

// TestUnusedHandleIsReleased refuses the decode: its handle is not used again.
func TestUnusedHandleIsReleased(t *testing.T) {
	w := newWorld(reply{err: errFull}, reply{status: 200, events: true})
	if o := w.run(t, stream(false, 5000)); o.Result != exchange.Delivered {
		t.Fatalf("%+v", o)
	}
	if len(w.released) != 1 || w.released[0] != "handle-1" || w.sends[1].Source.Handle != "handle-2" {
		t.Errorf("released %v, then used %v", w.released, w.sends[1].Source)
	}
}

// TestHandleIsKeptForAnotherEngine finds nobody at the first decode engine's
// address: the prompt need not be read again.
func TestHandleIsKeptForAnotherEngine(t *testing.T) {
	w := newWorld(reply{err: exchange.ErrNotThere}, reply{status: 200, events: true})
	if o := w.run(t, stream(false, 5000)); o.Result != exchange.Delivered {
		t.Fatalf("%+v", o)
	}
	if len(w.prefills) != 1 || len(w.released) != 0 || w.sends[1].Source.Handle != "handle-1" {
		t.Errorf("%d prefills, released %v", len(w.prefills), w.released)
	}
}

func TestHandleIsReleasedAtTheEnd(t *testing.T) {
	w := newWorld(reply{err: exchange.ErrNotThere})
	w.slack = -1
	if o := w.run(t, stream(false, 5000)); o.Result != exchange.Refused {
		t.Fatalf("%+v", o)
	}
	if len(w.released) != 1 {
		t.Errorf("released %v", w.released)
	}
}

// TestSendsThatReachNobodyCostNoRepeat finds nobody at two addresses while no
// repeat is left: nothing arrived anywhere, so the next send is the first.
func TestSendsThatReachNobodyCostNoRepeat(t *testing.T) {
	gone := reply{err: fmt.Errorf("%w: %w", exchange.ErrNotThere, exchange.ErrNotSent)}
	for name, request := range map[string]*exchange.Request{"call": call(route.Unsafe, 1), "stream": stream(false, 100)} {
		w := newWorld(gone, gone, reply{status: 200, events: name == "stream"})
		w.slack = -1
		if o := w.run(t, request); o.Result != exchange.Delivered || len(w.sends) != 3 {
			t.Errorf("%s: %v after %d sends: %v", name, o.Result, len(w.sends), o.Err)
		}
	}
}

// TestUnsentSendsAreBounded ends an exchange for which nobody is ever found.
func TestUnsentSendsAreBounded(t *testing.T) {
	gone := reply{err: exchange.ErrNotSent}
	w := newWorld(gone, gone, gone, gone, gone, gone, gone, gone, gone)
	if o := w.run(t, call(route.Safe, 2)); o.Result != exchange.Refused || len(w.sends) > 7 {
		t.Errorf("%v after %d sends", o.Result, len(w.sends))
	}
}

func TestPrefillGoesToAnotherEngineAfterAFailure(t *testing.T) {
	w := newWorld(reply{status: 200, events: true})
	w.prefillErrs = []error{errFull}
	o := w.run(t, stream(false, 5000))
	if o.Result != exchange.Delivered || len(w.prefills) != 2 || w.prefills[0].Engine.ID == w.prefills[1].Engine.ID {
		t.Errorf("%v after %d prefills", o.Result, len(w.prefills))
	}
}

// TestEmptyBudgetEndsTheExchange loses a prefill while no repeat is paid for:
// the request must end at once and not be tried until its deadline.
func TestEmptyBudgetEndsTheExchange(t *testing.T) {
	w := newWorld()
	w.slack = -1
	w.prefillErrs = []error{errReset}
	start := time.Now()
	o := w.run(t, stream(true, 5000))
	if o.Result != exchange.Refused || len(w.prefills) != 1 || time.Since(start) > time.Second {
		t.Errorf("%v after %d prefills and %v", o.Result, len(w.prefills), time.Since(start))
	}
}

func TestPastDeadlineIsRefusedAsNotRun(t *testing.T) {
	w := newWorld()
	r := call(route.Unsafe, 1)
	r.Deadline = time.Now().Add(-time.Second)
	if o := w.run(t, r); o.Result != exchange.Refused || len(w.sends) != 0 {
		t.Errorf("%v after %d sends", o.Result, len(w.sends))
	}
}
