package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// oldTermCommitted plays the end of the Raft paper's figure 8: a new leader
// finds an entry of an earlier term on a majority. It reports whether that
// alone commits the entry.
func oldTermCommitted(t *testing.T, f fault) bool {
	t.Helper()
	s := newSim(5, f)
	r := s.replicas[0]
	r.state = HardState{Term: 2, Vote: 1}
	r.entries = append(r.entries, Entry{Index: 2, Term: 2, Kind: KindCommand})
	s.start(0)
	c := r.core
	s.now = s.now.Add(2 * time.Second)
	c.campaign(r.local(s.now), false)
	for _, id := range []uint64{2, 3} {
		c.Step(r.local(s.now), Message{Type: MsgVoteReply, From: id, To: 1, Term: 3})
	}
	s.settle(r)
	for _, id := range []uint64{2, 3} {
		c.Step(r.local(s.now), Message{Type: MsgAppendReply, From: id, To: 1, Term: 3, Index: 2})
	}
	if !c.IsLeader() {
		t.Fatal("the replica does not lead")
	}
	return c.commit >= 2
}

func TestOldTermIsNotCommittedByCounting(t *testing.T) {
	if oldTermCommitted(t, noFault) {
		t.Error("an entry of an old term was committed by counting")
	}
	if !oldTermCommitted(t, commitOldTerm) {
		t.Error("the planted fault was not reported")
	}
}

func TestSettingsIndexFollowsTruncationAndSnapshot(t *testing.T) {
	isSettings := func(command []byte) bool { return string(command) == "settings" }
	l, err := newEntryLog(isSettings, Stored{Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 10, Term: 1, SettingsIndex: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	expect := func(want uint64) {
		t.Helper()
		if got := l.settingsIndex(); got != want {
			t.Errorf("settings index is %d, want %d", got, want)
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
		}, Stored{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		wait := c.NextTick().Sub(0)
		if wait < DefaultTiming.ElectionTimeout || wait >= 2*DefaultTiming.ElectionTimeout {
			t.Errorf("first campaign after %v", wait)
		}
		seen[wait] = true
	}
	if len(seen) < 10 {
		t.Errorf("%d different timeouts for 10 seeds", len(seen))
	}
}

// simWithSilentReplica returns three replicas, of which the leader has entries
// that a silent one lacks; behind is the last one that it has.
func simWithSilentReplica() (s *sim, leader, silent *simReplica, behind uint64) {
	s = newSim(3, noFault)
	s.pass(5 * time.Second)
	leads := slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.core.IsLeader() })
	leader, silent = s.replicas[leads], s.replicas[(leads+1)%3]
	behind = silent.core.log.last()
	silent.cut = true
	for range 5 {
		s.propose(leader)
	}
	return s, leader, silent, behind
}

// TestSilentReplicaIsSentNoSnapshot lets a replica answer once that it needs
// compacted entries and then fall silent.
func TestSilentReplicaIsSentNoSnapshot(t *testing.T) {
	s, r, silent, behind := simWithSilentReplica()
	s.pass(500 * time.Millisecond)
	s.compact(r)
	r.core.Step(r.local(s.now), Message{
		Type: MsgAppendReply, From: silent.core.id, To: r.core.id, Term: r.core.term,
		Index: r.core.log.last(), Reject: true, Hint: behind, Sent: r.local(s.now),
	})
	s.pass(10 * time.Second)
	most := int(DefaultTiming.ElectionTimeout/DefaultTiming.Heartbeat) + 1
	if s.snapshots == 0 || s.snapshots > most {
		t.Errorf("a silent replica was sent %d snapshots, want 1 to %d", s.snapshots, most)
	}
	silent.cut = false
	s.pass(5 * time.Second)
	if silent.core.commit != s.newest {
		t.Errorf("healed replica is at %d of %d", silent.core.commit, s.newest)
	}
}

// TestLateAnswerOfCompactedReplicaEndsSending guards against a leader that
// goes on for ever to send to a replica which needs compacted entries and last
// answered long ago.
func TestLateAnswerOfCompactedReplicaEndsSending(t *testing.T) {
	s, r, silent, behind := simWithSilentReplica()
	s.pass(10 * time.Second)
	s.compact(r)
	p := r.core.lead.peers[silent.core.id]
	p.flow, p.match, p.next = replicating, behind, behind+1
	if r.core.sendNext(r.local(s.now), p) {
		t.Fatal("nothing was sent and more is to follow")
	}
	silent.cut = false
	s.pass(5 * time.Second)
	if silent.core.commit != s.newest {
		t.Errorf("healed replica is at %d of %d", silent.core.commit, s.newest)
	}
}
