package exchange_test

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// promptRequest returns a resumable request with the given parts and one of its
// own.
func promptRequest(parts ...string) *exchange.Request {
	r := streamRequest(true, 10)
	for _, part := range append(parts, "own") {
		r.Prompt.Parts = append(r.Prompt.Parts, placement.Part{ID: part, Tokens: 1})
	}
	return r
}

// TestQuarantinedPartReachesNoEngine checks that a request with a part in
// quarantine is refused at once as not run, with the end of the quarantine, and
// that requests without it go on.
func TestQuarantinedPartReachesNoEngine(t *testing.T) {
	w := newFixture(reply{status: 200, events: true, body: "id: 1\n\n"})
	w.quarantine.SetPartLists("replica", quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: "deadly", Left: time.Minute}}})
	r := promptRequest("system", "deadly", "customer")
	r.Prompt.Tokens = 5000
	o := w.run(t, r)
	if o.Result != exchange.Refused || len(w.sends)+len(w.prefills) != 0 || o.RetryAfter < 50*time.Second {
		t.Errorf("got %v after %d sends and %d prefill calls, Retry-After %v; want refused at once until the end of the quarantine", o.Result, len(w.sends), len(w.prefills), o.RetryAfter)
	}
	if o := w.run(t, promptRequest("system", "customer")); o.Result != exchange.Delivered {
		t.Errorf("a request without the part: got %v, want delivered", o.Result)
	}
}

// TestQuarantineStopsRunningRequest puts a part in quarantine while its request
// is being prefilled. The request must go to no decode engine, and its handle be
// released.
func TestQuarantineStopsRunningRequest(t *testing.T) {
	w := newFixture()
	r := promptRequest("deadly")
	r.Prompt.Tokens = 5000
	w.onPrefill = func() {
		w.quarantine.SetPartLists("replica", quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: "deadly", Left: time.Minute}}})
	}
	if o := w.run(t, r); o.Result != exchange.Refused || len(w.sends) != 0 || len(w.released) != 1 {
		t.Errorf("got %v after %d sends, released %v; want refused and the handle released", o.Result, len(w.sends), w.released)
	}
}

// TestEngineThatEndsAsItAnswersIsNotReplaced has an engine end at several points
// of an answer. Only if that was between the headers and the first event is the
// prompt the likely cause, and the request must not end a second engine.
func TestEngineThatEndsAsItAnswersIsNotReplaced(t *testing.T) {
	whole := reply{status: 200, events: true, body: "id: 1\n\nid: 2\n\n"}
	for name, c := range map[string]struct {
		first reply
		ended bool
		sends int
	}{
		"before the headers":                {reply{err: errReset}, true, 2},
		"before the first event":            {reply{status: 200, events: true, cut: true}, true, 1},
		"inside the first event":            {reply{status: 200, events: true, body: "id: 1\nda", cut: true}, true, 1},
		"after the first event":             {reply{status: 200, events: true, body: "id: 1\n\n", cut: true}, true, 2},
		"not, the answer breaks off":        {reply{status: 200, events: true, cut: true}, false, 2},
		"not, the engine becomes silent":    {reply{status: 200, events: true, silent: true}, true, 2},
		"not, the engine refuses to answer": {reply{err: errRejected}, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(c.first, whole)
				w.ended = c.ended
				o := w.run(t, promptRequest("system"))
				if len(w.sends) != c.sends || (o.Result == exchange.Delivered) != (c.sends == 2) {
					t.Errorf("got %v after %d sends, want %d sends", o.Result, len(w.sends), c.sends)
				}
			})
		})
	}
}

// TestCrashEvidenceNamesWaitingPrompts checks what an entry reports of engines
// that ended: the shared parts of requests without an event, and nothing of
// others.
func TestCrashEvidenceNamesWaitingPrompts(t *testing.T) {
	w := newFixture(
		reply{status: 200, events: true, body: "id: 1\n\n"},
		reply{status: 200, events: true, cut: true},
		reply{status: 200, events: true, body: "id: 1\n\n", cut: true},
		reply{status: 200, events: true, body: "id: 2\n\n"})
	w.ended = true
	w.run(t, promptRequest("first"))
	w.run(t, promptRequest("system", "suspect"))
	w.run(t, promptRequest("system", "answered"))
	var got []string
	for _, e := range w.quarantine.Report("replica", true) {
		if e.Kind == quarantine.Crash && e.Begun {
			got = append(got, strings.Join(e.Parts, ","))
		}
	}
	if !slices.Equal(got, []string{"system,suspect"}) {
		t.Errorf("got evidence on %q, want on the request without an event", got)
	}
}

