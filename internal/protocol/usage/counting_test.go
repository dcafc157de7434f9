package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// manualClock is a clock that a test sets; its time of day is right.
type manualClock struct{ now time.Time }

func newManualClock() *manualClock { return &manualClock{now: time.Unix(1_800_000_000, 0)} }

func (m *manualClock) Now() clock.Instant          { return clock.Instant(m.now.UnixNano()) }
func (m *manualClock) Wall() time.Time             { return m.now }
func (m *manualClock) estimate() (time.Time, bool) { return m.now, true }
func (m *manualClock) advance(d time.Duration)     { m.now = m.now.Add(d) }

const testWindow = 5 * time.Second

// TestWindowBounds guards against a request that is counted in the window alongside its own.
func TestWindowBounds(t *testing.T) {
	for _, c := range []struct {
		ms   int64
		want uint64
	}{{0, 0}, {4_999, 0}, {5_000, 1}, {9_999, 1}, {1_800_000_000_000, 360_000_000}, {-5, 0}} {
		if got := WindowOf(time.UnixMilli(c.ms), testWindow); got != c.want {
			t.Errorf("window of %d ms is %d, want %d", c.ms, got, c.want)
		}
	}
	if end := EndOf(1, testWindow); end.UnixMilli() != 10_000 {
		t.Errorf("window 1 ends at %d ms, want 10000", end.UnixMilli())
	}
}

// TestReportsInAnyOrder sends the counts of three entries to two replicas, with reports
// that are repeated and swapped, with watches that begin again and with an entry that
// restarts. Each replica must have the sums in the end.
func TestReportsInAnyOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newManualClock()
	replicas := map[string]*Aggregator{"a": NewAggregator(c, testWindow, c.estimate), "b": NewAggregator(c, testWindow, c.estimate)}
	type sent struct {
		incarnation uint64
		counts      []Count
	}
	counters := make(map[uint64]*Counter)
	queued := make(map[string][]sent)
	want := make(map[uint64]map[string]uint64)
	incarnations := []uint64{10, 20, 30}
	for step := range 2000 {
		c.advance(20 * time.Millisecond)
		if step == 1000 {
			incarnations[1] = 21 // a restart; the last counts of the former run are recorded at the end
		}
		for _, incarnation := range incarnations {
			if counters[incarnation] == nil {
				counters[incarnation] = NewCounter(testWindow, c.Wall)
			}
			counter := counters[incarnation]
			if random.IntN(2) == 0 {
				workspace, window := fmt.Sprint("w", random.IntN(5)), WindowOf(c.now, testWindow)
				counter.Began(workspace)
				if want[window] == nil {
					want[window] = make(map[string]uint64)
				}
				want[window][workspace]++
			}
			for name := range replicas {
				if step%7 == 0 || step == 999 {
					queued[name] = append(queued[name], sent{incarnation, counter.Pending(name, random.IntN(20) == 0)})
				}
			}
		}
		for name, replica := range replicas {
			if step%50 != 49 {
				continue
			}
			reports := append(queued[name], queued[name]...)
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			for _, r := range reports {
				replica.Record(r.incarnation, r.counts)
			}
			queued[name] = nil
		}
	}
	for name, replica := range replicas {
		for incarnation, counter := range counters {
			replica.Record(incarnation, counter.Pending(name, false))
		}
		for window, counts := range want {
			if got := replica.Counts(window); !maps.Equal(got, counts) {
				t.Errorf("replica %s has %v in window %d, want %v", name, got, window, counts)
			}
		}
		if len(want) != 9 || replica.dropped != 0 {
			t.Errorf("replica %s dropped %d counts of %d windows, want none of 9", name, replica.dropped, len(want))
		}
	}
}

// TestPendingSendsOnlyChanges guards against reports that hold all counts each time: there
// are up to 14 a second to each replica.
func TestPendingSendsOnlyChanges(t *testing.T) {
	c := newManualClock()
	counter := NewCounter(testWindow, c.Wall)
	counter.Began("a")
	counter.Began("b")
	if got := counter.Pending("x", true); len(got) != 2 {
		t.Errorf("first report has %v, want both counts", got)
	}
	if got := counter.Pending("x", false); got != nil {
		t.Errorf("a report without changes has %v, want nothing", got)
	}
	counter.Began("b")
	want := []Count{{Window: WindowOf(c.now, testWindow), Workspace: "b", Requests: 2}}
	if got := counter.Pending("x", false); !slices.Equal(got, want) {
		t.Errorf("report after a change has %v, want %v", got, want)
	}
	if got := counter.Pending("x", true); len(got) != 2 {
		t.Errorf("first report of the next watch has %v, want both counts", got)
	}
	var none *Counter
	none.Began("a")
	if none.Pending("x", true) != nil {
		t.Error("no counter has counts")
	}
}

