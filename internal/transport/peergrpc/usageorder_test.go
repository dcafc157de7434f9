package peergrpc

import (
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// stoppedClock is a clock that a test sets.
type stoppedClock struct{ now clock.Instant }

func (c *stoppedClock) Now() clock.Instant { return c.now }
func (c *stoppedClock) Wall() time.Time    { return time.Unix(1_000_000, int64(c.now)) }

// TestEntryIsHeardOnceItsCountsAreKnown guards against a window that is decided between the two
// steps that handle the first report of an entry that was cut off, without its counts.
func TestEntryIsHeardOnceItsCountsAreKnown(t *testing.T) {
	c := &stoppedClock{now: clock.Instant(time.Hour)}
	var counts *usage.Aggregator
	unheard := -1
	counts = usage.NewAggregator(c, 5*time.Second, func() (time.Time, bool) {
		unheard = counts.Unheard(5 * time.Second) // right before the counts are summed
		return c.Wall(), true
	})
	h := NewFleetHub(HubOptions{Usage: counts})
	entry := EntryInfo{Name: "entry-1", Incarnation: 1, Ready: true}
	window := usage.WindowOf(c.Wall(), 5*time.Second)
	report := func(requests uint64) {
		h.recordUsage(entry, &peerpb.EntryReport{Usage: []*peerpb.UsageCount{{Window: window, Workspace: "north", Requests: requests}}})
	}
	report(1)
	c.now += clock.Instant(10 * time.Second)
	report(7)
	if unheard != 1 {
		t.Errorf("%d entries count as unheard before the counts are known, want 1", unheard)
	}
	if n := counts.Unheard(5 * time.Second); n != 0 || counts.Counts(window)["north"] != 7 {
		t.Errorf("%d entries unheard, counts %v, want none and 7", n, counts.Counts(window))
	}
}
