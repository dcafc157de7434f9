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

func configured(engines ...string) (*Tracker, *fixedClock) {
	c := &fixedClock{now: clock.Instant(time.Hour)}
	t := NewTracker(c)
	model := settings.Model{Engines: make(map[string]settings.Engine)}
	for _, name := range engines {
		model.Engines[name] = settings.Engine{URL: "http://" + name, Zone: "a"}
	}
	t.Configure(&settings.Configuration{Models: map[string]settings.Model{"m": model}})
	return t, c
}

func report(role settings.Role, running, promptTokens int) backend.LoadReport {
	return backend.LoadReport{Incarnation: "a", Role: role, Running: running, QueuedPromptTokens: promptTokens}
}

func draft() *Request {
	return &Request{Model: "m", Team: "t", Class: "c", PromptTokens: 1000, OutputTokens: 100, ExpectedWait: time.Minute, Zone: "a"}
}

func TestFilters(t *testing.T) {
	e := &Engine{Name: "one", Accepting: true}
	if !(Accepting{}).Keep(e, draft()) || (Accepting{}).Keep(&Engine{}, draft()) {
		t.Error("Accepting keeps the wrong engines")
	}
	excluded := draft()
	excluded.Exclude = []string{"one"}
	if !(NotExcluded{}).Keep(e, draft()) || (NotExcluded{}).Keep(e, excluded) {
		t.Error("NotExcluded keeps the wrong engines")
	}
}

func TestScorers(t *testing.T) {
	p := &Prediction{Engine: &Engine{Zone: "a"}, Whole: 3, OthersDelay: 2}
	far := draft()
	far.Zone = "b"
	cases := []struct {
		name    string
		scorer  Scorer
		request *Request
		want    float64
	}{
		{"finish", FinishTime{}, draft(), 3},
		{"others", OthersDelay{Weight: 0.5}, draft(), 1},
		{"near zone", ZoneDistance{Seconds: 4}, draft(), 0},
		{"far zone", ZoneDistance{Seconds: 4}, far, 4},
	}
	for _, c := range cases {
		if got := c.scorer.Score(p, c.request); got != c.want {
			t.Errorf("%s: score %g, want %g", c.name, got, c.want)
		}
	}
}

func TestPredictionFollowsRoles(t *testing.T) {
	long := &Request{PromptTokens: 20000, OutputTokens: 2}
	wordy := &Request{PromptTokens: 100, OutputTokens: 1000}
	prefill, decode := &Engine{Role: settings.RolePrefill}, &Engine{Role: settings.RoleDecode}
	table := speed.Default
	if predict(&table, prefill, long, 0).Whole >= predict(&table, decode, long, 0).Whole {
		t.Error("a long prompt is not faster at a prefill engine")
	}
	if predict(&table, decode, wordy, 0).Whole >= predict(&table, prefill, wordy, 0).Whole {
		t.Error("a long answer is not faster at a decode engine")
	}
	if predict(&table, prefill, long, 10).FirstToken >= predict(&table, prefill, long, 0).FirstToken {
		t.Error("a cached prefix does not shorten the first token's time")
	}
}

func TestPickRefusesWhatComesTooLate(t *testing.T) {
	tracker, c := configured("one")
	tracker.Report("one", report(settings.RoleMixed, 40, 500000), c.now)
	c.now = c.now.Add(publishInterval)
	r := draft()
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
	tracker, _ := configured("one")
	tracker.Failed("one")
	for _, p := range []Picker{NewPredictive(1), LeastRequests{}} {
		if _, err := p.Pick(tracker.Snapshot(), draft()); !errors.Is(err, ErrNoEngine) {
			t.Errorf("%T: error %v, want ErrNoEngine", p, err)
		}
	}
}

