// Package replog defines the replicated log as the control role uses it. The
// consensus that carries it is in package raft; tests may use the
// single-replica stand-in in package memlog.
package replog

import (
	"context"
	"errors"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

var (
	// ErrNotLeader means that this replica can't accept commands now. The
	// command was not appended.
	ErrNotLeader = errors.New("replog: not the leader")
	// ErrUnknown means that the command may or may not have been committed,
	// or may still be committed later.
	ErrUnknown = errors.New("replog: outcome unknown")
	// ErrStopped means that the replica is shutting down.
	ErrStopped = errors.New("replog: stopped")
)

// StateMachine is the deterministic state that the log drives. The log calls
// it from one goroutine only.
type StateMachine interface {
	// Apply executes the committed command at the given log index and
	// returns its encoded result. It must depend on nothing but the state
	// and its arguments.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(snapshot []byte) error
}

// Applied is the outcome of a committed command.
type Applied struct {
	// Index is the log index of the command.
	Index uint64
	// Result is what the state machine returned.
	Result []byte
}

// View describes what one replica knows about the group.
type View struct {
	// ReplicaID is this replica's identity. A replica that lost its disk
	// comes back with a new one.
	ReplicaID uint64
	// ClusterID identifies the group.
	ClusterID string
	// Term is the current term.
	Term uint64
	// LeaderID is the known leader, or zero.
	LeaderID uint64
	// LeaderAddress is the peer address of the known leader, if any.
	LeaderAddress string
	// Voters are the voters of the newest membership configuration in this
	// replica's log, committed or not.
	Voters []uint64
	// MemberAddresses are the peer addresses of that configuration's members,
	// non-voters included.
	MemberAddresses []string
	// VotersIndex is the log index of that configuration.
	VotersIndex uint64
	// LogSettingsIndex is the index of the newest settings command in this
	// replica's log, committed or not, accepted or refused.
	LogSettingsIndex uint64
	// CommitIndex is the highest index known to be committed.
	CommitIndex uint64
	// AppliedIndex is the highest index applied to the state machine.
	AppliedIndex uint64
}

// Authority is a leader's time-bound right to act outside the log, such as
// sending an order to an engine that does not check fencing numbers.
type Authority struct {
	// Term is the term in which the authority was gained.
	Term uint64
	// Until is the instant at which the authority ends unless renewed. No
	// other replica gains authority before it.
	Until clock.Instant
}

// Log is one replica of the replicated log.
type Log interface {
	// Submit appends a command and waits until it was applied here. It
	// fails with ErrNotLeader if nothing was appended, and with ErrUnknown
	// if the outcome can't be told.
	Submit(ctx context.Context, command []byte) (Applied, error)
	// ReadBarrier returns once the local state includes every command that
	// was committed before the call, anywhere in the group.
	ReadBarrier(ctx context.Context) error
	// View returns what this replica knows now.
	View() View
	// Authority returns the leader's current authority; ok is false on a
	// replica that has none.
	Authority() (authority Authority, ok bool)
}
