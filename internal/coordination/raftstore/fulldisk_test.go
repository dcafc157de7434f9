package raftstore

import (
	"slices"
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
	"github.com/lagoonshift/lagoonshift/internal/state/wal"
)

var fullDiskIdentity = Identity{ClusterID: "c", Deployment: "d", Name: "n", ReplicaID: 1}

// fullDiskOptions start a new segment at each second entry.
var fullDiskOptions = Options{SegmentBytes: 400}

func testEntries(first, last uint64) []raft.Entry {
	var out []raft.Entry
	for i := first; i <= last; i++ {
		out = append(out, raft.Entry{Index: i, Term: 7, Data: []byte(strings.Repeat("x", 200))})
	}
	return out
}

// save saves entries one by one until one fails, and returns the number of those that
// were saved.
func save(s *Store, entries []raft.Entry) int {
	for i, e := range entries {
		if s.Save(nil, []raft.Entry{e}) != nil {
			return i
		}
	}
	return len(entries)
}

// TestVoteSurvivesFullDiskAtNewSegment guards against losing the term and the vote after the
// disk was full when a segment started and the segments before it are removed.
func TestVoteSurvivesFullDiskAtNewSegment(t *testing.T) {
	d := memdisk.New(1)
	open := func() *Store {
		s, err := open(d.Open(nil), fullDiskIdentity, fullDiskOptions)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	voted := raft.HardState{Term: 7, Vote: 1}
	if err := s.Save(&voted, nil); err != nil {
		t.Fatal(err)
	}
	next := uint64(1)
	for !s.log.Full() {
		next += uint64(save(s, testEntries(next, next)))
	}
	d.SetFull(true)
	if save(s, testEntries(next, next)) != 0 {
		t.Fatal("an entry was saved on a full disk")
	}
	_ = s.Close() // the disk is full
	d.SetFull(false)

	s = open()
	next += uint64(save(s, testEntries(next, next)))
	if err := s.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: next - 1, Term: 7}}); err != nil {
		t.Fatal(err)
	}
	if err := s.Compact(next - 1); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open()
	defer s.Close()
	if got := s.stored.HardState; got != voted {
		t.Errorf("got hard state %+v, want %+v", got, voted)
	}
}

// TestFailedSnapshotsLeaveNoFiles guards against a disk that fills with the parts of
// snapshots that did not fit.
func TestFailedSnapshotsLeaveNoFiles(t *testing.T) {
	d := memdisk.New(1)
	for i := range uint64(5) {
		s, err := open(d.Open(nil), fullDiskIdentity, fullDiskOptions)
		if err != nil {
			t.Fatal(err)
		}
		d.SetFull(true)
		if s.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: i + 1, Term: 7}, Data: make([]byte, 1000)}) == nil {
			t.Fatal("a snapshot was saved on a full disk")
		}
		d.SetFull(false)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	s, err := open(d.Open(nil), fullDiskIdentity, fullDiskOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	names, err := d.Open(nil).List()
	if err != nil {
		t.Fatal(err)
	}
	left := slices.DeleteFunc(names, func(n string) bool { return wal.IsSegment(n) || !snapshot.IsTemporary(n) })
	if len(left) > 0 {
		t.Errorf("files %q are left, want none", left)
	}
}
