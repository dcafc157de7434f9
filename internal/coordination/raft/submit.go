package raft

import (
	"context"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// Submit implements replog.Log. Beyond the interface it fails with
// ErrTooLarge, having appended nothing.
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
		return replog.Applied{}, fmt.Errorf("submit: %w: %w", replog.ErrUnknown, ctx.Err())
	case <-n.done:
	}
	// The outcome may have come together with the stop.
	select {
	case o := <-p.waiter.outcome:
		return o.applied, o.err
	default:
		return replog.Applied{}, fmt.Errorf("submit: %w: %w", replog.ErrUnknown, replog.ErrStopped)
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

// openRead is a caller of ReadBarrier that waits for a read index.
type readWaiter struct {
	ctx context.Context
	// answer has room for one value.
	answer chan uint64
}

// startReads asks for one read index for all new reads. Open reads whose
// answer may be lost join them, for a later index serves them as well.
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

// takeOpenReads removes all open reads and returns those still wanted.
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
