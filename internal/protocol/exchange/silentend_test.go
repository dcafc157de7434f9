package exchange_test

import (
	"context"
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

// serverChange is what becomes of a server, at a time after an attempt there began.
type serverChange struct {
	after time.Duration
	// refuses and drops are how it handles connection attempts from then on, list the
	// servers that are listed, or nil if that doesn't change.
	refuses, drops bool
	list           []fleet.Engine
}

// play makes changes as their times come and then waits until the time end.
func (w *fixture) play(changes []serverChange, end time.Duration) {
	began := time.Now()
	for _, c := range changes {
		time.Sleep(c.after - time.Since(began))
		w.setEnded(c.refuses)
		w.setDrops(c.drops)
		if c.list != nil {
			w.setView(fleet.NewView(c.list))
		}
	}
	time.Sleep(end - time.Since(began))
	synctest.Wait()
}

// runBeside runs a request of a caller who leaves after a time. The function that it returns ends it, and all that goes on of it.
func (w *fixture) runBeside(t *testing.T, r *exchange.Request, patience time.Duration) (end func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	var running sync.WaitGroup
	running.Go(func() { w.carrier.Run(ctx, r, w, w) })
	synctest.Wait()
	return func() {
		cancel()
		running.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

// TestServerThatLosesItsPowerIsEvidence has a server fall silent under an attempt and close no connection. What follows tells whether it has ended.
func TestServerThatLosesItsPowerIsEvidence(t *testing.T) {
	const patient = time.Minute
	restarted := changed(watched, func(e *fleet.Engine) { e.StartedMs = 2000 })
	another := changed(watched, func(e *fleet.Engine) { e.ID, e.StartedMs = "c", 2000 })
	leaving := changed(watched, func(e *fleet.Engine) { e.Leaving = true })
	noHeaders, noEvent := reply{status: 200, pause: patient}, reply{status: 200, events: true, silent: true}
	goesOn := reply{status: 200, events: true, parts: []string{"id: 1\n\n"}, pause: time.Second}
	down := func(after time.Duration, list ...fleet.Engine) serverChange {
		return serverChange{after: after, drops: true, list: list}
	}
	up := func(after time.Duration, list ...fleet.Engine) serverChange {
		return serverChange{after: after, list: list}
	}
	for name, c := range map[string]struct {
		reply reply
		// patience is how long the caller waits, and deadline that of the request.
		patience, deadline time.Duration
		changes            []serverChange
		evidence           bool
	}{
		"it leaves the list, no headers":            {reply: noHeaders, changes: []serverChange{down(0), down(300*time.Millisecond, beside)}, evidence: true},
		"it leaves the list, no event":              {reply: noEvent, changes: []serverChange{down(0), down(300*time.Millisecond, beside)}, evidence: true},
		"it restarts":                               {reply: noEvent, changes: []serverChange{down(0), up(1500*time.Millisecond, restarted, beside)}, evidence: true},
		"another server has its address":            {reply: noEvent, changes: []serverChange{down(0), up(1500*time.Millisecond, another, beside)}, evidence: true},
		"the caller has left":                       {reply: noEvent, patience: 400 * time.Millisecond, changes: []serverChange{down(0), down(500*time.Millisecond, beside)}, evidence: true},
		"the caller leaves at once":                 {reply: noEvent, patience: 20 * time.Millisecond, changes: []serverChange{down(0), down(500*time.Millisecond, beside)}, evidence: true},
		"the deadline has passed":                   {reply: noHeaders, deadline: 450 * time.Millisecond, changes: []serverChange{down(0), down(500*time.Millisecond, beside)}, evidence: true},
		"it stays on the list":                      {reply: noEvent, changes: []serverChange{down(0)}},
		"it accepts connections":                    {reply: noEvent, changes: []serverChange{up(300*time.Millisecond, beside)}},
		"it goes on after a second":                 {reply: goesOn, changes: []serverChange{down(0), up(900 * time.Millisecond), up(1200*time.Millisecond, beside)}},
		"it goes on after a second, the caller not": {reply: noEvent, patience: 500 * time.Millisecond, changes: []serverChange{down(0), up(900 * time.Millisecond)}},
		"it was leaving":                            {reply: noEvent, changes: []serverChange{down(0, leaving, beside), down(800*time.Millisecond, beside)}},
		"all servers leave the list":                {reply: noEvent, changes: []serverChange{down(0), down(300*time.Millisecond, []fleet.Engine{}...)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixtureOf([]fleet.Engine{watched}, c.reply)
				w.endedTime = 100 * time.Millisecond
				if c.patience == 0 {
					c.patience = patient
				}
				if c.deadline == 0 {
					c.deadline = patient
				}
				r := promptRequest("system", "suspect")
				r.Route.MaxAttempts, r.Deadline = 1, time.Now().Add(c.deadline)
				defer w.runBeside(t, r, c.patience)()
				w.setView(fleet.NewView([]fleet.Engine{watched, beside}))
				w.play(c.changes, 3*time.Second)
				if got := w.crashesReported(); slices.Equal(got, []string{"system,suspect"}) != c.evidence || len(got) > 1 {
					t.Errorf("got evidence on %q, want it: %t", got, c.evidence)
				}
			})
		})
	}
}

// TestAttemptsThatNeverReachedAServerAreNoEvidence has attempts still connect to a server without power, or be refused by it, as others wait there.
func TestAttemptsThatNeverReachedAServerAreNoEvidence(t *testing.T) {
	for name, err := range map[string]error{"not connected": exchange.ErrNotSent, "refused": errRejected} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixtureOf([]fleet.Engine{watched}, reply{err: err})
				w.endedTime = 100 * time.Millisecond
				w.onSend = func() { time.Sleep(600 * time.Millisecond) }
				r := promptRequest("system", "sound")
				r.Route.MaxAttempts, r.Deadline = 1, time.Now().Add(time.Minute)
				defer w.runBeside(t, r, 900*time.Millisecond)()
				w.play([]serverChange{{drops: true}, {after: time.Second, drops: true, list: []fleet.Engine{beside}}}, 4*time.Second)
				if got := w.crashesReported(); len(got) > 0 {
					t.Errorf("got evidence on %q, want none", got)
				}
			})
		})
	}
}

