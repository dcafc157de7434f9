package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
)

var errReset = errors.New("connection reset")

// reply is the scripted reaction of the fake servers to one send.
type reply struct {
	err    error
	status int
	events bool
	body   string
	// cut ends the body with errReset; silent leaves it open without further
	// data.
	cut, silent bool
	// untilClose is set if only the close of the connection ends the body.
	untilClose bool
	// drip follows the body with single bytes that never complete an event.
	drip bool
	// parts follow the body one by one; closing the body early loses the rest.
	parts []string
	// pause is the time before the first of the parts or, for a plain response, before
	// its headers.
	pause time.Duration
}

// dripInterval is the time between two bytes of a dripping reply.
const dripInterval = 100 * time.Millisecond

// fixture is a caller and an entry whose backend servers follow a script. It
// implements exchange.Sender and exchange.Sink.
type fixture struct {
	replies  []reply
	mu       sync.Mutex // guards sends, ended, drops and view while attempts overlap
	sends    []exchange.Attempt
	prefills []exchange.Attempt
	// prefillErrs are the errors of the prefill calls in order; calls beyond
	// the last one succeed.
	prefillErrs []error
	// slack is the number of retries allowed beyond the budget's share.
	slack float64
	// writeTime is how long the caller takes to read an event.
	writeTime    time.Duration
	released     []string
	streamsBegun int
	received     bytes.Buffer
	status       int
	carrier      *exchange.Forwarder
	prefixes     *prefixdir.Directory
	quarantine   *quarantine.Guard
	// ended is set if failed engines have ended, and endedTime how long it takes to see it.
	ended     bool
	endedTime time.Duration
	// drops is set if connection attempts to the servers time out.
	drops bool
	// onSend is called during a send, and onReach during a connection attempt, if set.
	onSend, onReach func()
	// onPrefill is called during a prefill call, if set.
	onPrefill func()
	// prefillTime is how long a prefill call takes after the first quickPrefills, and
	// handles counts those that succeeded.
	prefillTime   time.Duration
	quickPrefills int
	handles       int
	// view holds the listed servers.
	view    *fleet.View
	tracker *fleet.Tracker
	// budget is created with the slack at the first request.
	budget  *retry.Account
	origins *fakeOrigins
	notices *notice.Board
	usage   beganRequests
}

func newFixture(replies ...reply) *fixture {
	var engines []fleet.Engine
	for i := range 3 {
		engines = append(engines,
			fleet.Engine{ID: fmt.Sprint("p", i), Service: "llm", Phase: fleet.Prefill},
			fleet.Engine{ID: fmt.Sprint("d", i), Service: "llm", Phase: fleet.Decode},
			fleet.Engine{ID: fmt.Sprint("s", i), Service: "plain", Slots: 6})
	}
	return newFixtureOf(engines, replies...)
}

// newFixtureOf returns a fixture with the given servers.
func newFixtureOf(engines []fleet.Engine, replies ...reply) *fixture {
	w := &fixture{
		replies: replies, slack: 10, prefixes: prefixdir.New(), quarantine: quarantine.NewGuard(clock.NewRuntime()), origins: newFakeOrigins(),
		notices: notice.NewBoard(clock.NewRuntime()),
	}
	w.view, w.tracker = fleet.NewView(engines), fleet.NewTracker()
	c := clock.NewRuntime()
	w.carrier = exchange.New(exchange.Options{
		View:       w.currentView,
		Tracker:    w.tracker,
		Outlier:    outlier.NewSet(c),
		Prefixes:   w.prefixes,
		Quarantine: w.quarantine,
		Origins:    w.origins,
		Notices:    w.notices,
		Usage:      &w.usage,
		Budget:     w.account,
		Random:     func(int) int { return 0 },
		Log:        hclog.NewNullLogger(),
	})
	return w
}

