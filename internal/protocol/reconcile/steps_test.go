package reconcile_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakewire"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// step is a point in the life of an order.
type orderStep string

const (
	beforePlace   orderStep = "before place"
	afterPlace    orderStep = "after place"
	beforeRelease orderStep = "before release"
	afterRelease  orderStep = "after release"
	beforeSend    orderStep = "before send"
	underWay      orderStep = "under way"
	carriedOut    orderStep = "carried out"
	beforeSettle  orderStep = "before settle"
	afterSettle   orderStep = "after settle"
)

var orderSteps = []orderStep{
	beforePlace, afterPlace, beforeRelease, afterRelease, beforeSend, underWay, carriedOut, beforeSettle, afterSettle,
}

// interruptions are what happens at a step.
var interruptions = map[string]func(w *world, ctx context.Context, engine string){
	"leader cut off and replaced": func(w *world, _ context.Context, _ string) {
		w.group.cut(0)
		time.AfterFunc(time.Minute, func() { w.group.heal(0) })
	},
	"leader replaced": func(w *world, _ context.Context, _ string) { w.group.elect(1) },
	"leader killed": func(w *world, ctx context.Context, _ string) {
		go w.control[0].restart(ctx)
		w.group.elect(1)
	},
	"engine crashes": func(w *world, _ context.Context, engine string) { w.engines[base+engine].Crash() },
	"both": func(w *world, _ context.Context, engine string) {
		w.engines[base+engine].Crash()
		w.group.elect(1)
	},
}

// TestEveryStepInterrupted interrupts one order at each of its steps, for
// engines that check and that ignore fencing tokens.
func TestEveryStepInterrupted(t *testing.T) {
	for name, interrupt := range interruptions {
		for _, step := range orderSteps {
			for _, engine := range []string{"checks-2", "loose-2"} {
				t.Run(fmt.Sprintf("%s/%s/%s", name, step, engine), func(t *testing.T) {
					interruptOnce(t, step, engine, interrupt)
				})
			}
		}
	}
}

func interruptOnce(t *testing.T, step orderStep, engine string, interrupt func(*world, context.Context, string)) {
	ops := &history{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 1, faults{}, ops, underScript)
		w.calm.Store(true)
		var armed atomic.Bool
		w.atStep = func(s orderStep, at string) {
			if s == step && at == engine && armed.CompareAndSwap(true, false) {
				interrupt(w, ctx, engine)
			}
		}
		w.apply()
		for _, p := range w.control {
			p.start(ctx)
		}
		w.waitFinished()
		armed.Store(true)
		w.setPin(engine, func(s *settings.Engine) { s.Role = settings.RoleDecode })
		time.Sleep(5 * time.Second)
		w.waitFinished()
		if armed.Load() {
			t.Errorf("step %q was not reached", step)
		}
		if bad := append(w.judge(), w.unfinished()...); len(bad) > 0 {
			t.Errorf("%q", bad)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	if bad := ops.check(); bad != nil {
		t.Error(bad)
	}
}

// TestOneOrderForOneChange guards against orders that rest on a state from
// before the last order.
func TestOneOrderForOneChange(t *testing.T) {
	ops := &history{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 1, faults{}, ops, underScript)
		w.calm.Store(true)
		w.apply()
		w.control[0].start(ctx)
		w.waitFinished()
		before := ops.count("loose-2", "place")
		for i := range 10 {
			time.Sleep(time.Duration(i) * 170 * time.Millisecond)
			w.setPin("loose-2", func(s *settings.Engine) {
				s.Role = []settings.Role{settings.RoleDecode, settings.RolePrefill}[i%2]
			})
			w.waitFinished()
		}
		time.Sleep(10 * time.Second)
		if placed := ops.count("loose-2", "place") - before; placed != 10 {
			t.Errorf("%d orders for 10 changes", placed)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// stepped is a log that announces the steps of orders.
type stepped struct {
	replog.Log
	world *world
}

func (s *stepped) Submit(ctx context.Context, encoded []byte) (replog.Applied, error) {
	var command store.Command
	if err := cbor.Unmarshal(encoded, &command); err != nil {
		return replog.Applied{}, err
	}
	before, after, engine := stepsOf(command.Order)
	s.world.announce(before, engine)
	applied, err := s.Log.Submit(ctx, encoded)
	s.world.announce(after, engine)
	return applied, err
}

func stepsOf(o *store.OrderCommand) (before, after orderStep, engine string) {
	switch {
	case o.Place != nil:
		return beforePlace, afterPlace, o.Place.Order.Engine
	case o.Release != nil:
		return beforeRelease, afterRelease, o.Release.Engine
	case o.Settle != nil:
		return beforeSettle, afterSettle, o.Settle.Engine
	}
	return "", "", ""
}

func (w *world) announce(s orderStep, engine string) {
	if w.atStep != nil {
		w.atStep(s, engine)
	}
}

// fateOf announces the sending steps of an order.
func (w *world) fateOf(engine string) fakewire.Fate {
	w.announce(beforeSend, engine)
	time.AfterFunc(time.Millisecond/2, func() { w.announce(underWay, engine) })
	return w.fate()
}

// noteEffect announces that the engine began to carry out an order.
func (w *world) noteEffect(engine string, a *fakeengine.Arrival) {
	if a.Effect {
		time.AfterFunc(changeTime/2, func() { w.announce(carriedOut, engine) })
	}
}
