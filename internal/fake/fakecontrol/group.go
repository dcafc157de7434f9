// Package fakecontrol is a fake group of control replicas for tests under virtual
// time. The test scripts its leader changes, partitions and lost answers. The
// replicas share one log; each has its own state machine.
package fakecontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// LeaseDuration is how long a leader's authority lasts if it is not renewed.
const LeaseDuration = time.Second

// Group is a scripted group. It is safe for concurrent use.
type Group struct {
	clock clock.Clock

	mu       sync.Mutex // guards the fields below and the replicas' fields
	log      [][]byte
	replicas []*Replica
	term     uint64
	// leader is the current leader, or nil if there is none.
	leader *Replica
	// elected is the replica that becomes leader once the old lease has ended.
	elected   *Replica
	leaseEnds clock.Instant
	// lose reports whether the answer to the next commit is lost.
	lose func() bool
	// committed is called with each committed command.
	committed func(index uint64, command []byte)
}

// Options configures a group.
type Options struct {
	Clock clock.Clock
	// Lose reports whether the answer to a commit is lost; nil means never.
	Lose func() bool
	// Committed is called with each command when it is committed; it may be nil.
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
	group        *Group
	id           uint64
	stateMachine replog.StateMachine
	applied      int
	// partitioned means that the replica is cut off from the others, without
	// noticing it.
	partitioned bool
	// believedTerm is the term in which the replica believes that it leads.
	believedTerm  uint64
	authorityEnds clock.Instant
}

// Add adds a replica that applies the log to stateMachine.
func (g *Group) Add(stateMachine replog.StateMachine) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Replica{group: g, id: uint64(len(g.replicas) + 1), stateMachine: stateMachine}
	g.replicas = append(g.replicas, r)
	return r
}

// Elect makes the replica the next leader. It gains authority when the lease of
// the previous leader has ended.
func (g *Group) Elect(r *Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = nil
	g.elected = r
}

// Cut partitions the replica from the others, or reconnects it. A partitioned
// leader still believes that it leads, but its authority is not renewed.
func (g *Group) Cut(r *Replica, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.partitioned = cut
	if !cut {
		r.catchUp()
	}
}

// completeElection makes the elected replica the leader once the old lease has
// ended. The caller holds mu.
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

// catchUp applies the rest of the log, and ends the replica's belief that it
// leads if a newer term has begun. The caller holds the group's mu.
func (r *Replica) catchUp() {
	for ; r.applied < len(r.group.log); r.applied++ {
		r.stateMachine.Apply(uint64(r.applied+1), r.group.log[r.applied])
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

// Commit commits a command without a leader, such as an operator's change.
func (g *Group) Commit(command []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commit(nil, command)
}

// commit appends a command and applies it at the replica by, which may be nil,
// and at every replica that is not partitioned. The caller holds mu.
func (g *Group) commit(by *Replica, command []byte) replog.Applied {
	if by != nil {
		by.catchUp()
	}
	g.log = append(g.log, slices.Clone(command))
	applied := replog.Applied{Index: uint64(len(g.log))}
	g.committed(applied.Index, command)
	if by != nil {
		applied.Result = by.stateMachine.Apply(applied.Index, command)
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

// Authority implements replog.Log. A leader that is not partitioned renews its
// authority with each call.
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
