package raft

import "context"

// Storage keeps a replica's durable state. Node calls it from two goroutines:
// Save, Install and Compact from one, Snapshot and SaveSnapshot from another.
// After an error the storage must not be used again.
type Storage interface {
	// Load returns what was stored before the start.
	Load() (Stored, error)
	// Save stores the hard state, if not nil, and the entries, which replace
	// all stored ones from the first one's index on. Everything is synced
	// when it returns.
	Save(state *HardState, entries []Entry) error
	// SaveSnapshot stores a snapshot of this replica's own state.
	SaveSnapshot(s Snapshot) error
	// Install stores a snapshot received from the leader. It replaces the log.
	Install(s Snapshot, state HardState) error
	// Compact permits to drop entries up to index, which a stored snapshot
	// covers.
	Compact(index uint64) error
	// Snapshot returns the newest stored snapshot; ok is false if there is
	// none.
	Snapshot() (s Snapshot, ok bool, err error)
}

// Transport carries messages to other replicas.
type Transport interface {
	// Send queues messages, which may get lost. It doesn't block. The address
	// is empty if it is not known from the membership; the transport then
	// uses the one from which the replica last sent.
	Send(to Member, messages []Message)
	// SendSnapshot carries a MsgSnapshot and returns once the replica has
	// taken it in or the transfer failed.
	SendSnapshot(ctx context.Context, to Member, m Message) error
}
