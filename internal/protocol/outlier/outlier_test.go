package outlier

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// TestEjectionProbeAndRecovery follows one backend through failure, a failed probe and
// recovery.
func TestEjectionProbeAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(clock.NewRuntime())
		ejected := func() bool { return slices.Contains(s.Ejected(), "a") }
		for i := range ejectionThreshold {
			if ejected() {
				t.Errorf("ejected after %d failures", i)
			}
			s.Failure("a")
		}
		if !ejected() {
			t.Fatal("not ejected")
		}
		// Attempts that began before fail too and must not lengthen it.
		for range 50 {
			s.Failure("a")
		}
		time.Sleep(firstEjection)
		if ejected() {
			t.Fatal("no probe is allowed")
		}
		s.Start("a")
		if !ejected() {
			t.Error("others may use the backend during the probe")
		}
		s.Failure("a")
		time.Sleep(firstEjection)
		if !ejected() {
			t.Error("the ejection after a failed probe is not longer")
		}
		time.Sleep(firstEjection)
		s.Start("a")
		s.Success("a")
		if ejected() || len(*s.failing.Load()) != 0 {
			t.Error("a backend that passed its probe is still ejected")
		}
	})
}

func TestEjectionTimeIsBounded(t *testing.T) {
	if got := ejectionTime(100); got != maxEjection {
		t.Errorf("ejection is %v, want %v", got, maxEjection)
	}
}

func TestUnreachableBackendIsEjectedAtOnce(t *testing.T) {
	now := clock.Instant(0)
	if h := (Health{}).Unreachable(now); !h.Ejected(now) {
		t.Errorf("%+v gets more work", h)
	}
	if h := (Health{}).Failed(now); h.Ejected(now) {
		t.Errorf("%+v is ejected after one failure", h)
	}
}

// TestMissingIsReportedUntilReached checks for how long a backend that was not found
// is said to be missing: beyond its ejection, until an attempt reaches it, and
// not for ever if none is made. Silence says nothing of an address.
func TestMissingIsReportedUntilReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSet(clock.NewRuntime())
		missing := func(want bool) {
			t.Helper()
			if got := slices.Contains(s.Missing(), "a"); got != want {
				t.Errorf("missing: %t", got)
			}
		}
		s.Silent("a")
		missing(false)
		s.Success("a")
		s.Gone("a")
		missing(true)
		time.Sleep(firstEjection + time.Millisecond)
		missing(true)
		s.Start("a")
		s.Success("a")
		missing(false)
		s.Gone("a")
		time.Sleep(firstEjection + time.Millisecond)
		s.Start("a")
		s.Failure("a") // it is back and fails
		missing(false)
		s.Success("a")
		s.Gone("a")
		time.Sleep(firstEjection + missingGracePeriod + time.Millisecond)
		missing(false)
	})
}
