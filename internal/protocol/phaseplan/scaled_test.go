package phaseplan_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/phaseplan"
)

// changeTime is how long an engine takes to change its phase, and answerTime how long it
// takes to answer a call.
const (
	changeTime = 3 * time.Second
	answerTime = 200 * time.Millisecond
)

// changingEngines are engines that change their phase some time after an order.
type changingEngines struct {
	mu      sync.Mutex
	engines []fleet.Engine
	// changedAt is when an engine runs its new phase.
	changedAt map[string]time.Time
	phases    map[string]fleet.Phase
	orders    int
	silent    map[string]bool
}

func (c *changingEngines) Accepted(_ context.Context, e fleet.Engine) (int64, bool, error) {
	if c.silent[e.ID] {
		time.Sleep(1500 * time.Millisecond)
		return 0, false, context.DeadlineExceeded
	}
	time.Sleep(answerTime)
	return 0, false, nil
}

func (c *changingEngines) Order(_ context.Context, change phaseplan.Change, _ uint64, _ int64) (bool, error) {
	time.Sleep(answerTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	c.changedAt[change.Engine.ID], c.phases[change.Engine.ID] = time.Now().Add(changeTime), change.Phase
	return false, nil
}

func (c *changingEngines) add(n int, phase fleet.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		i := len(c.engines)
		c.engines = append(c.engines, fleet.Engine{ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprint("z", i%4), Phase: phase, Slots: 64})
	}
}

func (c *changingEngines) list() []fleet.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.engines)
	for i, e := range out {
		if at, ordered := c.changedAt[e.ID]; ordered && !time.Now().Before(at) {
			out[i].Phase = c.phases[e.ID]
		}
	}
	return out
}

// prefill returns the part of the listed engines that run prefill.
func (c *changingEngines) prefill() float64 {
	n, engines := 0, c.list()
	for _, e := range engines {
		if e.Phase == fleet.Prefill {
			n++
		}
	}
	return float64(n) / float64(len(engines))
}

func newScaledDriver(c *changingEngines, pace func() map[string]fleet.Pace) *phaseplan.Driver {
	return phaseplan.NewDriver(phaseplan.DriverOptions{
		Plan: phaseplan.DefaultPlan, Engines: c,
		Authority:   func() (uint64, bool) { return 1, true },
		QuietPeriod: quietPeriod,
		Load:        func() map[string]fleet.Load { return nil },
		Pace:        pace,
		Withdraw:    func([]string) {},
		Log:         hclog.NewNullLogger(),
	})
}

func noPace() map[string]fleet.Pace { return nil }

// TestManyNewEnginesGetTheirPhaseAtOnce guards against new engines that wait for their phase
// until the orders to earlier ones show in the list, or until each has answered in turn.
func TestManyNewEnginesGetTheirPhaseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &changingEngines{changedAt: make(map[string]time.Time), phases: make(map[string]fleet.Phase), silent: map[string]bool{"e070": true}}
		c.add(60, fleet.Decode)
		d := newScaledDriver(c, noPace)
		const step = time.Second
		run := func(length time.Duration) {
			for range length / step {
				began := time.Now()
				d.ReconcileScaled(t.Context(), "llm", c.list())
				time.Sleep(step - min(step, time.Since(began)))
			}
		}
		run(12 * time.Second)
		if got := c.prefill(); got < 0.56 || got > 0.6 {
			t.Fatalf("%.2f of the first engines prefill, want 0.58", got)
		}
		ordered := c.orders
		c.add(30, fleet.Decode)
		run(2 * time.Second)
		c.add(30, fleet.Decode)
		run(8 * time.Second)
		if got := c.prefill(); got < 0.56 || got > 0.6 {
			t.Errorf("%.2f of the engines prefill 8 s after the last were listed, want 0.58", got)
		}
		if got := c.orders - ordered; got > 40 {
			t.Errorf("%d orders for 60 new engines, want no more than need another phase", got)
		}
	})
}

// TestShareHoldsWhileEnginesComeAndGo guards against a share that drifts while the number of
// engines changes: those that leave may all be of one phase.
func TestShareHoldsWhileEnginesComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &changingEngines{changedAt: make(map[string]time.Time), phases: make(map[string]fleet.Phase)}
		c.add(60, fleet.Decode)
		d := newScaledDriver(c, noPace)
		for i := range 40 {
			if i > 10 {
				c.mu.Lock()
				c.engines = c.engines[1:]
				c.mu.Unlock()
			}
			d.ReconcileScaled(t.Context(), "llm", c.list())
			time.Sleep(time.Second)
		}
		if got := c.prefill(); got < 0.53 || got > 0.63 {
			t.Errorf("%.2f of the engines prefill, want 0.58", got)
		}
	})
}
