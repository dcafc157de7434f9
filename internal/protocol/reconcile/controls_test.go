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

// controls is a group of control replicas, numbered from zero.
type controls interface {
	// truth returns the newest state of any replica.
	truth() *store.Store
	// commit commits an operator's command.
	commit(encoded []byte)
	// replica returns a replica's log and state.
	replica(i int) (replog.Log, *store.Store)
	// elect brings about a new leader, the given one if that can be chosen.
	elect(i int)
	cut(i int)
	heal(i int)
	// end ends a replica's process and begin starts it again.
	end(i int)
	begin(i int)
}

// scripted is a group whose leader is chosen.
type scripted struct {
	group    *fakecontrol.Group
	newest   *store.Store
	logs     []*fakecontrol.Replica
	machines []*store.Store
}

func newScripted(c clock.Clock, lose func() bool) *scripted {
	s := &scripted{group: fakecontrol.New(fakecontrol.Options{Clock: c, Lose: lose}), newest: store.New()}
	s.group.Add(s.newest)
	for range replicas {
		machine := store.New()
		s.machines = append(s.machines, machine)
		s.logs = append(s.logs, s.group.Add(machine))
	}
	s.elect(0)
	return s
}

func (s *scripted) truth() *store.Store                      { return s.newest }
func (s *scripted) commit(encoded []byte)                    { s.group.Commit(encoded) }
func (s *scripted) replica(i int) (replog.Log, *store.Store) { return s.logs[i], s.machines[i] }
func (s *scripted) elect(i int)                              { s.group.Elect(s.logs[i]) }
func (s *scripted) heal(i int)                               { s.group.Cut(s.logs[i], false) }
func (s *scripted) end(int)                                  {}
func (s *scripted) begin(int)                                {}

func (s *scripted) cut(i int) {
	s.group.Cut(s.logs[i], true)
	s.group.Elect(s.logs[(i+1)%replicas])
}

// elected is a group under consensus, whose leader can only be taken away.
type elected struct {
	group *fakegroup.Group
	mu    sync.Mutex // serializes kills and starts

	seenMu sync.Mutex // guards seen
	// seen holds the state of every process so far.
	seen []*store.Store
}

func newElected(t testing.TB, seed uint64) *elected {
	return &elected{group: fakegroup.New(t, fakegroup.Options{Replicas: replicas, Seed: seed})}
}

// truth includes states of frozen and of killed replicas: what one of them
// applied was committed, also if no other replica has applied it yet.
func (e *elected) truth() *store.Store {
	e.seenMu.Lock()
	defer e.seenMu.Unlock()
	for i := range replicas {
		if s := e.group.Store(i); !slices.Contains(e.seen, s) {
			e.seen = append(e.seen, s)
		}
	}
	return slices.MaxFunc(e.seen, func(a, b *store.Store) int { return cmp.Compare(newestIndex(a), newestIndex(b)) })
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

func (e *elected) commit(encoded []byte) {
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

func (e *elected) replica(i int) (replog.Log, *store.Store) { return e.group.Log(i), e.group.Store(i) }
func (e *elected) heal(int)                                 { e.group.Heal() }

// cut cuts off one replica and heals every earlier cut, so that operators are
// not cut off for good.
func (e *elected) cut(i int) {
	e.group.Heal()
	e.group.CutOff(i)
}

// elect freezes the leader until another one leads, and thaws it.
func (e *elected) elect(int) {
	leader := e.group.CurrentLeader()
	if leader < 0 {
		return
	}
	e.group.Freeze(leader)
	time.AfterFunc(6*time.Second, func() { e.group.Thaw(leader) })
}

func (e *elected) end(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group.Kill(i)
}

func (e *elected) begin(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group.Node(i) != nil && e.group.Running(i) {
		return
	}
	e.group.Restart(i)
}
