package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// movingClock is a clock that the test moves.
type movingClock struct {
	clock.Clock
	now clock.Instant
}

func (c *movingClock) Now() clock.Instant { return c.now }

// TestReturnedRetriesNeverWidenTheBudget guards against making more retries within the
// window than the slack allows after others were given back.
func TestReturnedRetriesNeverWidenTheBudget(t *testing.T) {
	const length, slack = time.Second, 3
	rapid.Check(t, func(t *rapid.T) {
		c := &movingClock{}
		w := NewAccount(c, Bound{Slack: slack, Window: length})
		var taken []Retry
		var made []clock.Instant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now += clock.Instant(rapid.IntRange(0, 300).Draw(t, "ms")) * clock.Instant(time.Millisecond)
			if len(taken) > 0 && rapid.Bool().Draw(t, "returns") {
				taken[0].Return()
				taken = taken[1:]
				continue
			}
			r, ok := w.Take()
			switch {
			case !ok:
			case rapid.Bool().Draw(t, "makes"):
				r.Made()
				made = append(made, c.now)
			default:
				taken = append(taken, r)
			}
			recent := 0
			for _, at := range made {
				if c.now.Sub(at) < length {
					recent++
				}
			}
			if recent > slack {
				t.Fatalf("%d retries within %v, want at most %d", recent, length, slack)
			}
		}
	})
}
