package exchange_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/isolation"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// cutMode is what a partition does to connections.
type cutMode int

const (
	notCut cutMode = iota
	// cutReset resets connections and refuses new ones, cutHang drops all packets, and
	// cutNew refuses new connections while those in use live on.
	cutReset
	cutHang
	cutNew
)

var cutModes = map[string]cutMode{"reset": cutReset, "hang": cutHang, "live on": cutNew}

const (
	cutRoundTrip   = time.Millisecond
	cutDialTimeout = 300 * time.Millisecond
	cutAnswerTime  = 50 * time.Millisecond
)

// cutEntry is an entry that can be partitioned from its servers. It implements
// exchange.Sender.
type cutEntry struct {
	*exchange.Forwarder
	detector   *isolation.Detector
	outlier    *outlier.Set
	quarantine *quarantine.Guard

	mu   sync.Mutex // guards the fields below
	view *fleet.View
	mode cutMode
	// changed is closed at the next change of mode.
	changed chan struct{}
	// ended holds the servers that have ended, by ID.
	ended map[string]bool
	// sends counts the attempts, and waiting those that wait for an answer.
	sends, waiting map[string]int
}

// newCutEntry returns an entry with six engines that decode, three that prefill and three servers of another service. Its detector runs until the test ends.
func newCutEntry(t *testing.T) *cutEntry {
	var servers []fleet.Engine
	for i := range 12 {
		e := fleet.Engine{ID: fmt.Sprint("e", i), Service: "llm", Phase: fleet.Decode}
		switch {
		case i >= 9:
			e.Service, e.Phase, e.Slots = "plain", fleet.NoPhase, 6
		case i >= 6:
			e.Phase = fleet.Prefill
		}
		servers = append(servers, e)
	}
	c := clock.NewRuntime()
	e := &cutEntry{
		view: fleet.NewView(servers), outlier: outlier.NewSet(c), quarantine: quarantine.NewGuard(c), changed: make(chan struct{}),
		ended: make(map[string]bool), sends: make(map[string]int), waiting: make(map[string]int),
	}
	e.detector = isolation.New(isolation.Options{
		Clock: c, View: e.listed, Reach: e.Reach, Outlier: e.outlier, Log: hclog.NewNullLogger(),
	})
	budget := retry.NewAccount(c, retry.Bound{Share: 0.2, Slack: 1000, Window: 10 * time.Second})
	e.Forwarder = exchange.New(exchange.Options{
		View: e.listed, Tracker: fleet.NewTracker(), Outlier: e.outlier, Quarantine: e.quarantine, Isolation: e.detector,
		Budget: func(string) *retry.Account { return budget }, Random: rand.IntN, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.detector.Run(ctx) }()
	t.Cleanup(func() {
		e.End()
		cancel()
		<-done
	})
	return e
}

// listed returns the list of servers.
func (e *cutEntry) listed() *fleet.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// list replaces the list of servers. Those that it has are running.
func (e *cutEntry) list(servers []fleet.Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = fleet.NewView(servers)
	for _, s := range servers {
		delete(e.ended, s.ID)
	}
}

func (e *cutEntry) set(mode cutMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = mode
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *cutEntry) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[id] = true
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *cutEntry) state(s fleet.Engine) (mode cutMode, ended bool, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.ended[s.ID], e.changed
}

// connect opens a connection.
func (e *cutEntry) connect(ctx context.Context, s fleet.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, cutDialTimeout)
	defer cancel()
	mode, ended, _ := e.state(s)
	switch {
	case mode == cutHang:
		<-ctx.Done()
		return exchange.ErrNotSent
	case !clock.Sleep(ctx, cutRoundTrip):
		return exchange.ErrNotSent
	case mode != notCut || ended:
		return errDown
	}
	return nil
}

func (e *cutEntry) count(s fleet.Engine, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[s.ID] += n
}

