package request

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt whose engine stopped sending.
type watchdog struct {
	cancel context.CancelCauseFunc
	ctx    context.Context
	// started is when the attempt began and last the time from then to the
	// newest message; zero if there was none.
	started time.Time
	last    atomic.Int64

	mu    sync.Mutex // guards timer
	timer *time.Timer
}

// newWatchdog returns a watchdog and the context that it guards. The first
// message may take half of the remaining time, so that another attempt can
// follow, but no less than patience.
func newWatchdog(parent context.Context, patience time.Duration) (*watchdog, context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{cancel: cancel, ctx: ctx, started: time.Now()}
	if deadline, ok := parent.Deadline(); ok {
		patience = max(time.Until(deadline)/2, patience)
	}
	w.arm(patience)
	return w, ctx
}

func (w *watchdog) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(d, w.look)
}

// look cancels the attempt if no message came for tokenTimeout, and else looks
// again when that could be so.
func (w *watchdog) look() {
	last := time.Duration(w.last.Load())
	left := last + tokenTimeout - time.Since(w.started)
	switch {
	case w.ctx.Err() != nil:
	case last == 0 || left <= 0:
		w.cancel(errStalled)
	default:
		w.arm(left)
	}
}

// alive tells that a message has come. It only leaves a mark for the timer,
// since setting the timer for each message costs more.
func (w *watchdog) alive(now time.Time) {
	if w.last.Swap(int64(max(1, now.Sub(w.started)))) == 0 {
		w.arm(tokenTimeout)
	}
}

func (w *watchdog) stop() {
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// explain replaces the error of a cancelled read by the reason.
func (w *watchdog) explain(err error) error {
	if cause := context.Cause(w.ctx); errors.Is(cause, errStalled) {
		return fmt.Errorf("%w: %w", errStalled, err)
	}
	return err
}

// pace measures the time between tokens.
type pace struct {
	first   time.Time
	last    time.Time
	longest time.Duration
}

func (p *pace) token(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

func (p *pace) mean(tokens int) time.Duration {
	return p.last.Sub(p.first) / time.Duration(tokens-1)
}
