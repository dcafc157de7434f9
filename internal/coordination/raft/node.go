package raft

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

const (
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes = 1 << 20
	// maxBatchBytes limits the total size of the commands that share one sync.
	// The last command may exceed it.
	maxBatchBytes = 4 << 20
	// maxBatchMessages limits the messages handled between two syncs.
	maxBatchMessages = 256
	// maxUncommitted is the number of uncommitted entries above which no
	// proposals are accepted.
	maxUncommitted = 32768
	// queueLength is the capacity of each of the node's event queues.
	queueLength = 4096
)

// Options configures a Node.
type Options struct {
	// ID identifies the replica and ClusterID the group.
	ID           uint64
	ClusterID    string
	StateMachine replog.StateMachine
	Storage      Storage
	Transport    Transport
	Clock        clock.Clock
	// IsSettings reports whether a command is a settings command.
	IsSettings func(command []byte) bool
	Timing     Timing
	Compaction Compaction
	// MaxVoters limits the number of voters; zero means no limit.
	MaxVoters int
	// Seed, together with ID, seeds the random election timeouts.
	Seed uint64
	Log  hclog.Logger
}

// Compaction configures when a snapshot is taken and how much of the log is
// kept.
type Compaction struct {
	// LogBytes is the size of the log since the last snapshot at which a new
	// one is taken. If the last snapshot is larger than LogBytes, its size is
	// used instead, so that snapshots at most double the bytes written.
	LogBytes int
	// TrailingEntries is the number of entries up to the snapshot's index that
	// are kept, so that a replica that is slightly behind needs no snapshot.
	TrailingEntries uint64
}

// DefaultCompaction is meant for control processes.
var DefaultCompaction = Compaction{LogBytes: 16 << 20, TrailingEntries: 8192}

// Node runs one replica of the group. It implements replog.Log.
type Node struct {
	options Options
	// core is used only by the goroutine that runs loop.
	core *Core
	// applier makes all calls to the state machine.
	applier *applier
	waiters *waiters

	inbox     chan Message
	proposals chan proposal
	reads     chan readWaiter
	calls     chan func(now clock.Instant)
	done      chan struct{}

	view      atomic.Pointer[replog.View]
	authority atomic.Pointer[replog.Authority]

	// readWaiters holds the callers of ReadBarrier that wait for a read index,
	// by read ID. It and the next two fields are used only by the goroutine
	// that runs loop.
	readWaiters map[uint64][]readWaiter
	lastReadID  uint64
	readRetryAt clock.Instant

	background sync.WaitGroup
}

type proposal struct {
	command []byte
	waiter  *waiter
}

// New returns a node that continues from the state in its storage. Run starts
// it.
func New(o Options) (*Node, error) {
	stored, err := o.Storage.Load()
	if err != nil {
		return nil, fmt.Errorf("replica %x: load stored state: %w", o.ID, err)
	}
	core, err := NewCore(CoreOptions{
		ID:         o.ID,
		Timing:     o.Timing,
		Rand:       rand.New(rand.NewPCG(o.Seed, o.ID)),
		IsSettings: o.IsSettings,
		MaxVoters:  o.MaxVoters,
	}, stored, o.Clock.Now())
	if err != nil {
		return nil, fmt.Errorf("replica %x: load stored state: %w", o.ID, err)
	}
	n := &Node{
		options:     o,
		core:        core,
		waiters:     newWaiters(),
		inbox:       make(chan Message, queueLength),
		proposals:   make(chan proposal, queueLength),
		reads:       make(chan readWaiter, queueLength),
		calls:       make(chan func(clock.Instant)),
		done:        make(chan struct{}),
		readWaiters: make(map[uint64][]readWaiter),
	}
	n.applier = newApplier(o, n.waiters, n.snapshotTaken)
	if stored.Snapshot != nil {
		if err := o.StateMachine.Restore(stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("replica %x: restore snapshot at index %d: %w", o.ID, stored.Snapshot.Meta.Index, err)
		}
		n.applier.resetToSnapshot(*stored.Snapshot)
	}
	n.publish(o.Clock.Now())
	return n, nil
}

// Run runs the replica until ctx ends or an error occurs. After a storage error
// it answers nothing more, because only a restart can determine what was stored.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.applier.run(ctx) })
	group.Go(func() error { return n.loop(ctx) })
	err := group.Wait()
	n.authority.Store(nil)
	close(n.done)
	n.waiters.failAll()
	n.background.Wait()
	if err != nil {
		return fmt.Errorf("replica %x: %w", n.options.ID, err)
	}
	return nil
}