func (w *fixture) account(string) *retry.Account {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.budget == nil {
		w.budget = retry.NewAccount(clock.NewRuntime(), retry.Bound{Share: 0.2, Slack: w.slack, Window: 10 * time.Second})
	}
	return w.budget
}

func (w *fixture) Prefill(ctx context.Context, a exchange.Attempt) (string, error) {
	w.prefills = append(w.prefills, a)
	if w.onPrefill != nil {
		w.onPrefill()
	}
	if len(w.prefills) > w.quickPrefills && w.prefillTime > 0 && !clock.Sleep(ctx, w.prefillTime) {
		return "", ctx.Err()
	}
	if n := len(w.prefills); n <= len(w.prefillErrs) && w.prefillErrs[n-1] != nil {
		return "", w.prefillErrs[n-1]
	}
	w.handles++
	return fmt.Sprint("handle-", len(w.prefills)), nil
}

func (w *fixture) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	w.mu.Lock()
	w.sends = append(w.sends, a)
	r := w.replies[len(w.sends)-1]
	w.mu.Unlock()
	if w.onSend != nil {
		w.onSend()
	}
	if r.err != nil {
		return nil, r.err
	}
	if !r.events && r.pause > 0 && !clock.Sleep(ctx, r.pause) {
		return nil, ctx.Err()
	}
	body := []io.Reader{strings.NewReader(r.body)}
	pipe, writer := io.Pipe()
	switch {
	case r.cut:
		_ = writer.CloseWithError(errReset)
		body = append(body, pipe)
	case r.drip:
		go func() {
			for ctx.Err() == nil {
				time.Sleep(dripInterval)
				if _, err := writer.Write([]byte("x")); err != nil {
					return
				}
			}
			_ = writer.CloseWithError(ctx.Err())
		}()
		body = append(body, pipe)
	case len(r.parts) > 0:
		go func() {
			clock.Sleep(ctx, r.pause)
			for _, part := range r.parts {
				if _, err := io.WriteString(writer, part); err != nil {
					return
				}
			}
			_ = writer.Close()
		}()
		body = append(body, pipe)
	case r.silent:
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
		body = append(body, pipe)
	}
	return &exchange.Response{
		Success:     r.status < 300,
		EventStream: r.events,
		UntilClose:  r.untilClose,
		ServerEnded: func(ctx context.Context) bool { return w.Ended(ctx, a.Engine) },
		Status:      r.status,
		Body:        &readCloser{io.MultiReader(body...), pipe},
	}, nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

func (w *fixture) Ended(ctx context.Context, _ fleet.Engine) bool {
	return clock.Sleep(ctx, w.endedTime) && w.hasEnded()
}

func (w *fixture) hasEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// setEnded and setView change what the servers and the list say while requests run.
func (w *fixture) setEnded(ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = ended
}

func (w *fixture) setView(v *fleet.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = v
}

func (w *fixture) currentView() *fleet.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *fixture) Reach(ctx context.Context, _ fleet.Engine) error {
	if w.onReach != nil {
		w.onReach()
	}
	switch {
	case !clock.Sleep(ctx, w.endedTime):
		return ctx.Err()
	case w.hasEnded():
		return exchange.ErrServerNotFound
	case w.hasDropped():
		return exchange.ErrNotSent
	}
	return nil
}

func (w *fixture) hasDropped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drops
}

// setDrops changes whether connection attempts to the servers time out.
func (w *fixture) setDrops(drops bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drops = drops
}

func (w *fixture) Release(s exchange.KVSource) { w.released = append(w.released, s.Handle) }

func (w *fixture) WriteResponse(a *exchange.Response, body []byte) error {
	w.status = a.Status
	w.received.Write(body)
	return nil
}

func (w *fixture) BeginStream(*exchange.Response) error {
	w.streamsBegun++
	return nil
}

func (w *fixture) WriteEvents(events []byte) error {
	time.Sleep(w.writeTime)
	w.received.Write(events)
	return nil
}

