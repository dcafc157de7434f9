package reconcile

import (
	"context"
	"errors"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/order"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// driver processes one outstanding order until it is settled or the leadership
// ends. It runs in its own goroutine.
type driver struct {
	*leadership

	snapshot order.Snapshot
	url      string
	now      clock.Instant
	// submittedOutcome is the outcome that was submitted; nil if there is none.
	// Once it is set, the driver only submits it again, because it may have
	// been committed.
	submittedOutcome *order.Action
}

func newDriver(l *leadership, o orderbook.Order) *driver {
	now := l.options.Clock.Now()
	return &driver{
		leadership: l,
		now:        now,
		snapshot: order.Snapshot{
			Order:       o,
			Limits:      l.options.Limits,
			Inherited:   !l.placedInThisTerm(o.ID),
			LeaderSince: l.startedAt,
			FirstSeenAt: now,
		},
	}
}

func (d *driver) run(ctx context.Context) {
	defer d.setWaiting(d.snapshot.Order.Engine, "")
	for ctx.Err() == nil {
		d.now = d.options.Clock.Now()
		settled, err := d.advance(ctx)
		if settled || errors.Is(err, errSettled) {
			return
		}
		if err != nil {
			d.setWaiting(d.snapshot.Order.Engine, err.Error())
			d.options.Logger.Warn("order step failed", "order", d.snapshot.Order.ID, "engine", d.snapshot.Order.Engine, "error", err)
		}
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// advance performs actions until the order has to wait. It reports whether the
// order is settled.
func (d *driver) advance(ctx context.Context) (settled bool, err error) {
	if d.submittedOutcome != nil {
		return d.settle(ctx, *d.submittedOutcome)
	}
	d.updateEngineSettings()
	for ctx.Err() == nil {
		action := order.Next(d.snapshot, d.now)
		switch action.Kind {
		case order.Wait:
			d.setWaiting(d.snapshot.Order.Engine, action.Reason)
			return false, nil
		case order.Settle:
			return d.settle(ctx, action)
		}
		event, err := d.perform(ctx, action)
		if err != nil {
			return false, err
		}
		d.now = d.options.Clock.Now()
		d.snapshot = order.ApplyEvent(d.snapshot, event, d.now)
	}
	return false, ctx.Err()
}

// updateEngineSettings updates the snapshot and the URL from the current settings.
func (d *driver) updateEngineSettings() {
	orders := d.options.Store.Orders()
	var engine settings.Engine
	engine, _, d.snapshot.Configured = findEngine(orders.Settings, d.snapshot.Order.Engine)
	d.snapshot.ChecksFencing = engine.ChecksFencing
	d.url = engine.URL
}

func (d *driver) perform(ctx context.Context, action order.Action) (order.Event, error) {
	switch action.Kind {
	case order.ReadState:
		return d.read(ctx)
	case order.Release:
		return d.release(ctx)
	}
	return d.send(ctx)
}

func (d *driver) read(ctx context.Context) (order.Event, error) {
	state, err := d.options.Engines.State(ctx, d.url)
	if err != nil {
		return order.Event{}, err
	}
	return order.Event{EngineState: &state}, nil
}

func (d *driver) release(ctx context.Context) (order.Event, error) {
	o := d.snapshot.Order
	result, err := d.commit(ctx, store.OrderCommand{Release: &orderbook.Release{Engine: o.Engine, ID: o.ID}})
	if err != nil {
		return order.Event{}, fmt.Errorf("release order %s: %w", o.ID, err)
	}
	if result.Verdict != orderbook.Accepted {
		return order.Event{}, fmt.Errorf("release order %s: %s", o.ID, result.Verdict)
	}
	return order.Event{Released: result.Order}, nil
}

// send makes one attempt to send the order within this term's authority.
func (d *driver) send(ctx context.Context) (order.Event, error) {
	authority, ok := d.options.Log.Authority()
	if !ok || authority.Term != d.term {
		return order.Event{}, fmt.Errorf("send order %s: %w", d.snapshot.Order.ID, errAuthorityLost)
	}
	if !d.stillOutstanding() {
		return order.Event{}, fmt.Errorf("send order %s: %w", d.snapshot.Order.ID, errSettled)
	}
	d.snapshot = order.RecordSend(d.snapshot, d.now)
	answer, err := d.options.Engines.Order(ctx, d.url, authority.Until, d.request())
	switch {
	case errors.Is(err, ErrUnsent):
		d.options.Logger.Warn("order not sent", "order", d.snapshot.Order.ID, "error", err)
		return order.Event{Unsent: true}, nil
	case err != nil:
		d.options.Logger.Warn("order not answered; the engine may have received it", "order", d.snapshot.Order.ID, "error", err)
		return order.Event{Unanswered: true}, nil
	}
	return order.Event{Answer: &answer}, nil
}

// stillOutstanding reports whether the order book still holds the order as
// released. It must be called after the engine's state was read for an attempt:
// a change of the engine by another order since then presupposes that this order
// was settled, and this leader applied that settlement first.
func (d *driver) stillOutstanding() bool {
	o, ok := d.options.Store.Orders().Book.Outstanding[d.snapshot.Order.Engine]
	return ok && o.ID == d.snapshot.Order.ID && o.Phase == orderbook.Released
}

// errSettled means that the order book no longer holds the order.
var errSettled = errors.New("the order is settled")

// errAuthorityLost means that the leadership ended before an attempt.
var errAuthorityLost = errors.New("authority lost")

func (d *driver) request() backend.OrderRequest {
	o := d.snapshot.Order
	return backend.OrderRequest{
		ID:      o.ID,
		Fence:   o.Fence,
		Kind:    string(o.Wanted.Kind),
		Role:    o.Wanted.Role,
		Name:    o.Wanted.Name,
		Version: o.Wanted.Version,
		Rate:    o.Wanted.Rate,
		Sender:  fmt.Sprintf("%s/%d", d.options.Replica, d.term),
		Term:    d.term,
	}
}

func (d *driver) settle(ctx context.Context, action order.Action) (bool, error) {
	o := d.snapshot.Order
	d.submittedOutcome = &action
	// A state read before the order was settled must not lead to another order.
	d.observations.invalidate(o.Engine)
	command := orderbook.Settle{Engine: o.Engine, ID: o.ID, Outcome: action.Outcome, Detail: action.Detail}
	result, err := d.commit(ctx, store.OrderCommand{Settle: &command})
	if err != nil {
		return false, fmt.Errorf("settle order %s: %w", o.ID, err)
	}
	d.options.Logger.Info("order settled", "order", o.ID, "engine", o.Engine, "outcome", action.Outcome, "detail", action.Detail, "verdict", result.Verdict)
	d.recordSettled(o.Engine, o.ID, d.options.Clock.Now())
	// A verdict other than Accepted means that the order is no longer
	// outstanding or has been released; the next driver starts from the book.
	return true, nil
}
