package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

func answer(replica, settings, votersIndex uint64, voters ...uint64) Answer {
	return Answer{
		Replica:          replica,
		LogSettingsIndex: settings,
		Voters:           voters,
		VotersIndex:      votersIndex,
		Duration:         3 * time.Second,
	}
}

func TestEvaluate(t *testing.T) {
	tests := []struct {
		name    string
		answers []Answer
		granted bool
	}{
		{"no answer", nil, false},
		{"minority", []Answer{answer(1, 7, 1, 1, 2, 3)}, false},
		{"majority", []Answer{answer(1, 7, 1, 1, 2, 3), answer(2, 7, 1, 1, 2, 3)}, true},
		{"one replica has newer settings", []Answer{answer(1, 8, 1, 1, 2, 3), answer(2, 7, 1, 1, 2, 3)}, false},
		{"majority beside one with newer settings", []Answer{answer(1, 8, 1, 1, 2, 3), answer(2, 7, 1, 1, 2, 3), answer(3, 7, 1, 1, 2, 3)}, true},
		{"one replica twice", []Answer{answer(1, 7, 1, 1, 2, 3), answer(1, 7, 1, 1, 2, 3)}, false},
		{"replica without voters", []Answer{answer(1, 7, 1, 1, 2, 3), answer(2, 7, 0)}, false},
		// Replica 1 is isolated with a voter set that was never committed. A
		// majority of that set is no majority of the committed one.
		{"uncommitted voters", []Answer{answer(1, 7, 9, 1, 2, 3, 4, 5), answer(5, 7, 9, 1, 2, 3, 4, 5), answer(4, 7, 1, 1, 2, 3, 4)}, false},
		{"removed replica does not count", []Answer{answer(1, 7, 5, 1, 2, 4), answer(3, 7, 1, 1, 2, 3)}, false},
		{"newest configuration decides", []Answer{answer(1, 7, 5, 1, 2, 4), answer(4, 7, 5, 1, 2, 4)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Evaluate(test.answers, 7); got.Granted != test.granted {
				t.Errorf("Evaluate granted = %v, want %v", got.Granted, test.granted)
			}
		})
	}
}

func TestGate(t *testing.T) {
	c := &manualClock{}
	holder := NewHolder(c)
	gate := NewGate(holder)
	want := func(version uint64, want error) {
		t.Helper()
		if got := gate.Check(version); !errors.Is(got, want) {
			t.Errorf("Check(%d) = %v, want %v", version, got, want)
		}
	}
	gate.Publish(5)
	want(5, ErrLapsed)
	holder.Extend(c.now, 3*time.Second)
	want(5, nil)
	gate.Publish(4)
	want(4, ErrSuperseded)
	gate.Publish(6)
	want(5, ErrSuperseded)
	holder.Extend(c.now.Add(-time.Second), 3*time.Second)
	c.now = c.now.Add(3*time.Second - 1)
	want(6, nil)
	c.now = c.now.Add(1)
	want(6, ErrLapsed)
}

// manualClock is a clock that moves only when it is set.
type manualClock struct {
	now clock.Instant
}

func (c *manualClock) Now() clock.Instant { return c.now }

func (c *manualClock) Wall() time.Time { return time.Time{} }