func (w *fixture) run(t *testing.T, r *exchange.Request) exchange.Outcome {
	t.Helper()
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(5 * time.Second)
	}
	return w.carrier.Run(t.Context(), r, w, w)
}

func callRequest(kind route.Kind, attempts int) *exchange.Request {
	return &exchange.Request{ID: "r", Route: &route.Route{Kind: kind, MaxAttempts: attempts}, Service: route.Service{Name: "plain"}}
}

func streamRequest(resumable bool, tokens int) *exchange.Request {
	return &exchange.Request{
		ID:      "r",
		Route:   &route.Route{Kind: route.Streaming, MaxAttempts: 2, Resumable: resumable, EventGap: 200 * time.Millisecond},
		Service: route.Service{Name: "llm"},
		Prompt:  &placement.Prompt{Tokens: tokens},
	}
}

var errRejected = fmt.Errorf("full: %w", exchange.ErrNotRun)

func TestRetryRules(t *testing.T) {
	good := reply{status: 200, body: "good"}
	bad := reply{status: 500, body: "bad"}
	for name, c := range map[string]struct {
		request *exchange.Request
		replies []reply
		result  exchange.Result
		status  int
		sends   int
	}{
		"unsafe, rejected":                         {callRequest(route.Unsafe, 1), []reply{{err: errRejected}, good}, exchange.Delivered, 200, 2},
		"unsafe, response lost":                    {callRequest(route.Unsafe, 2), []reply{{err: errReset}, good}, exchange.Failed, 0, 1},
		"unsafe, response truncated":               {callRequest(route.Unsafe, 2), []reply{{status: 200, body: "g", cut: true}, good}, exchange.Failed, 0, 1},
		"unsafe, error response":                   {callRequest(route.Unsafe, 2), []reply{bad, good}, exchange.Delivered, 500, 1},
		"safe, response lost":                      {callRequest(route.Safe, 2), []reply{{err: errReset}, good}, exchange.Delivered, 200, 2},
		"safe, error response":                     {callRequest(route.Safe, 2), []reply{bad, good}, exchange.Delivered, 200, 2},
		"safe, two error responses":                {callRequest(route.Safe, 2), []reply{bad, bad, good}, exchange.Delivered, 500, 2},
		"safe, error response, then lost":          {callRequest(route.Safe, 2), []reply{bad, {err: errReset}}, exchange.Delivered, 500, 2},
		"safe, all sends rejected":                 {callRequest(route.Safe, 1), []reply{{err: errRejected}, {err: errRejected}, {err: errRejected}}, exchange.Refused, 0, 3},
		"safe, one send may have run":              {callRequest(route.Safe, 2), []reply{{err: errReset}, {err: errRejected}, {err: errRejected}}, exchange.Failed, 0, 3},
		"stream broken, not resumable":             {streamRequest(false, 10), []reply{{status: 200, events: true, body: "id: 1\n\n", cut: true}}, exchange.Truncated, 0, 1},
		"stream rejected":                          {streamRequest(false, 10), []reply{{err: errRejected}, {status: 200, events: true}}, exchange.Delivered, 0, 2},
		"stream lost before its headers":           {streamRequest(false, 10), []reply{{err: errReset}}, exchange.Failed, 0, 1},
		"resumable stream lost before its headers": {streamRequest(true, 10), []reply{{err: errReset}, {status: 200, events: true}}, exchange.Delivered, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(c.replies...)
			o := w.run(t, c.request)
			if o.Result != c.result || w.status != c.status || len(w.sends) != c.sends {
				t.Errorf("got %v, status %d after %d sends; want %v, status %d after %d sends", o.Result, w.status, len(w.sends), c.result, c.status, c.sends)
			}
			if o.Result == exchange.Refused && o.RetryAfter <= 0 {
				t.Error("refused without a RetryAfter")
			}
		})
	}
}

