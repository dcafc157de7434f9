package exchange

import (
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// TestCallersWithLessTimeThanTheRouteAreNew guards against first requests that count as
// those of callers that have come back, because callers' own time limits are shorter.
func TestCallersWithLessTimeThanTheRouteAreNew(t *testing.T) {
	const timeout = 10 * time.Second
	for _, c := range []struct {
		left time.Duration
		back bool
	}{
		{timeout, false},
		{timeout + time.Second, false},
		{timeout * 85 / 100, false},
		{timeout * 70 / 100, true},
	} {
		started := time.Now()
		x := &exchange{
			Forwarder: &Forwarder{}, started: started,
			request: &Request{Route: &route.Route{Objective: 300 * time.Millisecond, Timeout: timeout}, Deadline: started.Add(c.left)},
		}
		p := x.queueEntry(placement.Prompt{Tokens: 20000})
		if back := p.Asked.Before(p.Arrived); back != c.back {
			t.Errorf("%v left of %v: came back %v, want %v", c.left, timeout, back, c.back)
		}
	}
}
