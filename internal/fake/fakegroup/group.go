// Package fakegroup runs a whole group of control replicas in one process,
// with in-memory disks and an in-memory network, under the virtual time of
// testing/synctest. The replicas run the production consensus, log and snapshot
// code; only disks, network and clock are simulated.
//
// All calls must be made inside the synctest bubble in which New was called.
package fakegroup

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	deploymentName = "fake"
	clusterID      = "fake-cluster"
	pollInterval   = 10 * time.Millisecond
	joinInterval   = 100 * time.Millisecond
	// waitTimeout is the virtual time after which waiting for a leader or for
	// voters fails the test.
	waitTimeout = 2 * time.Minute
)

// Options configures a Group. Zero values mean the defaults.
type Options struct {
	// Replicas is the number of replicas; the default is 3.
	Replicas int
	// Seed determines election timeouts, lost messages and what a crash leaves
	// of data that was not synced.
	Seed       uint64
	Timing     raft.Timing
	Compaction raft.Compaction
	// Latency is the one-way delay of a message; the default is 1 ms.
	Latency time.Duration
	// SegmentBytes is the size of a log segment; the default is that of
	// raftstore.
	SegmentBytes int
	// Voters is the maximum number of voters; the default is no limit.
	Voters int
	// RejoinAfter is the time without a known leader after which a replica asks to
	// join again, because it may have been removed; the default is never.
	RejoinAfter time.Duration
}

func (o *Options) setDefaults() {
	if o.Replicas == 0 {
		o.Replicas = 3
	}
	if o.Timing == (raft.Timing{}) {
		o.Timing = raft.DefaultTiming
	}
	if o.Compaction == (raft.Compaction{}) {
		o.Compaction = raft.DefaultCompaction
	}
	if o.Latency == 0 {
		o.Latency = time.Millisecond
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = raftstore.DefaultOptions.SegmentBytes
	}
}

// Group is a group of replicas, numbered from zero.
type Group struct {
	t       testing.TB
	options Options
	clock   clock.Clock
	network *network
	joining sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	replicas []*replica
}

// replica is one VM: a disk that may be lost and a process that may be killed.
type replica struct {
	disk *memdisk.Disk
	// identity is the one stored on the disk; losses is the number of times the
	// disk was lost.
	identity raftstore.Identity
	losses   uint64
	process  *process
}

// New starts a group and waits until every replica is a voter and one leads.
// The group stops when the test ends.
func New(t testing.TB, o Options) *Group {
	t.Helper()
	o.setDefaults()
	g := &Group{t: t, options: o, clock: clock.NewRuntime()}
	g.network = newNetwork(g, o.Latency, o.Seed)
	for i := range o.Replicas {
		g.replicas = append(g.replicas, &replica{disk: memdisk.New(o.Seed + uint64(i)), identity: identityOf(i, 0)})
	}
	first := g.replicas[0]
	folder := first.disk.Open(nil)
	g.requireNoError(raftstore.Init(folder, first.identity, address(0), g.storeOptions()))
	g.requireNoError(raftstore.SaveIdentity(folder, first.identity))
	for i := range g.replicas {
		g.Restart(i)
	}
	t.Cleanup(g.Stop)
	g.WaitVoters()
	return g
}

// Add starts a new replica, which joins the group, and returns its number.
func (g *Group) Add() int {
	g.t.Helper()
	g.mu.Lock()
	i := len(g.replicas)
	g.replicas = append(g.replicas, &replica{disk: memdisk.New(g.options.Seed + uint64(i)), identity: identityOf(i, 0)})
	g.mu.Unlock()
	g.Restart(i)
	return i
}

// identityOf returns the identity of a replica after the given number of disk
// losses.
func identityOf(i int, losses uint64) raftstore.Identity {
	return raftstore.Identity{
		Deployment: deploymentName,
		Name:       fmt.Sprintf("control-%d", i+1),
		ReplicaID:  uint64(i+1) + 100*losses,
		ClusterID:  clusterID,
	}
}

func address(i int) string {
	return fmt.Sprintf("192.0.2.%d:7400", i+1)
}

func (g *Group) storeOptions() raftstore.Options {
	return raftstore.Options{SegmentBytes: g.options.SegmentBytes}
}

func (g *Group) requireNoError(err error) {
	g.t.Helper()
	if err != nil {
		g.t.Fatalf("fakegroup: %v", err)
	}
}

