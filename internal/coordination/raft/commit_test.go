package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// oldTermCommitted replays the end of figure 8 of the Raft paper: a new leader
// finds that a majority stores an entry of an earlier term. It reports whether
// that alone commits the entry.
func oldTermCommitted(t *testing.T, f fault) bool {
	t.Helper()
	s := newSim(5, f)
	r := s.replicas[0]
	r.state = HardState{Term: 2, Vote: 1}
	r.entries = append(r.entries, Entry{Index: 2, Term: 2, Kind: KindCommand})
	s.start(0)
	c := r.core
	s.now = s.now.Add(2 * time.Second)
	c.campaign(r.localTime(s.now), false)
	for _, id := range []uint64{2, 3} {
		c.Step(r.localTime(s.now), Message{Type: MsgVoteReply, From: id, To: 1, Term: 3})
	}
	s.processReady(r)
	for _, id := range []uint64{2, 3} {
		c.Step(r.localTime(s.now), Message{Type: MsgAppendReply, From: id, To: 1, Term: 3, Index: 2})
	}
	if !c.IsLeader() {
		t.Fatal("replica 1 is not the leader, want it to lead term 3")
	}
	return c.commit >= 2
}

func TestOldTermEntryNotCommittedByCountingReplicas(t *testing.T) {
	if oldTermCommitted(t, noFault) {
		t.Error("entry of an old term was committed by counting replicas, want it uncommitted")
	}
	if !oldTermCommitted(t, commitOldTerm) {
		t.Error("with the injected fault, the entry of an old term was not committed, want it committed")
	}
}

func TestSettingsIndexFollowsTruncationAndSnapshot(t *testing.T) {
	isSettings := func(command []byte) bool { return string(command) == "settings" }
	l, err := newEntryLog(isSettings, StoredState{Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 10, Term: 1, SettingsIndex: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	expect := func(want uint64) {
		t.Helper()
		if got := l.settingsIndex(); got != want {
			t.Errorf("got settings index %d, want %d", got, want)
		}
	}
	add := func(data string) {
		l.append(Entry{Index: l.last() + 1, Term: 1, Kind: KindCommand, Data: []byte(data)})
	}
	expect(7)
	add("other")
	add("settings")
	add("settings")
	expect(13)
	l.truncate(13)
	expect(12)
	l.compact(12)
	expect(12)
	l.truncate(13)
	expect(12)
	add("settings")
	expect(13)
	l.truncate(13)
	expect(12)
}

func TestElectionTimeoutsDiffer(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for seed := range uint64(10) {
		c, err := NewCore(CoreOptions{
			ID:         1,
			Timing:     DefaultTiming,
			Rand:       rand.New(rand.NewPCG(seed, 0)),
			IsSettings: func([]byte) bool { return false },
		}, StoredState{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		wait := c.NextTick().Sub(0)
		if wait < DefaultTiming.ElectionTimeout || wait >= 2*DefaultTiming.ElectionTimeout {
			t.Errorf("first campaign after %v, want at least one and less than two election timeouts", wait)
		}
		seen[wait] = true
	}
	if len(seen) < 10 {
		t.Errorf("got %d different election timeouts for 10 seeds, want 10", len(seen))
	}
}

// simWithUnresponsiveReplica returns a simulation of three replicas in which
// the leader has entries that an isolated replica lacks. lastIndex is the last
// index of the isolated replica's log.
func simWithUnresponsiveReplica() (s *sim, leader, unresponsive *simReplica, lastIndex uint64) {
	s = newSim(3, noFault)
	s.advance(5 * time.Second)
	leaderAt := slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.core.IsLeader() })
	leader, unresponsive = s.replicas[leaderAt], s.replicas[(leaderAt+1)%3]
	lastIndex = unresponsive.core.log.last()
	unresponsive.isolated = true
	for range 5 {
		s.propose(leader)
	}
	return s, leader, unresponsive, lastIndex
}

// TestSnapshotsToUnresponsiveReplicaAreBounded guards against a leader that
// sends snapshots over and over to a replica that rejected an append because it
// needs compacted entries and has not replied since.
func TestSnapshotsToUnresponsiveReplicaAreBounded(t *testing.T) {
	s, r, unresponsive, lastIndex := simWithUnresponsiveReplica()
	s.advance(500 * time.Millisecond)
	s.compact(r)
	r.core.Step(r.localTime(s.now), Message{
		Type: MsgAppendReply, From: unresponsive.core.id, To: r.core.id, Term: r.core.term,
		Index: r.core.log.last(), Reject: true, Hint: lastIndex, Sent: r.localTime(s.now),
	})
	s.advance(10 * time.Second)
	maxSnapshots := int(DefaultTiming.ElectionTimeout/DefaultTiming.Heartbeat) + 1
	if s.snapshotRequests == 0 || s.snapshotRequests > maxSnapshots {
		t.Errorf("unresponsive replica was sent %d snapshots, want 1 to %d", s.snapshotRequests, maxSnapshots)
	}
	unresponsive.isolated = false
	s.advance(5 * time.Second)
	if unresponsive.core.commit != s.newestCommitted {
		t.Errorf("reconnected replica has commit index %d, want %d", unresponsive.core.commit, s.newestCommitted)
	}
}

// TestSendingStopsForUnresponsiveReplicaBehindCompaction guards against a
// leader that endlessly sends appends to a replica that needs compacted entries
// and last replied long ago.
func TestSendingStopsForUnresponsiveReplicaBehindCompaction(t *testing.T) {
	s, r, unresponsive, lastIndex := simWithUnresponsiveReplica()
	s.advance(10 * time.Second)
	s.compact(r)
	p := r.core.leaderState.peers[unresponsive.core.id]
	p.state, p.match, p.next = replicating, lastIndex, lastIndex+1
	if r.core.sendNext(r.localTime(s.now), p) {
		t.Fatal("sendNext reports that more can be sent, want false because the next entry is compacted")
	}
	unresponsive.isolated = false
	s.advance(5 * time.Second)
	if unresponsive.core.commit != s.newestCommitted {
		t.Errorf("reconnected replica has commit index %d, want %d", unresponsive.core.commit, s.newestCommitted)
	}
}
