package exchange_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/quarantine"
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
	if len(got) != 1 || got[0].Kind != quarantine.Crash || got[0].Begun || !slices.Equal(got[0].Parts, []string{"system", "suspect"}) {
		t.Errorf("got evidence %+v, want one crash before the answer had begun", got)
	}
}
