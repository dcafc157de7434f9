package raft

import (
	"context"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// Submit implements replog.Log. In addition to the errors of the interface it
// fails with ErrTooLarge, in which case nothing was appended.
func (n *Node) Submit(ctx context.Context, command []byte) (replog.Applied, error) {
	if len(command) > MaxCommandBytes {
		return replog.Applied{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(command))
	}
	p := proposal{command: command, waiter: &waiter{outcome: make(chan outcome, 1)}}
	select {
	case n.proposals <- p:
	case <-n.done:
		return replog.Applied{}, replog.ErrStopped
	case <-ctx.Done():
		return replog.Applied{}, fmt.Errorf("submit: %w: %w", replog.ErrNotLeader, ctx.Err())
	}
	select {
	case o := <-p.waiter.outcome:
		return o.applied, o.err
	case <-ctx.Done():
		return replog.Applied{}, fmt.Errorf("submit: %w: %w", replog.ErrOutcomeUnknown, ctx.Err())
	case <-n.done:
	}
	// The outcome may have arrived at the same time as the stop.
	select {
	case o := <-p.waiter.outcome:
		return o.applied, o.err
	default:
		return replog.Applied{}, fmt.Errorf("submit: %w: %w", replog.ErrOutcomeUnknown, replog.ErrStopped)
	}
}

// ReadBarrier implements replog.Log.
func (n *Node) ReadBarrier(ctx context.Context) error {
	r := readWaiter{ctx: ctx, answer: make(chan uint64, 1)}
	select {
	case n.reads <- r:
	case <-n.done:
		return replog.ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("read barrier: %w", ctx.Err())
	}
	select {
	case index := <-r.answer:
		return n.waiters.waitApplied(ctx, index, n.done)
	case <-n.done:
		return replog.ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("read barrier: %w", ctx.Err())
	}
}

// readWaiter is a caller of ReadBarrier that waits for a read index.
type readWaiter struct {
	ctx context.Context
	// answer has a buffer of one, so that answerReads never blocks.
	answer chan uint64
}

// startReads requests one read index for all new reads. Earlier reads without
// an answer after a heartbeat interval are added to them, because the answer
// may be lost and a later index is valid for them too.
func (n *Node) startReads(now clock.Instant, added []readWaiter) {
	if len(n.readWaiters) > 0 && !now.Before(n.readRetryAt) {
		added = append(added, n.takeReadWaiters()...)
	}
	if len(added) == 0 {
		return
	}
	if len(n.readWaiters) == 0 {
		n.readRetryAt = now.Add(n.options.Timing.Heartbeat)
	}
	n.lastReadID++
	n.readWaiters[n.lastReadID] = added
	n.core.Read(now, n.lastReadID)
}

// takeReadWaiters removes all read waiters and returns those whose context has
// not ended.
func (n *Node) takeReadWaiters() []readWaiter {
	var out []readWaiter
	for id, reads := range n.readWaiters {
		for _, r := range reads {
			if r.ctx.Err() == nil {
				out = append(out, r)
			}
		}
		delete(n.readWaiters, id)
	}
	return out
}

func (n *Node) answerReads(results []ReadResult) {
	for _, result := range results {
		for _, r := range n.readWaiters[result.ID] {
			r.answer <- result.Index
		}
		delete(n.readWaiters, result.ID)
	}
}
