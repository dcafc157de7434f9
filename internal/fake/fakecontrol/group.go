// Package fakecontrol is a stand-in for a group of control replicas whose
// leader changes, cuts and lost answers are scripted. It keeps one log and one
// state per replica and is for tests under virtual time.
package fakecontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// LeaseDuration is how long a leader's authority lasts unless renewed.
const LeaseDuration = time.Second

// Group is a scripted group. It is safe for concurrent use.
type Group struct {
	clock clock.Clock

	mu       sync.Mutex // guards the fields below and the replicas' fields
	log      [][]byte
	replicas []*Replica
	term     uint64
	// leader is the replica that the group follows, nil if there is none.
	leader *Replica
	// elected is the replica that leads once the old lease has ended.
	elected   *Replica
	leaseEnds clock.Instant
	// lose tells whether the answer to the next commit is lost.
	lose func() bool
	// committed is called with each committed command.
	committed func(index uint64, command []byte)
}

// Options configures a group.
type Options struct {
	Clock clock.Clock
	// Lose tells whether the answer to a commit is lost; nil loses none.
	Lose func() bool
	// Committed is called with each command when it is committed; nil for none.
	Committed func(index uint64, command []byte)
}

// New returns a group without replicas.
func New(o Options) *Group {
	g := &Group{clock: o.Clock, lose: o.Lose, committed: o.Committed}
	if g.lose == nil {
		g.lose = func() bool { return false }
	}
	if g.committed == nil {
		g.committed = func(uint64, []byte) {}
	}
	return g
}

// Replica is one replica of the group. It implements replog.Log.
type Replica struct {
	group   *Group
	id      uint64
	machine replog.StateMachine
	applied int
	// partitioned replicas reach nobody; they don't notice.
	partitioned bool
	// believedTerm is the term in which the replica believes that it leads.
	believedTerm  uint64
	authorityEnds clock.Instant
}

// Add adds a replica that drives machine.
func (g *Group) Add(machine replog.StateMachine) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Replica{group: g, id: uint64(len(g.replicas) + 1), machine: machine}
	g.replicas = append(g.replicas, r)
	return r
}

// Elect makes the replica the next leader. It gains authority when the lease
// of the one before has ended.
func (g *Group) Elect(r *Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = nil
	g.elected = r
}

// Cut cuts the replica off, or reconnects it. A cut leader goes on to believe
// that it leads, but its authority is not renewed.
func (g *Group) Cut(r *Replica, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.partitioned = cut
	if !cut {
		r.catchUp()
	}
}

// completeElection lets the elected replica lead. The caller holds mu.
func (g *Group) completeElection() {
	now := g.clock.Now()
	if g.leader != nil || g.elected == nil || now.Before(g.leaseEnds) {
		return
	}
	g.leader = g.elected
	g.elected = nil
	g.term++
	g.leader.believedTerm = g.term
}

// catchUp applies the log. The caller holds the group's mu.
func (r *Replica) catchUp() {
	for ; r.applied < len(r.group.log); r.applied++ {
		r.machine.Apply(uint64(r.applied+1), r.group.log[r.applied])
	}
	if r.believedTerm != r.group.term {
		r.believedTerm = 0
	}
}

// Submit implements replog.Log.
func (r *Replica) Submit(ctx context.Context, command []byte) (replog.Applied, error) {
	g := r.group
	g.mu.Lock()
	g.completeElection()
	if r.partitioned {
		g.mu.Unlock()
		<-ctx.Done()
		return replog.Applied{}, replog.ErrOutcomeUnknown
	}
	defer g.mu.Unlock()
	if g.leader != r {
		return replog.Applied{}, replog.ErrNotLeader
	}
	applied := g.commit(r, command)
	if g.lose() {
		return replog.Applied{}, replog.ErrOutcomeUnknown
	}
	return applied, nil
}

// Commit commits a command without a leader, as an operator's change.
func (g *Group) Commit(command []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commit(nil, command)
}

// commit appends a command and applies it at every replica that is not cut
// off. The caller holds mu.
func (g *Group) commit(by *Replica, command []byte) replog.Applied {
	if by != nil {
		by.catchUp()
	}
	g.log = append(g.log, slices.Clone(command))
	applied := replog.Applied{Index: uint64(len(g.log))}
	g.committed(applied.Index, command)
	if by != nil {
		applied.Result = by.machine.Apply(applied.Index, command)
		by.applied++
	}
	for _, r := range g.replicas {
		if !r.partitioned {
			r.catchUp()
		}
	}
	return applied
}

// ReadBarrier implements replog.Log.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	g := r.group
	g.mu.Lock()
	if !r.partitioned {
		defer g.mu.Unlock()
		r.catchUp()
		return nil
	}
	g.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// View implements replog.Log.
func (r *Replica) View() replog.View {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return replog.View{ReplicaID: r.id, Term: r.group.term, AppliedIndex: uint64(r.applied)}
}

// Authority implements replog.Log. A leader that is not cut off renews its
// authority whenever it asks.
func (r *Replica) Authority() (replog.Authority, bool) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completeElection()
	now := g.clock.Now()
	if g.leader == r && !r.partitioned {
		r.authorityEnds = now.Add(LeaseDuration)
		g.leaseEnds = r.authorityEnds
	}
	held := r.believedTerm != 0 && now.Before(r.authorityEnds)
	return replog.Authority{Term: r.believedTerm, Until: r.authorityEnds}, held
}
