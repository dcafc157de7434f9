package raft

import (
	"errors"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

var (
	// ErrCompacted means that a log entry has been replaced by a snapshot.
	ErrCompacted = errors.New("raft: entry is compacted")
	// ErrMembershipBusy means that the previous membership change is not yet
	// committed.
	ErrMembershipBusy = errors.New("raft: a membership change is in progress")
	// ErrNameInUse means that a joining replica has the same name as a voter
	// that is still active.
	ErrNameInUse = errors.New("raft: a live voter has this name")
	// ErrDiverged means that the leader's log conflicts with an entry that
	// this replica knows to be committed. It happens only if a replica lost
	// entries or votes that it had acknowledged.
	ErrDiverged = errors.New("raft: leader's log conflicts with a committed entry")
	// ErrTooLarge means that a command exceeds MaxCommandBytes.
	ErrTooLarge = errors.New("raft: command is too large")
)

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// KindCommand is a command for the state machine.
	KindCommand EntryKind = iota + 1
	// KindNoop is the empty entry that a leader appends at the start of its
	// term.
	KindNoop
	// KindMembers is a membership change; its data is the encoded new Members.
	KindMembers
)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// size returns the number of bytes that the entry counts against message and
// log size limits.
func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}

// entryOverhead is the size in bytes that an entry's header counts for.
const entryOverhead = 24

// HardState is the state that must be durable before a message that depends
// on it is sent.
type HardState struct {
	Term uint64
	// Vote is the ID of the replica voted for in Term, or zero.
	Vote uint64
}

// SnapshotMeta describes the log prefix that a snapshot replaces.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Members is the newest membership up to Index, and MembersIndex the
	// index of its entry.
	Members      Members `cbor:"3,keyasint"`
	MembersIndex uint64  `cbor:"4,keyasint"`
	// SettingsIndex is the index of the newest settings command up to Index.
	SettingsIndex uint64 `cbor:"5,keyasint"`
}

// Snapshot is the encoded state of a state machine and its position in the
// log.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType is the type of a Message.
type MessageType uint8

const (
	// MsgPreVote asks whether the receiver would grant a vote.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote is the RequestVote RPC (Raft paper, section 5.2).
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend is the AppendEntries RPC (Raft paper, section 5.3).
	MsgAppend
	// MsgAppendReply answers MsgAppend and MsgSnapshot.
	MsgAppendReply
	// MsgSnapshot is the InstallSnapshot RPC (Raft paper, section 7).
	MsgSnapshot
	// MsgTimeoutNow asks a replica to start an election immediately.
	MsgTimeoutNow
	// MsgRead asks the leader for a read index.
	MsgRead
	// MsgReadReply answers MsgRead.
	MsgReadReply
	// MsgLeaving tells the leader that the sender, a voter, is shutting down.
	MsgLeaving
)

// Message is sent from one replica to another. Receivers must not modify it.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term is the sender's term. MsgPreVote and a granting MsgPreVoteReply
	// carry the term that the campaign would start.
	Term uint64
	// Index and LogTerm identify the entry before Entries in a MsgAppend, and
	// the candidate's last entry in a MsgPreVote or MsgVote. In a
	// MsgAppendReply, Index is the last matching index, or the rejected
	// append's Index; in a MsgReadReply it is the read index.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	// Commit is the leader's commit index.
	Commit uint64
	Reject bool
	// Hint is the index after which the leader should retry a rejected append.
	Hint uint64
	// Force marks a MsgVote sent because of MsgTimeoutNow. Voters then ignore
	// the lease that they support.
	Force bool
	// Sent is the leader's clock when it sent a MsgAppend, and Round its
	// heartbeat round at that time. The reply returns both unchanged.
	Sent  clock.Instant
	Round uint64
	// ReadID identifies a read at the replica that requested it.
	ReadID   uint64
	Snapshot *Snapshot
}

