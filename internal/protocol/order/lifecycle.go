// Package order is the state machine by which a leader processes an outstanding
// order to an engine. Its decisions are pure functions of the leader's knowledge,
// an event and the current time.
//
// Three invariants hold even if messages are lost, delayed or duplicated:
//   - An order is sent only after its release has been committed and only while
//     the leader has authority.
//   - A new leader sends an order to an engine that ignores fencing tokens only
//     after no copy written by an earlier leader can still arrive.
//   - An order is settled only when no copy of it can take effect any more, so
//     that the next order cannot be affected by a late copy of this one.
package order

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
)

// Limits holds the durations that bound the steps of an order.
type Limits struct {
	// MaxDeliveryDelay is the longest time after the end of an attempt, or of an earlier
	// leader's authority, at which a written order may still arrive at the
	// engine.
	MaxDeliveryDelay time.Duration
	// CloseDelay is the longest time after the commit at which an entry may still
	// send new work to an engine that is being closed to new work.
	CloseDelay time.Duration
	// IdleTimeout limits the wait for the engine's running work to finish. An order
	// that has not been sent by then is cancelled.
	IdleTimeout time.Duration
	// ResendInterval is the minimum time between two sends of the same order.
	ResendInterval time.Duration
}

// Snapshot is a leader's knowledge of one outstanding order. The zero values of
// the fields after FirstSeenAt mean that nothing has happened yet.
type Snapshot struct {
	Order orderbook.Order
	// ChecksFencing reports whether the engine rejects stale fencing tokens.
	ChecksFencing bool
	// Configured is false if the engine has been removed from the settings.
	Configured bool
	Limits     Limits
	// Inherited is true if the order was placed in an earlier leadership.
	Inherited bool
	// LeaderSince is when this leader's authority began, FirstSeenAt when it
	// first saw the order.
	LeaderSince clock.Instant
	FirstSeenAt clock.Instant

	// Attempted reports whether this leader has started to send the order, and
	// SentAt when it last did.
	Attempted bool
	SentAt    clock.Instant
	// Unanswered reports whether an attempt of this leader ended without an
	// answer, and UnansweredAt when the latest such attempt ended.
	Unanswered   bool
	UnansweredAt clock.Instant
	// EngineState is the latest state that this leader read from the engine, at
	// StateReadAt; nil if it must be read first.
	EngineState *backend.EngineState
	StateReadAt clock.Instant
	// Refusal is the status with which the engine definitely refused the
	// order; empty if it has not.
	Refusal backend.OrderStatus
	// RefusalDetail is the engine's explanation of the refusal.
	RefusalDetail string
}

// Event is something that happened to an order. Exactly one field is set, or none
// if only time has passed.
type Event struct {
	// EngineState is a state read from the engine.
	EngineState *backend.EngineState
	// Answer is the engine's answer to an attempt.
	Answer *backend.OrderResponse
	// Unsent means that an attempt failed before anything was written.
	Unsent bool
	// Unanswered means that an attempt failed but may have reached the engine.
	Unanswered bool
	// Released is the order after its release was committed.
	Released *orderbook.Order
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// Wait means to do nothing until the next poll.
	Wait ActionKind = iota
	// ReadState means to read the engine's state.
	ReadState
	// Release means to commit the order's release.
	Release
	// Send means to send the order once.
	Send
	// Settle means to commit the order's outcome.
	Settle
)

// Action is the next step of the leader for an order.
type Action struct {
	Kind ActionKind
	// Outcome and Detail are set for Settle.
	Outcome orderbook.Outcome
	Detail  string
	// Reason states for operators what a Wait action waits for.
	Reason string
}

// ApplyEvent returns the snapshot updated with an event.
func ApplyEvent(s Snapshot, e Event, now clock.Instant) Snapshot {
	switch {
	case e.EngineState != nil:
		s.EngineState = e.EngineState
		s.StateReadAt = now
	case e.Released != nil:
		s.Order = *e.Released
		s.EngineState = nil
	case e.Unsent:
		s.EngineState = nil
	case e.Answer != nil && e.Answer.ID == s.Order.ID:
		s.EngineState = nil
		s.recordRefusal(e.Answer)
	case e.Answer != nil, e.Unanswered:
		// An answer to another order gives no information about this one.
		s.EngineState = nil
		s.Unanswered = true
		s.UnansweredAt = now
	}
	return s
}

func (s *Snapshot) recordRefusal(a *backend.OrderResponse) {
	switch a.Status {
	case backend.OrderFenced, backend.OrderInvalid:
		s.Refusal = a.Status
		s.RefusalDetail = a.Detail
	}
}

// RecordSend returns the snapshot updated with the start of an attempt to send
// the order.
func RecordSend(s Snapshot, now clock.Instant) Snapshot {
	s.Attempted = true
	s.SentAt = now
	return s
}

