package routing

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// fixedClock is a clock that tests set.
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
		t.Error("Accepting keeps the wrong engines")
	}
	excluded := newRequest()
	excluded.Exclude = []string{"one"}
	if !(NotExcluded{}).Keep(e, newRequest()) || (NotExcluded{}).Keep(e, excluded) {
		t.Error("NotExcluded keeps the wrong engines")
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
		t.Error("a long prompt is not faster at a prefill engine")
	}
	if predict(&table, decode, longAnswer, 0).TotalTime >= predict(&table, prefill, longAnswer, 0).TotalTime {
		t.Error("a long answer is not faster at a decode engine")
	}
	if predict(&table, prefill, longPrompt, 10).TimeToFirstToken >= predict(&table, prefill, longPrompt, 0).TimeToFirstToken {
		t.Error("a cached prefix does not shorten the first token's time")
	}
}

func TestPickRefusesRequestThatWouldBeLate(t *testing.T) {
	tracker, c := newTestTracker("one")
	tracker.Report("one", loadReport(settings.RoleMixed, 40, 500000), c.now)
	c.now = c.now.Add(publishInterval)
	r := newRequest()
	r.ExpectedWait = 2 * time.Second
	_, err := NewPredictive(1).Pick(tracker.Snapshot(), r)
	var overloaded *OverloadedError
	if !errors.As(err, &overloaded) {
		t.Fatalf("error %v, want an OverloadedError", err)
	}
	if overloaded.RetryAfter < MinRetryAfter || overloaded.RetryAfter > MaxRetryAfter {
		t.Errorf("retry after %s is out of bounds", overloaded.RetryAfter)
	}
}

func TestPickWithoutEngine(t *testing.T) {
	tracker, _ := newTestTracker("one")
	tracker.Failed("one")
	for _, p := range []Picker{NewPredictive(1), LeastRequests{}} {
		if _, err := p.Pick(tracker.Snapshot(), newRequest()); !errors.Is(err, ErrNoEngine) {
			t.Errorf("%T: error %v, want ErrNoEngine", p, err)
		}
	}
}

// TestOwnWorkCountsAtOnce checks that a dispatched request moves the next one
// to another engine before any report tells of it.
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
		t.Error("both requests went to the same engine")
	}
	if tracker.CustomerInFlight("t", "") != 1 {
		t.Error("the request is not counted for its customer")
	}
	flight.FirstToken()
	flight.Done()
	flight.Done()
	if load := first.Engine.Load(); load != (Work{}) {
		t.Errorf("load %+v after the end, want none", load)
	}
	if tracker.CustomerInFlight("t", "") != 0 {
		t.Error("the request is still counted for its customer")
	}
}

// TestReportSeparatesForeignWork checks that a late report is compared with
// this entry's own work at the time of the report, not now.
func TestReportSubtractsOwnWorkAtReportTime(t *testing.T) {
	tracker, c := newTestTracker("one")
	var flights []*Flight
	for range 4 {
		flights = append(flights, tracker.Start("one", newRequest()))
	}
	c.now = c.now.Add(2 * time.Second)
	reportedAt := c.now
	c.now = c.now.Add(3 * time.Second)
	for _, f := range flights {
		f.Done()
	}
	tracker.Report("one", loadReport(settings.RoleMixed, 10, 4000), reportedAt)
	c.now = c.now.Add(publishInterval)
	e := tracker.Snapshot().Engines[0]
	if e.ExternalWork.Requests != 6 || e.Load().Requests != 6 {
		t.Errorf("foreign %+v, load %+v, want 6 requests each", e.ExternalWork, e.Load())
	}
}

func TestStaleReportsDecayToMean(t *testing.T) {
	tracker, c := newTestTracker("one", "two")
	tracker.Report("one", loadReport(settings.RoleMixed, 10, 0), c.now)
	tracker.Report("two", loadReport(settings.RoleMixed, 0, 0), c.now)
	c.now = c.now.Add(time.Minute)
	for _, e := range tracker.Snapshot().Engines {
		if e.ExternalWork.Requests < 4.9 || e.ExternalWork.Requests > 5.1 {
			t.Errorf("%s: foreign %g a minute later, want the mean", e.Name, e.ExternalWork.Requests)
		}
	}
}

func TestDrainingTakesEffectImmediatelyAndEnds(t *testing.T) {
	tracker, c := newTestTracker("one")
	draining := loadReport(settings.RoleMixed, 0, 0)
	draining.Draining = true
	tracker.Report("one", draining, c.now)
	if tracker.Snapshot().Engines[0].Accepting {
		t.Error("a draining engine accepts work")
	}
	tracker.Report("one", loadReport(settings.RolePrefill, 0, 0), c.now)
	if e := tracker.Snapshot().Engines[0]; !e.Accepting || e.Role != settings.RolePrefill {
		t.Errorf("after the change: %+v, want an accepting prefill engine", e)
	}
}

func TestSlowdownConvergesToMeasuredRatio(t *testing.T) {
	tracker, c := newTestTracker("one")
	for range 100 {
		f := tracker.Start("one", newRequest())
		c.now = c.now.Add(time.Second)
		f.FirstToken()
		c.now = c.now.Add(speed.Seconds(3 * 100 * speed.Default.Mixed.Step(1)))
		f.Finished(100)
		f.Done()
	}
	c.now = c.now.Add(refreshInterval)
	if got := tracker.Snapshot().Engines[0].Slowdown; got < 2.8 || got > 3.2 {
		t.Errorf("slowdown %g, want 3", got)
	}
}

func TestPrefixHashesOfSharedPrefix(t *testing.T) {
	start := strings.Repeat("a", PieceTokens*BytesPerToken)
	a := PrefixHashes(start + strings.Repeat("b", PieceTokens*BytesPerToken) + "rest")
	b := PrefixHashes(start + strings.Repeat("c", PieceTokens*BytesPerToken))
	if len(a) != 2 || len(b) != 2 {
		t.Fatalf("lengths %d and %d, want 2", len(a), len(b))
	}
	if a[0] != b[0] || a[1] == b[1] {
		t.Error("hashes do not follow the shared prefix")
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
	tracker.CacheEvent("one", CacheEvent{Sequence: 1, Added: hashes})
	if heldBlocks("one") != 3 || heldBlocks("two") != 0 {
		t.Fatalf("held %d and %d, want 3 and 0", heldBlocks("one"), heldBlocks("two"))
	}
	tracker.CacheEvent("one", CacheEvent{Sequence: 2, Removed: hashes[2:]})
	if heldBlocks("one") != 2 {
		t.Errorf("held %d after a removal, want 2", heldBlocks("one"))
	}
	tracker.CacheEvent("one", CacheEvent{Sequence: 4, Added: hashes[:1]})
	if heldBlocks("one") != 1 {
		t.Errorf("held %d after a gap, want what came after it", heldBlocks("one"))
	}
}