// Ready lists what the driver must do, in this order: send ImmediateMessages,
// store Snapshot, store HardState and Entries with one sync, send Messages,
// apply Committed, complete Reads.
type Ready struct {
	// ImmediateMessages may be sent before anything is stored.
	ImmediateMessages []Message
	// Snapshot, if not nil, replaces the log and the state machine's state.
	Snapshot *Snapshot
	// HardState is nil if unchanged.
	HardState *HardState
	// Entries replace all stored entries from the first one's index on.
	Entries []Entry
	// Messages must be sent only after everything above is durable.
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
	// SnapshotTargets are the IDs of the replicas that need the newest
	// snapshot.
	SnapshotTargets []uint64
}

// empty reports whether the driver has nothing to do.
func (r *Ready) empty() bool {
	return len(r.ImmediateMessages)+len(r.Entries)+len(r.Messages)+len(r.Committed)+len(r.Reads)+len(r.SnapshotTargets) == 0 &&
		r.Snapshot == nil && r.HardState == nil
}

// ReadResult means that the read with the given ID may be served once Index is
// applied.
type ReadResult struct {
	ID    uint64
	Index uint64
}

// StoredState is the persistent state that a replica loads when it starts.
type StoredState struct {
	HardState HardState
	// Snapshot is nil if there is none.
	Snapshot *Snapshot
	// Entries continue the log after the snapshot without a gap.
	Entries []Entry
}

// Timing holds the timeouts and intervals of a group. All replicas must use
// the same values.
type Timing struct {
	// ElectionTimeout is the minimum time without contact from a leader before
	// a replica campaigns; the actual timeout is random, up to twice as long.
	// It is also how long a replica refuses to vote for others after contact
	// from a leader.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between a leader's heartbeats.
	Heartbeat time.Duration
	// LeaseMargin is subtracted from the leader's lease to allow for clocks
	// that run at different rates.
	LeaseMargin time.Duration
	// VoterReplacementTimeout is the time without a reply after which a voter
	// may be replaced by a caught-up learner. Zero means that only learners of the
	// same name replace voters.
	VoterReplacementTimeout time.Duration
}

// DefaultTiming is meant for replicas within one region.
var DefaultTiming = Timing{
	ElectionTimeout: time.Second,
	Heartbeat:       100 * time.Millisecond,
	LeaseMargin:     100 * time.Millisecond,
}

// Member describes one replica of the group.
type Member struct {
	// ID is the replica's identity, which is tied to its data folder.
	ID uint64 `cbor:"1,keyasint"`
	// Name is the control process's name in the deployment file. A replica
	// that lost its disk rejoins under the same name with a new ID.
	Name string `cbor:"2,keyasint"`
	// Address is the peer address in the form IP:port.
	Address string `cbor:"3,keyasint"`
	// Voter is false for a learner, which receives the log but doesn't vote.
	Voter bool `cbor:"4,keyasint"`
}

// Members is the membership of a group, sorted by ID. It is immutable.
type Members []Member

// find returns the member with the given ID.
func (m Members) find(id uint64) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the IDs of all voters.
func (m Members) Voters() []uint64 {
	var out []uint64
	for _, member := range m {
		if member.Voter {
			out = append(out, member.ID)
		}
	}
	return out
}

// names returns the names of the voters, or of the learners.
func (m Members) names(voters bool) []string {
	var out []string
	for _, member := range m {
		if member.Voter == voters {
			out = append(out, member.Name)
		}
	}
	return out
}

// addresses returns the peer addresses of all members.
func (m Members) addresses() []string {
	out := make([]string, 0, len(m))
	for _, member := range m {
		out = append(out, member.Address)
	}
	return out
}

// voterNamed returns the voter with the given name, if any.
func (m Members) voterNamed(name string) (Member, bool) {
	for _, member := range m {
		if member.Voter && member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// without returns a copy without the members for which drop returns true.
func (m Members) without(drop func(Member) bool) Members {
	return slices.DeleteFunc(slices.Clone(m), drop)
}

// withoutID returns a copy without the member with the given ID.
func (m Members) withoutID(id uint64) Members {
	return m.without(func(member Member) bool { return member.ID == id })
}

// with returns a copy in which the given member is added or replaced.
func (m Members) with(added Member) Members {
	out := m.without(func(member Member) bool { return member.ID == added.ID })
	out = append(out, added)
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
