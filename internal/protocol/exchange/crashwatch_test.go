package exchange_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// watched is a server that breaks attempts off, and other one that is sound.
var (
	watched = fleet.Engine{ID: "a", StartedMs: 1000, Address: "10.0.0.1:80", Service: "llm", Phase: fleet.Decode}
	beside  = fleet.Engine{ID: "b", StartedMs: 1000, Address: "10.0.0.2:80", Service: "llm", Phase: fleet.Decode}
)

// changed returns a server with a change.
func changed(e fleet.Engine, change func(e *fleet.Engine)) fleet.Engine {
	change(&e)
	return e
}

// TestServerThatEndedIsKnownLater has a server break a request off and still accept connections. What follows tells whether it has ended.
func TestServerThatEndedIsKnownLater(t *testing.T) {
	restarted := changed(watched, func(e *fleet.Engine) { e.StartedMs = 2000 })
	another := changed(watched, func(e *fleet.Engine) { e.ID, e.StartedMs = "c", 2000 })
	ofOtherService := changed(beside, func(e *fleet.Engine) { e.Service = "plain" })
	leaving := changed(watched, func(e *fleet.Engine) { e.Leaving = true })
	type change struct {
		after time.Duration
		// list is the new list; refuses is set if the server refuses connections from then on.
		list    []fleet.Engine
		refuses bool
	}
	listed := func(after time.Duration, engines ...fleet.Engine) change {
		return change{after: after, list: engines}
	}
	for name, c := range map[string]struct {
		changes []change
		// checkTime is how long a connection attempt takes that isn't refused.
		checkTime time.Duration
		leaves    bool
		evidence  bool
	}{
		"its listener closes 50 ms later":                      {changes: []change{{after: 50 * time.Millisecond, refuses: true}}, evidence: true},
		"its listener closes 250 ms later":                     {changes: []change{{after: 250 * time.Millisecond, refuses: true}}, evidence: true},
		"a newer incarnation is listed":                        {changes: []change{listed(time.Second, restarted, beside)}, evidence: true},
		"a newer incarnation is listed, with the old one":      {changes: []change{listed(time.Second, watched, restarted, beside)}},
		"another server is listed at its address":              {changes: []change{listed(2*time.Second, another, beside)}, evidence: true},
		"it is no longer listed":                               {changes: []change{listed(3*time.Second, beside)}, evidence: true},
		"no server of its service is listed any more":          {changes: []change{listed(3*time.Second, ofOtherService)}, evidence: true},
		"its address drops packets, and it isn't listed":       {changes: []change{listed(3*time.Second, beside)}, checkTime: 100 * time.Millisecond, evidence: true},
		"its address drops packets, and it restarts":           {changes: []change{listed(3*time.Second, restarted, beside)}, checkTime: 100 * time.Millisecond, evidence: true},
		"its address drops packets, and it stays listed":       {checkTime: 100 * time.Millisecond},
		"nothing changes":                                      {},
		"its listener closes a second later":                   {changes: []change{{after: time.Second, refuses: true}}},
		"it was leaving":                                       {changes: []change{listed(time.Second, leaving, beside), listed(2*time.Second, beside)}},
		"it had announced that it leaves":                      {changes: []change{listed(2*time.Second, beside)}, leaves: true},
		"an older list is delivered between others":            {changes: []change{listed(time.Second, beside), listed(1500*time.Millisecond, watched, beside)}},
		"all servers are missing on the list":                  {changes: []change{listed(time.Second)}},
		"it restarts long after":                               {changes: []change{listed(6*time.Second, restarted, beside)}},
		"its listener closes 50 ms later, with a slow attempt": {changes: []change{{after: 50 * time.Millisecond, refuses: true}}, checkTime: 30 * time.Millisecond, evidence: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixtureOf([]fleet.Engine{watched}, reply{status: 200, events: true, cut: true})
				w.endedTime = c.checkTime
				r := promptRequest("system", "suspect")
				r.Route.MaxAttempts = 1
				w.run(t, r)
				w.setView(fleet.NewView([]fleet.Engine{watched, beside}))
				if c.leaves {
					w.notices.Post(watched, notice.Notice{Leaving: true})
				}
				began := time.Now()
				for _, change := range c.changes {
					time.Sleep(change.after - time.Since(began))
					synctest.Wait()
					if w.setEnded(w.hasEnded() || change.refuses); change.list != nil || !change.refuses {
						w.setView(fleet.NewView(change.list))
					}
				}
				time.Sleep(5*time.Second - time.Since(began))
				synctest.Wait()
				if got := w.crashesReported(); slices.Equal(got, []string{"system,suspect"}) != c.evidence || len(got) > 1 {
					t.Errorf("got evidence on %q, want it: %t", got, c.evidence)
				}
			})
		})
	}
}

