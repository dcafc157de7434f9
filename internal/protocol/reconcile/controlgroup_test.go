package reconcile_test

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakecontrol"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// controlGroup is a group of control replicas, numbered from zero.
type controlGroup interface {
	// latestState returns the most recent state of any replica.
	latestState() *store.Store
	// commit commits an operator's command.
	commit(encoded []byte)
	// replica returns a replica's log and state.
	replica(i int) (replog.Log, *store.Store)
	// elect forces a leader change, to the given replica if the implementation
	// can choose the leader.
	elect(i int)
	// isolate partitions a replica from the others, and heal reconnects it.
	isolate(i int)
	heal(i int)
	// stopReplica kills a replica's process and startReplica restarts it.
	stopReplica(i int)
	startReplica(i int)
}

// scriptedGroup is a simulated group whose leader the test chooses.
type scriptedGroup struct {
	group  *fakecontrol.Group
	latest *store.Store
	logs   []*fakecontrol.Replica
	stores []*store.Store
}

func newScriptedGroup(c clock.Clock, lose func() bool) *scriptedGroup {
	g := &scriptedGroup{group: fakecontrol.New(fakecontrol.Options{Clock: c, Lose: lose}), latest: store.New()}
	g.group.Add(g.latest)
	for range replicas {
		stateStore := store.New()
		g.stores = append(g.stores, stateStore)
		g.logs = append(g.logs, g.group.Add(stateStore))
	}
	g.elect(0)
	return g
}

func (g *scriptedGroup) latestState() *store.Store                { return g.latest }
func (g *scriptedGroup) commit(encoded []byte)                    { g.group.Commit(encoded) }
func (g *scriptedGroup) replica(i int) (replog.Log, *store.Store) { return g.logs[i], g.stores[i] }
func (g *scriptedGroup) elect(i int)                              { g.group.Elect(g.logs[i]) }
func (g *scriptedGroup) heal(i int)                               { g.group.Cut(g.logs[i], false) }
func (g *scriptedGroup) stopReplica(int)                          {}
func (g *scriptedGroup) startReplica(int)                         {}

func (g *scriptedGroup) isolate(i int) {
	g.group.Cut(g.logs[i], true)
	g.group.Elect(g.logs[(i+1)%replicas])
}

// raftGroup is a real Raft group: a test can take the leader away but can't choose
// the next one.
type raftGroup struct {
	group *fakegroup.Group
	mu    sync.Mutex // serializes kills and restarts

	storesMu sync.Mutex // guards stores
	// stores holds the state stores of all processes, past and present.
	stores []*store.Store
}

func newRaftGroup(t testing.TB, seed uint64) *raftGroup {
	return &raftGroup{group: fakegroup.New(t, fakegroup.Options{Replicas: replicas, Seed: seed})}
}

// latestState includes the states of frozen and killed replicas: what one of them
// applied was committed, even if no other replica has applied it yet.
func (g *raftGroup) latestState() *store.Store {
	g.storesMu.Lock()
	defer g.storesMu.Unlock()
	for i := range replicas {
		if s := g.group.Store(i); !slices.Contains(g.stores, s) {
			g.stores = append(g.stores, s)
		}
	}
	return slices.MaxFunc(g.stores, func(a, b *store.Store) int { return cmp.Compare(newestIndex(a), newestIndex(b)) })
}

// newestIndex returns the highest command index that can be derived from the state.
func newestIndex(s *store.Store) uint64 {
	orders := s.Orders()
	newest := orders.Version
	for engine, o := range orders.Book.Outstanding {
		newest = max(newest, o.Fence-orders.Book.Holders[engine].FenceBase)
	}
	for _, holder := range orders.Book.Holders {
		newest = max(newest, holder.Since)
	}
	return newest
}

func (g *raftGroup) commit(encoded []byte) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		leader := g.group.CurrentLeader()
		if leader >= 0 {
			if _, err := g.group.Log(leader).Submit(ctx, encoded); err == nil {
				cancel()
				return
			}
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
}

func (g *raftGroup) replica(i int) (replog.Log, *store.Store) {
	return g.group.Log(i), g.group.Store(i)
}
func (g *raftGroup) heal(int) { g.group.Heal() }

// isolate partitions one replica and heals all earlier partitions, so that
// operators can always reach a majority eventually.
func (g *raftGroup) isolate(i int) {
	g.group.Heal()
	g.group.CutOff(i)
}

// elect freezes the leader for 6 s, so that another replica is elected.
func (g *raftGroup) elect(int) {
	leader := g.group.CurrentLeader()
	if leader < 0 {
		return
	}
	g.group.Freeze(leader)
	time.AfterFunc(6*time.Second, func() { g.group.Thaw(leader) })
}

func (g *raftGroup) stopReplica(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.Kill(i)
}

func (g *raftGroup) startReplica(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group.Node(i) != nil && g.group.Running(i) {
		return
	}
	g.group.Restart(i)
}
