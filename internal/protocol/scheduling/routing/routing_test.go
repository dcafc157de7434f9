package routing

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// fixedClock is a clock whose time the tests set.
type fixedClock struct {
	now clock.Instant
}

func (c *fixedClock) Now() clock.Instant { return c.now }

func (c *fixedClock) Wall() time.Time { return time.Unix(0, int64(c.now)) }

func newTestTracker(engines ...string) (*Tracker, *fixedClock) {
	c := &fixedClock{now: clock.Instant(time.Hour)}
	t := NewTracker(c)
	model := settings.Model{Engines: make(map[string]settings.Engine)}
	for _, name := range engines {
		model.Engines[name] = settings.Engine{URL: "http://" + name, Zone: "a"}
	}
	t.Configure(&settings.Configuration{Models: map[string]settings.Model{"m": model}})
	return t, c
}

func loadReport(role settings.Role, running, promptTokens int) backend.LoadReport {
	return backend.LoadReport{Incarnation: "a", Role: role, Running: running, QueuedPromptTokens: promptTokens}
}

func newRequest() *Request {
	return &Request{Model: "m", Team: "t", Class: "c", PromptTokens: 1000, OutputTokens: 100, ExpectedWait: time.Minute, Zone: "a"}
}

func TestFilters(t *testing.T) {
	e := &Engine{Name: "one", Accepting: true}
	if !(Accepting{}).Keep(e, newRequest()) || (Accepting{}).Keep(&Engine{}, newRequest()) {
		t.Error("Accepting.Keep: want true for an accepting engine, false for another")
	}
	excluded := newRequest()
	excluded.Exclude = []string{"one"}
	if !(NotExcluded{}).Keep(e, newRequest()) || (NotExcluded{}).Keep(e, excluded) {
		t.Error("NotExcluded.Keep: want false for an excluded engine, true for another")
	}
}

func TestScorers(t *testing.T) {
	p := &Prediction{Engine: &Engine{Zone: "a"}, TotalTime: 3, OthersDelay: 2}
	otherZone := newRequest()
	otherZone.Zone = "b"
	cases := []struct {
		name    string
		scorer  Scorer
		request *Request
		want    float64
	}{
		{"finish", FinishTime{}, newRequest(), 3},
		{"others", OthersDelay{Weight: 0.5}, newRequest(), 1},
		{"near zone", ZoneDistance{Seconds: 4}, newRequest(), 0},
		{"far zone", ZoneDistance{Seconds: 4}, otherZone, 4},
	}
	for _, c := range cases {
		if got := c.scorer.Score(p, c.request); got != c.want {
			t.Errorf("%s: score %g, want %g", c.name, got, c.want)
		}
	}
}

func TestPredictionDependsOnRole(t *testing.T) {
	longPrompt := &Request{PromptTokens: 20000, OutputTokens: 2}
	longAnswer := &Request{PromptTokens: 100, OutputTokens: 1000}
	prefill, decode := &Engine{Role: settings.RolePrefill}, &Engine{Role: settings.RoleDecode}
	table := speed.Default
	if predict(&table, prefill, longPrompt, 0).TotalTime >= predict(&table, decode, longPrompt, 0).TotalTime {
		t.Error("long prompt: predicted total time at the prefill engine is not less than at the decode engine")
	}
	if predict(&table, decode, longAnswer, 0).TotalTime >= predict(&table, prefill, longAnswer, 0).TotalTime {
		t.Error("long answer: predicted total time at the decode engine is not less than at the prefill engine")
	}
	if predict(&table, prefill, longPrompt, 10).TimeToFirstToken >= predict(&table, prefill, longPrompt, 0).TimeToFirstToken {
		t.Error("cached prefix: predicted time to first token is not less than without it")
	}
}

func TestPickRefusesRequestThatWouldBeLate(t *testing.T) {
	tracker, c := newTestTracker("one")
	tracker.ApplyReport("one", loadReport(settings.RoleMixed, 40, 500000), c.now)
	c.now = c.now.Add(publishInterval)
	r := newRequest()
	r.ExpectedWait = 2 * time.Second
	_, err := NewPredictive(1).Pick(tracker.Snapshot(), r)
	var overloaded *OverloadedError
	if !errors.As(err, &overloaded) {
		t.Fatalf("error %v, want an *OverloadedError", err)
	}
	if overloaded.RetryAfter < MinRetryAfter || overloaded.RetryAfter > MaxRetryAfter {
		t.Errorf("retry after %s, want MinRetryAfter to MaxRetryAfter", overloaded.RetryAfter)
	}
}

func TestPickWithoutEngine(t *testing.T) {
	tracker, _ := newTestTracker("one")
	tracker.MarkUnreachable("one")
	for _, p := range []Picker{NewPredictive(1), LeastRequests{}} {
		if _, err := p.Pick(tracker.Snapshot(), newRequest()); !errors.Is(err, ErrNoEngine) {
			t.Errorf("%T: error %v, want ErrNoEngine", p, err)
		}
	}
}

