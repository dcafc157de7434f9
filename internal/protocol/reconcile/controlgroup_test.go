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
	group    *fakecontrol.Group
	latest   *store.Store
	logs     []*fakecontrol.Replica
	machines []*store.Store
}

func newScriptedGroup(c clock.Clock, lose func() bool) *scriptedGroup {
	s := &scriptedGroup{group: fakecontrol.New(fakecontrol.Options{Clock: c, Lose: lose}), latest: store.New()}
	s.group.Add(s.latest)
	for range replicas {
		machine := store.New()
		s.machines = append(s.machines, machine)
		s.logs = append(s.logs, s.group.Add(machine))
	}
	s.elect(0)
	return s
}

func (s *scriptedGroup) latestState() *store.Store                { return s.latest }
func (s *scriptedGroup) commit(encoded []byte)                    { s.group.Commit(encoded) }
func (s *scriptedGroup) replica(i int) (replog.Log, *store.Store) { return s.logs[i], s.machines[i] }
func (s *scriptedGroup) elect(i int)                              { s.group.Elect(s.logs[i]) }
func (s *scriptedGroup) heal(i int)                               { s.group.Cut(s.logs[i], false) }
func (s *scriptedGroup) stopReplica(int)                          {}
func (s *scriptedGroup) startReplica(int)                         {}

func (s *scriptedGroup) isolate(i int) {
	s.group.Cut(s.logs[i], true)
	s.group.Elect(s.logs[(i+1)%replicas])
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
func (e *raftGroup) latestState() *store.Store {
	e.storesMu.Lock()
	defer e.storesMu.Unlock()
	for i := range replicas {
		if s := e.group.Store(i); !slices.Contains(e.stores, s) {
			e.stores = append(e.stores, s)
		}
	}
	return slices.MaxFunc(e.stores, func(a, b *store.Store) int { return cmp.Compare(newestIndex(a), newestIndex(b)) })
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

func (e *raftGroup) commit(encoded []byte) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		leader := e.group.CurrentLeader()
		if leader >= 0 {
			if _, err := e.group.Log(leader).Submit(ctx, encoded); err == nil {
				cancel()
				return
			}
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
}

func (e *raftGroup) replica(i int) (replog.Log, *store.Store) {
	return e.group.Log(i), e.group.Store(i)
}
func (e *raftGroup) heal(int) { e.group.Heal() }

// isolate partitions one replica and heals all earlier partitions, so that
// operators can always reach a majority eventually.
func (e *raftGroup) isolate(i int) {
	e.group.Heal()
	e.group.CutOff(i)
}

// elect freezes the leader for 6 s, so that another replica is elected.
func (e *raftGroup) elect(int) {
	leader := e.group.CurrentLeader()
	if leader < 0 {
		return
	}
	e.group.Freeze(leader)
	time.AfterFunc(6*time.Second, func() { e.group.Thaw(leader) })
}

func (e *raftGroup) stopReplica(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group.Kill(i)
}

func (e *raftGroup) startReplica(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group.Node(i) != nil && e.group.Running(i) {
		return
	}
	e.group.Restart(i)
}
