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

// newLearnerGroup returns a group of three voters and one learner, a replica
// that doesn't vote.
func newLearnerGroup(t *testing.T) *fakegroup.Group {
	timing := raft.DefaultTiming
	timing.VoterReplacementTimeout = voterReplacementTimeout
	return fakegroup.New(t, fakegroup.Options{Replicas: 4, Voters: 3, Timing: timing})
}

// learnerReplica returns the number of the replica that is not a voter, or -1.
func learnerReplica(g *fakegroup.Group) int {
	voters := g.Node(g.Leader()).View().Voters
	for i := range g.Size() {
		if !slices.Contains(voters, g.Node(i).View().ReplicaID) {
			return i
		}
	}
	return -1
}

// votingFollower returns the number of a voter that is not the leader, or -1.
func votingFollower(g *fakegroup.Group) int {
	leader, learner := g.Leader(), learnerReplica(g)
	for i := range g.Size() {
		if i != leader && i != learner {
			return i
		}
	}
	return -1
}

// TestLearnerReplacesUnresponsiveVoter stops a voter permanently. The learner
// must replace it, so that the group survives the loss of one more voter.
func TestLearnerReplacesUnresponsiveVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLearnerGroup(t)
		submit(t, g, "0")
		lost := votingFollower(g)
		g.Kill(lost)
		time.Sleep(voterReplacementTimeout + 2*time.Second)
		leader := g.Leader()
		if voters := g.Node(leader).View().Voters; len(voters) != 3 {
			t.Fatalf("got %d voters, want 3", len(voters))
		}
		g.Kill(leader)
		submit(t, g, "1")
		if missing := countMissingKeys(t, g, g.Leader(), 2); missing > 0 {
			t.Errorf("new leader lacks %d of 2 changes, want none missing", missing)
		}
	})
}

// TestShortOutageKeepsVoter restarts a voter before the learner may replace it.
// The voter must stay a voter.
func TestShortOutageKeepsVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLearnerGroup(t)
		learner := learnerReplica(g)
		voter := votingFollower(g)
		g.Kill(voter)
		time.Sleep(voterReplacementTimeout - 2*time.Second)
		g.Restart(voter)
		time.Sleep(2 * voterReplacementTimeout)
		if now := learnerReplica(g); now != learner {
			t.Errorf("replica %d is the learner, want replica %d", now, learner)
		}
	})
}

// TestReplacedVoterReturnsAsLearner freezes a voter until the learner replaces
// it. After it resumes it must not cause an election, and it may join again.
func TestReplacedVoterReturnsAsLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLearnerGroup(t)
		frozen := votingFollower(g)
		g.Freeze(frozen)
		time.Sleep(voterReplacementTimeout + 2*time.Second)
		term := g.Node(g.Leader()).View().Term
		g.Thaw(frozen)
		time.Sleep(5 * time.Second)
		leader := g.Node(g.Leader())
		if now := leader.View().Term; now != term {
			t.Errorf("term changed from %d to %d after the replaced voter resumed, want no change", term, now)
		}
		if learner := learnerReplica(g); learner != frozen {
			t.Errorf("replica %d is the learner, want replica %d", learner, frozen)
		}
		id := g.Node(frozen).View().ReplicaID
		if err := leader.Join(t.Context(), raft.Member{ID: id, Name: "again", Address: "192.0.2.9:1"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if members, err := leader.Members(t.Context()); err != nil || len(members) != 4 {
			t.Errorf("got members %v, error %v, want 4 members and no error", members, err)
		}
	})
}

// TestLeavingVoterHandsOverVote stops a voter by signal while a learner is ready,
// and loses another disk at once. The group must keep its quorum and the committed
// changes.
func TestLeavingVoterHandsOverVote(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newLearnerGroup(t)
				submit(t, g, "0")
				leaving := g.Leader()
				if role == "follower" {
					leaving = votingFollower(g)
				}
				g.StopGracefully(leaving)
				submit(t, g, "1")
				if voters := g.Node(g.Leader()).View().Voters; len(voters) != 3 {
					t.Errorf("%d voters after one has left, want 3", len(voters))
				}
				lost := g.Leader()
				g.LoseDisk(lost)
				g.Restart(lost)
				submit(t, g, "2")
				if missing := countMissingKeys(t, g, g.Leader(), 3); missing > 0 {
					t.Errorf("%d of 3 changes are missing", missing)
				}
			})
		})
	}
}

// TestElectionKeepsSilenceOfDeadLeader kills the leader. The election must not
// restart the time after which a learner replaces it.
func TestElectionKeepsSilenceOfDeadLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLearnerGroup(t)
		dead := g.Leader()
		id := g.Node(dead).View().ReplicaID
		g.Kill(dead)
		time.Sleep(voterReplacementTimeout + 500*time.Millisecond)
		if voters := g.Node(g.Leader()).View().Voters; len(voters) != 3 || slices.Contains(voters, id) {
			t.Errorf("voters are %x, want three without the dead leader %x", voters, id)
		}
	})
}

// TestReplacedVoterRejoins freezes a voter until the learner replaces it. Once it
// resumes it must find out and join again, although it knew a leader.
func TestReplacedVoterRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := raft.DefaultTiming
		timing.VoterReplacementTimeout = voterReplacementTimeout
		g := fakegroup.New(t, fakegroup.Options{Replicas: 4, Voters: 3, Timing: timing, RejoinAfter: time.Second})
		frozen := votingFollower(g)
		g.Freeze(frozen)
		time.Sleep(voterReplacementTimeout + 2*time.Second)
		g.Thaw(frozen)
		time.Sleep(5 * time.Second)
		if members, err := g.Node(g.Leader()).Members(t.Context()); err != nil || len(members) != 4 {
			t.Errorf("got members %v, error %v, want 4 members and no error", members, err)
		}
	})
}

// TestLeavingVoterWaitsOnlyForAHandover stops a voter of a group without a limit on
// voters while a replica that never catches up is a learner. There is nothing to wait
// for.
func TestLeavingVoterWaitsOnlyForAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakegroup.New(t, fakegroup.Options{})
		leader := g.Leader()
		if err := g.Node(leader).Join(t.Context(), raft.Member{ID: 99, Name: "never", Address: "192.0.2.99:1"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		start := time.Now()
		g.StopGracefully((leader + 1) % 3)
		if took := time.Since(start); took > raft.DefaultTiming.Heartbeat {
			t.Errorf("stopped after %v, want at once", took)
		}
	})
}
