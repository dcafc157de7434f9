package request

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// replacementRetryInterval is the time between two tries to find another engine for a
// silent one.
const replacementRetryInterval = 250 * time.Millisecond

// watchdog cancels an attempt whose engine stopped sending, once another attempt may
// follow. Without one, the silent engine is the only one that can still answer.
type watchdog struct {
	cancel context.CancelCauseFunc
	ctx    context.Context
	// secure takes what another attempt needs, and reports whether it could. received
	// is set if the engine has sent a message. It is called in a goroutine of its own,
	// but never after stop has returned.
	secure func(received bool) bool
	// started is when the attempt began. lastMessage is the time from then to
	// the newest message, in nanoseconds; zero if there was none.
	started     time.Time
	lastMessage atomic.Int64

	mu    sync.Mutex // guards the fields below, and is held while secure runs
	timer *time.Timer
	// secured is set once secure has reported true.
	secured bool
}

// newWatchdog returns a watchdog and the context that it cancels. The first
// message may take half of the time until the parent's deadline, so that
// another attempt can follow, but no less than firstMessageTimeout.
func newWatchdog(parent context.Context, firstMessageTimeout time.Duration, secure func(received bool) bool) (*watchdog, context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{cancel: cancel, ctx: ctx, secure: secure, started: time.Now()}
	if deadline, ok := parent.Deadline(); ok {
		firstMessageTimeout = max(time.Until(deadline)/2, firstMessageTimeout)
	}
	w.arm(firstMessageTimeout)
	return w, ctx
}

func (w *watchdog) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armLocked(d)
}

// armLocked schedules the next check. w.mu must be held.
func (w *watchdog) armLocked(d time.Duration) {
	w.timer = time.AfterFunc(d, w.check)
}

// check cancels the attempt if no message came for tokenTimeout and another attempt may
// follow. Otherwise it schedules itself for when that may be so.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := time.Duration(w.lastMessage.Load())
	left := last + tokenTimeout - time.Since(w.started)
	switch {
	case w.ctx.Err() != nil:
	case last != 0 && left > 0:
		w.armLocked(left)
	case !w.secure(last != 0):
		w.armLocked(replacementRetryInterval)
	default:
		w.secured = true
		w.cancel(errStalled)
	}
}

// messageReceived records a message. It only stores the time, because resetting
// the timer for each message costs more.
func (w *watchdog) messageReceived(now time.Time) {
	if w.lastMessage.Swap(int64(max(1, now.Sub(w.started)))) == 0 {
		w.arm(tokenTimeout)
	}
}

// stop ends the watchdog and reports whether another attempt is secured.
func (w *watchdog) stop() (secured bool) {
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	return w.secured
}

// explain adds errStalled to an error if the watchdog cancelled the attempt.
func (w *watchdog) explain(err error) error {
	if cause := context.Cause(w.ctx); errors.Is(cause, errStalled) {
		return fmt.Errorf("%w: %w", errStalled, err)
	}
	return err
}

// tokenGaps measures the times between tokens.
type tokenGaps struct {
	first   time.Time
	last    time.Time
	longest time.Duration
}

func (g *tokenGaps) add(now time.Time) {
	if g.first.IsZero() {
		g.first = now
	} else {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}

func (g *tokenGaps) mean(tokens int) time.Duration {
	return g.last.Sub(g.first) / time.Duration(tokens-1)
}
