package inforce

import (
	"slices"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// manualClock is a clock that moves only when it is set.
type manualClock struct {
	now clock.Instant
}

func (c *manualClock) Now() clock.Instant { return c.now }

func (c *manualClock) Wall() time.Time { return time.Time{} }

const leaseDuration = 3 * time.Second

// fixture is a tracker that has received renewals of two entries with version
// 5 in force.
type fixture struct {
	t       *testing.T
	clock   *manualClock
	tracker *Tracker
	members map[string]member.Member
}

func newFixture(t *testing.T) *fixture {
	c := &manualClock{}
	f := &fixture{t: t, clock: c, tracker: New(Options{Clock: c, Lease: leaseDuration})}
	f.members = map[string]member.Member{
		"entry-1": {Name: "entry-1", Incarnation: 1},
		"entry-2": {Name: "entry-2", Incarnation: 2},
	}
	f.tracker.Applied(5, f.members)
	f.advance(leaseDuration + DriftMargin + 1)
	f.tracker.Renewed("entry-1", 1, 5)
	f.tracker.Renewed("entry-2", 2, 5)
	return f
}

func (f *fixture) advance(d time.Duration) {
	f.clock.now = f.clock.now.Add(d)
}

func (f *fixture) wantReport(version uint64, inForce bool, waiting, lapsed []string) {
	f.t.Helper()
	got := f.tracker.Report(version)
	if got.InForce != inForce || !slices.Equal(got.Waiting, waiting) || !slices.Equal(got.Lapsed, lapsed) {
		f.t.Errorf("report = %+v, want in force %v, waiting %v, lapsed %v", got, inForce, waiting, lapsed)
	}
}

func TestInForceOnceAcknowledged(t *testing.T) {
	f := newFixture(t)
	f.wantReport(6, false, []string{"entry-1", "entry-2"}, nil)
	f.tracker.Applied(6, f.members)
	f.tracker.Renewed("entry-1", 1, 6)
	f.wantReport(6, false, []string{"entry-2"}, nil)
	f.tracker.Renewed("entry-2", 2, 7)
	f.wantReport(6, true, nil, nil)
	f.wantReport(5, true, nil, nil)
}

func TestInForceOnceLeasesEnded(t *testing.T) {
	f := newFixture(t)
	f.tracker.Applied(6, f.members)
	f.tracker.Renewed("entry-1", 1, 6)
	f.advance(leaseDuration + DriftMargin)
	f.wantReport(6, false, []string{"entry-2"}, nil)
	f.advance(1)
	f.wantReport(6, true, nil, []string{"entry-2"})
}

func TestReplacedEntryMayStillHoldItsLease(t *testing.T) {
	f := newFixture(t)
	f.tracker.Applied(6, map[string]member.Member{"entry-1": f.members["entry-1"]})
	f.tracker.Renewed("entry-1", 1, 6)
	f.wantReport(6, false, []string{"entry-2"}, nil)
}

func TestNewReplicaKnowsNoHolderAtFirst(t *testing.T) {
	c := &manualClock{}
	tracker := New(Options{Clock: c, Lease: leaseDuration})
	tracker.Applied(6, nil)
	if tracker.Report(6).InForce {
		t.Error("new replica reports version 6 in force, want not in force because entries may renew at other replicas")
	}
	c.now = c.now.Add(leaseDuration + DriftMargin + 1)
	if !tracker.Report(6).InForce {
		t.Error("version 6 is not in force after every lease has expired, want in force")
	}
}