// TestServerThatWentOnIsNoEvidenceLater has a server be silent for a second under two callers, of whom one leaves, and go on. It is off the list then, or restarts later.
func TestServerThatWentOnIsNoEvidenceLater(t *testing.T) {
	restarted := changed(watched, func(e *fleet.Engine) { e.StartedMs = 2000 })
	for name, changes := range map[string][]serverChange{
		"off the list while silent": {{drops: true}, {after: 500 * time.Millisecond, drops: true, list: []fleet.Engine{beside}}, {after: 900 * time.Millisecond}},
		"off the list later":        {{drops: true}, {after: 900 * time.Millisecond}, {after: 2500 * time.Millisecond, drops: true, list: []fleet.Engine{beside}}},
		"restarted later":           {{drops: true}, {after: 900 * time.Millisecond}, {after: 2500 * time.Millisecond, list: []fleet.Engine{restarted, beside}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixtureOf([]fleet.Engine{watched}, reply{status: 200, events: true, silent: true}, reply{status: 200, events: true, parts: []string{"id: 1\n\n"}, pause: time.Second})
				w.endedTime = 100 * time.Millisecond
				for _, patience := range []time.Duration{500 * time.Millisecond, time.Minute} {
					r := promptRequest("system", "sound")
					r.Route.MaxAttempts, r.Deadline = 1, time.Now().Add(time.Minute)
					defer w.runBeside(t, r, patience)()
				}
				w.setView(fleet.NewView([]fleet.Engine{watched, beside}))
				w.play(changes, 6*time.Second)
				if got := w.crashesReported(); len(got) > 0 {
					t.Errorf("got evidence on %q, want none", got)
				}
			})
		})
	}
}

