package raft

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// loop passes events to the core and processes the resulting Readys. It ends
// when ctx is done, or with an error of the core or the storage.
func (n *Node) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		n.handleEvents(ctx, timer)
		if n.core.fatalErr != nil {
			return n.core.fatalErr
		}
		if err := n.processReady(ctx); err != nil {
			return err
		}
		timer.Reset(n.untilNextTick())
	}
	return nil
}

func (n *Node) untilNextTick() time.Duration {
	next := n.core.NextTick()
	if len(n.readWaiters) > 0 {
		next = min(next, n.readRetryAt)
	}
	return max(0, next.Sub(n.options.Clock.Now()))
}

// handleEvents waits for an event and handles it together with those that are
// already queued, so that they share one sync.
func (n *Node) handleEvents(ctx context.Context, timer *time.Timer) {
	var batch eventBatch
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	case m := <-n.inbox:
		batch.messages = append(batch.messages, m)
	case p := <-n.proposalQueue():
		batch.add(p)
	case r := <-n.reads:
		batch.reads = append(batch.reads, r)
	case call := <-n.calls:
		batch.calls = append(batch.calls, call)
	}
	n.collectQueued(&batch)
	now := n.options.Clock.Now()
	n.core.Tick(now)
	for _, m := range batch.messages {
		n.core.Step(now, m)
	}
	for _, call := range batch.calls {
		call(now)
	}
	n.propose(now, batch.proposals)
	n.startReads(now, batch.reads)
}

// proposalQueue returns the proposals channel. While too many entries are
// uncommitted it returns nil, from which a receive blocks.
func (n *Node) proposalQueue() chan proposal {
	if n.core.log.last()-n.core.commit > maxUncommitted {
		return nil
	}
	return n.proposals
}

// eventBatch holds events that are handled together.
type eventBatch struct {
	messages      []Message
	proposals     []proposal
	proposalBytes int
	reads         []readWaiter
	calls         []func(clock.Instant)
}

func (e *eventBatch) add(p proposal) {
	e.proposals = append(e.proposals, p)
	e.proposalBytes += len(p.command)
}

// collectQueued adds queued events to the batch without blocking, up to the
// batch limits.
func (n *Node) collectQueued(e *eventBatch) {
	for len(e.messages) < maxBatchMessages {
		proposals := n.proposalQueue()
		if e.proposalBytes >= maxBatchBytes {
			proposals = nil
		}
		select {
		case m := <-n.inbox:
			e.messages = append(e.messages, m)
		case p := <-proposals:
			e.add(p)
		case r := <-n.reads:
			e.reads = append(e.reads, r)
		default:
			return
		}
	}
}

// processReady processes Readys until the core has no more work.
func (n *Node) processReady(ctx context.Context) error {
	for {
		n.failUncommittedWaiters()
		now := n.options.Clock.Now()
		ready, ok := n.core.Ready()
		n.publish(now)
		if !ok {
			return nil
		}
		n.sendAll(ready.ImmediateMessages)
		if err := n.store(ready); err != nil {
			return err
		}
		n.core.Persisted(n.options.Clock.Now())
		n.publish(n.options.Clock.Now())
		n.sendAll(ready.Messages)
		n.applier.add(ready)
		n.answerReads(ready.Reads)
		for _, id := range ready.SnapshotTargets {
			n.sendSnapshot(ctx, id)
		}
	}
}

// store makes the snapshot, the hard state and the entries of a Ready durable.
func (n *Node) store(ready Ready) error {
	if ready.Snapshot != nil {
		if err := n.options.Storage.Install(*ready.Snapshot, n.core.lastHardState); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return n.options.Storage.Save(ready.HardState, ready.Entries)
}

// sendAll passes messages to the transport, grouped by receiver.
func (n *Node) sendAll(messages []Message) {
	if len(messages) == 0 {
		return
	}
	byReplica := make(map[uint64][]Message)
	for _, m := range messages {
		byReplica[m.To] = append(byReplica[m.To], m)
	}
	members := n.core.Members()
	for id, batch := range byReplica {
		member, ok := members.find(id)
		if !ok {
			// A joining replica replies before it knows the membership.
			member = Member{ID: id}
		}
		n.options.Transport.Send(member, batch)
	}
}

// propose proposes the commands of one batch and registers their waiters.
func (n *Node) propose(now clock.Instant, batch []proposal) {
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	first, term, err := n.core.Propose(now, commands)
	for i, p := range batch {
		if err != nil {
			p.waiter.finish(replog.Applied{}, replog.ErrNotLeader)
			continue
		}
		n.waiters.add(first+uint64(i), term, p.waiter)
	}
}

// failUncommittedWaiters reports an unknown outcome to the waiters of all
// uncommitted commands if this replica doesn't lead.
func (n *Node) failUncommittedWaiters() {
	if !n.core.IsLeader() {
		n.waiters.failAbove(n.core.commit)
	}
}