// TestResumedStreamIsComplete breaks a stream in the middle of an event. The
// next engine repeats an event that the caller already has; the caller must get
// each event once.
func TestResumedStreamIsComplete(t *testing.T) {
	w := newFixture(
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", cut: true},
		reply{status: 200, events: true, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"})
	if o := w.run(t, streamRequest(true, 10)); o.Result != exchange.Delivered {
		t.Fatalf("got outcome %+v, want delivered", o)
	}
	if got := w.received.String(); got != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" {
		t.Errorf("caller got events %q, want each event once", got)
	}
	if w.streamsBegun != 1 || w.sends[1].LastEventID != "2" || w.sends[0].Engine.ID == w.sends[1].Engine.ID {
		t.Errorf("stream begun %d times, resumed after event %q on engine %s; want once, after event \"2\", on another engine", w.streamsBegun, w.sends[1].LastEventID, w.sends[1].Engine.ID)
	}
}

// TestOrderlyCloseDoesNotCompleteStream ends a stream in order where it can't be
// complete. The caller must get complete events only, and the rest from another
// engine if the stream may be resumed.
func TestOrderlyCloseDoesNotCompleteStream(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		reply    reply
		received string
		result   exchange.Result
	}{
		"inside an event":                         {reply{body: first + "id: 2\nda"}, first, exchange.Truncated},
		"inside an event, framed":                 {reply{body: first + "id: 2"}, first, exchange.Truncated},
		"between the line ends of an event":       {reply{body: first + "id: 2\ndata: b\n"}, first, exchange.Truncated},
		"inside an event with CRLF":               {reply{body: "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r"}, "id: 1\r\ndata: a\r\n\r\n", exchange.Truncated},
		"before the first event, until close":     {reply{untilClose: true}, "", exchange.Failed},
		"after an event, until close":             {reply{body: first + second, untilClose: true}, first + second, exchange.Delivered},
		"after an event with CRLF, until close":   {reply{body: "id: 1\r\n\r\nid: 2\r\n\r\n", untilClose: true}, "id: 1\r\n\r\nid: 2\r\n\r\n", exchange.Delivered},
		"without an event, with length or chunks": {reply{}, "", exchange.Delivered},
	} {
		t.Run(name, func(t *testing.T) {
			c.reply.status, c.reply.events = 200, true
			w := newFixture(c.reply)
			o := w.run(t, streamRequest(false, 10))
			if o.Result != c.result || w.received.String() != c.received {
				t.Errorf("got %v and events %q, want %v and %q", o.Result, w.received.String(), c.result, c.received)
			}
			if c.result == exchange.Delivered {
				return
			}
			w = newFixture(c.reply, reply{status: 200, events: true, body: first + second})
			if o := w.run(t, streamRequest(true, 10)); o.Result != exchange.Delivered || len(w.sends) != 2 || !strings.HasSuffix(w.received.String(), second) {
				t.Errorf("resumable: got %v after %d sends and events %q, want the rest from a second engine", o.Result, len(w.sends), w.received.String())
			}
		})
	}
}

