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
	// latestState returns the newest state of any replica.
	latestState() *store.Store
	// commit commits an operator's command.
	commit(encoded []byte)
	// replica returns a replica's log and state.
	replica(i int) (replog.Log, *store.Store)
	// elect brings about a new leader, the given one if that can be chosen.
	elect(i int)
	isolate(i int)
	heal(i int)
	// stopReplica ends a replica's process and begin starts it again.
	stopReplica(i int)
	startReplica(i int)
}

// scriptedGroup is a group whose leader is chosen.
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

// raftGroup is a group under consensus, whose leader can only be taken away.
type raftGroup struct {
	group *fakegroup.Group
	mu    sync.Mutex // serializes kills and starts

	storesMu sync.Mutex // guards seen
	// stores holds the state of every process so far.
	stores []*store.Store
}

func newRaftGroup(t testing.TB, seed uint64) *raftGroup {
	return &raftGroup{group: fakegroup.New(t, fakegroup.Options{Replicas: replicas, Seed: seed})}
}

// latestState includes states of frozen and of killed replicas: what one of them
// applied was committed, also if no other replica has applied it yet.
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

// newestIndex returns the index of the newest command that shows in the state.
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

// isolate cuts off one replica and heals every earlier cut, so that operators are
// not cut off for good.
func (e *raftGroup) isolate(i int) {
	e.group.Heal()
	e.group.CutOff(i)
}

// elect freezes the leader until another one leads, and thaws it.
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