// TestPrefillCrashIsEvidence has an engine end while it prefills a prompt.
func TestPrefillCrashIsEvidence(t *testing.T) {
	w := newFixture(reply{status: 200, events: true, body: "id: 1\n\n"}, reply{status: 200, events: true, body: "id: 1\n\n"})
	w.ended = true
	w.run(t, promptRequest("first"))
	w.prefillErrs = []error{errReset}
	r := promptRequest("system", "suspect")
	r.Prompt.Tokens = 5000
	w.run(t, r)
	got := w.quarantine.Report("replica", true)
	if len(got) != 2 || got[0].Kind != quarantine.Crash || got[0].Begun || !slices.Equal(got[0].Parts, []string{"system", "suspect"}) ||
		got[1].Kind != quarantine.Answered || len(got[1].Parts) > 0 {
		t.Errorf("got evidence %+v, want one crash before the answer had begun, and an answer of the service", got)
	}
}

// repeatedCall returns a safe call with a fingerprint.
func repeatedCall(attempts int) (*exchange.Request, quarantine.Fingerprint) {
	f := quarantine.NewFingerprint("caller", []byte("deadly"))
	return &exchange.Request{
		ID: "r", Service: route.Service{Name: "plain"}, Deadline: time.Now().Add(time.Second),
		Route:       &route.Route{Kind: route.Safe, MaxAttempts: attempts},
		Fingerprint: func() quarantine.Fingerprint { return f },
	}, f
}

// TestCrashesUnderCallAreEvidence has servers without prompts end under a call: it ends two of them at most, and both are reported with its fingerprint.
func TestCrashesUnderCallAreEvidence(t *testing.T) {
	w := newFixture(reply{status: 200, body: "answer"}, reply{err: errReset}, reply{status: 200, body: "ans", cut: true}, reply{status: 200, body: "answer"})
	warm, _ := repeatedCall(1)
	w.run(t, warm)
	w.ended = true
	r, f := repeatedCall(3)
	if o := w.run(t, r); o.Result != exchange.Failed || len(w.sends) != 3 {
		t.Errorf("got %v after %d sends, want failed after two more", o.Result, len(w.sends)-1)
	}
	got := w.quarantine.Report("replica", true)
	if len(got) != 2 || got[0].Fingerprint != f || got[0].Engine == got[1].Engine || got[0].Kind != quarantine.Crash {
		t.Errorf("got evidence %+v, want the crashes of two servers", got)
	}
}

// TestRequestInQuarantineReachesNoServer checks that a call in quarantine is refused as not run, and that the same content of another caller is not.
func TestRequestInQuarantineReachesNoServer(t *testing.T) {
	w := newFixture(reply{status: 200, body: "answer"})
	r, f := repeatedCall(3)
	w.quarantine.SetPartLists("replica", quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: f.Keys()[0], Left: time.Minute}}})
	if o := w.run(t, r); o.Result != exchange.Refused || len(w.sends) != 0 || o.RetryAfter < 50*time.Second {
		t.Errorf("got %v after %d sends, Retry-After %v; want refused at once until the end of the quarantine", o.Result, len(w.sends), o.RetryAfter)
	}
	r.Fingerprint = func() quarantine.Fingerprint {
		return quarantine.NewFingerprint("another caller", []byte("deadly"))
	}
	if o := w.run(t, r); o.Result != exchange.Delivered {
		t.Errorf("got %v for another caller, want delivered", o.Result)
	}
}

// answersReported returns the answers in an entry's next report: their parts, or "-" for one without any.
func (w *fixture) answersReported() (out []string) {
	for _, e := range w.quarantine.Report("replica", false) {
		if e.Kind == quarantine.Answered {
			out = append(out, cmp.Or(strings.Join(e.Parts, ","), "-"))
		}
	}
	return out
}

// TestAnswersOfSuspectedRequestsAreReported checks that an entry reports an answer to a request that is suspected.
func TestAnswersOfSuspectedRequestsAreReported(t *testing.T) {
	w := newFixture(reply{status: 200, body: "answer"})
	r, f := repeatedCall(1)
	w.quarantine.SetPartLists("replica", quarantine.PartLists{Suspected: f.Keys()})
	w.run(t, r)
	if got := w.answersReported(); !slices.Equal(got, f.Keys()) {
		t.Errorf("got answers of %v, want %v", got, f.Keys())
	}
}

