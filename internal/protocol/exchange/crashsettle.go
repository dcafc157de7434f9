package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// settlePollInterval is the interval at which SettleSuspicions looks for open suspicions.
const settlePollInterval = 20 * time.Millisecond

// SettleSuspicions waits until each suspicion that a request ended a server is confirmed or
// dropped, for suspicionPeriod at most. Those that are left when ctx ends, or when End is
// called, are logged and dropped. It is for a process that takes no more requests.
func (c *Forwarder) SettleSuspicions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspicionPeriod)
	defer cancel()
	for c.HasSuspicions() && clock.Sleep(ctx, settlePollInterval) {
	}
	c.crashWatch.dropAll(dropStopped)
}

// HasSuspicions reports whether a request is suspected of having ended a server, which may still
// be confirmed.
func (c *Forwarder) HasSuspicions() bool {
	return c.ending.Err() == nil && c.crashWatch.hasSuspicions()
}

// hasSuspicions reports whether anything that speaks for an end may still be confirmed.
func (w *crashWatch) hasSuspicions() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.endedAt.IsZero() && slices.ContainsFunc(s.suspicions, suspicion.speaksForEnd) {
			return true
		}
	}
	return false
}

// dropAll drops what was not confirmed.
func (w *crashWatch) dropAll(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		for _, c := range s.suspicions {
			if c.speaksForEnd() {
				w.forwarder.suspicions.dropped(reason, c.Request, s.ID, s.Address, c.err)
			}
		}
		s.suspicions = nil
		w.noteSilent(s)
	}
}