// TestOtherServerAtTheAddressShowsTheCrash has the next request find another server at the address, or none.
func TestOtherServerAtTheAddressShowsTheCrash(t *testing.T) {
	for name, err := range map[string]error{"another server": exchange.ErrServerNotFound, "none": fmt.Errorf("%w: %w", exchange.ErrServerNotFound, exchange.ErrNotSent)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixtureOf([]fleet.Engine{watched}, reply{status: 200, events: true, cut: true}, reply{err: err}, reply{err: err}, reply{err: err})
				r := promptRequest("system", "suspect")
				r.Route.MaxAttempts = 1
				w.run(t, r)
				time.Sleep(2 * time.Second)
				w.run(t, promptRequest("system", "next"))
				report := w.quarantine.Report("replica", true)
				if len(report) != 1 || !slices.Equal(report[0].Parts, []string{"system", "suspect"}) || !report[0].Begun || report[0].Age < 2*time.Second {
					t.Errorf("got evidence %+v, want the first request, two seconds ago", report)
				}
			})
		})
	}
}

// TestRequestsInProgressAtACrashAreEvidence has callers leave, or a silent attempt be replaced, at a server that another request has shown to have ended: nothing else tells that these requests were there. Those that were sent later were not.
func TestRequestsInProgressAtACrashAreEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := reply{status: 200, events: true, silent: true}
		w := newFixtureOf([]fleet.Engine{watched}, silent, reply{err: errReset}, silent)
		var group sync.WaitGroup
		send := func(part string, patience time.Duration) {
			group.Go(func() {
				r := promptRequest("system", part)
				r.Route.MaxAttempts, r.Deadline = 1, time.Now().Add(time.Minute)
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				w.carrier.Run(ctx, r, w, w)
			})
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		send("in progress", time.Second)
		w.setEnded(true)
		send("broken off", time.Second)
		w.setEnded(false)
		send("later", time.Second)
		group.Wait()
		synctest.Wait()
		if got := w.crashesReported(); !slices.Equal(got, []string{"system,broken off", "system,in progress"}) {
			t.Errorf("got evidence on %q, want on the requests at the server", got)
		}
	})
}

// TestRequestIsNotSentOnOnceItsCrashesAreKnown has two servers break a request off that are shown to have ended before its third attempt.
func TestRequestIsNotSentOnOnceItsCrashesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		third := changed(beside, func(e *fleet.Engine) { e.ID, e.Address = "c", "10.0.0.3:80" })
		w := newFixtureOf([]fleet.Engine{watched, beside, third}, reply{err: errReset}, reply{err: errReset}, reply{status: 200, events: true, body: "id: 1\n\n"})
		w.onSend = func() {
			if len(w.sends) == 2 {
				var restarted []fleet.Engine
				for e := range w.view.All() {
					restarted = append(restarted, changed(e, func(e *fleet.Engine) { e.StartedMs++ }))
				}
				w.setView(fleet.NewView(restarted))
				time.Sleep(500 * time.Millisecond)
				w.setEnded(true)
			}
		}
		r := promptRequest("system", "suspect")
		r.Route.MaxAttempts = 3
		if o := w.run(t, r); o.Result == exchange.Delivered || len(w.sends) != 2 {
			t.Errorf("got %v after %d sends, want two", o, len(w.sends))
		}
	})
}

// TestNextAttemptWaitsForOneConnectionAttempt bounds what a server whose address drops packets costs the request.
func TestNextAttemptWaitsForOneConnectionAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixtureOf([]fleet.Engine{watched, beside}, reply{err: errReset}, reply{status: 200, events: true, body: "id: 1\n\n"})
		w.endedTime = 100 * time.Millisecond
		started := time.Now()
		if o := w.run(t, promptRequest("system")); o.Result != exchange.Delivered || time.Since(started) > w.endedTime {
			t.Errorf("got %v after %v, want delivered within %v", o, time.Since(started), w.endedTime)
		}
	})
}

// TestServersThatResetAreNoEvidence has half of the servers reset half of the requests for a minute.
func TestServersThatResetAreNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := reply{status: 200, events: true, body: "id: 1\n\n"}
		var replies []reply
		for i := range 2000 {
			replies = append(replies, []reply{good, {err: errReset}, good, {status: 200, events: true, cut: true}}[i%4])
		}
		w := newFixtureOf([]fleet.Engine{watched, beside}, replies...)
		for range 600 {
			w.run(t, promptRequest("system", "part"))
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		for _, e := range w.quarantine.Report("replica", true) {
			if e.Kind == quarantine.Crash {
				t.Fatalf("got evidence %+v, want none", e)
			}
		}
	})
}
