// Package raftstore keeps a replica's identity, log and snapshots in its data
// folder and implements raft.Storage.
package raftstore

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/wal"
)

// Store is a replica's durable state. It implements raft.Storage.
type Store struct {
	folder   disk.Folder
	identity Identity
	lock     io.Closer
	stored   raft.StoredState

	mu    sync.Mutex // guards the fields below
	log   *wal.Log
	state raft.HardState
	// newest holds the highest entry index in each segment.
	newestIndex map[uint64]uint64
	// snapshotIndex is the newest stored snapshot's, or zero.
	snapshotIndex uint64
}

// Options configures a Store.
type Options struct {
	// SegmentBytes is the size from which a new log segment is started.
	SegmentBytes int
}

// DefaultOptions suits a control process.
var DefaultOptions = Options{SegmentBytes: wal.DefaultSegmentBytes}

// ErrNoLog means that a replica with an identity has lost its log. It may not
// start under that identity, because it forgot its votes.
var ErrNoLog = errors.New("raftstore: the log is missing")

// Prepare makes the empty log of a replica that joins a group. The identity
// with the group's cluster id is saved after it, so that a later start knows
// that there was a log.
func Prepare(folder disk.Folder, identity Identity, o Options) error {
	s, err := open(folder, identity, o)
	if err != nil {
		return err
	}
	return s.Close()
}

// Init makes the data of a group's first replica, its only voter. The
// identity is saved after it.
func Init(folder disk.Folder, identity Identity, address string, o Options) error {
	s, err := open(folder, identity, o)
	if err != nil {
		return err
	}
	if len(s.stored.Entries) == 0 {
		members := raft.Members{{ID: identity.ReplicaID, Name: identity.Name, Address: address, Voter: true}}
		first := raft.Entry{Index: 1, Term: 1, Kind: raft.KindMembers, Data: raft.EncodeMembers(members)}
		err = s.Save(&raft.HardState{Term: 1}, []raft.Entry{first})
	}
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Open opens a replica's data and keeps other processes out. It fails with
// disk.ErrLocked or ErrNoLog, or with the reason for which the data can't be
// trusted, naming file and offset.
func Open(folder disk.Folder, identity Identity, o Options) (*Store, error) {
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(names, wal.IsSegment) {
		return nil, ErrNoLog
	}
	return open(folder, identity, o)
}

func open(folder disk.Folder, identity Identity, o Options) (*Store, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{folder: folder, identity: identity, lock: lock, newestIndex: make(map[uint64]uint64)}
	if err := s.load(o); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

// Close releases the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.log.Close()
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// Load implements raft.Storage.
func (s *Store) Load() (raft.StoredState, error) {
	stored := s.stored
	s.stored = raft.StoredState{}
	return stored, nil
}

// Save implements raft.Storage.
func (s *Store) Save(state *raft.HardState, entries []raft.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log.Full() {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	var records [][]byte
	if state != nil {
		records = append(records, encodeState(*state))
	}
	for _, e := range entries {
		records = append(records, encodeEntry(e))
	}
	if err := s.log.Append(records); err != nil {
		return fmt.Errorf("store log: %w", err)
	}
	if state != nil {
		s.state = *state
	}
	if len(entries) > 0 {
		s.recordNewestIndex(s.log.Segment(), entries[len(entries)-1].Index)
	}
	return nil
}

// rotate starts a segment that can stand without the earlier ones; it needs
// s.mu.
func (s *Store) rotate(more ...[]byte) error {
	if err := s.log.Rotate(append([][]byte{encodeState(s.state)}, more...)); err != nil {
		return fmt.Errorf("start log segment: %w", err)
	}
	return nil
}

func (s *Store) recordNewestIndex(segment, index uint64) {
	s.newestIndex[segment] = max(s.newestIndex[segment], index)
}

// Install implements raft.Storage.
func (s *Store) Install(received raft.Snapshot, state raft.HardState) error {
	if err := s.SaveSnapshot(received); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return s.reset(received.Meta.Index)
}

// reset lets the log continue after a snapshot; it needs s.mu.
func (s *Store) reset(index uint64) error {
	if err := s.rotate(encodeReset(index)); err != nil {
		return err
	}
	if err := s.log.RemoveBefore(s.log.Segment()); err != nil {
		return fmt.Errorf("drop log before snapshot: %w", err)
	}
	clear(s.newestIndex)
	return nil
}

// Compact implements raft.Storage. It drops whole segments only.
func (s *Store) Compact(index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment := s.log.Segment()
	for at := range s.newestIndex {
		if s.newestIndex[at] > index {
			segment = min(segment, at)
		}
	}
	if err := s.log.RemoveBefore(segment); err != nil {
		return fmt.Errorf("compact log to index %d: %w", index, err)
	}
	for at := range s.newestIndex {
		if at < segment {
			delete(s.newestIndex, at)
		}
	}
	return nil
}