// answer waits for an answer on an open connection.
func (e *cutEntry) answer(ctx context.Context, s fleet.Engine, after time.Duration) error {
	e.count(s, 1)
	defer e.count(s, -1)
	timer := time.NewTimer(after)
	defer timer.Stop()
	answered := false
	for {
		mode, ended, changed := e.state(s)
		switch {
		case ended, mode == cutReset:
			return errReset
		case answered && mode != cutHang:
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			answered = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *cutEntry) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	e.mu.Lock()
	e.sends[a.Engine.ID]++
	e.mu.Unlock()
	if err := e.connect(ctx, a.Engine); err != nil {
		return nil, err
	}
	if err := e.answer(ctx, a.Engine, cutAnswerTime); err != nil {
		return nil, err
	}
	return &exchange.Response{Success: true, EventStream: a.Engine.Service == "llm", Status: 200, Body: &readCloser{strings.NewReader("id: 1\n\n"), nopCloser{}}}, nil
}

func (e *cutEntry) Prefill(ctx context.Context, a exchange.Attempt) (string, error) {
	if err := e.connect(ctx, a.Engine); err != nil {
		return "", err
	}
	return "handle", e.answer(ctx, a.Engine, 4*cutAnswerTime)
}

func (e *cutEntry) Ended(ctx context.Context, s fleet.Engine) bool {
	mode, ended, _ := e.state(s)
	if mode == cutHang {
		clock.Sleep(ctx, 100*time.Millisecond)
		return false
	}
	return clock.Sleep(ctx, cutRoundTrip) && (ended || mode != notCut)
}

func (e *cutEntry) Reach(ctx context.Context, s fleet.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	return e.connect(ctx, s)
}

func (e *cutEntry) Release(exchange.KVSource) {}

// cutOutcome is the outcome of a request that was sent at a time after the start.
type cutOutcome struct {
	exchange.Outcome
	sentAt, took time.Duration
}

// play sends requests of three kinds, one each 10 ms, for a time and returns their outcomes.
func (e *cutEntry) play(ctx context.Context, lasts time.Duration) (out []cutOutcome) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < lasts; i++ {
		r := callRequest(route.Safe, 3)
		if i%3 > 0 {
			r = promptRequest("system")
			r.Prompt.Tokens = 10 + 5000*(i%3-1)
		}
		r.Deadline, r.Route.Objective = time.Now().Add(4*time.Second), 800*time.Millisecond
		requests.Go(func() {
			sent := time.Now()
			o := e.Run(ctx, r, e, discardSink{})
			mu.Lock()
			defer mu.Unlock()
			out = append(out, cutOutcome{o, sent.Sub(started), time.Since(sent)})
		})
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
	return out
}

// TestCutEntryHoldsNoRequests guards against requests that wait for connections to servers of which none is reached.
func TestCutEntryHoldsNoRequests(t *testing.T) {
	const cutAt, detectedAt = time.Second, 2 * time.Second
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCutEntry(t)
				time.AfterFunc(cutAt, func() { e.set(mode) })
				held, waited, longest := 0, 0, time.Duration(0)
				for _, o := range e.play(t.Context(), 4*time.Second) {
					switch refused := o.Result == exchange.Refused; {
					case o.sentAt < cutAt-10*cutAnswerTime && o.Result != exchange.Delivered:
						t.Fatalf("sent at %v, before the cut: got %v, want delivered", o.sentAt, o.Result)
					case o.sentAt >= detectedAt && (!refused || o.took > 0):
						held++
						longest = max(longest, o.took)
					case refused && o.sentAt+o.took > detectedAt && o.sentAt < detectedAt:
						waited++
					}
				}
				if held+waited > 0 {
					t.Errorf("%d of 200 requests were held for up to %v or not refused; %d that no server had run waited beyond %v after the cut; want none", held, longest, waited, detectedAt-cutAt)
				}
			})
		})
	}
}

// TestEndedServersAreNoCut guards against requests refused although other servers, or those of another service, are reached.
func TestEndedServersAreNoCut(t *testing.T) {
	for name, ended := range map[string][]string{"one engine": {"e0"}, "a small service": {"e9", "e10", "e11"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCutEntry(t)
				time.AfterFunc(time.Second, func() {
					for _, id := range ended {
						e.end(id)
					}
				})
				began := false
				context.AfterFunc(e.detector.Reachable(), func() { began = true })
				delivered := 0
				for _, o := range e.play(t.Context(), 3*time.Second) {
					if o.Result == exchange.Delivered {
						delivered++
					}
				}
				if most := 100 * len(ended) / 3; began || delivered < 300-most-5 {
					t.Errorf("isolated %t, %d of 300 requests delivered; want those of the servers that are left", began, delivered)
				}
			})
		})
	}
}

// crashes returns the number of crashes that the entry has evidence of since the last call.
func (e *cutEntry) crashes() (n int) {
	for _, evidence := range e.quarantine.Report("replica", false) {
		if evidence.Kind == quarantine.Crash {
			n++
		}
	}
	return n
}