// TestCallerLeavesJustBeforeTheServerEnds has the caller leave, or the deadline pass, at a server that ends then, or for another reason later.
func TestCallerLeavesJustBeforeTheServerEnds(t *testing.T) {
	const stays = time.Second
	gone := func(after time.Duration) []serverChange {
		return []serverChange{{after: stays + after, refuses: true}}
	}
	for name, c := range map[string]struct {
		changes []serverChange
		// deadline is set if the request's deadline passes instead.
		deadline, leaving bool
		evidence          bool
	}{
		"1 ms":                              {changes: gone(time.Millisecond), evidence: true},
		"20 ms":                             {changes: gone(20 * time.Millisecond), evidence: true},
		"1 ms, deadline":                    {changes: gone(time.Millisecond), deadline: true, evidence: true},
		"1 ms, and its packets are dropped": {changes: []serverChange{{after: stays + time.Millisecond, drops: true}, {after: stays + 500*time.Millisecond, drops: true, list: []fleet.Engine{beside}}}, evidence: true},
		"1 ms, but it was leaving":          {changes: gone(time.Millisecond), leaving: true},
		"150 ms":                            {changes: gone(150 * time.Millisecond)},
		"a second":                          {changes: gone(time.Second)},
		"a second, and it leaves the list":  {changes: []serverChange{{after: stays + time.Second, drops: true, list: []fleet.Engine{beside}}}},
		"never":                             {},
	} {
		for kind, r := range map[string]reply{"no headers": {status: 200, pause: time.Minute}, "no event": {status: 200, events: true, silent: true}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixtureOf([]fleet.Engine{watched}, r)
					request := promptRequest("system", "suspect")
					request.Route.MaxAttempts, request.Deadline = 1, time.Now().Add(time.Minute)
					patience := stays
					if c.deadline {
						request.Deadline, patience = time.Now().Add(stays), time.Minute
					}
					defer w.runBeside(t, request, patience)()
					if c.leaving {
						w.notices.Post(watched, notice.Notice{Leaving: true})
					}
					w.setView(fleet.NewView([]fleet.Engine{watched, beside}))
					w.play(c.changes, 4*time.Second)
					if got := w.crashesReported(); slices.Equal(got, []string{"system,suspect"}) != c.evidence || len(got) > 1 {
						t.Errorf("got evidence on %q, want it: %t", got, c.evidence)
					}
				})
			})
		}
	}
}

// TestCallersWhoLeaveCauseFewConnections has many callers leave a server that stays: it gets a bounded number of connections, and none of them is evidence.
func TestCallersWhoLeaveCauseFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, apart, perSecond = 1000, time.Millisecond, 25
		var replies []reply
		for range callers {
			replies = append(replies, reply{status: 200, events: true, silent: true})
		}
		w := newFixtureOf([]fleet.Engine{watched}, replies...)
		var mu sync.Mutex
		tries := 0
		w.onReach = func() {
			mu.Lock()
			defer mu.Unlock()
			tries++
		}
		for range callers {
			r := promptRequest("system", "sound")
			r.Route.MaxAttempts, r.Deadline = 1, time.Now().Add(time.Minute)
			ctx, cancel := context.WithTimeout(t.Context(), apart)
			w.carrier.Run(ctx, r, w, w)
			cancel()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		if most := perSecond * 2; tries == 0 || tries > most {
			t.Errorf("%d connection attempts in 2 s, want some and at most %d", tries, most)
		}
		if got := w.quarantine.Report("replica", true); slices.ContainsFunc(got, func(e quarantine.Evidence) bool { return e.Kind == quarantine.Crash }) {
			t.Errorf("got evidence %+v, want none", got)
		}
	})
}