// TestOnlySuccessIsAnAnswer has servers fail suspected requests and parts in several ways, none of which shows that they can be answered.
func TestOnlySuccessIsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		reply   reply
		answers []string
	}{
		"error response":            {reply{status: 500, body: "error"}, nil},
		"refusal of the content":    {reply{status: 400, body: "error"}, nil},
		"error response, as events": {reply{status: 500, events: true, body: "id: 1\n\n"}, nil},
		"not run":                   {reply{err: errRejected}, nil},
		"answer cut":                {reply{status: 200, body: "ans", cut: true}, nil},
		"stream without events":     {reply{status: 200, events: true}, nil},
		"stream cut before events":  {reply{status: 200, events: true, body: "id: 1\nda", cut: true}, nil},
		"bytes that are no events":  {reply{status: 200, events: true, body: "HTTP/1.1 500 Internal Server Error\n\n"}, nil},
		"answer":                    {reply{status: 200, body: "answer"}, []string{"system", "suspect"}},
		"first event, then cut":     {reply{status: 200, events: true, body: "id: 1\n\n", cut: true}, []string{"system", "suspect"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(c.reply, c.reply, c.reply)
			w.quarantine.SetPartLists("replica", quarantine.PartLists{Suspected: []string{"system"}, Quarantined: []quarantine.Quarantined{{Part: "suspect"}}})
			r := promptRequest("system", "suspect")
			r.Route.MaxAttempts, r.Route.Resumable = 1, false
			w.run(t, r)
			if got := w.answersReported(); !slices.Equal(got, c.answers) {
				t.Errorf("got answers of %q, want %q", got, c.answers)
			}
		})
	}
}

// TestErrorResponseDoesNotProveThatTheServiceAnswers has a service answer with errors alone: they are no contrast to a crash.
func TestErrorResponseDoesNotProveThatTheServiceAnswers(t *testing.T) {
	w := newFixture(reply{status: 500, body: "error"})
	w.quarantine.SetPartLists("replica", quarantine.PartLists{Suspected: []string{"suspect"}})
	w.run(t, callRequest(route.Safe, 1))
	if got := w.answersReported(); len(got) > 0 {
		t.Errorf("got answers %q, want none", got)
	}
}

// TestServerThatRefusesIsNoEvidence has a prefill engine refuse a prompt before it ends: the prompt was not there.
func TestServerThatRefusesIsNoEvidence(t *testing.T) {
	w := newFixture(reply{status: 200, events: true, body: "id: 1\n\n"}, reply{status: 200, events: true, body: "id: 1\n\n"})
	w.run(t, promptRequest("first"))
	w.ended = true
	w.prefillErrs = []error{errRejected}
	r := promptRequest("system", "suspect")
	r.Prompt.Tokens = 5000
	w.run(t, r)
	if got := w.quarantine.Report("replica", true); len(got) != 0 {
		t.Errorf("got evidence %+v, want none", got)
	}
}

// crashesReported returns the parts of the requests in an entry's next report at servers that ended, in order.
func (w *fixture) crashesReported() (out []string) {
	for _, e := range w.quarantine.Report("replica", false) {
		if e.Kind == quarantine.Crash {
			out = append(out, strings.Join(e.Parts, ","))
		}
	}
	return out
}

// TestCrashIsEvidenceThoughTheRequestEnds has the caller leave, or the deadline pass, as the server breaks the attempt off or while that is looked into.
func TestCrashIsEvidenceThoughTheRequestEnds(t *testing.T) {
	const checkTime = 80 * time.Millisecond
	for name, c := range map[string]struct {
		reply reply
		// prefillErr is set if the server ends while it prefills.
		prefillErr error
		// leaves is when the caller leaves after the attempt began, and deadline that of the request.
		leaves, deadline time.Duration
	}{
		"caller leaves, no headers":                  {reply: reply{err: errReset}, leaves: time.Second, deadline: 5 * time.Second},
		"caller leaves, no event":                    {reply: reply{status: 200, events: true, cut: true}, leaves: time.Second, deadline: 5 * time.Second},
		"caller leaves, plain answer cut":            {reply: reply{status: 200, body: "ans", cut: true}, leaves: time.Second, deadline: 5 * time.Second},
		"caller leaves, prefill":                     {prefillErr: errReset, leaves: time.Second, deadline: 5 * time.Second},
		"deadline passes":                            {reply: reply{err: errReset}, leaves: time.Minute, deadline: time.Second},
		"deadline passes while the server is sought": {reply: reply{err: errReset}, leaves: time.Minute, deadline: time.Second + checkTime/2},
		"caller leaves while the server is sought":   {reply: reply{err: errReset}, leaves: time.Second + checkTime/2, deadline: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(c.reply)
				w.ended, w.endedTime = true, checkTime
				r := promptRequest("system", "suspect")
				r.Deadline = time.Now().Add(c.deadline)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(c.leaves, cancel)
				w.onSend = func() { time.Sleep(time.Second) }
				if c.prefillErr != nil {
					r.Prompt.Tokens, w.prefillErrs, w.onPrefill = 5000, []error{c.prefillErr}, w.onSend
				}
				started := time.Now()
				w.carrier.Run(ctx, r, w, w)
				if took, most := time.Since(started), min(c.leaves, c.deadline); took > most {
					t.Errorf("the request took %v, want at most %v", took, most)
				}
				time.Sleep(checkTime)
				synctest.Wait()
				if got := w.crashesReported(); !slices.Equal(got, []string{"system,suspect"}) {
					t.Errorf("got evidence on %q, want on the request", got)
				}
			})
		})
	}
}

