package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetIsBoundedByShareOfSuccesses checks with random successes and retries
// that no more is spent than the reserve plus the share of the successes.
func TestBudgetIsBoundedByShareOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(DefaultShare, DefaultReserve)
		successes, spent := 0, 0
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if success {
				b.Success()
				successes++
			} else if b.Spend() {
				spent++
			}
			if limit := DefaultReserve + DefaultShare*float64(successes); float64(spent) > limit {
				t.Fatalf("%d retries after %d successes, more than the budget allows", spent, successes)
			}
		}
	})
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Max: 50 * time.Millisecond}
	maxRandom := func() float64 { return 1 }
	for retry, want := range []time.Duration{10, 20, 40, 50, 50} {
		if got := b.Pause(retry, maxRandom); got != want*time.Millisecond {
			t.Errorf("pause before retry %d is %v, want %v", retry, got, want*time.Millisecond)
		}
	}
}