// Deliver passes a received message to the replica. It blocks while the
// replica's queue is full.
func (n *Node) Deliver(m Message) {
	select {
	case n.inbox <- m:
	case <-n.done:
	}
}

// View implements replog.Log.
func (n *Node) View() replog.View {
	view := *n.view.Load()
	view.AppliedIndex = n.waiters.applied()
	return view
}

// Authority implements replog.Log.
func (n *Node) Authority() (replog.Authority, bool) {
	authority := n.authority.Load()
	if authority == nil || !n.options.Clock.Now().Before(authority.Until) {
		return replog.Authority{}, false
	}
	return *authority, true
}

// Members returns the newest membership in the replica's log, committed or not.
func (n *Node) Members(ctx context.Context) (Members, error) {
	var members Members
	err := n.runInLoop(ctx, func(clock.Instant) { members = n.core.Members() })
	return members, err
}

// Join adds a replica as a learner, which may be promoted to voter once it has
// caught up. It fails with replog.ErrNotLeader, ErrMembershipBusy or
// ErrNameInUse.
func (n *Node) Join(ctx context.Context, added Member) error {
	var err error
	if callErr := n.runInLoop(ctx, func(now clock.Instant) { err = n.core.AddLearner(now, added) }); callErr != nil {
		return callErr
	}
	if err == errNotLeader {
		return replog.ErrNotLeader
	}
	return err
}

// TransferLeadership transfers leadership to another replica if this one leads. It
// returns when another replica leads, or when that isn't possible within an
// election timeout.
func (n *Node) TransferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.ElectionTimeout)
	defer cancel()
	started := false
	if err := n.runInLoop(ctx, func(now clock.Instant) { started = n.core.TransferLeadership(now) }); err != nil || !started {
		return
	}
	ticker := time.NewTicker(n.options.Timing.Heartbeat / transferPollsPerHeartbeat)
	defer ticker.Stop()
	for n.View().LeaderID == n.options.ID || n.View().LeaderID == 0 {
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case <-ticker.C:
		}
	}
}

// Leave hands this replica's vote over to a caught-up learner, if the group has
// one that doesn't vote. It returns when that is done or not possible, or after
// two election timeouts. A leader must transfer its leadership first.
func (n *Node) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*n.options.Timing.ElectionTimeout)
	defer cancel()
	ticker := time.NewTicker(n.options.Timing.Heartbeat)
	defer ticker.Stop()
	for {
		pending := false
		if err := n.runInLoop(ctx, func(clock.Instant) { pending = n.core.Leave() }); err != nil || !pending {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// transferPollsPerHeartbeat is the number of checks for a new leader per
// heartbeat interval.
const transferPollsPerHeartbeat = 10

// runInLoop runs do in the goroutine that runs loop and waits until it returns.
func (n *Node) runInLoop(ctx context.Context, do func(now clock.Instant)) error {
	finished := make(chan struct{})
	runAndSignal := func(now clock.Instant) {
		do(now)
		close(finished)
	}
	select {
	case n.calls <- runAndSignal:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return replog.ErrStopped
	}
	select {
	case <-finished:
		return nil
	case <-n.done:
		return replog.ErrStopped
	}
}

// publish updates the view and the authority that other goroutines read.
func (n *Node) publish(now clock.Instant) {
	c := n.core
	newest := c.log.newestMembers()
	leaderMember, _ := newest.members.find(c.leaderID)
	old := n.view.Load()
	if old != nil && old.LeaderID != c.leaderID {
		n.options.Log.Info("leader changed", "term", c.term, "leader", leaderMember.Name, "address", leaderMember.Address)
	}
	if old != nil && old.VotersIndex != newest.index {
		n.options.Log.Info("members changed", "index", newest.index, "voters", newest.members.names(true), "learners", newest.members.names(false))
	}
	n.view.Store(&replog.View{
		ReplicaID:        n.options.ID,
		ClusterID:        n.options.ClusterID,
		Term:             c.term,
		LeaderID:         c.leaderID,
		LeaderAddress:    leaderMember.Address,
		Voters:           newest.members.Voters(),
		MemberAddresses:  newest.members.addresses(),
		VotersIndex:      newest.index,
		LogSettingsIndex: c.log.settingsIndex(),
		CommitIndex:      c.commit,
	})
	until, ok := c.Lease(now)
	if !ok {
		n.authority.Store(nil)
		return
	}
	n.authority.Store(&replog.Authority{Term: c.term, Until: until})
}
