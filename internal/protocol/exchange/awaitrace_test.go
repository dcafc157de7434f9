package exchange

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// hookedClock calls onNow, if set, before each reading.
type hookedClock struct {
	clock.Clock
	onNow func()
}

func (c *hookedClock) Now() clock.Instant {
	if c.onNow != nil {
		c.onNow()
	}
	return c.Clock.Now()
}

// TestServerThatReturnsMeanwhileIsACandidate guards against the refusal of a waiting stream whose server answers another stream while it looks for a reachable one.
func TestServerThatReturnsMeanwhileIsACandidate(t *testing.T) {
	down := fleet.Engine{ID: "a", Service: "plain", Version: "v1"}
	back := fleet.Engine{ID: "b", Service: "plain", Version: "v1"}
	view := fleet.NewView([]fleet.Engine{down, back})
	c := &hookedClock{Clock: clock.NewRuntime()}
	outliers := outlier.NewSet(c)
	outliers.Unreachable(down.ID)
	outliers.Unreachable(back.ID)
	forwarder := New(Options{View: func() *fleet.View { return view }, Tracker: fleet.NewTracker(), Outlier: outliers, Log: hclog.NewNullLogger()})
	x := &exchange{
		Forwarder:     forwarder,
		request:       &Request{Route: &route.Route{}, Deadline: time.Now().Add(time.Minute)},
		started:       time.Now(),
		failedEngines: []string{back.ID}, unreached: []string{back.ID}, unsentAttempts: 1,
	}
	x.request.Service.Name = "plain"
	x.origin.set("v1")
	// The state of the server that is down is read before that of the other one.
	c.onNow = func() {
		c.onNow = nil
		outliers.Success(back.ID)
		forwarder.returns.answered(back)
	}
	if err := x.awaitServer(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, candidate := range x.candidates() {
		if candidate.ID == back.ID {
			return
		}
	}
	t.Errorf("candidates %v, want the server that answers again", x.candidates())
}
