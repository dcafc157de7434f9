package capacity_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestGapOfAuthority guards against a holder that loses its authority for a moment, keeps its
// term, and begins anew: it would send a second order on a matter while an earlier one is under
// way.
func TestGapOfAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, cloud := time.Now(), newCloud(60)
		cloud.delay = 3 * time.Second
		demand := after(func(time.Duration) float64 { return 1 })
		r := newReplica(cloud, 1, func() *fleet.DemandRate { return demand(time.Since(began)) })
		events := make(map[time.Duration]func())
		for at := time.Second; at < 40*time.Second; at += 2 * time.Second {
			events[at] = func() { r.term.Store(0) }
			events[at+300*time.Millisecond] = func() { r.term.Store(1) }
		}
		run(t, cloud, 45*time.Second, demand, events, r) // checks that no calls overlap
	})
}
