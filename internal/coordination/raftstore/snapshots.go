package raftstore

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotFormat = snapshotPrefix + "%016x"
)

// snapshotFile is the content of a snapshot file.
type snapshotFile struct {
	Meta raft.SnapshotMeta `cbor:"1,keyasint"`
	Data []byte            `cbor:"2,keyasint"`
}

// SaveSnapshot implements raft.Storage. It ignores a snapshot that is not newer
// than the newest stored one.
func (s *Store) SaveSnapshot(taken raft.Snapshot) error {
	content, err := cbor.Marshal(snapshotFile{Meta: taken.Meta, Data: taken.Data})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	s.mu.Lock()
	newest := s.snapshotIndex
	s.mu.Unlock()
	if taken.Meta.Index <= newest {
		return nil
	}
	// The file is written without holding the lock, so that a large snapshot
	// does not delay commits.
	name := fmt.Sprintf(snapshotFormat, taken.Meta.Index)
	if err := snapshot.Save(s.folder, name, s.identity.owner(), content); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotIndex = max(s.snapshotIndex, taken.Meta.Index)
	return s.removeOldSnapshots()
}

// removeOldSnapshots removes all snapshots but the newest. The caller holds
// s.mu.
func (s *Store) removeOldSnapshots() error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	newest := fmt.Sprintf(snapshotFormat, s.snapshotIndex)
	for _, n := range names {
		if !strings.HasPrefix(n, snapshotPrefix) || snapshot.IsTemporary(n) || n >= newest {
			continue
		}
		if err := s.folder.Remove(n); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}

// removeTemporary removes the snapshots that were not saved completely: a new one has
// another name and doesn't replace them.
func (s *Store) removeTemporary() error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if !strings.HasPrefix(n, snapshotPrefix) || !snapshot.IsTemporary(n) {
			continue
		}
		if err := s.folder.Remove(n); err != nil {
			return fmt.Errorf("remove unfinished snapshot: %w", err)
		}
	}
	return nil
}

// Snapshot implements raft.Storage.
func (s *Store) Snapshot() (raft.Snapshot, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadSnapshot()
}

// loadSnapshot reads the newest snapshot.
func (s *Store) loadSnapshot() (loaded raft.Snapshot, ok bool, err error) {
	names, err := s.folder.List()
	if err != nil {
		return raft.Snapshot{}, false, err
	}
	newest := ""
	for _, n := range names {
		if strings.HasPrefix(n, snapshotPrefix) && !snapshot.IsTemporary(n) {
			newest = max(newest, n)
		}
	}
	if newest == "" {
		return raft.Snapshot{}, false, nil
	}
	content, err := snapshot.Load(s.folder, newest, s.identity.owner())
	if err != nil {
		return raft.Snapshot{}, false, err
	}
	var file snapshotFile
	if err := cbor.Unmarshal(content, &file); err != nil {
		return raft.Snapshot{}, false, fmt.Errorf("decode snapshot %s: %w", newest, err)
	}
	return raft.Snapshot{Meta: file.Meta, Data: file.Data}, true, nil
}
