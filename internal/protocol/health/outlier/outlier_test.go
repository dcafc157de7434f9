package outlier

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// TestEjectionProbeAndRecovery follows one backend through failures, a failed
// probe and recovery.
func TestEjectionProbeAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(clock.NewRuntime())
		ejected := func() bool { return slices.Contains(s.Ejected(), "a") }
		for i := range ejectionThreshold {
			if ejected() {
				t.Errorf("ejected after only %d failures", i)
			}
			s.Failure("a")
		}
		if !ejected() {
			t.Fatal("not ejected after ejectionThreshold failures")
		}
		// Failures of attempts that began earlier must not extend the ejection.
		for range 50 {
			s.Failure("a")
		}
		time.Sleep(firstEjection)
		if ejected() {
			t.Fatal("still ejected after the first ejection, want a probe allowed")
		}
		s.AttemptStarted("a")
		if !ejected() {
			t.Error("not ejected for others during the probe")
		}
		s.Failure("a")
		time.Sleep(firstEjection)
		if !ejected() {
			t.Error("the ejection after a failed probe is not longer than the first")
		}
		time.Sleep(firstEjection)
		s.AttemptStarted("a")
		s.Success("a")
		if ejected() || len(*s.failing.Load()) != 0 {
			t.Error("still ejected or recorded as failing after a successful probe")
		}
	})
}

func TestEjectionTimeIsBounded(t *testing.T) {
	if got := ejectionTime(100); got != maxEjection {
		t.Errorf("ejection time is %v, want %v", got, maxEjection)
	}
}

func TestUnreachableBackendIsEjectedAtOnce(t *testing.T) {
	now := clock.Instant(0)
	if h := (Health{}).Unreachable(now); !h.Ejected(now) {
		t.Errorf("not ejected after an attempt found no server: %+v", h)
	}
	if h := (Health{}).Failed(now); h.Ejected(now) {
		t.Errorf("ejected after one ordinary failure: %+v", h)
	}
}

// TestMissingIsReportedUntilReached checks how long a backend that was not found
// is reported as missing: beyond its ejection until an attempt reaches it, and
// for a limited time if none is made. A backend that gives no response is not
// missing: a missing response does not show that its address is wrong.
func TestMissingIsReportedUntilReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(clock.NewRuntime())
		missing := func(want bool) {
			t.Helper()
			if got := slices.Contains(s.LatelyMissing(), "a"); got != want {
				t.Errorf("reported as missing: got %t, want the opposite", got)
			}
		}
		s.Unanswered("a")
		missing(false)
		s.Success("a")
		s.Unreachable("a")
		missing(true)
		time.Sleep(firstEjection + time.Millisecond)
		missing(true)
		s.AttemptStarted("a")
		s.Success("a")
		missing(false)
		s.Unreachable("a")
		time.Sleep(firstEjection + time.Millisecond)
		s.AttemptStarted("a")
		s.Failure("a") // reachable again, but failing
		missing(false)
		s.Success("a")
		s.Unreachable("a")
		time.Sleep(firstEjection + missingGracePeriod + time.Millisecond)
		missing(false)
	})
}

// TestMissingBackendGetsWorkOnlyOnceReached guards against attempts at a backend that refuses connections each time its ejection ends, and against the end of an earlier attempt as evidence that it is back.
func TestMissingBackendGetsWorkOnlyOnceReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(clock.NewRuntime())
		missing := func() bool { return slices.Contains(s.Missing(), "a") }
		s.Unreachable("a")
		time.Sleep(2 * maxEjection)
		s.Success("a")
		s.Failure("a")
		s.Unreachable("a") // a refused connection
		if !missing() {
			t.Error("not missing after attempts that began before, want missing until reached")
		}
		s.Reached("a")
		if missing() || slices.Contains(s.Ejected(), "a") {
			t.Error("left out after an accepted connection, want a probe allowed")
		}
		s.AttemptStarted("a")
		if !slices.Contains(s.Ejected(), "a") || !s.Probing("a") {
			t.Error("not ejected for others during the probe")
		}
		s.Success("a")
		if missing() || len(*s.failing.Load()) != 0 {
			t.Error("still recorded as failing after a successful probe")
		}
		s.Unreachable("a")
		time.Sleep(recordRetention)
		s.Failure("b")
		if got := len(*s.failing.Load()); got != 1 {
			t.Errorf("%d records, want that of a backend without attempts for %v dropped", got, recordRetention)
		}
	})
}
