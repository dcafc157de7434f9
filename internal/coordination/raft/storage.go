package raft

import "context"

// Storage keeps a replica's durable state. Node calls it from two goroutines:
// Save, Install and Compact from one, Snapshot and SaveSnapshot from the other.
// After an error the storage must not be used again.
type Storage interface {
	// Load returns the state that was stored before the start.
	Load() (StoredState, error)
	// Save stores the hard state, if not nil, and the entries, which replace
	// all stored entries from the first one's index on. Everything is durable
	// when it returns.
	Save(state *HardState, entries []Entry) error
	// SaveSnapshot stores a snapshot that this replica took of its state.
	SaveSnapshot(s Snapshot) error
	// Install stores a snapshot received from the leader, which replaces the
	// log, and the hard state.
	Install(s Snapshot, state HardState) error
	// Compact allows the storage to drop the entries up to index, which a
	// stored snapshot covers.
	Compact(index uint64) error
	// Snapshot returns the newest stored snapshot; ok is false if there is
	// none.
	Snapshot() (s Snapshot, ok bool, err error)
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send queues messages, which may get lost. It doesn't block. The member's
	// address is empty if it is not known from the membership; the transport
	// then uses the address from which that replica last sent.
	Send(to Member, messages []Message)
	// SendSnapshot sends a MsgSnapshot and returns once the receiver has
	// accepted it or the transfer has failed.
	SendSnapshot(ctx context.Context, to Member, m Message) error
}
