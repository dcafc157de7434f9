package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// indexedMembers is a membership with the index of its log entry.
type indexedMembers struct {
	index   uint64
	members Members
}

// entryLog holds the log entries after the last compaction in memory and keeps
// track of the memberships and settings commands among them.
type entryLog struct {
	isSettings func(command []byte) bool
	// base and baseTerm are the index and term of the last compacted entry.
	base     uint64
	baseTerm uint64
	// entries starts with the entry at index base+1.
	entries []Entry
	// storeRequested is the last index returned to the driver to be stored.
	storeRequested uint64
	// memberships is sorted by index. The first one is at or below base.
	memberships []indexedMembers
	// settingsIndexes holds the indexes of settings commands in ascending
	// order. The first one is the newest at or below base.
	settingsIndexes []uint64
}

func newEntryLog(isSettings func([]byte) bool, stored StoredState) (*entryLog, error) {
	l := &entryLog{isSettings: isSettings}
	l.reset(SnapshotMeta{})
	if stored.Snapshot != nil {
		l.reset(stored.Snapshot.Meta)
	}
	for _, e := range stored.Entries {
		if e.Index != l.last()+1 {
			return nil, fmt.Errorf("raft: stored log has a gap: index %d is followed by %d", l.last(), e.Index)
		}
		l.append(e)
	}
	l.storeRequested = l.last()
	return l, nil
}

// reset empties the log, which then continues after the given snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	l.base, l.baseTerm = meta.Index, meta.Term
	l.entries = nil
	l.storeRequested = meta.Index
	l.memberships = []indexedMembers{{index: meta.MembersIndex, members: meta.Members}}
	l.settingsIndexes = []uint64{meta.SettingsIndex}
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. It fails with ErrCompacted for
// an index below base.
func (l *entryLog) term(index uint64) (uint64, error) {
	switch {
	case index < l.base:
		return 0, ErrCompacted
	case index == l.base:
		return l.baseTerm, nil
	case index > l.last():
		return 0, fmt.Errorf("raft: index %d is beyond the last log index %d", index, l.last())
	}
	return l.entries[index-l.base-1].Term, nil
}

// matches reports whether the log holds an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	have, err := l.term(index)
	return err == nil && have == term
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// batch returns the entries from first on that fit into maxBytes, but at least
// one if there is any.
func (l *entryLog) batch(first uint64, maxBytes int) []Entry {
	size := 0
	for index := first; index <= l.last(); index++ {
		size += l.entries[index-l.base-1].size()
		if size > maxBytes && index > first {
			return l.slice(first, index-1)
		}
	}
	return l.slice(first, l.last())
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	switch {
	case e.Kind == KindMembers:
		l.memberships = append(l.memberships, indexedMembers{index: e.Index, members: decodeMembers(e.Data)})
	case e.Kind == KindCommand && l.isSettings(e.Data):
		l.settingsIndexes = append(l.settingsIndexes, e.Index)
	}
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// Slices returned earlier may share the tail, so a later append must not
	// overwrite it.
	l.entries = slices.Clip(l.entries[:index-l.base-1])
	l.storeRequested = min(l.storeRequested, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	for len(l.settingsIndexes) > 1 && l.settingsIndexes[len(l.settingsIndexes)-1] >= index {
		l.settingsIndexes = l.settingsIndexes[:len(l.settingsIndexes)-1]
	}
}

// takeUnstored returns the entries that were not yet returned to be stored, and
// marks them as returned.
func (l *entryLog) takeUnstored() []Entry {
	out := l.slice(l.storeRequested+1, l.last())
	l.storeRequested = l.last()
	return out
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, err := l.term(index)
	if err != nil {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
	for len(l.settingsIndexes) > 1 && l.settingsIndexes[1] <= index {
		l.settingsIndexes = l.settingsIndexes[1:]
	}
}

// newestMembers returns the newest membership, committed or not.
func (l *entryLog) newestMembers() indexedMembers {
	return l.memberships[len(l.memberships)-1]
}

func (l *entryLog) settingsIndex() uint64 {
	return l.settingsIndexes[len(l.settingsIndexes)-1]
}

// EncodeMembers returns the data of a KindMembers entry.
func EncodeMembers(m Members) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// Members has only plain fields, so a failure is a programming error.
		panic("raft: encode members: " + err.Error())
	}
	return data
}

func decodeMembers(data []byte) Members {
	var m Members
	if err := cbor.Unmarshal(data, &m); err != nil {
		// The entry's checksum was correct, so it was written by a version
		// with a different encoding.
		panic("raft: decode members: " + err.Error())
	}
	return m
}
