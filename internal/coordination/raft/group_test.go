package raft_test

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// encodeReserve returns an encoded command that reserves a key.
func encodeReserve(t *testing.T, key string) []byte {
	t.Helper()
	command := store.Command{Reserve: &ledger.Reserve{Key: ledger.Key{IdempotencyKey: key}, Attempt: "a"}}
	encoded, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func submit(t *testing.T, g *fakegroup.Group, key string) {
	t.Helper()
	if _, err := g.Submit(t.Context(), g.Leader(), encodeReserve(t, key)); err != nil {
		t.Fatalf("submit %s: %v", key, err)
	}
}

// countMissingKeys returns the number of keys from 0 to n-1 that replica i lacks
// after a read barrier.
func countMissingKeys(t *testing.T, g *fakegroup.Group, i, n int) int {
	t.Helper()
	if err := g.Log(i).ReadBarrier(t.Context()); err != nil {
		t.Fatalf("read barrier at replica %d: %v", i, err)
	}
	count := 0
	g.Store(i).View(func(_ *settings.Tree, l *ledger.Ledger) {
		for k := range n {
			if _, ok := l.Lookup(ledger.Key{IdempotencyKey: fmt.Sprint(k)}); !ok {
				count++
			}
		}
	})
	return count
}

// TestAllDisksLostInTurnRightAfterRejoin loses the disks of all replicas one
// after the other, each as soon as the previous replica is a voter again, in
// every order of the first and the second disk. No committed change may be lost.
func TestAllDisksLostInTurnRightAfterRejoin(t *testing.T) {
	for _, n := range []int{3, 5} {
		for first := range n {
			t.Run(fmt.Sprintf("%d replicas, first %d", n, first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := fakegroup.New(t, fakegroup.Options{Replicas: n, Seed: uint64(first)})
					const perRound = 20
					for round := range n {
						for k := range perRound {
							submit(t, g, fmt.Sprint(round*perRound+k))
						}
						lost := (first + round) % n
						g.LoseDisk(lost)
						g.Restart(lost)
						g.WaitVoters()
					}
					for i := range n {
						if missing := countMissingKeys(t, g, i, n*perRound); missing > 0 {
							t.Errorf("replica %d lacks %d changes, want none missing", i, missing)
						}
					}
				})
			})
		}
	}
}

func TestTwoDisksOfFiveLostTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakegroup.New(t, fakegroup.Options{Replicas: 5, Seed: 3})
		submit(t, g, "0")
		g.LoseDisk(0)
		g.LoseDisk(1)
		submit(t, g, "1")
		g.Restart(0)
		g.Restart(1)
		g.WaitVoters()
		for i := range 5 {
			if missing := countMissingKeys(t, g, i, 2); missing > 0 {
				t.Errorf("replica %d lacks %d of 2 changes, want none missing", i, missing)
			}
		}
	})
}

func TestGracefulStopDoesNotStallCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakegroup.New(t, fakegroup.Options{Seed: 4})
		old := g.Leader()
		start := time.Now()
		g.StopGracefully(old)
		submit(t, g, "0")
		if took := time.Since(start); took > raft.DefaultTiming.ElectionTimeout/4 {
			t.Errorf("stop and next commit took %v of virtual time, want at most a quarter of the election timeout", took)
		}
	})
}

func TestReplicaCatchesUpAfterManyMissedChanges(t *testing.T) {
	for name, compaction := range map[string]raft.Compaction{
		"by log":      raft.DefaultCompaction,
		"by snapshot": {LogBytes: 20_000, TrailingEntries: 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := fakegroup.New(t, fakegroup.Options{Seed: 5, Compaction: compaction, SegmentBytes: 10_000})
				behind := (g.Leader() + 1) % 3
				g.Kill(behind)
				const changes = 1000
				for k := range changes {
					submit(t, g, fmt.Sprint(k))
				}
				g.Restart(behind)
				if missing := countMissingKeys(t, g, behind, changes); missing > 0 {
					t.Errorf("restarted replica lacks %d changes, want none missing", missing)
				}
			})
		})
	}
}

func TestFullDiskStopsReplicaWithoutFalseAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakegroup.New(t, fakegroup.Options{Seed: 6})
		full := g.Leader()
		g.Disk(full).SetFull(true)
		_, err := g.Log(full).Submit(t.Context(), encodeReserve(t, "0"))
		if !errors.Is(err, replog.ErrOutcomeUnknown) {
			t.Errorf("submit to a leader with a full disk: got error %v, want replog.ErrOutcomeUnknown", err)
		}
		// Until its stop is recorded, the stopped replica still counts as leader.
		synctest.Wait()
		submit(t, g, "1")
		if err := g.Err(full); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("replica with a full disk stopped with error %v, want ENOSPC", err)
		}
		if _, ok := g.Log(full).Authority(); ok {
			t.Error("stopped replica has authority, want none")
		}
		g.Disk(full).SetFull(false)
		g.Restart(full)
		if missing := countMissingKeys(t, g, full, 2); missing > 0 {
			t.Errorf("restarted replica lacks %d of 2 changes, want none missing", missing)
		}
	})
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakegroup.New(t, fakegroup.Options{Seed: 7})
		old := g.Leader()
		authority, ok := g.Log(old).Authority()
		if !ok {
			t.Fatal("leader has no authority")
		}
		g.CutOff(old)
		for g.CurrentLeader() == old {
			time.Sleep(time.Millisecond)
		}
		if now := g.Clock().Now(); now.Before(authority.Until) {
			t.Errorf("replica %d became leader at %d, want not before the old leader's authority ends at %d", g.CurrentLeader(), now, authority.Until)
		}
		submit(t, g, "0")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := g.Log(old).ReadBarrier(ctx); err == nil {
			t.Error("isolated leader served a read, want an error")
		}
		if _, err := g.Log(old).Submit(ctx, encodeReserve(t, "1")); err == nil {
			t.Error("isolated leader accepted a command, want an error")
		}
		g.Heal()
		if missing := countMissingKeys(t, g, old, 1); missing > 0 {
			t.Error("reconnected replica lacks the committed change")
		}
	})
}

// TestMajorityReportsCommittedSettingsIndex guards the property that the
// settings lease of entries relies on: once a settings command is committed, a
// majority of the replicas reports its index, so any majority includes one that
// does.
func TestMajorityReportsCommittedSettingsIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakegroup.New(t, fakegroup.Options{Seed: 8})
		command := store.Command{Change: &settings.Change{Operator: "o", Number: 1}}
		encoded, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		applied, err := g.Submit(t.Context(), g.Leader(), encoded)
		if err != nil {
			t.Fatal(err)
		}
		reporting := 0
		for i := range g.Size() {
			if g.Log(i).View().LogSettingsIndex >= applied.Index {
				reporting++
			}
		}
		if reporting <= g.Size()/2 {
			t.Errorf("%d of %d replicas report the index of the settings command, want a majority", reporting, g.Size())
		}
	})
}