// Size returns the number of replicas, whether they run or not.
func (g *Group) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.replicas)
}

// Clock returns the clock that all replicas share. It never blocks.
func (g *Group) Clock() clock.Clock {
	return g.clock
}

// Log returns a replica's log. Restart replaces it.
func (g *Group) Log(i int) replog.Log {
	return g.Node(i)
}

// Node returns a replica's node, which is its log plus the calls on membership.
// Restart replaces it.
func (g *Group) Node(i int) *raft.Node {
	return g.process(i).node
}

// Store returns a replica's state. Restart replaces it.
func (g *Group) Store(i int) *store.Store {
	return g.process(i).store
}

// Disk returns a replica's disk.
func (g *Group) Disk(i int) *memdisk.Disk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[i].disk
}

// process returns a replica's latest process, which may have ended.
func (g *Group) process(i int) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[i].process
}

// Running reports whether a replica's process runs and is not frozen.
func (g *Group) Running(i int) bool {
	p := g.process(i)
	return p != nil && !p.ended() && !p.gate.closed()
}

// Leader waits until a running replica leads and returns its number. If an old
// leader that is partitioned has not stepped down yet, the leader of the newest
// term is returned.
func (g *Group) Leader() int {
	g.t.Helper()
	for start := g.clock.Now(); g.clock.Now().Sub(start) < waitTimeout; time.Sleep(pollInterval) {
		if i := g.CurrentLeader(); i >= 0 {
			return i
		}
	}
	g.t.Fatalf("fakegroup: no leader after %v", waitTimeout)
	return -1
}

// CurrentLeader returns the running replica that leads in the newest term, or
// -1 if none does.
func (g *Group) CurrentLeader() int {
	found, term := -1, uint64(0)
	for i := range g.Size() {
		if !g.Running(i) {
			continue
		}
		view := g.Node(i).View()
		if view.LeaderID == view.ReplicaID && view.Term >= term {
			found, term = i, view.Term
		}
	}
	return found
}

// WaitVoters waits until every replica is a voter under its current identity and
// there is no other voter, as the leader sees it. It fails the test if that takes
// too long.
func (g *Group) WaitVoters() {
	g.t.Helper()
	for start := g.clock.Now(); g.clock.Now().Sub(start) < waitTimeout; time.Sleep(pollInterval) {
		if g.FullyReplicated() {
			return
		}
	}
	g.t.Fatalf("fakegroup: not all replicas are voters after %v", waitTimeout)
}

// FullyReplicated reports whether the voters in the leader's committed membership are
// exactly the replicas under their current identities, or Options.Voters of them.
// Then the loss of any one disk loses no data.
func (g *Group) FullyReplicated() bool {
	i := g.CurrentLeader()
	return i >= 0 && g.allVoters(g.Node(i).View())
}

func (g *Group) allVoters(view replog.View) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	voters := len(g.replicas)
	if g.options.Voters > 0 {
		voters = min(voters, g.options.Voters)
	}
	if len(view.Voters) != voters || view.VotersIndex > view.CommitIndex {
		return false
	}
	current := make(map[uint64]bool)
	for _, r := range g.replicas {
		current[r.identity.ReplicaID] = true
	}
	for _, id := range view.Voters {
		if !current[id] {
			return false
		}
	}
	return true
}

// Submit submits a command at replica i, which forwards it to the leader at most
// once, as the gRPC server does. If the leader's answer is lost, it returns
// replog.ErrOutcomeUnknown.
func (g *Group) Submit(ctx context.Context, i int, command []byte) (replog.Applied, error) {
	applied, err := g.Log(i).Submit(ctx, command)
	if !errors.Is(err, replog.ErrNotLeader) {
		return applied, err
	}
	to := g.byID(g.Log(i).View().LeaderID)
	if to < 0 || to == i || g.network.isCut(i, to) {
		return replog.Applied{}, replog.ErrNotLeader
	}
	time.Sleep(g.options.Latency)
	applied, err = g.Log(to).Submit(ctx, command)
	if g.network.isCut(to, i) && err == nil {
		return replog.Applied{}, replog.ErrOutcomeUnknown
	}
	return applied, err
}

// byID returns the number of the replica with the given replica ID, or -1 if no
// replica has it now.
func (g *Group) byID(id uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, r := range g.replicas {
		if r.identity.ReplicaID == id {
			return i
		}
	}
	return -1
}
