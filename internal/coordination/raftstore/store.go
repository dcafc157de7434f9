// Package raftstore stores a replica's identity, log and snapshots in its data
// folder. Its Store implements raft.Storage.
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
	// stored is the state found when the store was opened, until Load returns
	// it.
	stored raft.StoredState

	mu    sync.Mutex // guards the fields below
	log   *wal.Log
	state raft.HardState
	// stateSegment is the newest segment that was found to hold the hard state.
	stateSegment uint64
	// newestIndex holds the highest entry index in each segment.
	newestIndex map[uint64]uint64
	// snapshotIndex is the index of the newest stored snapshot, or zero.
	snapshotIndex uint64
}

// Options configures a Store.
type Options struct {
	// SegmentBytes is the size at which a log segment is full and a new one is
	// started.
	SegmentBytes int
}

// DefaultOptions are the options that a control process uses.
var DefaultOptions = Options{SegmentBytes: wal.DefaultSegmentBytes}

// ErrNoLog means that a replica with an identity has lost its log. It must not
// start under that identity, because the log held its votes.
var ErrNoLog = errors.New("raftstore: the log is missing")

// Prepare creates the empty log of a replica that joins a group. The caller
// saves the identity with the group's cluster ID only afterwards, so that a
// folder with an identity but no log has lost its log (see ErrNoLog).
func Prepare(folder disk.Folder, identity Identity, o Options) error {
	s, err := open(folder, identity, o)
	if err != nil {
		return err
	}
	return s.Close()
}

// Init creates the data of a new group's first replica, which is its only
// voter. The caller saves the identity afterwards.
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

// Open opens a replica's data and locks the folder against other processes. It
// fails with disk.ErrLocked, with ErrNoLog, or with an error that names the
// file and offset at which the data is invalid.
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
		if s.log != nil {
			_ = s.log.Close() // err says what is wrong
		}
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the log and unlocks the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.log.Close()
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// Load implements raft.Storage. It returns the state found by Open and releases
// it, so it must be called only once.
func (s *Store) Load() (raft.StoredState, error) {
	stored := s.stored
	s.stored = raft.StoredState{}
	return stored, nil
}

// Save implements raft.Storage. It starts a new segment first if the current
// one is full.
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
		return fmt.Errorf("append to log: %w", err)
	}
	if state != nil {
		s.state = *state
	}
	if len(entries) > 0 {
		s.recordNewestIndex(s.log.Segment(), entries[len(entries)-1].Index)
	}
	return nil
}

// rotate starts a segment that begins with the hard state and the given
// records, so that the earlier segments can be removed. The caller holds s.mu.
func (s *Store) rotate(more ...[]byte) error {
	if err := s.log.Rotate(append([][]byte{encodeState(s.state)}, more...)); err != nil {
		return fmt.Errorf("start log segment: %w", err)
	}
	return nil
}

// recordNewestIndex records that the segment holds the entry at index.
func (s *Store) recordNewestIndex(segment, index uint64) {
	s.newestIndex[segment] = max(s.newestIndex[segment], index)
}

// Install implements raft.Storage. It saves the snapshot before it discards the
// log.
func (s *Store) Install(received raft.Snapshot, state raft.HardState) error {
	if err := s.SaveSnapshot(received); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return s.reset(received.Meta.Index)
}

// reset discards the log and lets it continue after the snapshot that ends at
// index. The caller holds s.mu.
func (s *Store) reset(index uint64) error {
	if err := s.rotate(encodeReset(index)); err != nil {
		return err
	}
	if err := s.log.RemoveBefore(s.log.Segment()); err != nil {
		return fmt.Errorf("remove log segments before snapshot: %w", err)
	}
	clear(s.newestIndex)
	return nil
}

// Compact implements raft.Storage. It removes only segments that hold no entry
// above index.
func (s *Store) Compact(index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment := s.log.Segment()
	for seg := range s.newestIndex {
		if s.newestIndex[seg] > index {
			segment = min(segment, seg)
		}
	}
	if err := s.log.RemoveBefore(segment); err != nil {
		return fmt.Errorf("compact log to index %d: %w", index, err)
	}
	for seg := range s.newestIndex {
		if seg < segment {
			delete(s.newestIndex, seg)
		}
	}
	return nil
}
