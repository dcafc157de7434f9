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

// orderStep is a point in the life cycle of an order.
type orderStep string

const (
	beforePlace   orderStep = "before place"
	afterPlace    orderStep = "after place"
	beforeRelease orderStep = "before release"
	afterRelease  orderStep = "after release"
	beforeSend    orderStep = "before send"
	sendInFlight  orderStep = "send in flight"
	executing     orderStep = "executing"
	beforeSettle  orderStep = "before settle"
	afterSettle   orderStep = "after settle"
)

var orderSteps = []orderStep{
	beforePlace, afterPlace, beforeRelease, afterRelease, beforeSend, sendInFlight, executing, beforeSettle, afterSettle,
}

// interruptions are the faults that are injected at a step.
var interruptions = map[string]func(sim *simulation, ctx context.Context, engine string){
	"leader cut off and replaced": func(sim *simulation, _ context.Context, _ string) {
		sim.group.isolate(0)
		time.AfterFunc(time.Minute, func() { sim.group.heal(0) })
	},
	"leader replaced": func(sim *simulation, _ context.Context, _ string) { sim.group.elect(1) },
	"leader killed": func(sim *simulation, ctx context.Context, _ string) {
		go sim.processes[0].restart(ctx)
		sim.group.elect(1)
	},
	"engine crashes": func(sim *simulation, _ context.Context, engine string) { sim.engines[baseURL+engine].Crash() },
	"engine crashes and leader replaced": func(sim *simulation, _ context.Context, engine string) {
		sim.engines[baseURL+engine].Crash()
		sim.group.elect(1)
	},
}

// TestOrderInterruptedAtEveryStep injects each interruption at each step of one
// order, for engines that check fencing tokens and engines that ignore them.
func TestOrderInterruptedAtEveryStep(t *testing.T) {
	for name, interrupt := range interruptions {
		for _, step := range orderSteps {
			for _, engine := range []string{"checks-2", "loose-2"} {
				t.Run(fmt.Sprintf("%s/%s/%s", name, step, engine), func(t *testing.T) {
					testInterruption(t, step, engine, interrupt)
				})
			}
		}
	}
}

func testInterruption(t *testing.T, step orderStep, engine string, interrupt func(*simulation, context.Context, string)) {
	ops := &history{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(t, 1, injectedBugs{}, ops, withScriptedGroup)
		sim.faultsOff.Store(true)
		var armed atomic.Bool
		sim.onStep = func(s orderStep, at string) {
			if s == step && at == engine && armed.CompareAndSwap(true, false) {
				interrupt(sim, ctx, engine)
			}
		}
		sim.apply()
		for _, p := range sim.processes {
			p.start(ctx)
		}
		sim.waitFinished()
		armed.Store(true)
		sim.changeEngine(engine, func(s *settings.Engine) { s.Role = settings.RoleDecode })
		time.Sleep(5 * time.Second)
		sim.waitFinished()
		if armed.Load() {
			t.Errorf("order did not reach step %q", step)
		}
		if bad := append(sim.checkInvariants(), sim.unfinished()...); len(bad) > 0 {
			t.Errorf("violations or unfinished changes: %q", bad)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	if bad := ops.check(); bad != nil {
		t.Error(bad)
	}
}

// TestOneOrderPerChange guards against superfluous orders, which come about if a
// decision is based on an engine state from before the last order.
func TestOneOrderPerChange(t *testing.T) {
	ops := &history{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(t, 1, injectedBugs{}, ops, withScriptedGroup)
		sim.faultsOff.Store(true)
		sim.apply()
		sim.processes[0].start(ctx)
		sim.waitFinished()
		before := ops.count("loose-2", "place")
		for i := range 10 {
			time.Sleep(time.Duration(i) * 170 * time.Millisecond)
			sim.changeEngine("loose-2", func(s *settings.Engine) {
				s.Role = []settings.Role{settings.RoleDecode, settings.RolePrefill}[i%2]
			})
			sim.waitFinished()
		}
		time.Sleep(10 * time.Second)
		if placed := ops.count("loose-2", "place") - before; placed != 10 {
			t.Errorf("placed %d orders for 10 role changes, want 10", placed)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// steppingLog calls onStep before and after each order command.
type steppingLog struct {
	replog.Log
	sim *simulation
}

func (s *steppingLog) Submit(ctx context.Context, encoded []byte) (replog.Applied, error) {
	var command store.Command
	if err := cbor.Unmarshal(encoded, &command); err != nil {
		return replog.Applied{}, err
	}
	before, after, engine := stepsOf(command.Order)
	s.sim.notifyStep(before, engine)
	applied, err := s.Log.Submit(ctx, encoded)
	s.sim.notifyStep(after, engine)
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

func (sim *simulation) notifyStep(s orderStep, engine string) {
	if sim.onStep != nil {
		sim.onStep(s, engine)
	}
}

// fateWithSteps reports the steps of sending an order and returns its fate.
func (sim *simulation) fateWithSteps(engine string) fakewire.SendFaults {
	sim.notifyStep(beforeSend, engine)
	time.AfterFunc(time.Millisecond/2, func() { sim.notifyStep(sendInFlight, engine) })
	return sim.fate()
}

// notifyEffect reports the step at which the engine executes an order.
func (sim *simulation) notifyEffect(engine string, a *fakeengine.Arrival) {
	if a.Effect {
		time.AfterFunc(changeTime/2, func() { sim.notifyStep(executing, engine) })
	}
}
