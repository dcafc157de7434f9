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

// acknowledged is what a run of work was told to be durable.
type durableState struct {
	state    raft.HardState
	last     uint64
	lastTerm uint64
}

// work stores entries with a truncation, a snapshot, a compaction, an
// installed snapshot and more entries, until it is done or fails.
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

// found is what the next start finds.
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
					t.Fatalf("crash at change %d, after %v: %v", at, after, err)
				}
				recovered := recoveredState(s)
				if recovered.state.Term < acknowledged.state.Term || recovered.lastTerm < acknowledged.lastTerm ||
					(recovered.lastTerm == acknowledged.lastTerm && recovered.last < acknowledged.last) {
					t.Fatalf("crash at change %d, after %v: found %+v, told %+v", at, after, recovered, acknowledged)
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
		t.Errorf("folder of another replica: %v", err)
	}
	if _, _, err := LoadIdentity(folder, "other", "n"); !errors.Is(err, ErrForeignFolder) {
		t.Errorf("folder of another deployment: %v", err)
	}
	other := testIdentity
	other.ReplicaID = 2
	if _, err := Open(folder, other, testOptions); !errors.Is(err, wal.ErrForeign) {
		t.Errorf("log of another identity: %v", err)
	}
	if _, err := Open(folder, testIdentity, testOptions); err != nil {
		t.Errorf("own folder: %v", err)
	}
	if _, err := Open(folder, testIdentity, testOptions); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("folder in use: %v", err)
	}
}

func TestRefusesFolderWithMissingParts(t *testing.T) {
	d := memdisk.New(1)
	folder := d.Open(nil)
	if err := Init(folder, testIdentity, "192.0.2.1:1", testOptions); err != nil {
		t.Fatal(err)
	}
	if _, _, err := LoadIdentity(folder, "d", "n"); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("log without identity: %v", err)
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
		t.Errorf("identity without log: %v", err)
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
		t.Errorf("open: %v", err)
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
		t.Errorf("second open: %v", err)
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
		t.Errorf("found %+v", recovered)
	}
}
