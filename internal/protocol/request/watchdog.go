package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// watchdog cancels an attempt whose engine stopped sending.
type watchdog struct {
	cancel context.CancelCauseFunc
	ctx    context.Context
	timer  *time.Timer
}

// newWatchdog returns a watchdog and the context that it guards. The first
// message may take half of the remaining time, so that another attempt can
// follow, but no less than patience.
func newWatchdog(parent context.Context, patience time.Duration) (*watchdog, context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{cancel: cancel, ctx: ctx}
	if deadline, ok := parent.Deadline(); ok {
		w.timer = time.AfterFunc(max(time.Until(deadline)/2, patience), w.bite)
	}
	return w, ctx
}

func (w *watchdog) bite() {
	w.cancel(errStalled)
}

// reset tells that a message has come.
func (w *watchdog) reset() {
	if w.timer == nil {
		w.timer = time.AfterFunc(tokenTimeout, w.bite)
		return
	}
	w.timer.Reset(tokenTimeout)
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
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
	first   clock.Instant
	last    clock.Instant
	longest time.Duration
}

func (p *pace) token(now clock.Instant) {
	if p.first == 0 {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

func (p *pace) mean(tokens int) time.Duration {
	return p.last.Sub(p.first) / time.Duration(tokens-1)
}