// TestOwnWorkIsVisibleImmediately checks that a dispatched request sends the
// next one to another engine before any load report shows it, and that it stops
// counting when it is done.
func TestOwnWorkIsVisibleImmediately(t *testing.T) {
	tracker, _ := newTestTracker("one", "two")
	picker := NewPredictive(1)
	r := newRequest()
	r.PromptTokens = 100000
	first, err := picker.Pick(tracker.Snapshot(), r)
	if err != nil {
		t.Fatal(err)
	}
	flight := tracker.Start(first.Engine.Name, r)
	second, err := picker.Pick(tracker.Snapshot(), r)
	if err != nil {
		t.Fatal(err)
	}
	if first.Engine.Name == second.Engine.Name {
		t.Error("both requests went to the same engine, want two engines")
	}
	if tracker.CustomerInFlight("t", "") != 1 {
		t.Error("customer's requests in flight is not 1 after the start")
	}
	flight.RecordFirstToken()
	flight.Done()
	flight.Done()
	if load := first.Engine.Load(); load != (Work{}) {
		t.Errorf("load %+v after the end, want none", load)
	}
	if tracker.CustomerInFlight("t", "") != 0 {
		t.Error("customer's requests in flight is not 0 after the end")
	}
}

// TestReportSubtractsOwnWorkAtReportTime checks that this entry's own work is
// subtracted from a late report as it was when the report was made, not as it
// is now.
func TestReportSubtractsOwnWorkAtReportTime(t *testing.T) {
	tracker, c := newTestTracker("one")
	var flights []*InFlightRequest
	for range 4 {
		flights = append(flights, tracker.Start("one", newRequest()))
	}
	c.now = c.now.Add(2 * time.Second)
	reportedAt := c.now
	c.now = c.now.Add(3 * time.Second)
	for _, f := range flights {
		f.Done()
	}
	tracker.ApplyReport("one", loadReport(settings.RoleMixed, 10, 4000), reportedAt)
	c.now = c.now.Add(publishInterval)
	e := tracker.Snapshot().Engines[0]
	if e.ExternalWork.Requests != 6 || e.Load().Requests != 6 {
		t.Errorf("external work %+v, load %+v, want 6 requests each", e.ExternalWork, e.Load())
	}
}

func TestStaleReportsDecayToMean(t *testing.T) {
	tracker, c := newTestTracker("one", "two")
	tracker.ApplyReport("one", loadReport(settings.RoleMixed, 10, 0), c.now)
	tracker.ApplyReport("two", loadReport(settings.RoleMixed, 0, 0), c.now)
	c.now = c.now.Add(time.Minute)
	for _, e := range tracker.Snapshot().Engines {
		if e.ExternalWork.Requests < 4.9 || e.ExternalWork.Requests > 5.1 {
			t.Errorf("%s: %g external requests after a minute, want the mean of 5", e.Name, e.ExternalWork.Requests)
		}
	}
}

func TestDrainingTakesEffectImmediatelyAndEnds(t *testing.T) {
	tracker, c := newTestTracker("one")
	draining := loadReport(settings.RoleMixed, 0, 0)
	draining.Draining = true
	tracker.ApplyReport("one", draining, c.now)
	if tracker.Snapshot().Engines[0].Accepting {
		t.Error("a draining engine is accepting, want not accepting")
	}
	tracker.ApplyReport("one", loadReport(settings.RolePrefill, 0, 0), c.now)
	if e := tracker.Snapshot().Engines[0]; !e.Accepting || e.Role != settings.RolePrefill {
		t.Errorf("engine after its role change: %+v, want an accepting prefill engine", e)
	}
}

func TestSlowdownConvergesToMeasuredRatio(t *testing.T) {
	tracker, c := newTestTracker("one")
	for range 100 {
		f := tracker.Start("one", newRequest())
		c.now = c.now.Add(time.Second)
		f.RecordFirstToken()
		c.now = c.now.Add(speed.Seconds(3 * 100 * speed.Default.Mixed.Step(1)))
		f.RecordCompletion(100)
		f.Done()
	}
	c.now = c.now.Add(refreshInterval)
	if got := tracker.Snapshot().Engines[0].Slowdown; got < 2.8 || got > 3.2 {
		t.Errorf("slowdown %g, want about 3", got)
	}
}

func TestPrefixHashesOfSharedPrefix(t *testing.T) {
	start := strings.Repeat("a", PrefixBlockTokens*BytesPerToken)
	a := PrefixHashes(start + strings.Repeat("b", PrefixBlockTokens*BytesPerToken) + "rest")
	b := PrefixHashes(start + strings.Repeat("c", PrefixBlockTokens*BytesPerToken))
	if len(a) != 2 || len(b) != 2 {
		t.Fatalf("got %d and %d hashes, want 2 each", len(a), len(b))
	}
	if a[0] != b[0] || a[1] == b[1] {
		t.Error("want equal first hashes and different second ones")
	}
}

func TestCacheEventsUpdatePrefixIndex(t *testing.T) {
	tracker, _ := newTestTracker("one", "two")
	hashes := []uint64{1 << 40, 2 << 40, 3 << 40}
	heldBlocks := func(name string) int {
		v := tracker.Snapshot().Model("m")
		for i := range v.Engines {
			if v.Engines[i].Name == name {
				held := v.holders(hashes)
				return held.blocks(v.Engines[i].position)
			}
		}
		return -1
	}
	tracker.ApplyCacheEvent("one", CacheEvent{Sequence: 1, Added: hashes})
	if heldBlocks("one") != 3 || heldBlocks("two") != 0 {
		t.Fatalf("held blocks %d and %d, want 3 and 0", heldBlocks("one"), heldBlocks("two"))
	}
	tracker.ApplyCacheEvent("one", CacheEvent{Sequence: 2, Removed: hashes[2:]})
	if heldBlocks("one") != 2 {
		t.Errorf("held blocks %d after a removal, want 2", heldBlocks("one"))
	}
	tracker.ApplyCacheEvent("one", CacheEvent{Sequence: 4, Added: hashes[:1]})
	if heldBlocks("one") != 1 {
		t.Errorf("held blocks %d after a gap, want only the 1 added after it", heldBlocks("one"))
	}
}
