package outlier

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// TestBackendThatFailsHalfIsKnown guards against a record that each success clears, and against one that outlasts the failures.
func TestBackendThatFailsHalfIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(clock.NewRuntime())
		s.Success("sound")
		s.Failure("once")
		for range 20 {
			s.Failure("half")
			s.Success("half")
			time.Sleep(100 * time.Millisecond)
		}
		if got := s.FailureRate("half"); got < 0.3 || got > 0.6 {
			t.Errorf("the failure rate is %.2f, want about a half", got)
		}
		if got := s.FailureRate("once"); got > 0.15 {
			t.Errorf("the failure rate after one failure is %.2f, want at most 0.15", got)
		}
		if got := s.FailureRate("sound"); got != 0 {
			t.Errorf("the failure rate of a sound backend is %.2f, want 0", got)
		}
		if got := s.Failing(); !slices.Equal(got, []string{"half"}) {
			t.Errorf("got %v as failing, want only the backend that fails half", got)
		}
		for range soundSuccesses {
			s.Success("half")
		}
		if got := s.FailureRate("half"); got != 0 || len(s.Failing()) > 0 {
			t.Errorf("the failure rate of a backend that is sound again is %.2f, want 0", got)
		}
		s.Failure("half")
		time.Sleep(4 * rateDecay)
		s.Failure("other")
		if got := len(*s.rates.failing.Load()); got != 1 {
			t.Errorf("%d backends have outcomes, want only the one that failed lately", got)
		}
	})
}

// TestRejectionsAndLostConnectionsAreNoFailures guards against a failure rate of servers that are only full.
func TestRejectionsAndLostConnectionsAreNoFailures(t *testing.T) {
	s := NewSet(clock.NewRuntime())
	for range ejectionThreshold {
		s.Rejected("full")
		s.NotRun("full")
		s.Unconnected("full")
	}
	if got := s.FailureRate("full"); got != 0 {
		t.Errorf("the failure rate is %.2f, want 0", got)
	}
}