// TestServerThatEndsWithItsResponseIsNotTrusted guards against a response that a crash cut off
// and that reaches the caller as a complete one: only the end of its connection ends it, and
// nothing listens at its server's address any more. A server that leaves may have stopped to
// listen before it completed its responses.
func TestServerThatEndsWithItsResponseIsNotTrusted(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	plain, events := reply{status: 200, body: "part", untilClose: true}, reply{status: 200, events: true, body: first, untilClose: true}
	for name, c := range map[string]struct {
		request *exchange.Request
		reply   reply
		ended   bool
		leaving bool
		result  exchange.Result
	}{
		"plain":                           {callRequest(route.Unsafe, 1), plain, true, false, exchange.Failed},
		"plain, server listens":           {callRequest(route.Unsafe, 1), plain, false, false, exchange.Delivered},
		"plain, server leaves":            {callRequest(route.Unsafe, 1), plain, true, true, exchange.Delivered},
		"plain, with a length":            {callRequest(route.Unsafe, 1), reply{status: 200, body: "whole"}, true, false, exchange.Delivered},
		"stream":                          {streamRequest(false, 10), events, true, false, exchange.Truncated},
		"stream, server listens":          {streamRequest(false, 10), events, false, false, exchange.Delivered},
		"stream, server leaves":           {streamRequest(false, 10), events, true, true, exchange.Delivered},
		"stream, with a length or chunks": {streamRequest(false, 10), reply{status: 200, events: true, body: first}, true, false, exchange.Delivered},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(c.reply)
			w.ended = c.ended
			if c.leaving {
				w.onSend = func() { w.notices.Post(w.sends[0].Engine, notice.Notice{Leaving: true}) }
			}
			o := w.run(t, c.request)
			if o.Result != c.result {
				t.Errorf("got %v, error %v, want %v", o.Result, o.Err, c.result)
			}
		})
	}
	t.Run("plain, server no longer listed", func(t *testing.T) {
		w := newFixture(plain)
		w.ended = true
		w.onSend = func() { // the list states that it leaves, or doesn't have it any more
			w.mu.Lock()
			defer w.mu.Unlock()
			w.view = fleet.NewView([]fleet.Engine{{ID: "other", Service: "plain"}})
		}
		if o := w.run(t, callRequest(route.Unsafe, 1)); o.Result != exchange.Delivered {
			t.Errorf("got %v, error %v", o.Result, o.Err)
		}
	})
	t.Run("resumable stream", func(t *testing.T) {
		w := newFixture(events, reply{status: 200, events: true, body: second})
		w.ended = true
		if o := w.run(t, streamRequest(true, 10)); o.Result != exchange.Delivered || w.received.String() != first+second {
			t.Errorf("got %v and %q, want the rest from another server", o.Result, w.received.String())
		}
	})
}

// TestSilentStreamResumesOnAnotherEngine has an engine send nothing more on an
// open stream. The stream must resume on another engine before the caller
// disconnects.
func TestSilentStreamResumesOnAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(
			reply{status: 200, events: true, body: "id: 1\n\n", silent: true},
			reply{status: 200, events: true, body: "id: 2\n\n"})
		start := time.Now()
		o := w.run(t, streamRequest(true, 10))
		if o.Result != exchange.Delivered || w.received.String() != "id: 1\n\nid: 2\n\n" {
			t.Errorf("got result %v and events %q, want all events delivered", o.Result, w.received.String())
		}
		if waited := time.Since(start); waited > 2*time.Second {
			t.Errorf("stream resumed after %v, want at most 2s: later the caller has disconnected", waited)
		}
	})
}

// TestStalledStreamThatDripsBytesResumes has an engine go on sending single bytes
// that never complete an event. The stream must resume elsewhere as if the
// engine were silent, and the engine must be ejected.
func TestStalledStreamThatDripsBytesResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(
			reply{status: 200, events: true, body: "id: 1\n\n", drip: true},
			reply{status: 200, events: true, body: "id: 2\n\n"},
			reply{status: 200, events: true, body: "id: 1\n\n"})
		start := time.Now()
		if o := w.run(t, streamRequest(true, 10)); o.Result != exchange.Delivered || w.received.String() != "id: 1\n\nid: 2\n\n" {
			t.Errorf("got result %v and events %q, want all events delivered", o.Result, w.received.String())
		}
		if waited := time.Since(start); waited > 2*time.Second {
			t.Errorf("stream resumed after %v, want at most 2s: later the caller has disconnected", waited)
		}
		w.run(t, streamRequest(true, 10))
		if len(w.sends) != 3 || w.sends[2].Engine.ID == w.sends[0].Engine.ID {
			t.Errorf("got %d sends, want 3, the last not to the stalled engine %s", len(w.sends), w.sends[0].Engine.ID)
		}
		time.Sleep(2 * dripInterval) // the engine notices that its stream was closed
	})
}

