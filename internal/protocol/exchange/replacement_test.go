package exchange_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// TestSilentReplacementIsReplaced guards against waiting for a replacement that is silent
// too, against asking one server twice, and against load that is never taken away.
func TestSilentReplacementIsReplaced(t *testing.T) {
	for _, c := range []struct {
		attempts, servers int
		answered          bool
	}{{3, 8, true}, {4, 8, true}, {6, 8, true}, {3, 2, false}, {4, 2, false}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent, quick := reply{status: 200, body: "silent", pause: time.Hour}, reply{status: 200, body: "quick"}
				w := newFixture(silent, silent, quick, quick, quick, quick, quick, quick)
				w.view = decoders(c.servers)
				call := callRequest(route.Safe, c.attempts)
				call.Route.Objective = 100 * time.Millisecond
				start := time.Now()
				o := w.run(t, call)
				if took := time.Since(start); c.answered && (o.Result != exchange.Delivered || took > time.Second) {
					t.Errorf("got %v after %v, want the response of the third server", o.Result, took)
				}
				asked := make(map[string]int)
				for _, a := range w.sends {
					asked[a.Engine.ID]++
				}
				for _, e := range w.view.Engines("plain") {
					if asked[e.ID] > 1 {
						t.Errorf("server %s got the request %d times", e.ID, asked[e.ID])
					}
					if load := w.tracker.Load(e.ID); load.Calls != 0 {
						t.Errorf("server %s has %d calls after the only request has ended", e.ID, load.Calls)
					}
				}
			})
		})
	}
}
