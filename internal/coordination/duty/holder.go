// Package duty decides when this process may make calls that one process at a time
// makes for the whole deployment. The holder is the leader of the control replicas;
// the term of its authority is the fencing token of its calls.
package duty

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// clockRateMargin is added to the quiet period of a new holder to allow for clocks that
// run at different rates.
const clockRateMargin = 300 * time.Millisecond

var (
	// ErrNotHolder means that this process doesn't hold the duties.
	ErrNotHolder = errors.New("duty: another process may hold the duties")
	// ErrQuiet means that calls of the previous holder may still be on their way.
	ErrQuiet = errors.New("duty: quiet period of a new holder")
	// ErrFenced means that a call of this holder was refused because of a higher token.
	ErrFenced = errors.New("duty: a newer holder has been seen")
)

// Options configures a Holder.
type Options struct {
	// Authority returns this process's authority; ok is false if it has none.
	Authority func() (a replog.Authority, ok bool)
	// QuietPeriod is how long a new holder waits before its first call: the longest time
	// for which the previous holder may believe that it holds the duties.
	QuietPeriod time.Duration
	Clock       clock.Clock
	Log         hclog.Logger
}

// Permit allows one call on a matter until an instant.
type Permit struct {
	// Token is the fencing token. It grows with each holder.
	Token uint64
	// Until is when the authority ends; nothing may be written from then on.
	Until clock.Instant
}

// Holder gives out permits while its process holds the duties. It is safe for
// concurrent use.
type Holder struct {
	options Options

	mu sync.Mutex // guards the fields below
	// term is the newest term with authority, and since when it was first seen.
	term  uint64
	since clock.Instant
	// fenced holds the newest term that was refused, by matter.
	fenced map[string]uint64
}

// NewHolder returns a holder that has made no calls.
func NewHolder(o Options) *Holder {
	return &Holder{options: o, fenced: make(map[string]uint64)}
}

// Permit returns a permit for a call on a matter. The error matches ErrNotHolder,
// ErrQuiet or ErrFenced.
func (h *Holder) Permit(matter string) (Permit, error) {
	authority, ok := h.options.Authority()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		return Permit{}, ErrNotHolder
	}
	now := h.options.Clock.Now()
	if authority.Term != h.term {
		h.term, h.since = authority.Term, now
		h.options.Log.Info("duties gained", "token", h.term, "calls_after", h.options.QuietPeriod+clockRateMargin)
	}
	switch {
	case h.fenced[matter] >= h.term:
		return Permit{}, fmt.Errorf("%w: token %d of %s", ErrFenced, h.term, matter)
	case now.Sub(h.since) < h.options.QuietPeriod+clockRateMargin:
		return Permit{}, ErrQuiet
	}
	return Permit{Token: h.term, Until: authority.Until}, nil
}

// Refused records that a call with a token was refused because of a higher one. There
// are no further permits for the matter in that term.
func (h *Holder) Refused(matter string, token uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fenced[matter] = max(h.fenced[matter], token)
	h.options.Log.Warn("call refused: a newer holder has been seen", "matter", matter, "token", token)
}