// TestSlowCallerIsNotAStalledEngine has a caller take longer to read each event
// than an engine may pause. The engine's stream must not be cut.
func TestSlowCallerIsNotAStalledEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{status: 200, events: true, parts: []string{"id: 1\n\n", "id: 2\n\n"}})
		w.writeTime = 1500 * time.Millisecond
		if o := w.run(t, streamRequest(true, 10)); o.Result != exchange.Delivered || len(w.sends) != 1 {
			t.Errorf("got result %v after %d sends, want one whole stream", o.Result, len(w.sends))
		}
	})
}

// TestSilentServerOfSafeCallsIsEjected has a server let the attempt of a safe
// call time out. The next call must go to another server.
func TestSilentServerOfSafeCallsIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{status: 200, silent: true}, reply{status: 200, body: "good"}, reply{status: 200, body: "good"})
		for range 2 {
			r := callRequest(route.Safe, 2)
			r.Route.Objective = 100 * time.Millisecond
			w.run(t, r)
		}
		if len(w.sends) != 3 || w.sends[2].Engine.ID == w.sends[0].Engine.ID {
			t.Errorf("got %d sends, the last to server %s; want 3, the last not to the silent server", len(w.sends), w.sends[len(w.sends)-1].Engine.ID)
		}
	})
}

// TestSafeCallMovesOnFromSilentServer has the first server of a safe call send
// nothing. The second server must answer well before the caller's deadline.
func TestSafeCallMovesOnFromSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{status: 200, silent: true}, reply{status: 200, body: "good"})
		r := callRequest(route.Safe, 2)
		r.Route.Objective = 100 * time.Millisecond
		start := time.Now()
		if o := w.run(t, r); o.Result != exchange.Delivered || w.received.String() != "good" {
			t.Errorf("got outcome %+v and body %q, want the second server's response", o, w.received.String())
		}
		if waited := time.Since(start); waited > 500*time.Millisecond {
			t.Errorf("response took %v, want at most 500ms", waited)
		}
	})
}

// TestSilentEngineIsEjected stalls one stream. The next request must go to
// another engine, although the silent one has the least load.
func TestSilentEngineIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(
			reply{status: 200, events: true, silent: true},
			reply{status: 200, events: true, body: "id: 1\n\n"},
			reply{status: 200, events: true, body: "id: 1\n\n"})
		w.run(t, streamRequest(true, 10))
		w.run(t, streamRequest(true, 10))
		if len(w.sends) != 3 || w.sends[2].Engine.ID == w.sends[0].Engine.ID {
			t.Errorf("got %d sends, the last to engine %s; want 3, the last not to the silent engine", len(w.sends), w.sends[len(w.sends)-1].Engine.ID)
		}
	})
}

func TestLongPromptUsesPrefillEngine(t *testing.T) {
	w := newFixture(reply{status: 200, events: true})
	w.run(t, streamRequest(true, placement.LocalPrefillLimit))
	if len(w.prefills) != 1 || w.sends[0].KVSource == nil || w.sends[0].KVSource.Handle != "handle-1" || len(w.released) != 0 {
		t.Errorf("got %d prefill calls, source %v, released %v; want one call whose handle is used", len(w.prefills), w.sends[0].KVSource, w.released)
	}
	w = newFixture(reply{status: 200, events: true})
	w.run(t, streamRequest(true, 10))
	if len(w.prefills) != 0 || w.sends[0].KVSource != nil {
		t.Errorf("short prompt: got %d prefill calls, want none", len(w.prefills))
	}
}

// TestRejectedDecodeReleasesHandle has the decode engine reject the request.
// The handle of its prompt must be released and not be used again.
func TestRejectedDecodeReleasesHandle(t *testing.T) {
	w := newFixture(reply{err: errRejected}, reply{status: 200, events: true})
	if o := w.run(t, streamRequest(false, 5000)); o.Result != exchange.Delivered {
		t.Fatalf("got outcome %+v, want delivered", o)
	}
	if len(w.released) != 1 || w.released[0] != "handle-1" || w.sends[1].KVSource.Handle != "handle-2" {
		t.Errorf("released %v, then used %v; want handle-1 released and handle-2 used", w.released, w.sends[1].KVSource)
	}
}

