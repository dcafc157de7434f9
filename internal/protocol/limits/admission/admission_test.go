package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

type fixedClock struct {
	now clock.Instant
}

func (c *fixedClock) Now() clock.Instant { return c.now }

func (c *fixedClock) Wall() time.Time { return time.Unix(0, int64(c.now)) }

// firstEnginePicker picks the first engine for every request.
type firstEnginePicker struct{}

func (firstEnginePicker) Pick(s *routing.Snapshot, _ *routing.Request) (routing.Choice, error) {
	return routing.Choice{Engine: &s.Engines[0]}, nil
}

// busySnapshot returns a snapshot of engines whose batches are full.
func busySnapshot(now clock.Instant, engines int) *routing.Snapshot {
	s := &routing.Snapshot{At: now}
	for i := range engines {
		s.Engines = append(s.Engines, routing.Engine{
			Name: fmt.Sprintf("engine-%d", i), Model: "m", Role: settings.RoleMixed, Accepting: true,
			ExternalWork: routing.Work{Requests: 60}, Report: backend.LoadReport{Running: 48},
		})
	}
	return s
}

// offeredClass sends requests at a constant rate and counts how many were sent
// and admitted.
type offeredClass struct {
	request  routing.Request
	perTick  int
	sent     int
	admitted int
}

// sendOffered sends the classes' requests for 30 s of simulated time and counts
// those of the last 10 s.
func sendOffered(t interface{ Fatalf(string, ...any) }, c *Controller, now *fixedClock, classes []*offeredClass) {
	const tick = 100 * time.Millisecond
	s := busySnapshot(now.now, 2)
	for i := range 300 {
		now.now = now.now.Add(tick)
		for _, k := range classes {
			for range k.perTick {
				r := k.request
				before := now.now
				_, err := c.Pick(s, &r)
				checkRefusal(t, err)
				if now.now != before {
					t.Fatalf("the clock moved during a decision, want an immediate one")
				}
				if i < 200 {
					continue
				}
				k.sent++
				if err == nil {
					k.admitted++
				}
			}
		}
	}
}

func checkRefusal(t interface{ Fatalf(string, ...any) }, err error) {
	var overloaded *routing.OverloadedError
	if err == nil {
		return
	}
	if !errors.As(err, &overloaded) {
		t.Fatalf("error %v, want an *OverloadedError", err)
	}
	if overloaded.RetryAfter < routing.MinRetryAfter || overloaded.RetryAfter > routing.MaxRetryAfter {
		t.Fatalf("retry after %s, want MinRetryAfter to MaxRetryAfter", overloaded.RetryAfter)
	}
}

func (o *offeredClass) admittedFraction() float64 {
	return float64(o.admitted) / float64(max(o.sent, 1))
}

// TestHigherWorthIsAdmittedAtLeastAsOften checks that of two classes with
// requests of equal size and rate, the one with more worth is admitted at least
// as often.
func TestHigherWorthIsAdmittedAtLeastAsOften(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := &fixedClock{now: clock.Instant(time.Hour)}
		c := New(Options{Picker: firstEnginePicker{}, Clock: now})
		base := routing.Request{Model: "m", Team: "t", PromptTokens: rapid.IntRange(100, 5000).Draw(t, "prompt"), OutputTokens: rapid.IntRange(1, 500).Draw(t, "output")}
		perTick := rapid.IntRange(1, 20).Draw(t, "rate")
		low := &offeredClass{request: base, perTick: perTick}
		low.request.Class, low.request.Worth = "low", 1
		high := &offeredClass{request: base, perTick: perTick}
		high.request.Class, high.request.Worth = "high", rapid.Float64Range(1.1, 9).Draw(t, "worth")
		sendOffered(t, c, now, []*offeredClass{low, high})
		if high.admittedFraction() < low.admittedFraction()-0.02 {
			t.Fatalf("admitted %.2f of the class with more worth and %.2f of that with less, want at least as much of the first", high.admittedFraction(), low.admittedFraction())
		}
	})
}

// TestFairShares checks that a customer with many requests doesn't crowd out
// one with few, and that customers are admitted in proportion to their shares.
func TestFairShares(t *testing.T) {
	now := &fixedClock{now: clock.Instant(time.Hour)}
	c := New(Options{Picker: firstEnginePicker{}, Clock: now})
	c.Configure(&settings.Configuration{Teams: map[string]settings.Team{"t": {Customers: map[string]settings.Customer{
		"heavy": {Share: 1}, "double": {Share: 2},
	}}}})
	newOffered := func(customer string, perTick int) *offeredClass {
		return &offeredClass{perTick: perTick, request: routing.Request{
			Model: "m", Team: "t", Class: "c", Customer: customer, PromptTokens: 2000, OutputTokens: 200, Worth: 1,
		}}
	}
	few, heavy, double := newOffered("few", 1), newOffered("heavy", 20), newOffered("double", 20)
	few.perTick = 1
	sendOffered(t, c, now, []*offeredClass{few, heavy, double})
	if double.admitted < heavy.admitted*18/10 || double.admitted > heavy.admitted*22/10 {
		t.Errorf("admitted %d with share 2 and %d with share 1, want about twice as many", double.admitted, heavy.admitted)
	}
	if few.admittedFraction() <= heavy.admittedFraction() {
		t.Errorf("admitted %.2f of the customer with few requests and %.2f of that with many, want more of the first", few.admittedFraction(), heavy.admittedFraction())
	}
}

// TestIdleEnginesAdmitEverything checks that no request is refused for its
// worth while the engines are idle.
func TestIdleEnginesAdmitEverything(t *testing.T) {
	now := &fixedClock{now: clock.Instant(time.Hour)}
	c := New(Options{Picker: firstEnginePicker{}, Clock: now})
	s := &routing.Snapshot{Engines: []routing.Engine{{Name: "e", Model: "m", Accepting: true}}}
	for range 1000 {
		now.now = now.now.Add(time.Millisecond)
		if _, err := c.Pick(s, &routing.Request{Model: "m", Class: "c", PromptTokens: 5000, OutputTokens: 500, Worth: 1}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMaxConcurrent checks the limit on a customer's requests in progress.
func TestMaxConcurrent(t *testing.T) {
	now := &fixedClock{now: clock.Instant(time.Hour)}
	tracker := routing.NewTracker(now)
	configuration := &settings.Configuration{
		Models: map[string]settings.Model{"m": {Engines: map[string]settings.Engine{"e": {URL: "http://e"}}}},
		Teams:  map[string]settings.Team{"t": {Customers: map[string]settings.Customer{"k": {Share: 1, MaxConcurrent: 2}}}},
	}
	tracker.Configure(configuration)
	c := New(Options{Picker: routing.NewPredictive(1), Clock: now, Tracker: tracker})
	c.Configure(configuration)
	request := func() *routing.Request {
		return &routing.Request{Model: "m", Team: "t", Class: "c", Customer: "k", PromptTokens: 10, OutputTokens: 2, Worth: 1}
	}
	var flights []*routing.InFlightRequest
	for range 2 {
		choice, err := c.Pick(tracker.Snapshot(), request())
		if err != nil {
			t.Fatal(err)
		}
		flights = append(flights, tracker.Start(choice.Engine.Name, request()))
	}
	if _, err := c.Pick(tracker.Snapshot(), request()); err == nil {
		t.Error("a third concurrent request was admitted, want a refusal")
	}
	flights[0].Done()
	if _, err := c.Pick(tracker.Snapshot(), request()); err != nil {
		t.Errorf("request after the end of one: %v, want it admitted", err)
	}
}
