package raft

import (
	"context"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// snapshotTaken compacts the log after a snapshot at index was stored.
func (n *Node) snapshotTaken(ctx context.Context, index uint64) {
	keep := min(index, n.options.Compaction.TrailingEntries)
	_ = n.runInLoop(ctx, func(clock.Instant) {
		n.core.Compact(index - keep)
		if err := n.options.Storage.Compact(index - keep); err != nil {
			n.options.Log.Warn("failed to compact log", "error", err)
		}
	})
}

// sendSnapshot sends the newest snapshot to a replica in the background.
func (n *Node) sendSnapshot(ctx context.Context, id uint64) {
	member, ok := n.core.Members().find(id)
	if !ok {
		return
	}
	term := n.core.term
	n.background.Go(func() {
		index, err := n.transferSnapshot(ctx, member, term)
		if err != nil {
			n.options.Log.Warn("failed to send snapshot", "peer", member.Name, "address", member.Address, "error", err)
		}
		_ = n.runInLoop(ctx, func(clock.Instant) { n.core.SnapshotSent(id, index) })
	})
}

// transferSnapshot sends the newest snapshot and returns its index, or zero if
// there is none.
func (n *Node) transferSnapshot(ctx context.Context, to Member, term uint64) (uint64, error) {
	s, ok, err := n.options.Storage.Snapshot()
	if err != nil || !ok {
		return 0, err
	}
	m := Message{Type: MsgSnapshot, From: n.options.ID, To: to.ID, Term: term, Snapshot: &s}
	if err := n.options.Transport.SendSnapshot(ctx, to, m); err != nil {
		return 0, err
	}
	return s.Meta.Index, nil
}