// TestHandleIsReusedIfEngineIsNotFound finds no server at the first decode
// engine's address. The prompt need not be prefilled again.
func TestHandleIsReusedIfEngineIsNotFound(t *testing.T) {
	w := newFixture(reply{err: exchange.ErrServerNotFound}, reply{status: 200, events: true})
	if o := w.run(t, streamRequest(false, 5000)); o.Result != exchange.Delivered {
		t.Fatalf("got outcome %+v, want delivered", o)
	}
	if len(w.prefills) != 1 || len(w.released) != 0 || w.sends[1].KVSource.Handle != "handle-1" {
		t.Errorf("got %d prefill calls, released %v; want one call, nothing released", len(w.prefills), w.released)
	}
}

func TestHandleIsReleasedAtTheEnd(t *testing.T) {
	w := newFixture(reply{err: exchange.ErrServerNotFound})
	w.slack = -1
	if o := w.run(t, streamRequest(false, 5000)); o.Result != exchange.Refused {
		t.Fatalf("got outcome %+v, want refused", o)
	}
	if len(w.released) != 1 {
		t.Errorf("released %v, want one handle", w.released)
	}
}

// TestUnsentAttemptsCostNoRetry finds no server at two addresses while the
// retry budget is empty. Nothing has arrived anywhere, so the next send costs
// no retry.
func TestUnsentAttemptsCostNoRetry(t *testing.T) {
	notFound := reply{err: fmt.Errorf("%w: %w", exchange.ErrServerNotFound, exchange.ErrNotSent)}
	for name, request := range map[string]*exchange.Request{"call": callRequest(route.Unsafe, 1), "stream": streamRequest(false, 100)} {
		w := newFixture(notFound, notFound, reply{status: 200, events: name == "stream"})
		w.slack = -1
		if o := w.run(t, request); o.Result != exchange.Delivered || len(w.sends) != 3 {
			t.Errorf("%s: got %v after %d sends: %v; want delivered after 3", name, o.Result, len(w.sends), o.Err)
		}
	}
}

// TestUnsentSendsAreBounded checks that an exchange ends if no send ever
// reaches a server.
func TestUnsentSendsAreBounded(t *testing.T) {
	notFound := reply{err: exchange.ErrNotSent}
	w := newFixture(notFound, notFound, notFound, notFound, notFound, notFound, notFound, notFound, notFound)
	if o := w.run(t, callRequest(route.Safe, 2)); o.Result != exchange.Refused || len(w.sends) > 7 {
		t.Errorf("got %v after %d sends, want refused after at most 7", o.Result, len(w.sends))
	}
}

func TestPrefillGoesToAnotherEngineAfterAFailure(t *testing.T) {
	w := newFixture(reply{status: 200, events: true})
	w.prefillErrs = []error{errRejected}
	o := w.run(t, streamRequest(false, 5000))
	if o.Result != exchange.Delivered || len(w.prefills) != 2 || w.prefills[0].Engine.ID == w.prefills[1].Engine.ID {
		t.Errorf("got %v after %d prefill calls, want delivered after 2 on different engines", o.Result, len(w.prefills))
	}
}

