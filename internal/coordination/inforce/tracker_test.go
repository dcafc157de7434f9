package inforce

import (
	"slices"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

type fixedClock struct {
	now clock.Instant
}

func (c *fixedClock) Now() clock.Instant { return c.now }

func (c *fixedClock) Wall() time.Time { return time.Time{} }

const lease = 3 * time.Second

// bench is a tracker that has heard two entries with version 5 in force.
type bench struct {
	t       *testing.T
	clock   *fixedClock
	tracker *Tracker
	members map[string]member.Member
}

func newBench(t *testing.T) *bench {
	c := &fixedClock{}
	b := &bench{t: t, clock: c, tracker: New(Options{Clock: c, Lease: lease})}
	b.members = map[string]member.Member{
		"entry-1": {Name: "entry-1", Incarnation: 1},
		"entry-2": {Name: "entry-2", Incarnation: 2},
	}
	b.tracker.Applied(5, b.members)
	b.pass(lease + DriftMargin + 1)
	b.tracker.Renewed("entry-1", 1, 5)
	b.tracker.Renewed("entry-2", 2, 5)
	return b
}

func (b *bench) pass(d time.Duration) {
	b.clock.now = b.clock.now.Add(d)
}

func (b *bench) want(version uint64, inForce bool, waiting, lapsed []string) {
	b.t.Helper()
	got := b.tracker.Report(version)
	if got.InForce != inForce || !slices.Equal(got.Waiting, waiting) || !slices.Equal(got.Lapsed, lapsed) {
		b.t.Errorf("report = %+v, want in force %v, waiting %v, lapsed %v", got, inForce, waiting, lapsed)
	}
}

func TestInForceOnceAcknowledged(t *testing.T) {
	b := newBench(t)
	b.want(6, false, []string{"entry-1", "entry-2"}, nil)
	b.tracker.Applied(6, b.members)
	b.tracker.Renewed("entry-1", 1, 6)
	b.want(6, false, []string{"entry-2"}, nil)
	b.tracker.Renewed("entry-2", 2, 7)
	b.want(6, true, nil, nil)
	b.want(5, true, nil, nil)
}

func TestInForceOnceLeasesEnded(t *testing.T) {
	b := newBench(t)
	b.tracker.Applied(6, b.members)
	b.tracker.Renewed("entry-1", 1, 6)
	b.pass(lease + DriftMargin)
	b.want(6, false, []string{"entry-2"}, nil)
	b.pass(1)
	b.want(6, true, nil, []string{"entry-2"})
}

func TestReplacedEntryMayStillHoldItsLease(t *testing.T) {
	b := newBench(t)
	b.tracker.Applied(6, map[string]member.Member{"entry-1": b.members["entry-1"]})
	b.tracker.Renewed("entry-1", 1, 6)
	b.want(6, false, []string{"entry-2"}, nil)
}

func TestNewReplicaKnowsNoHolderAtFirst(t *testing.T) {
	c := &fixedClock{}
	tracker := New(Options{Clock: c, Lease: lease})
	tracker.Applied(6, nil)
	if tracker.Report(6).InForce {
		t.Error("in force, though entries may renew at other replicas")
	}
	c.now = c.now.Add(lease + DriftMargin + 1)
	if !tracker.Report(6).InForce {
		t.Error("not in force after every lease has ended")
	}
}
