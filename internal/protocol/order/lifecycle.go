// Package order decides what a leader does next about an outstanding order to
// an engine. Decisions are pure functions of what the leader knows, of an event
// and of the current instant.
//
// Three rules hold whatever gets lost, late or doubled. An order is sent only
// after its release was committed and inside the leader's authority. An order
// to an engine that ignores fencing tokens is first sent by a new leader when no
// copy written by an earlier leader can arrive any more. An order is settled
// only when no copy of it can do harm any more, so that the next order never
// meets a late copy of this one.
package order

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
)

// Limits bounds the steps of an order.
type Limits struct {
	// Reach is how long after the end of an attempt, or of an earlier
	// leader's authority, a written order may still arrive at the engine.
	Reach time.Duration
	// Closing is how long after the commit an entry may still send new work
	// to an engine that is being closed.
	Closing time.Duration
	// Idle bounds the wait for the engine's running work to finish. After it
	// an unsent order is cancelled.
	Idle time.Duration
	// Resend is the pause before the same order is sent again.
	Resend time.Duration
}

// Snapshot is what the leader knows about one outstanding order. The zero
// values of the fields after GainedAt mean that nothing happened yet.
type Snapshot struct {
	Order orderbook.Order
	// ChecksFencing tells whether the engine refuses old fencing tokens.
	ChecksFencing bool
	// Configured is false if the engine was removed from the settings.
	Configured bool
	Limits     Limits
	// Inherited is false if the order was placed in this leadership.
	Inherited bool
	// LeaderSince is when this leader's authority began and SeenAt when it first
	// saw the order.
	LeaderSince clock.Instant
	FirstSeenAt clock.Instant

	// Attempted tells whether this leader sent the order, and SentAt when.
	Attempted bool
	SentAt    clock.Instant
	// Unanswered tells whether an attempt of this leader ended without an
	// answer, and UncertainAt when the newest one did.
	Unanswered   bool
	UnansweredAt clock.Instant
	// EngineState is the newest state read from the engine in this leadership;
	// nil if it must be read first.
	EngineState *backend.EngineState
	StateReadAt clock.Instant
	// Refusal is a definite refusal by the engine, empty if there is none.
	Refusal backend.OrderStatus
	// RefusalDetail explains it.
	RefusalDetail string
}

// Event is what happened. Exactly one field is set, none for the passing of
// time.
type Event struct {
	// EngineState is a state read from the engine.
	EngineState *backend.EngineState
	// Answer is the engine's answer to an attempt.
	Answer *backend.OrderAnswer
	// Unsent means that an attempt ended before anything was written.
	Unsent bool
	// Unanswered means that an attempt may have reached the engine.
	Unanswered bool
	// Released is the order after its release was committed.
	Released *orderbook.Order
}

// ActionKind tells what to do.
type ActionKind int

const (
	// Wait means to do nothing until time has passed.
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

// Action is what the leader does next.
type Action struct {
	Kind ActionKind
	// Outcome and Detail are set for Settle.
	Outcome orderbook.Outcome
	Detail  string
	// Reason tells operators what a Wait is for.
	Reason string
}

// ApplyEvent returns the snapshot after an event.
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
		// An answer to another order says nothing about this one.
		s.EngineState = nil
		s.Unanswered = true
		s.UnansweredAt = now
	}
	return s
}

func (s *Snapshot) recordRefusal(a *backend.OrderAnswer) {
	switch a.Status {
	case backend.OrderFenced, backend.OrderInvalid:
		s.Refusal = a.Status
		s.RefusalDetail = a.Detail
	}
}

// RecordSend returns the snapshot after the leader began to send the order.
func RecordSend(s Snapshot, now clock.Instant) Snapshot {
	s.Attempted = true
	s.SentAt = now
	return s
}

// Next decides what to do now.
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

// awaitIdle waits until the engine is idle and no entry sends it new work.
func (s *Snapshot) awaitIdle(now clock.Instant) Action {
	if s.StateReadAt.Before(s.FirstSeenAt.Add(s.Limits.Closing)) {
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

// overdue reports whether an unsent order has waited too long.
func (s *Snapshot) overdue(now clock.Instant) bool {
	return !now.Before(s.FirstSeenAt.Add(s.Limits.Closing).Add(s.Limits.Idle))
}

func (s *Snapshot) send(now clock.Instant) Action {
	if s.Order.Wanted.Interrupts() && !idle(s.EngineState) {
		return s.wait(now, "the engine finishes running work")
	}
	if now.Before(s.safeToSendAt()) {
		return s.wait(now, "an earlier leader's order may still arrive")
	}
	if s.Attempted && now.Before(s.SentAt.Add(s.Limits.Resend)) {
		return s.wait(now, "pause before the order is sent again")
	}
	if s.StateReadAt != now {
		// The decision to send rests on a state read in this step.
		return Action{Kind: ReadState}
	}
	return Action{Kind: Send}
}

// settle ends the order once no copy of it can arrive.
func (s *Snapshot) settle(now clock.Instant, o orderbook.Outcome, detail string) Action {
	if now.Before(s.safeToSettleAt()) {
		return s.wait(now, "a copy of the order may still arrive")
	}
	return Action{Kind: Settle, Outcome: o, Detail: detail}
}

// safeToSettleAt returns the instant from which no copy of the order can arrive. It
// holds for every engine: one that checks fencing tokens forgets them when it
// crashes.
func (s *Snapshot) safeToSettleAt() clock.Instant {
	if s.Order.Phase == orderbook.Closing {
		return s.FirstSeenAt
	}
	quiet := s.FirstSeenAt
	if s.Inherited {
		quiet = s.LeaderSince.Add(s.Limits.Reach)
	}
	if s.Unanswered {
		quiet = max(quiet, s.UnansweredAt.Add(s.Limits.Reach))
	}
	return quiet
}

// safeToSendAt returns the instant from which this leader may send the order. An
// inherited order waits until no copy by an earlier leader can arrive, and so
// does every order to an engine that ignores fencing tokens.
func (s *Snapshot) safeToSendAt() clock.Instant {
	if s.ChecksFencing && !s.Inherited {
		return s.FirstSeenAt
	}
	return s.LeaderSince.Add(s.Limits.Reach)
}

// wait waits on a fresh reading, or reads again when the reading is old.
func (s *Snapshot) wait(now clock.Instant, reason string) Action {
	if s.EngineState != nil && s.StateReadAt.Before(now) {
		return Action{Kind: ReadState}
	}
	return Action{Kind: Wait, Reason: reason}
}

// InWantedState reports whether an engine in the given state is what the order asks
// for.
func InWantedState(wanted orderbook.Wanted, state *backend.EngineState) bool {
	if state.Changing {
		return false
	}
	if wanted.Kind == orderbook.ChangeRole {
		return state.Role == wanted.Role
	}
	return Loaded(wanted, state)
}

// Loaded reports whether the engine has loaded the wanted weights.
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
