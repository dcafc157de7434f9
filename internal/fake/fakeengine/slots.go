package fakeengine

import (
	"context"
	"slices"
	"sync"
)

// slots limits the number of concurrent requests. A free slot goes to the
// waiting request with the highest priority, and among equals to the oldest.
type slots struct {
	mu        sync.Mutex // guards the fields below
	free      int
	unlimited bool
	waiting   []*waiter
}

// waiter is one request that waits for a slot; ready is closed when it gets one.
type waiter struct {
	priority int
	ready    chan struct{}
}

func newSlots(count int) *slots {
	return &slots{free: count, unlimited: count == 0}
}

// acquire waits for a slot. It returns false if ctx ended first.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.unlimited || s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return b.priority - a.priority })
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return s.cancelWait(w)
	}
}

// cancelWait removes a waiter from the queue and returns false. A slot that it
// was given in the meantime is released.
func (s *slots) cancelWait(w *waiter) bool {
	s.mu.Lock()
	at := slices.Index(s.waiting, w)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mu.Unlock()
	if at < 0 {
		s.release()
	}
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(next.ready)
}
