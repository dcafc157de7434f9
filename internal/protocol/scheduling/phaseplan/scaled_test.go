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
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/phaseplan"
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
	// loads are those of all entries, by ID, and withdrawn the engines that get no work.
	loads     map[string]fleet.Load
	withdrawn []string
}

func newChangingEngines(n int, phase fleet.Phase) *changingEngines {
	c := &changingEngines{changedAt: make(map[string]time.Time), phases: make(map[string]fleet.Phase), silent: make(map[string]bool), loads: make(map[string]fleet.Load)}
	c.add(n, phase)
	return c
}

func (c *changingEngines) withdraw(engines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = engines
}

// withdrawals returns the number of engines that get no work.
func (c *changingEngines) withdrawals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.withdrawn)
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
		Load:        func() map[string]fleet.Load { return c.loads },
		Pace:        pace,
		Withdraw:    c.withdraw,
		Log:         hclog.NewNullLogger(),
	})
}

func noPace() map[string]fleet.Pace { return nil }

// TestManyNewEnginesGetTheirPhaseAtOnce guards against new engines that wait for their phase
// until the orders to earlier ones show in the list, or until each has answered in turn.
func TestManyNewEnginesGetTheirPhaseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChangingEngines(60, fleet.Decode)
		c.silent["e070"] = true
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
		c := newChangingEngines(60, fleet.Decode)
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

// balancedEngines returns engines of four zones whose phases have the planned share in each,
// and a driver that may order them.
func balancedEngines(t *testing.T, n int) (*changingEngines, *phaseplan.Driver) {
	t.Helper()
	c := newChangingEngines(n, fleet.Decode)
	d := newScaledDriver(c, noPace)
	for range 15 {
		d.ReconcileScaled(t.Context(), "llm", c.list())
		time.Sleep(time.Second)
	}
	if got := c.prefill(); got < 0.56 || got > 0.6 {
		t.Fatalf("%.2f of the engines prefill, want 0.58", got)
	}
	return c, d
}

// TestNewEnginesAreWithdrawnBeforeTheirOrder guards against new engines that are sent work
// between their listing and their order, while another engine doesn't answer.
func TestNewEnginesAreWithdrawnBeforeTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d := balancedEngines(t, 40)
		c.silent["e040"] = true
		c.add(10, fleet.Decode)
		for n, want := range []int{6, 12} {
			began := time.Now()
			d.ReconcileScaled(t.Context(), "llm", c.list())
			if took := time.Since(began); took > 0 || c.withdrawals() != want {
				t.Errorf("list %d: %d engines withdrawn after %v, want %d at once", n, c.withdrawals(), took, want)
			}
			c.add(10, fleet.Decode)
		}
		d.Wait()
	})
}

// TestFewEnginesWithWorkChangeAtOnce guards against a service that loses more of its engines
// to changes of their phases than to the loss that makes these necessary.
func TestFewEnginesWithWorkChangeAtOnce(t *testing.T) {
	for name, lose := range map[string]func(*changingEngines, *fleet.Engine){
		"listed as leaving":      func(_ *changingEngines, e *fleet.Engine) { e.Leaving = true },
		"announced to one entry": func(c *changingEngines, e *fleet.Engine) { c.loads[e.ID] = fleet.Load{Streams: 1, LeavingEntries: 1} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, d := balancedEngines(t, 60)
				listed := c.list()
				lost := 0
				for i, e := range listed {
					c.loads[e.ID] = fleet.Load{Streams: 1}
					if e.Phase == fleet.Prefill && lost < 20 {
						lose(c, &listed[i])
						lost++
					}
				}
				// 15 of 40 prefill: 8 more are wanted, and a tenth of 40 may change at once.
				d.ReconcileScaled(t.Context(), "llm", listed)
				if got := c.withdrawals(); got != 4 {
					t.Errorf("%d engines with work change at once, want 4", got)
				}
				d.Wait()
				d.ReconcileScaled(t.Context(), "llm", listed)
				if got := c.withdrawals(); got != 4 {
					t.Errorf("%d engines with work change while the first do, want 4", got)
				}
				d.Wait()
			})
		})
	}
}

// TestEnginesWithWorkStayNearTheShare guards against engines that are out of service again and
// again because the number of engines changes by a few.
func TestEnginesWithWorkStayNearTheShare(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string // of the engines that decode
		load     fleet.Load
		lost     int
		want     int
	}{
		"one too few with work":              {[]string{"v1"}, fleet.Load{Streams: 1}, 3, 0},
		"one too few without work":           {[]string{"v1"}, fleet.Load{}, 3, 1},
		"many too few with work":             {[]string{"v1"}, fleet.Load{Streams: 1}, 9, 4},
		"a version without one that decodes": {[]string{"v1", "v2"}, fleet.Load{Streams: 1}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, d := balancedEngines(t, 50)
				var listed []fleet.Engine
				lost := 0
				for _, engine := range e.list() {
					e.loads[engine.ID] = c.load
					if engine.Phase == fleet.Prefill && lost < c.lost {
						lost++
						continue
					}
					engine.Version = c.versions[0]
					if len(listed) == 0 && engine.Phase == fleet.Prefill {
						engine.Version = c.versions[len(c.versions)-1]
					}
					listed = append(listed, engine)
				}
				d.ReconcileScaled(t.Context(), "llm", listed)
				if got := e.withdrawals(); got != c.want {
					t.Errorf("%d engines change their phase, want %d", got, c.want)
				}
				d.Wait()
			})
		})
	}
}
