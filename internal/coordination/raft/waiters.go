package raft

import (
	"context"
	"fmt"
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// waiter waits for the outcome of one submitted command.
type waiter struct {
	// outcome has a buffer of one, so that finish never blocks.
	outcome chan outcome
}

type outcome struct {
	applied replog.Applied
	err     error
}

func (w *waiter) finish(applied replog.Applied, err error) {
	w.outcome <- outcome{applied: applied, err: err}
}

// waiters holds the calls that wait for log entries to be applied.
type waiters struct {
	mu           sync.Mutex // guards the fields below
	appliedIndex uint64
	stopped      bool
	// commands holds waiters by log index.
	commands map[uint64]commandWaiter
	// barriers holds the index that each waiting read barrier needs. A barrier
	// is closed once its index is applied.
	barriers map[chan struct{}]uint64
}

type commandWaiter struct {
	term uint64
	*waiter
}

func newWaiters() *waiters {
	return &waiters{
		commands: make(map[uint64]commandWaiter),
		barriers: make(map[chan struct{}]uint64),
	}
}

func (w *waiters) applied() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appliedIndex
}

func (w *waiters) add(index, term uint64, added *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commands[index] = commandWaiter{term: term, waiter: added}
}

// entryApplied records an applied entry and answers its waiter. If the entry's
// term is not the waiter's, a later leader has replaced the command.
func (w *waiters) entryApplied(e Entry, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appliedIndex = e.Index
	if waiting, ok := w.commands[e.Index]; ok {
		delete(w.commands, e.Index)
		if waiting.term == e.Term {
			waiting.finish(replog.Applied{Index: e.Index, Result: result}, nil)
		} else {
			waiting.finish(replog.Applied{}, replog.ErrOutcomeUnknown)
		}
	}
	w.releaseBarriers()
}

// snapshotRestored records that a snapshot up to index has replaced the state.
// The outcome of commands at or below index is then unknown here.
func (w *waiters) snapshotRestored(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appliedIndex = index
	w.failMatching(func(at uint64) bool { return at <= index })
	w.releaseBarriers()
}

// releaseBarriers closes the barriers whose index is applied. The caller must
// hold w.mu.
func (w *waiters) releaseBarriers() {
	for barrier, index := range w.barriers {
		if index <= w.appliedIndex {
			close(barrier)
			delete(w.barriers, barrier)
		}
	}
}

func (w *waiters) failAbove(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failMatching(func(at uint64) bool { return at > index })
}

func (w *waiters) failAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.failMatching(func(uint64) bool { return true })
}

// failMatching fails the commands whose index matches with an unknown outcome.
// The caller must hold w.mu.
func (w *waiters) failMatching(matches func(index uint64) bool) {
	for index, waiting := range w.commands {
		if matches(index) {
			delete(w.commands, index)
			waiting.finish(replog.Applied{}, replog.ErrOutcomeUnknown)
		}
	}
}

// waitApplied waits until index is applied.
func (w *waiters) waitApplied(ctx context.Context, index uint64, done <-chan struct{}) error {
	w.mu.Lock()
	if index <= w.appliedIndex {
		w.mu.Unlock()
		return nil
	}
	barrier := make(chan struct{})
	w.barriers[barrier] = index
	w.mu.Unlock()
	select {
	case <-barrier:
		return nil
	case <-done:
		return replog.ErrStopped
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.barriers, barrier)
	return fmt.Errorf("wait for index %d to be applied: %w", index, ctx.Err())
}