// TestCutIsNoCrash guards against requests blamed for the end of servers that the entry only doesn't reach.
func TestCutIsNoCrash(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCutEntry(t)
				time.AfterFunc(time.Second, func() { e.set(mode) })
				time.AfterFunc(4*time.Second, func() { e.set(notCut) })
				e.play(t.Context(), 6*time.Second)
				time.Sleep(10 * time.Second)
				if n := e.crashes(); n > 0 {
					t.Errorf("evidence of %d crashes, want none: no server ended", n)
				}
			})
		})
	}
}

// TestCrashIsEvidenceAtOnce guards against evidence of a real crash that waits for more than a round trip to another server, and against its loss in a cut that follows.
func TestCrashIsEvidenceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newCutEntry(t)
		go e.play(t.Context(), 3*time.Second)
		time.Sleep(time.Second)
		want := 0
		for _, id := range []string{"e0", "e1", "e2", "e6", "e9", "e10"} {
			e.mu.Lock()
			want += e.waiting[id]
			e.mu.Unlock()
			e.end(id)
		}
		time.Sleep(20 * time.Millisecond)
		if n := e.crashes(); n < want || want == 0 {
			t.Errorf("evidence on %d requests, want on the %d at the servers that ended", n, want)
		}
		e.set(cutReset)
		time.Sleep(3 * time.Second)
		if n := e.crashes(); n > 0 {
			t.Errorf("evidence of %d crashes after the cut, want none", n)
		}
	})
}

// TestCutWithoutListIsNoCrash guards against requests blamed after a cut during which the list was empty, and then had the same servers.
func TestCutWithoutListIsNoCrash(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCutEntry(t)
				servers := slices.Collect(e.listed().All())
				time.AfterFunc(time.Second, func() { e.set(mode) })
				time.AfterFunc(2*time.Second, func() { e.list(nil) })
				time.AfterFunc(4*time.Second, func() {
					e.set(notCut)
					e.list(servers)
				})
				e.play(t.Context(), 6*time.Second)
				time.Sleep(10 * time.Second)
				if n := e.crashes(); n > 0 {
					t.Errorf("evidence of %d crashes, want none: no server ended", n)
				}
			})
		})
	}
}

// TestEndOfAllServersIsEvidence guards against crashes that are forgotten because all servers ended at once, so that the
// entry took itself for cut off, although the list shows their end: it is empty, and then has their next incarnations.
func TestEndOfAllServersIsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newCutEntry(t)
		var requests sync.WaitGroup
		requests.Go(func() { e.play(t.Context(), 4*time.Second) })
		defer requests.Wait()
		time.Sleep(time.Second)
		want, next := 0, []fleet.Engine(nil)
		for s := range e.listed().All() {
			e.mu.Lock()
			want += e.waiting[s.ID]
			e.mu.Unlock()
			s.StartedMs++
			next = append(next, s)
		}
		for _, s := range next {
			e.end(s.ID)
		}
		time.Sleep(400 * time.Millisecond)
		if e.detector.Reachable().Err() == nil {
			t.Fatal("the entry doesn't take itself for cut off")
		}
		e.list(nil)
		time.Sleep(2 * time.Second)
		e.list(next)
		time.Sleep(500 * time.Millisecond)
		if n := e.crashes(); n < want || want == 0 {
			t.Errorf("evidence on %d requests, want on the %d at the servers that ended", n, want)
		}
	})
}

// TestServersAreAllBackAfterCut guards against servers that get no work, or all of it, after a cut, and against requests at one that ended during it.
func TestServersAreAllBackAfterCut(t *testing.T) {
	const healedAt, backAt = 13 * time.Second, 13*time.Second + 250*time.Millisecond
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newCutEntry(t)
				time.AfterFunc(time.Second, func() { e.set(mode) })
				time.AfterFunc(2*time.Second, func() { e.end("e0") })
				time.AfterFunc(healedAt, func() {
					e.set(notCut)
					e.mu.Lock()
					defer e.mu.Unlock()
					clear(e.sends)
				})
				failed := 0
				for _, o := range e.play(t.Context(), 14*time.Second) {
					if o.sentAt >= backAt && o.Result != exchange.Delivered {
						failed++
					}
				}
				for i, most := range []int{0, 25, 25, 25, 25, 25} {
					if n := e.sends[fmt.Sprint("e", i)]; n > most || n == 0 && most > 0 {
						t.Errorf("e%d got %d requests in the second after the cut, want at most %d", i, n, most)
					}
				}
				if got := e.outlier.Missing(); !slices.Equal(got, []string{"e0"}) {
					t.Errorf("missing after the cut: %v, want the server that ended", got)
				}
				if failed > 0 {
					t.Errorf("%d of 75 requests failed from %v after the cut, want none", failed, backAt-healedAt)
				}
			})
		})
	}
}