// TestRetention guards against memory that grows with time at entries and replicas, and
// against counts of the last 60 s that a new watch leaves out.
func TestRetention(t *testing.T) {
	c := newManualClock()
	counter, replica := NewCounter(testWindow, c.Wall), NewAggregator(c, testWindow, c.estimate)
	for range 100 {
		counter.Began("a")
		replica.Record(1, counter.Pending("x", false))
		c.advance(testWindow)
	}
	c.advance(-testWindow)
	if got := counter.Pending("y", true); len(got) != 13 {
		t.Errorf("%d windows are kept at the entry, want the current one and 12", len(got))
	}
	if len(replica.windows) != 13 || replica.cells != 13 {
		t.Errorf("%d windows with %d counts are kept at the replica, want 13", len(replica.windows), replica.cells)
	}
	current := WindowOf(c.now, testWindow)
	replica.Record(2, []Count{{Window: current - 13, Workspace: "a", Requests: 1}, {Window: current + 3, Workspace: "a", Requests: 1}})
	if replica.dropped != 2 || len(replica.windows) != 13 {
		t.Errorf("dropped %d counts of windows too old or too far ahead, want 2", replica.dropped)
	}
}

// TestLateCountsAreKnown guards against requests that are missing in a report unnoticed.
func TestLateCountsAreKnown(t *testing.T) {
	c := newManualClock()
	replica := NewAggregator(c, testWindow, c.estimate)
	k := WindowOf(c.now, testWindow)
	replica.Record(1, []Count{{Window: k, Workspace: "a", Requests: 4}})
	if got := replica.Decided(k); got["a"] != 4 {
		t.Errorf("decided with %v, want 4 of a", got)
	}
	for range 2 {
		replica.Record(1, []Count{{Window: k, Workspace: "a", Requests: 6}, {Window: k + 1, Workspace: "a", Requests: 9}})
	}
	if late, dropped := replica.Missed(); late != 2 || dropped != 0 {
		t.Errorf("%d requests count as late and %d counts as left out, want 2 and none", late, dropped)
	}
}

// TestUnheardEntries guards against decisions that wait for entries which have stopped, were
// replaced or are long gone, and against ones that don't wait for an entry that is cut off.
func TestUnheardEntries(t *testing.T) {
	c := newManualClock()
	replica := NewAggregator(c, testWindow, c.estimate)
	for _, entry := range []string{"a", "b", "c", "d"} {
		replica.Heard(entry, 10, true)
	}
	c.advance(3 * time.Second)
	replica.Heard("a", 10, true)
	replica.Heard("b", 11, true) // b was replaced; the end of the earlier run comes late
	replica.Heard("b", 10, false)
	replica.Heard("c", 10, false) // c stops
	for _, step := range []struct {
		advance, sinceEnd time.Duration
		want              int
	}{{0, time.Second, 1}, {2 * time.Second, 2 * time.Second, 1}, {0, time.Second, 3}, {contactMemory - 4*time.Second, time.Second, 2}, {contactMemory, time.Second, 0}} {
		c.advance(step.advance)
		if got := replica.Unheard(step.sinceEnd); got != step.want {
			t.Errorf("%v after the end of a window, %d entries are unheard, want %d", step.sinceEnd, got, step.want)
		}
	}
	var none *Aggregator
	none.Heard("a", 1, true)
}

// TestBounds guards against an entry or a replica that runs out of memory because of many
// workspaces, and against requests that are left out unnoticed.
func TestBounds(t *testing.T) {
	c := newManualClock()
	counter, replica := NewCounter(testWindow, c.Wall), NewAggregator(c, testWindow, c.estimate)
	for i := range maxCounts + 10 {
		counter.Began(fmt.Sprint(i))
	}
	if counted, uncounted := counter.Totals(); counted != maxCounts || uncounted != 10 {
		t.Errorf("counted %d and not %d, want %d and 10", counted, uncounted, maxCounts)
	}
	counts := counter.Pending("x", true)
	for incarnation := range uint64(maxCells/maxCounts + 1) {
		replica.Record(incarnation, counts)
	}
	if replica.cells != maxCells || replica.dropped != maxCounts {
		t.Errorf("replica keeps %d counts and dropped %d, want %d and %d", replica.cells, replica.dropped, maxCells, maxCounts)
	}
	c.advance(2 * Retention)
	counter.Began("a")
	replica.Record(1, counter.Pending("x", false))
	if counter.kept != 1 || replica.cells != 1 {
		t.Errorf("after the retention %d and %d counts are kept, want 1", counter.kept, replica.cells)
	}
}

// BenchmarkBegan measures what counting adds to a request.
func BenchmarkBegan(b *testing.B) {
	for _, workspaces := range []int{77, 10_000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			c := clock.Boot{}
			counter := NewCounter(testWindow, c.Wall)
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				counter.Began(names[i%workspaces])
			}
		})
	}
}

// BenchmarkRecord measures a report of an entry that begins 5 requests of 77 workspaces in
// the 69 ms between two reports.
func BenchmarkRecord(b *testing.B) {
	c := newManualClock()
	replica := NewAggregator(c, testWindow, c.estimate)
	counts := make([]Count, 5)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		for j := range counts {
			counts[j] = Count{Window: WindowOf(c.now, testWindow), Workspace: fmt.Sprint("w", (i+uint64(j))%77), Requests: i}
		}
		replica.Record(i%85, counts)
	}
}
