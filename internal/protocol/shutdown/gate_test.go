package shutdown

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

func TestGateTakesWhatCanBeCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(clock.NewRuntime())
		slow := &route.Route{Name: "slow", Objective: 100 * time.Millisecond, Timeout: 10 * time.Second}
		unknown := &route.Route{Name: "unknown", Objective: 100 * time.Millisecond, Timeout: 10 * time.Second}
		g.Record("slow", 3*time.Second)
		g.Record("slow", time.Second)
		if !g.Decide(slow, time.Hour).Taken {
			t.Error("a request is refused before the process stops")
		}
		g.Stop(4 * time.Second)
		for _, c := range []struct {
			after   time.Duration
			route   *route.Route
			timeout time.Duration
			want    bool
		}{
			{0, slow, 10 * time.Second, true},
			{1500 * time.Millisecond, slow, 10 * time.Second, false},
			{0, slow, 2 * time.Second, true}, // its caller leaves before the end
			{0, unknown, 10 * time.Second, true},
			{2200 * time.Millisecond, unknown, 10 * time.Second, false},
			{time.Second, unknown, time.Millisecond, false},
		} {
			time.Sleep(c.after)
			if got := g.Decide(c.route, c.timeout).Taken; got != c.want {
				t.Errorf("route %s, timeout %v: got %t, want %t", c.route.Name, c.timeout, got, c.want)
			}
		}
	})
}

func TestGateForgetsOldDurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(clock.NewRuntime())
		r := &route.Route{Name: "r", Objective: 100 * time.Millisecond}
		g.Record("r", 3*time.Second)
		time.Sleep(recentPeriod)
		if got := g.expected(r).Expected; got != 3*time.Second {
			t.Errorf("got %v after one period, want 3s", got)
		}
		time.Sleep(2 * recentPeriod)
		if got := g.expected(r).Expected; got != unknownObjectives*r.Objective {
			t.Errorf("got %v after three periods, want %v", got, unknownObjectives*r.Objective)
		}
	})
}
