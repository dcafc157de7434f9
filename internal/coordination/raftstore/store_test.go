package raftstore

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/wal"
)

var (
	testIdentity = Identity{Deployment: "d", Name: "n", ReplicaID: 1, ClusterID: "c"}
	testOptions  = Options{SegmentBytes: 300}
)

// durableState is the hard state and the end of the log or snapshot that a
// Store acknowledged as durable, or that was found on restart.
type durableState struct {
	state    raft.HardState
	last     uint64
	lastTerm uint64
}

// runWorkload stores entries, truncates them, saves a snapshot, compacts the
// log, installs a snapshot and stores more entries. It stops at the first
// failure and returns the last acknowledged state.
func runWorkload(d *memdisk.Disk) (acknowledged durableState) {
	s, err := open(d.Open(nil), testIdentity, testOptions)
	if err != nil {
		return acknowledged
	}
	save := func(term, first, last uint64) bool {
		var entries []raft.Entry
		for i := first; i <= last; i++ {
			entries = append(entries, raft.Entry{Index: i, Term: term, Kind: raft.KindCommand, Data: fmt.Append(nil, i)})
		}
		state := raft.HardState{Term: term, Vote: 1}
		if s.Save(&state, entries) != nil {
			return false
		}
		acknowledged = durableState{state: state, last: last, lastTerm: term}
		return true
	}
	ok := save(1, 1, 4) && save(1, 5, 12) && save(2, 9, 14) && save(2, 15, 20) &&
		s.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: 14, Term: 2}}) == nil &&
		s.Compact(14) == nil && save(2, 21, 24)
	installed := raft.Snapshot{Meta: raft.SnapshotMeta{Index: 50, Term: 3}}
	if !ok || s.Install(installed, raft.HardState{Term: 3}) != nil {
		return acknowledged
	}
	acknowledged = durableState{state: raft.HardState{Term: 3}, last: 50, lastTerm: 3}
	_ = save(3, 51, 53) && save(3, 54, 56)
	return acknowledged
}

// recoveredState returns the state that the store recovered when it was opened.
func recoveredState(s *Store) durableState {
	stored, _ := s.Load()
	recovered := durableState{state: stored.HardState}
	if stored.Snapshot != nil {
		recovered.last, recovered.lastTerm = stored.Snapshot.Meta.Index, stored.Snapshot.Meta.Term
	}
	for _, e := range stored.Entries {
		recovered.last, recovered.lastTerm = e.Index, e.Term
	}
	return recovered
}

// TestRecoversFromCrashAtEachWrite checks that a crash before or after any disk
// operation loses nothing that was acknowledged as durable.
func TestRecoversFromCrashAtEachWrite(t *testing.T) {
	clean := memdisk.New(1)
	runWorkload(clean)
	for at := 1; at <= clean.Operations(); at++ {
		for _, after := range []bool{false, true} {
			for seed := range uint64(5) {
				d := memdisk.New(seed)
				d.CrashAt(at, after)
				acknowledged := runWorkload(d)
				s, err := open(d.Open(nil), testIdentity, testOptions)
				if err != nil {
					t.Fatalf("open after crash at disk operation %d (after the operation: %v): %v", at, after, err)
				}
				recovered := recoveredState(s)
				if recovered.state.Term < acknowledged.state.Term || recovered.lastTerm < acknowledged.lastTerm ||
					(recovered.lastTerm == acknowledged.lastTerm && recovered.last < acknowledged.last) {
					t.Fatalf("crash at disk operation %d (after the operation: %v): recovered %+v, want at least the acknowledged %+v", at, after, recovered, acknowledged)
				}
			}
		}
	}
}

func TestRefusesFolderOfOtherReplica(t *testing.T) {
	d := memdisk.New(1)
	folder := d.Open(nil)
	if err := Init(folder, testIdentity, "192.0.2.1:1", testOptions); err != nil {
		t.Fatal(err)
	}
	if err := SaveIdentity(folder, testIdentity); err != nil {
		t.Fatal(err)
	}
	if _, _, err := LoadIdentity(folder, "d", "other"); !errors.Is(err, ErrForeignFolder) {
		t.Errorf("load identity of another replica: got %v, want ErrForeignFolder", err)
	}
	if _, _, err := LoadIdentity(folder, "other", "n"); !errors.Is(err, ErrForeignFolder) {
		t.Errorf("load identity of another deployment: got %v, want ErrForeignFolder", err)
	}
	other := testIdentity
	other.ReplicaID = 2
	if _, err := Open(folder, other, testOptions); !errors.Is(err, wal.ErrWrongOwner) {
		t.Errorf("open log of another replica ID: got %v, want wal.ErrWrongOwner", err)
	}
	if _, err := Open(folder, testIdentity, testOptions); err != nil {
		t.Errorf("open own folder: %v", err)
	}
	if _, err := Open(folder, testIdentity, testOptions); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("open folder in use: got %v, want disk.ErrLocked", err)
	}
}

func TestRefusesFolderWithMissingParts(t *testing.T) {
	d := memdisk.New(1)
	folder := d.Open(nil)
	if err := Init(folder, testIdentity, "192.0.2.1:1", testOptions); err != nil {
		t.Fatal(err)
	}
	if _, _, err := LoadIdentity(folder, "d", "n"); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("load identity from folder with log but no identity: got %v, want ErrNotEmpty", err)
	}
	names, err := folder.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if wal.IsSegment(n) {
			_ = folder.Remove(n)
		}
	}
	if _, err := Open(folder, testIdentity, testOptions); !errors.Is(err, ErrNoLog) {
		t.Errorf("open folder without log: got %v, want ErrNoLog", err)
	}
}

func TestRefusesDamagedSnapshot(t *testing.T) {
	d := memdisk.New(1)
	runWorkload(d)
	name := fmt.Sprintf(snapshotFormat, 50)
	d.Crash()
	d.Flip(name, d.Size(name)-1)
	_, err := Open(d.Open(nil), testIdentity, testOptions)
	if err == nil || !strings.Contains(err.Error(), name) {
		t.Errorf("open with damaged snapshot: got %v, want an error that names the snapshot file", err)
	}
}

func TestOSFolder(t *testing.T) {
	folder, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := Init(folder, testIdentity, "192.0.2.1:1", testOptions); err != nil {
		t.Fatal(err)
	}
	s, err := Open(folder, testIdentity, testOptions)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(folder, testIdentity, testOptions); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("second open: got %v, want disk.ErrLocked", err)
	}
	for i := uint64(2); i < 40; i++ {
		entry := raft.Entry{Index: i, Term: 1, Kind: raft.KindCommand, Data: []byte("data")}
		if err := s.Save(nil, []raft.Entry{entry}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: 30, Term: 1}}); err != nil {
		t.Fatal(err)
	}
	if err := s.Compact(30); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, err = Open(folder, testIdentity, testOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if recovered := recoveredState(s); recovered.last != 39 {
		t.Errorf("recovered %+v, want last index 39", recovered)
	}
}