// TestAttemptThatEndsWellBeforeItsServerIsNoEvidence has the request end an attempt whose server then ends for another reason.
func TestAttemptThatEndsWellBeforeItsServerIsNoEvidence(t *testing.T) {
	for name, c := range map[string]reply{
		"no headers": {status: 200, pause: time.Minute},
		"no event":   {status: 200, events: true, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(c)
				r := promptRequest("system", "suspect")
				r.Route.MaxAttempts = 1
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				w.carrier.Run(ctx, r, w, w)
				time.Sleep(150 * time.Millisecond)
				w.setEnded(true)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if got := w.crashesReported(); len(got) > 0 {
					t.Errorf("got evidence on %q, want none", got)
				}
			})
		})
	}
}

// TestLastAttemptDoesNotWaitForItsCheck checks that a request that may not be sent again fails at once, and that the crash is evidence all the same.
func TestLastAttemptDoesNotWaitForItsCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{err: errReset})
		w.ended, w.endedTime = true, 80*time.Millisecond
		r := promptRequest("system", "suspect")
		r.Route.MaxAttempts = 1
		started := time.Now()
		w.run(t, r)
		if took := time.Since(started); took > 0 {
			t.Errorf("the request took %v, want no time", took)
		}
		time.Sleep(w.endedTime)
		synctest.Wait()
		if got := w.crashesReported(); !slices.Equal(got, []string{"system,suspect"}) {
			t.Errorf("got evidence on %q, want on the request", got)
		}
	})
}