// TestRejectedPrefillsCountAsRetries has engines reject prefill calls. A service
// sees every arrival of a request but the first and the first accepted prefill
// call as a retry, so the budget must pay for as many.
func TestRejectedPrefillsCountAsRetries(t *testing.T) {
	whole := reply{status: 200, events: true, body: "id: 1\n\n"}
	for name, c := range map[string]struct {
		prefillErrs []error
		replies     []reply
		retries     int
	}{
		"first accepted":                   {nil, []reply{whole}, 0},
		"second accepted":                  {[]error{errRejected}, []reply{whole}, 1},
		"third accepted":                   {[]error{errRejected, errRejected}, []reply{whole}, 2},
		"none accepted":                    {[]error{errRejected, errRejected, errRejected}, []reply{whole}, 3},
		"accepted, decode rejected":        {nil, []reply{{err: errRejected}, whole}, 2},
		"second accepted, decode rejected": {[]error{errRejected}, []reply{{err: errRejected}, whole}, 3},
		"no server at the first's address": {[]error{exchange.ErrNotSent}, []reply{whole}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for slack, served := range map[int]bool{c.retries: true, c.retries - 1: false} {
				if slack < 0 {
					continue
				}
				w := newFixture(c.replies...)
				w.slack = float64(slack) - 0.2 + 0.01 // the request itself adds a share of 0.2
				w.prefillErrs = c.prefillErrs
				if o := w.run(t, streamRequest(true, 5000)); (o.Result == exchange.Delivered) != served {
					t.Errorf("with a budget of %d: got %v after %d prefill calls and %d sends, want served %t", slack, o.Result, len(w.prefills), len(w.sends), served)
				}
			}
		})
	}
}

// TestEmptyBudgetEndsTheExchange fails a prefill call while the retry budget is
// empty. The request must end at once instead of being tried until its
// deadline.
func TestEmptyBudgetEndsTheExchange(t *testing.T) {
	w := newFixture()
	w.slack = -1
	w.prefillErrs = []error{errReset}
	start := time.Now()
	o := w.run(t, streamRequest(true, 5000))
	if o.Result != exchange.Refused || len(w.prefills) != 1 || time.Since(start) > time.Second {
		t.Errorf("got %v after %d prefill calls and %v, want refused at once after 1", o.Result, len(w.prefills), time.Since(start))
	}
}

func TestPastDeadlineIsRefusedAsNotRun(t *testing.T) {
	w := newFixture()
	r := callRequest(route.Unsafe, 1)
	r.Deadline = time.Now().Add(-time.Second)
	if o := w.run(t, r); o.Result != exchange.Refused || len(w.sends) != 0 {
		t.Errorf("got %v after %d sends, want refused without a send", o.Result, len(w.sends))
	}
}

// TestPrefixIsFetchedAfterItsHolderFailed checks that the engine that prefills a
// prompt after the holder of its shared prefix has failed the call fetches the
// prefix from there, and that nothing is fetched from an earlier incarnation of
// an engine.
func TestPrefixIsFetchedAfterItsHolderFailed(t *testing.T) {
	prompt := placement.Prompt{Tokens: 12000, Parts: []placement.Part{{ID: "customer", Tokens: 9000}, {ID: "own", Tokens: 3000}}}
	for _, c := range []struct {
		name      string
		startedMs int64
		want      string
	}{{"same incarnation", 0, "p1"}, {"earlier incarnation", 7, ""}} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(reply{status: 200, events: true, body: "id: 1\ndata: x\n\n"})
			w.prefixes.AddRemote([]prefixdir.Holding{{Part: "customer", Engine: "p1", EngineStartedMs: c.startedMs}})
			w.prefillErrs = []error{errReset}
			w.run(t, &exchange.Request{ID: "r", Route: &route.Route{Kind: route.Streaming, MaxAttempts: 2}, Service: route.Service{Name: "llm"}, Prompt: &prompt})
			if len(w.prefills) != 2 {
				t.Fatalf("got %d prefill calls, want 2", len(w.prefills))
			}
			if w.prefills[0].FetchFrom != nil || c.want != "" && w.prefills[0].Engine.ID != c.want {
				t.Errorf("the first call went to %s and fetched from %v, want the holder if it is known, and no fetch", w.prefills[0].Engine.ID, w.prefills[0].FetchFrom)
			}
			from := ""
			if w.prefills[1].FetchFrom != nil {
				from = w.prefills[1].FetchFrom.ID
			}
			if from != c.want {
				t.Errorf("the second engine fetches from %q, want %q", from, c.want)
			}
		})
	}
}
