package raft_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
)

const voterReplacementTimeout = 5 * time.Second

// spareGroup is three voters and one replica more.
func newSpareGroup(t *testing.T) *fakegroup.Group {
	timing := raft.DefaultTiming
	timing.SilentVoter = voterReplacementTimeout
	return fakegroup.New(t, fakegroup.Options{Replicas: 4, Voters: 3, Timing: timing})
}

// spareOf returns the replica that is no voter.
func spareReplica(g *fakegroup.Group) int {
	voters := g.Node(g.Leader()).View().Voters
	for i := range g.Size() {
		if !slices.Contains(voters, g.Node(i).View().ReplicaID) {
			return i
		}
	}
	return -1
}

// followerOf returns a voter that doesn't lead.
func votingFollower(g *fakegroup.Group) int {
	leader, spare := g.Leader(), spareReplica(g)
	for i := range g.Size() {
		if i != leader && i != spare {
			return i
		}
	}
	return -1
}

// TestSpareTakesASilentVotersPlace loses a voter for good: the spare replaces
// it, so that the loss of one more voter is borne.
func TestSpareReplacesUnresponsiveVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSpareGroup(t)
		submit(t, g, "0")
		lost := votingFollower(g)
		g.Kill(lost)
		time.Sleep(voterReplacementTimeout + 2*time.Second)
		leader := g.Leader()
		if voters := g.Node(leader).View().Voters; len(voters) != 3 {
			t.Fatalf("%d voters", len(voters))
		}
		g.Kill(leader)
		submit(t, g, "1")
		if missing := countMissingKeys(t, g, g.Leader(), 2); missing > 0 {
			t.Errorf("%d changes are lost", missing)
		}
	})
}

// TestShortSilenceChangesNothing restarts a voter within the time allowed.
func TestShortOutageKeepsVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSpareGroup(t)
		spare := spareReplica(g)
		voter := votingFollower(g)
		g.Kill(voter)
		time.Sleep(voterReplacementTimeout - 2*time.Second)
		g.Restart(voter)
		time.Sleep(2 * voterReplacementTimeout)
		if now := spareReplica(g); now != spare {
			t.Errorf("replica %d is the spare, want %d", now, spare)
		}
	})
}

// TestReplacedVoterComesBackAsSpare freezes a voter until it is replaced; it
// can't disturb the group and may join again.
func TestReplacedVoterReturnsAsSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSpareGroup(t)
		frozen := votingFollower(g)
		g.Freeze(frozen)
		time.Sleep(voterReplacementTimeout + 2*time.Second)
		term := g.Node(g.Leader()).View().Term
		g.Thaw(frozen)
		time.Sleep(5 * time.Second)
		leader := g.Node(g.Leader())
		if now := leader.View().Term; now != term {
			t.Errorf("term %d became %d", term, now)
		}
		if spare := spareReplica(g); spare != frozen {
			t.Errorf("replica %d is the spare, want %d", spare, frozen)
		}
		id := g.Node(frozen).View().ReplicaID
		if err := leader.Join(t.Context(), raft.Member{ID: id, Name: "again", Address: "192.0.2.9:1"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if members, err := leader.Members(t.Context()); err != nil || len(members) != 4 {
			t.Errorf("members %v, %v", members, err)
		}
	})
}