// TestNoSendFollowsTheQuarantine imposes a quarantine while a request waits for a further send of any kind. None may begin at a server then.
func TestNoSendFollowsTheQuarantine(t *testing.T) {
	prompt := func(tokens int) *exchange.Request {
		r := promptRequest("deadly")
		r.Prompt.Tokens, r.Route.Objective, r.Route.MaxAttempts = tokens, 2*time.Second, 3
		return r
	}
	call := func(objective time.Duration) *exchange.Request {
		r, _ := repeatedCall(3)
		r.Route.Objective = objective
		return r
	}
	limit := func(_ *testing.T, w *fixture) {
		w.notices.Limits.SetView(w.view)
		w.notices.Limits.SetPosition(ratelimit.Position{Count: 1})
		for e := range w.view.All() {
			w.notices.Limits.Announce(e, ratelimit.Limit{Limited: true, PerSecond: 2}, 0)
			for ok := true; ok; {
				_, ok = w.notices.Limits.Reserve(e, 0)
			}
		}
	}
	event := reply{status: 200, events: true, body: "id: 1\n\n"}
	cut := event
	cut.cut = true
	for name, c := range map[string]struct {
		request *exchange.Request
		replies []reply
		// after is when the quarantine begins; at is the call during which it does, without it.
		after   time.Duration
		at      string
		prepare func(t *testing.T, w *fixture)
		// begun is the number of sends and prefill calls before it.
		begun int
	}{
		"call behind a rate limit":                 {request: call(2 * time.Second), after: 50 * time.Millisecond, prepare: limit},
		"decode behind a rate limit":               {request: prompt(10), after: 50 * time.Millisecond, prepare: limit},
		"call of which the server fails":           {request: call(2 * time.Second), replies: []reply{{err: errReset}}, at: "send", begun: 1},
		"call in place of a silent one":            {request: call(100 * time.Millisecond), replies: []reply{{status: 200, pause: time.Hour}}, after: 50 * time.Millisecond, begun: 1},
		"stream that broke before its first event": {request: prompt(10), replies: []reply{{err: errReset}}, at: "send", begun: 1},
		"rest of a stream":                         {request: prompt(10), replies: []reply{cut}, at: "send", begun: 1},
		"stream in place of a silent one":          {request: prompt(10), replies: []reply{{status: 200, events: true, silent: true}}, after: 500 * time.Millisecond, begun: 1},
		"decode of a prefilled prompt":             {request: prompt(5000), at: "prefill", begun: 1},
		"prefill after another one failed":         {request: prompt(5000), at: "prefill", prepare: func(_ *testing.T, w *fixture) { w.prefillErrs = []error{errReset} }, begun: 1},
		"prefill in place of a silent one":         {request: prompt(5000), after: 500 * time.Millisecond, prepare: func(_ *testing.T, w *fixture) { w.prefillTime = time.Hour }, begun: 1},
		"prefill of a rest":                        {request: prompt(5000), replies: []reply{cut}, at: "send", begun: 2},
		"prefill in the queue": {request: prompt(5000), after: 50 * time.Millisecond, prepare: func(t *testing.T, w *fixture) {
			w.prefillTime = time.Hour
			long := promptRequest("system")
			long.Prompt.Tokens, long.Deadline = 1_000_000, time.Now().Add(100*time.Millisecond)
			go w.run(t, long)
			synctest.Wait()
		}, begun: 1},
		"rest of a stream whose servers were down": {request: func() *exchange.Request {
			r := prompt(10)
			r.Prompt, r.Service.Name, r.Resumes, r.LastEventID = nil, "plain", "r0", "1"
			r.Fingerprint = call(0).Fingerprint
			return r
		}(), replies: []reply{event}, at: "reach", prepare: func(t *testing.T, w *fixture) {
			w.origins.began["r0"] = ""
			down := make(map[string]fleet.Load)
			for e := range w.view.All() {
				down[e.ID] = fleet.Load{MissingEntries: 1}
			}
			w.tracker.SetOthers(fleet.Work{Engines: down})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(append(c.replies, event, event, event)...)
				_, f := repeatedCall(1)
				blocked := []quarantine.Quarantined{{Part: "deadly", Left: time.Minute}, {Part: f.Keys()[0], Left: time.Minute}}
				var mu sync.Mutex // guards begun and late: servers are also reached beside the request
				begun, late := 0, 0
				during := func(call string) func() {
					return func() {
						mu.Lock()
						defer mu.Unlock()
						if begun++; call == "reach" {
							begun--
						} else if w.quarantine.Active() {
							late++
						}
						if c.at == call {
							w.quarantine.SetPartLists("replica", quarantine.PartLists{Quarantined: blocked})
						}
					}
				}
				w.onSend, w.onPrefill, w.onReach = during("send"), during("prefill"), during("reach")
				if c.prepare != nil {
					c.prepare(t, w)
				}
				if c.at == "" {
					time.AfterFunc(c.after, func() { w.quarantine.SetPartLists("replica", quarantine.PartLists{Quarantined: blocked}) })
				}
				r := c.request
				r.Deadline = time.Now().Add(5 * time.Second)
				o := w.run(t, r)
				mu.Lock()
				defer mu.Unlock()
				if begun != c.begun || late > 0 || !w.quarantine.Active() {
					t.Errorf("got %v after %d sends, %d of these in quarantine; want %d before and none after", o, begun, late, c.begun)
				}
			})
		})
	}
}

// TestRequestEndsTwoServersAtMost has servers end under each prefill call, and under the send that follows.
func TestRequestEndsTwoServersAtMost(t *testing.T) {
	for name, prefillErrs := range map[string][]error{
		"prefill engines":                    {errReset, errReset, errReset, errReset, errReset},
		"a prefill engine and then others":   {errReset},
		"two prefill engines, one refuses":   {errReset, errRejected, errReset},
		"a prefill engine after one refuses": {errRejected, errReset, errRejected},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				broken := reply{err: errReset}
				w := newFixture(broken, broken, broken, broken)
				w.ended, w.prefillErrs = true, prefillErrs
				r := promptRequest("system")
				r.Prompt.Tokens, r.Route.MaxAttempts = 5000, 4
				o := w.run(t, r)
				synctest.Wait()
				if got := len(w.crashesReported()); got != 2 || o.Result == exchange.Delivered {
					t.Errorf("got %v, %d servers ended in %d prefill calls and %d sends, want two", o, got, len(w.prefills), len(w.sends))
				}
			})
		})
	}
}
