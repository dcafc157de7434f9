// Package replog defines the interface between the control role and its
// replicated log. Package raft implements it; tests may use the single-replica
// fake in package memlog.
package replog

import (
	"context"
	"errors"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

var (
	// ErrNotLeader means that this replica does not lead the group and cannot
	// accept commands. The command was not appended.
	ErrNotLeader = errors.New("replog: not the leader")
	// ErrOutcomeUnknown means that the outcome is unknown: the command may have been
	// committed, or may still be committed later.
	ErrOutcomeUnknown = errors.New("replog: outcome unknown")
	// ErrStopped means that the replica is shutting down.
	ErrStopped = errors.New("replog: stopped")
)

// StateMachine is the deterministic state machine to which the log applies
// committed commands. The log calls it from a single goroutine.
type StateMachine interface {
	// Apply executes the committed command at the given log index and
	// returns its encoded result. The result and the new state must depend
	// only on the current state and the arguments.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the one in snapshot.
	Restore(snapshot []byte) error
}

// Applied is the outcome of a committed command.
type Applied struct {
	// Index is the log index of the command.
	Index uint64
	// Result is the encoded result that the state machine returned.
	Result []byte
}

// View is one replica's local view of the group, which may be stale.
type View struct {
	// ReplicaID identifies this replica. A replica that lost its disk rejoins
	// with a new ID.
	ReplicaID uint64
	// ClusterID identifies the group.
	ClusterID string
	// Term is the current term.
	Term uint64
	// LeaderID is the replica ID of the known leader, or zero.
	LeaderID uint64
	// LeaderAddress is the peer address of the known leader, if any.
	LeaderAddress string
	// Voters are the replica IDs of the voters in the newest membership
	// configuration in this replica's log, committed or not.
	Voters []uint64
	// MemberAddresses are the peer addresses of that configuration's members,
	// non-voters included.
	MemberAddresses []string
	// VotersIndex is the log index of that configuration.
	VotersIndex uint64
	// LogSettingsIndex is the index of the newest settings command in this
	// replica's log, whether or not it is committed, and whether or not the
	// state machine accepts it.
	LogSettingsIndex uint64
	// CommitIndex is the highest index known to be committed.
	CommitIndex uint64
	// AppliedIndex is the highest index applied to the state machine.
	AppliedIndex uint64
}

// Authority is a leader lease: a leader's time-limited right to act outside
// the log, for example to send an order to an engine that does not check
// fencing tokens.
type Authority struct {
	// Term is the term in which the leader gained the authority.
	Term uint64
	// Until is the instant at which the authority expires unless it is
	// renewed. No other replica gains authority before then.
	Until clock.Instant
}

// Log is one replica of the replicated log.
type Log interface {
	// Submit appends a command and waits until this replica has applied it.
	// It fails with ErrNotLeader if nothing was appended, and with
	// ErrOutcomeUnknown if the outcome cannot be determined.
	Submit(ctx context.Context, command []byte) (Applied, error)
	// ReadBarrier returns once the local state includes every command that
	// was committed on any replica before the call.
	ReadBarrier(ctx context.Context) error
	// View returns this replica's current view of the group.
	View() View
	// Authority returns this replica's current authority; ok is false if it
	// has none.
	Authority() (authority Authority, ok bool)
}