// TestOwnWorkCountsAtOnce checks that a dispatched request moves the next one
// to another engine before any report tells of it.
func TestOwnWorkCountsAtOnce(t *testing.T) {
	tracker, _ := configured("one", "two")
	picker := NewPredictive(1)
	r := draft()
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
	if tracker.InProgress("t", "") != 1 {
		t.Error("the request is not counted for its customer")
	}
	flight.FirstToken()
	flight.Done()
	flight.Done()
	if load := first.Engine.Load(); load != (Work{}) {
		t.Errorf("load %+v after the end, want none", load)
	}
	if tracker.InProgress("t", "") != 0 {
		t.Error("the request is still counted for its customer")
	}
}

// TestReportSeparatesForeignWork checks that a late report is compared with
// this entry's own work at the time of the report, not now.
func TestReportSeparatesForeignWork(t *testing.T) {
	tracker, c := configured("one")
	var flights []*Flight
	for range 4 {
		flights = append(flights, tracker.Start("one", draft()))
	}
	c.now = c.now.Add(2 * time.Second)
	made := c.now
	c.now = c.now.Add(3 * time.Second)
	for _, f := range flights {
		f.Done()
	}
	tracker.Report("one", report(settings.RoleMixed, 10, 4000), made)
	c.now = c.now.Add(publishInterval)
	e := tracker.Snapshot().Engines[0]
	if e.Foreign.Requests != 6 || e.Load().Requests != 6 {
		t.Errorf("foreign %+v, load %+v, want 6 requests each", e.Foreign, e.Load())
	}
}

func TestOldReportsLoseTrust(t *testing.T) {
	tracker, c := configured("one", "two")
	tracker.Report("one", report(settings.RoleMixed, 10, 0), c.now)
	tracker.Report("two", report(settings.RoleMixed, 0, 0), c.now)
	c.now = c.now.Add(time.Minute)
	for _, e := range tracker.Snapshot().Engines {
		if e.Foreign.Requests < 4.9 || e.Foreign.Requests > 5.1 {
			t.Errorf("%s: foreign %g a minute later, want the mean", e.Name, e.Foreign.Requests)
		}
	}
}

func TestDrainingCountsAtOnceAndEnds(t *testing.T) {
	tracker, c := configured("one")
	draining := report(settings.RoleMixed, 0, 0)
	draining.Draining = true
	tracker.Report("one", draining, c.now)
	if tracker.Snapshot().Engines[0].Accepting {
		t.Error("a draining engine accepts work")
	}
	tracker.Report("one", report(settings.RolePrefill, 0, 0), c.now)
	if e := tracker.Snapshot().Engines[0]; !e.Accepting || e.Role != settings.RolePrefill {
		t.Errorf("after the change: %+v, want an accepting prefill engine", e)
	}
}

func TestSlowEngineIsLearnt(t *testing.T) {
	tracker, c := configured("one")
	for range 100 {
		f := tracker.Start("one", draft())
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

func TestPrefixHashesShareStarts(t *testing.T) {
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

func TestCacheEventsAreHints(t *testing.T) {
	tracker, _ := configured("one", "two")
	hashes := []uint64{1 << 40, 2 << 40, 3 << 40}
	held := func(name string) int {
		v := tracker.Snapshot().Model("m")
		for i := range v.Engines {
			if v.Engines[i].Name == name {
				held := v.holders(hashes)
				return held.pieces(v.Engines[i].number)
			}
		}
		return -1
	}
	tracker.CacheEvent("one", CacheEvent{Sequence: 1, Added: hashes})
	if held("one") != 3 || held("two") != 0 {
		t.Fatalf("held %d and %d, want 3 and 0", held("one"), held("two"))
	}
	tracker.CacheEvent("one", CacheEvent{Sequence: 2, Removed: hashes[2:]})
	if held("one") != 2 {
		t.Errorf("held %d after a removal, want 2", held("one"))
	}
	tracker.CacheEvent("one", CacheEvent{Sequence: 4, Added: hashes[:1]})
	if held("one") != 1 {
		t.Errorf("held %d after a gap, want what came after it", held("one"))
	}
}
