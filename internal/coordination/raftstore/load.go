package raftstore

import (
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/state/wal"
)

// load reads the newest snapshot and replays the log that follows it.
func (s *Store) load(o Options) error {
	if err := s.removeTemporary(); err != nil {
		return err
	}
	snapshot, ok, err := s.loadSnapshot()
	if err != nil {
		return err
	}
	if ok {
		s.stored.Snapshot = &snapshot
		s.snapshotIndex = snapshot.Meta.Index
	}
	s.log, err = wal.Open(wal.Options{
		Folder:       s.folder,
		Owner:        s.identity.owner(),
		SegmentBytes: o.SegmentBytes,
	}, s.replay)
	if err != nil {
		return err
	}
	s.stored.HardState = s.state
	if err := s.repeatState(); err != nil {
		return err
	}
	return s.dropCoveredEntries()
}

// repeatState appends the hard state to the open segment unless that holds it: the process
// may have ended, or the disk have been full, before the segment's first records were
// written, and earlier segments are removed without regard to the hard state.
func (s *Store) repeatState() error {
	if s.state == (raft.HardState{}) || s.stateSegment == s.log.Segment() {
		return nil
	}
	if err := s.log.Append([][]byte{encodeState(s.state)}); err != nil {
		return fmt.Errorf("repeat hard state: %w", err)
	}
	return nil
}

// replay applies one record of a log segment to the state being loaded.
func (s *Store) replay(segment uint64, record []byte) error {
	if len(record) == 0 {
		return errBadRecord
	}
	body := record[1:]
	switch recordType(record[0]) {
	case recordState:
		state, err := decodeState(body)
		s.state, s.stateSegment = state, segment
		return err
	case recordEntry:
		e, err := decodeEntry(body)
		if err != nil {
			return err
		}
		s.recordNewestIndex(segment, e.Index)
		return s.replayEntry(e)
	case recordReset:
		_, err := decodeReset(body)
		s.stored.Entries = nil
		return err
	}
	return fmt.Errorf("%w: unknown type %d", errBadRecord, record[0])
}

// replayEntry adds an entry; it replaces all entries from its index on.
func (s *Store) replayEntry(e raft.Entry) error {
	entries := s.stored.Entries
	if len(entries) == 0 {
		s.stored.Entries = append(entries, e)
		return nil
	}
	first := entries[0].Index
	if e.Index > first+uint64(len(entries)) {
		return fmt.Errorf("%w: entry %d follows entry %d", errBadRecord, e.Index, first+uint64(len(entries))-1)
	}
	// The entry may precede the first one: compaction removed the earlier
	// segments, and the entry replaces all that is left of an older leader's.
	keep := max(e.Index, first) - first
	s.stored.Entries = append(entries[:keep], e)
	return nil
}

// dropCoveredEntries drops the entries that the snapshot covers. If the log ends
// before the snapshot or conflicts with it, the process was killed while it
// installed the snapshot, and the whole log is replaced.
func (s *Store) dropCoveredEntries() error {
	if s.stored.Snapshot == nil {
		return s.checkLogStart(0)
	}
	meta := s.stored.Snapshot.Meta
	covered := 0
	agrees := false
	for _, e := range s.stored.Entries {
		if e.Index > meta.Index {
			break
		}
		covered++
		agrees = e.Index == meta.Index && e.Term == meta.Term
	}
	if covered > 0 && !agrees {
		s.stored.Entries = nil
		return s.reset(meta.Index)
	}
	s.stored.Entries = s.stored.Entries[covered:]
	return s.checkLogStart(meta.Index)
}

// checkLogStart returns wal.ErrCorrupt if the log does not start right after
// index.
func (s *Store) checkLogStart(index uint64) error {
	if len(s.stored.Entries) == 0 || s.stored.Entries[0].Index == index+1 {
		return nil
	}
	return fmt.Errorf("%w: log starts at index %d but the snapshot ends at index %d",
		wal.ErrCorrupt, s.stored.Entries[0].Index, index)
}
