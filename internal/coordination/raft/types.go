package raft

import (
	"errors"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

var (
	// ErrCompacted means that a log entry is covered by a snapshot and gone.
	ErrCompacted = errors.New("raft: entry is compacted")
	// ErrMembershipBusy means that a membership change is not committed yet.
	ErrMembershipBusy = errors.New("raft: a membership change is in progress")
	// ErrNameInUse means that a live voter has the name of a joining replica.
	ErrNameInUse = errors.New("raft: a live voter has this name")
	// ErrDiverged means that the leader's log contradicts what this replica
	// knows to be committed: some replica lost what it had answered for.
	ErrDiverged = errors.New("raft: leader replaces a committed entry")
	// ErrTooLarge means that a command exceeds MaxCommandBytes.
	ErrTooLarge = errors.New("raft: command is too large")
)

// Kind tells what an entry carries.
type Kind uint8

const (
	// KindCommand carries a command for the state machine.
	KindCommand Kind = iota + 1
	// KindNoop is the empty entry with which a leader starts its term.
	KindNoop
	// KindMembers carries encoded Members.
	KindMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// size returns the entry's share of message and log limits, in bytes.
func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}

// entryOverhead is the size of an entry's header, in bytes.
const entryOverhead = 24

// HardState must be stored before any answer that depends on it.
type HardState struct {
	Term uint64
	// Vote is the replica voted for in Term, or zero.
	Vote uint64
}

// SnapshotMeta describes the log up to the point that a snapshot replaces.
type SnapshotMeta struct {
	// Index and Term are those of the last entry the snapshot covers.
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Members is the newest membership at Index and MembersIndex its index.
	Members      Members `cbor:"3,keyasint"`
	MembersIndex uint64  `cbor:"4,keyasint"`
	// SettingsIndex is the index of the newest settings command at Index.
	SettingsIndex uint64 `cbor:"5,keyasint"`
}

// Snapshot is a state machine's encoded state with its place in the log.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType tells what a message is for.
type MessageType uint8

const (
	// MsgPreVote asks whether a vote would be granted.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote is the RequestVote call of the Raft paper, section 5.2.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend is the AppendEntries call of the Raft paper, section 5.3.
	MsgAppend
	// MsgAppendReply answers MsgAppend and MsgSnapshot.
	MsgAppendReply
	// MsgSnapshot is the InstallSnapshot call of the Raft paper, section 7.
	MsgSnapshot
	// MsgTimeoutNow asks a replica to campaign at once.
	MsgTimeoutNow
	// MsgRead asks the leader for a read index.
	MsgRead
	// MsgReadReply answers MsgRead.
	MsgReadReply
)

// Message passes between two replicas. Receivers must not change it.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term is the sender's term; a PreVote carries the term it would start.
	Term uint64
	// Index and LogTerm are the entry before Entries in an append, and the
	// candidate's last entry in a vote. In a reply to an append, Index is the
	// last index known to match; in a read reply, the read index.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	// Commit is the leader's commit index.
	Commit uint64
	Reject bool
	// Hint is the index after which a rejected append should be retried.
	Hint uint64
	// Force marks a vote that a leader asked for by MsgTimeoutNow.
	Force bool
	// Sent is the leader's clock at the time of an append and Round its
	// counter of broadcasts. Replies return both unchanged.
	Sent  clock.Instant
	Round uint64
	// ReadID names a read at the replica that asks.
	ReadID   uint64
	Snapshot *Snapshot
}

// Ready lists what the driver must do, in this order: send Early, store
// Snapshot, store HardState and Entries with one sync, send Messages, apply
// Committed, answer Reads.
type Ready struct {
	// Early may be sent before anything is stored.
	ImmediateMessages []Message
	// Snapshot replaces log and state machine if it is not nil.
	Snapshot *Snapshot
	// HardState is nil if it did not change.
	HardState *HardState
	// Entries replace all stored entries from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
	// SnapshotTo lists the replicas that need the newest snapshot.
	SnapshotTargets []uint64
}

// empty reports whether there is nothing to do.
func (r *Ready) empty() bool {
	return len(r.ImmediateMessages)+len(r.Entries)+len(r.Messages)+len(r.Committed)+len(r.Reads)+len(r.SnapshotTargets) == 0 &&
		r.Snapshot == nil && r.HardState == nil
}

// ReadResult permits the read with the given ID once Index is applied.
type ReadResult struct {
	ID    uint64
	Index uint64
}

// Stored is what a replica finds in its storage at its start.
type Stored struct {
	HardState HardState
	// Snapshot is nil if none was taken.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Timing holds a group's intervals. All replicas must use the same.
type Timing struct {
	// ElectionTimeout is the time without a leader after which a replica may
	// campaign; each campaign waits up to twice as long. It is also the time
	// for which a replica that heard a leader refuses its vote to others.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of a leader's heartbeats.
	Heartbeat time.Duration
	// LeaseMargin shortens the leader's lease against clocks that run at
	// different rates.
	LeaseMargin time.Duration
	// SilentVoter is the time after which a voter that doesn't answer may be
	// replaced by a caught-up non-voter. Zero means never.
	SilentVoter time.Duration
}

// DefaultTiming suits replicas within one region.
var DefaultTiming = Timing{
	ElectionTimeout: time.Second,
	Heartbeat:       100 * time.Millisecond,
	LeaseMargin:     100 * time.Millisecond,
}

// Member is one replica of the group.
type Member struct {
	// ID is the replica's identity, bound to its data folder.
	ID uint64 `cbor:"1,keyasint"`
	// Name is the control process's name in the deployment file; a replica
	// that lost its disk comes back under the same name with a new ID.
	Name string `cbor:"2,keyasint"`
	// Address is the peer address, as IP:port.
	Address string `cbor:"3,keyasint"`
	// Voter is false for a replica that only receives the log.
	Voter bool `cbor:"4,keyasint"`
}

// Members is a membership, sorted by ID. It is immutable.
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

// addresses returns the peer addresses of all members.
func (m Members) addresses() []string {
	out := make([]string, 0, len(m))
	for _, member := range m {
		out = append(out, member.Address)
	}
	return out
}

// voterNamed returns the voter with the given name.
func (m Members) voterNamed(name string) (Member, bool) {
	for _, member := range m {
		if member.Voter && member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// without returns the membership less the members that drop selects.
func (m Members) without(drop func(Member) bool) Members {
	return slices.DeleteFunc(slices.Clone(m), drop)
}

// with returns the membership with the given member added or replaced.
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
