package raft

import (
	"context"
	"fmt"
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// applier calls the state machine from its own goroutine, separate from that of
// Node.loop, so that a long snapshot delays no heartbeat.
type applier struct {
	stateMachine replog.StateMachine
	storage      Storage
	compaction   Compaction
	waiters      *waiters
	// snapshotTaken is called after a snapshot was stored.
	snapshotTaken func(ctx context.Context, index uint64)

	mu    sync.Mutex // guards queue
	queue []applyTask
	// wake has a buffer of one, so that add never blocks.
	wake chan struct{}

	// The fields below are used only by the goroutine that calls run.
	meta         SnapshotMeta
	logBytes     int
	snapshotSize int
	isSettings   func([]byte) bool
}

// applyTask is either a snapshot to restore or entries to apply.
type applyTask struct {
	snapshot *Snapshot
	entries  []Entry
}

func newApplier(o Options, w *waiters, taken func(context.Context, uint64)) *applier {
	return &applier{
		stateMachine:  o.StateMachine,
		storage:       o.Storage,
		compaction:    o.Compaction,
		waiters:       w,
		snapshotTaken: taken,
		wake:          make(chan struct{}, 1),
		isSettings:    o.IsSettings,
	}
}

// resetToSnapshot records that the state machine has restored the snapshot s.
func (a *applier) resetToSnapshot(s Snapshot) {
	a.meta = s.Meta
	a.snapshotSize = len(s.Data)
	a.logBytes = 0
	a.waiters.snapshotRestored(s.Meta.Index)
}

// add queues the snapshot and the committed entries of a Ready.
func (a *applier) add(ready Ready) {
	if ready.Snapshot == nil && len(ready.Committed) == 0 {
		return
	}
	a.mu.Lock()
	if ready.Snapshot != nil {
		a.queue = append(a.queue, applyTask{snapshot: ready.Snapshot})
	}
	if len(ready.Committed) > 0 {
		a.queue = append(a.queue, applyTask{entries: ready.Committed})
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) takeQueue() []applyTask {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.queue
	a.queue = nil
	return out
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for _, w := range a.takeQueue() {
			if err := a.runTask(w); err != nil {
				return err
			}
		}
		if err := a.maybeSnapshot(ctx); err != nil {
			return err
		}
	}
}

func (a *applier) runTask(w applyTask) error {
	if w.snapshot != nil {
		if err := a.stateMachine.Restore(w.snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot at index %d: %w", w.snapshot.Meta.Index, err)
		}
		a.resetToSnapshot(*w.snapshot)
	}
	for _, e := range w.entries {
		a.apply(e)
	}
	return nil
}

func (a *applier) apply(e Entry) {
	var result []byte
	switch e.Kind {
	case KindCommand:
		result = a.stateMachine.Apply(e.Index, e.Data)
		if a.isSettings(e.Data) {
			a.meta.SettingsIndex = e.Index
		}
	case KindMembers:
		a.meta.Members, a.meta.MembersIndex = decodeMembers(e.Data), e.Index
	}
	a.meta.Index, a.meta.Term = e.Index, e.Term
	a.logBytes += e.size()
	a.waiters.entryApplied(e, result)
}

func (a *applier) maybeSnapshot(ctx context.Context) error {
	if a.logBytes < max(a.compaction.LogBytes, a.snapshotSize) {
		return nil
	}
	data, err := a.stateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot at index %d: %w", a.meta.Index, err)
	}
	if err := a.storage.SaveSnapshot(Snapshot{Meta: a.meta, Data: data}); err != nil {
		return fmt.Errorf("store snapshot at index %d: %w", a.meta.Index, err)
	}
	a.logBytes, a.snapshotSize = 0, len(data)
	a.snapshotTaken(ctx, a.meta.Index)
	return nil
}
