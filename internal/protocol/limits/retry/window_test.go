package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

func (c *manualClock) Wall() time.Time { return time.Time{} }

// TestWindowHoldsOverEverySpan spends retries among random requests and checks
// each span of the window's length against the requests in it or in the span
// half a window earlier.
func TestWindowHoldsOverEverySpan(t *testing.T) {
	const length, share, slack = 10 * time.Second, 0.2, 3.0
	rapid.Check(t, func(t *rapid.T) {
		c := &manualClock{now: clock.Instant(time.Hour)}
		w := NewAccount(c, Bound{Share: share, Slack: slack, Window: length})
		var requests, retries []clock.Instant
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "request") > 0 {
				w.Request()
				requests = append(requests, c.now)
			} else if r, ok := w.Take(); ok {
				r.Made()
				retries = append(retries, c.now)
			}
		}
		for _, end := range retries {
			start := end.Add(-length)
			inSpan := count(retries, start, end)
			earlier := max(count(requests, start, end), count(requests, start.Add(-length/2), end.Add(-length/2)))
			if float64(inSpan) > share*float64(earlier)+slack {
				t.Fatalf("%d retries for %d requests in the span that ends at %v, more than the budget allows", inSpan, earlier, end)
			}
		}
	})
}

func count(events []clock.Instant, after, until clock.Instant) int {
	n := 0
	for _, e := range events {
		if after.Before(e) && !until.Before(e) {
			n++
		}
	}
	return n
}

func TestWindowExpiresOldRequests(t *testing.T) {
	c := &manualClock{}
	w := NewAccount(c, Bound{Share: 1, Window: time.Second})
	w.Request()
	c.now = c.now.Add(time.Hour)
	if _, ok := w.Take(); ok {
		t.Error("a request from an hour ago allowed a retry")
	}
}