// Next returns the action to take now.
func Next(s Snapshot, now clock.Instant) Action {
	if !s.Configured {
		return s.settle(now, orderbook.Withdrawn, "the engine was removed from the settings")
	}
	if s.Refusal != "" {
		return s.settle(now, orderbook.Failed, string(s.Refusal)+": "+s.RefusalDetail)
	}
	if s.EngineState == nil && s.Order.Phase == orderbook.Closing && s.overdue(now) {
		return s.settle(now, orderbook.Cancelled, "the engine's state could not be read in time")
	}
	if s.EngineState == nil {
		return Action{Kind: ReadState}
	}
	if s.EngineState.Incarnation != s.Order.Incarnation {
		return s.settle(now, orderbook.Superseded, "the engine restarted as "+s.EngineState.Incarnation)
	}
	if s.EngineState.Changing {
		return s.wait(now, "the engine carries out an order")
	}
	if InWantedState(s.Order.Wanted, s.EngineState) {
		return s.settle(now, orderbook.Done, "")
	}
	if s.EngineState.LastOrder == s.Order.ID && s.EngineState.LastFailed {
		return s.settle(now, orderbook.Failed, "the engine reports that the order failed")
	}
	if s.Order.Phase == orderbook.Closing {
		return s.awaitIdle(now)
	}
	return s.send(now)
}

// awaitIdle releases the order once the engine is idle and no entry sends it new
// work.
func (s *Snapshot) awaitIdle(now clock.Instant) Action {
	if s.StateReadAt.Before(s.FirstSeenAt.Add(s.Limits.CloseDelay)) {
		return s.wait(now, "entries close the engine to new work")
	}
	if idle(s.EngineState) {
		return Action{Kind: Release}
	}
	if s.overdue(now) {
		return s.settle(now, orderbook.Cancelled, "running work did not finish in time")
	}
	return s.wait(now, "the engine finishes running work")
}

// overdue reports whether the wait for the engine's running work has exceeded its
// limit.
func (s *Snapshot) overdue(now clock.Instant) bool {
	return !now.Before(s.FirstSeenAt.Add(s.Limits.CloseDelay).Add(s.Limits.IdleTimeout))
}

func (s *Snapshot) send(now clock.Instant) Action {
	if s.Order.Wanted.Interrupts() && !idle(s.EngineState) {
		return s.wait(now, "the engine finishes running work")
	}
	if now.Before(s.safeToSendAt()) {
		return s.wait(now, "an earlier leader's order may still arrive")
	}
	if s.Attempted && now.Before(s.SentAt.Add(s.Limits.ResendInterval)) {
		return s.wait(now, "pause before the order is sent again")
	}
	if s.StateReadAt != now {
		// Send only on a state that was read in this step.
		return Action{Kind: ReadState}
	}
	return Action{Kind: Send}
}

// settle settles the order once no copy of it can still arrive.
func (s *Snapshot) settle(now clock.Instant, o orderbook.Outcome, detail string) Action {
	if now.Before(s.safeToSettleAt()) {
		return s.wait(now, "a copy of the order may still arrive")
	}
	return Action{Kind: Settle, Outcome: o, Detail: detail}
}

// safeToSettleAt returns the instant from which no copy of the order can still
// arrive. It applies to all engines, because even an engine that checks fencing
// tokens loses them when it crashes.
func (s *Snapshot) safeToSettleAt() clock.Instant {
	if s.Order.Phase == orderbook.Closing {
		return s.FirstSeenAt
	}
	quiet := s.FirstSeenAt
	if s.Inherited {
		quiet = s.LeaderSince.Add(s.Limits.MaxDeliveryDelay)
	}
	if s.Unanswered {
		quiet = max(quiet, s.UnansweredAt.Add(s.Limits.MaxDeliveryDelay))
	}
	return quiet
}

// safeToSendAt returns the instant from which this leader may send the order. An
// inherited order, and every order to an engine that ignores fencing tokens, must
// wait until no copy from an earlier leader can still arrive.
func (s *Snapshot) safeToSendAt() clock.Instant {
	if s.ChecksFencing && !s.Inherited {
		return s.FirstSeenAt
	}
	return s.LeaderSince.Add(s.Limits.MaxDeliveryDelay)
}

// wait waits, but first reads the engine's state again if the known state is from
// an earlier step.
func (s *Snapshot) wait(now clock.Instant, reason string) Action {
	if s.EngineState != nil && s.StateReadAt.Before(now) {
		return Action{Kind: ReadState}
	}
	return Action{Kind: Wait, Reason: reason}
}

// InWantedState reports whether the engine's state is the one that the order requires.
func InWantedState(wanted orderbook.Wanted, state *backend.EngineState) bool {
	if state.Changing {
		return false
	}
	if wanted.Kind == orderbook.ChangeRole {
		return state.Role == wanted.Role
	}
	return Loaded(wanted, state)
}

// Loaded reports whether the wanted weights are loaded on the engine.
func Loaded(wanted orderbook.Wanted, state *backend.EngineState) bool {
	for _, weights := range state.Loaded {
		if weights.Kind == string(wanted.Kind) && weights.Name == wanted.Name && weights.Version == wanted.Version {
			return true
		}
	}
	return false
}

func idle(state *backend.EngineState) bool {
	return state.Queued == 0 && state.Running == 0
}
