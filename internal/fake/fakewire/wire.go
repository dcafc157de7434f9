// Package fakewire is a fake of the network between control processes and engines,
// for tests under virtual time. As scripted by the test, it delays and loses
// messages, returns answers to other orders, and freezes a sender between its
// check of authority and its write.
package fakewire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/reconcile"
)

const (
	// MaxDelay is the longest time from the sending of an order to its arrival.
	MaxDelay = 6 * time.Second
	// answerTimeout is how long a sender waits for an answer.
	answerTimeout = 2 * time.Second
	// minDelay is the shortest one-way delay of a message.
	minDelay = time.Millisecond
)

// ErrLost means that no answer arrived in time: the order or its answer was lost
// or the connection failed.
var ErrLost = errors.New("fakewire: order or its answer lost")

// SendFaults lists the faults that affect one attempt to send an order.
type SendFaults struct {
	// Freeze is how long the sender is frozen between its check of authority
	// and its write.
	Freeze time.Duration
	// Delay is the time that the order takes to the engine; it is limited to
	// the longest delay of the wire.
	Delay time.Duration
	// Lost drops the order; AnswerLost drops its answer.
	Lost       bool
	AnswerLost bool
	// Crossed returns an answer with the ID of another order.
	Crossed bool
	// Broken fails the sender's connection at once; the order still arrives,
	// unless Lost is set.
	Broken bool
}

// Options configures a wire.
type Options struct {
	Clock clock.Clock
	// Engines holds the engines by base URL.
	Engines map[string]*fakeengine.Orders
	// Next returns the faults of the next attempt to send to the engine with
	// the given URL; nil means no faults.
	Next func(url string) SendFaults
	// Unguarded lets a frozen sender write after its authority has ended. It
	// is a deliberate fault that tests must detect.
	Unguarded bool
	// Killed is called when the sender is killed because its authority ended
	// before its write; it may be nil.
	Killed func()
}

// Wire implements reconcile.Engines for one control process.
type Wire struct {
	options Options
}

// New returns a wire with the given options.
func New(o Options) *Wire {
	if o.Next == nil {
		o.Next = func(string) SendFaults { return SendFaults{} }
	}
	return &Wire{options: o}
}

// State implements reconcile.Engines.
func (w *Wire) State(_ context.Context, url string) (backend.EngineState, error) {
	engine, ok := w.options.Engines[url]
	if !ok {
		return backend.EngineState{}, fmt.Errorf("read state of %s: no such engine", url)
	}
	time.Sleep(minDelay)
	state := engine.State()
	time.Sleep(minDelay)
	return state, nil
}

// Order implements reconcile.Engines.
func (w *Wire) Order(ctx context.Context, url string, until clock.Instant, order backend.OrderRequest) (backend.OrderResponse, error) {
	engine, ok := w.options.Engines[url]
	if !ok || !w.options.Clock.Now().Before(until) {
		return backend.OrderResponse{}, reconcile.ErrUnsent
	}
	faults := w.options.Next(url)
	if faults.Freeze > 0 {
		time.Sleep(faults.Freeze)
	}
	if !w.options.Unguarded && !w.options.Clock.Now().Before(until) {
		if w.options.Killed != nil {
			w.options.Killed()
		}
		return backend.OrderResponse{}, reconcile.ErrUnsent
	}
	return w.deliver(ctx, engine, order, faults)
}

func (w *Wire) deliver(ctx context.Context, engine *fakeengine.Orders, order backend.OrderRequest, faults SendFaults) (backend.OrderResponse, error) {
	answers := make(chan backend.OrderResponse, 1)
	if !faults.Lost {
		time.AfterFunc(min(max(faults.Delay, minDelay), MaxDelay), func() { answers <- engine.Order(order) })
	}
	if faults.Broken {
		return backend.OrderResponse{}, ErrLost
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		if faults.AnswerLost {
			return backend.OrderResponse{}, ErrLost
		}
		if faults.Crossed {
			answer.ID = "crossed-" + answer.ID
		}
		return answer, nil
	case <-timer.C:
		return backend.OrderResponse{}, ErrLost
	case <-ctx.Done():
		return backend.OrderResponse{}, ctx.Err()
	}
}
