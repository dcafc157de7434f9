package capacity_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// TestServersFallToZero guards against a last server that stays for good where a service without
// demand may have none, because what is present is provided for, and against orders that turn.
func TestServersFallToZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud, began := newCloud(1), time.Now()
		r := newReplica(cloud, 1, func() *fleet.DemandRate {
			if time.Since(began) < 5*time.Second {
				return &fleet.DemandRate{Requests: 10, InProgress: 10}
			}
			return &fleet.DemandRate{}
		})
		s := []capacity.Service{{Name: serviceName, Class: capacity.Class{Slots: 64}, Scaling: route.Scaling{Max: 4, Boot: bootTime, ReclaimablePrice: 0.18, ZonePrices: map[string]float64{"z1": 1}}}}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = r.Run(ctx) })
		for time.Since(began) < 90*time.Second {
			r.Observe(s, fleet.NewView(cloud.list()), nil)
			time.Sleep(250 * time.Millisecond)
		}
		cancel()
		group.Wait()
		late := 0
		for _, c := range cloud.calls {
			if c.at.Sub(began) > 45*time.Second {
				late++
			}
		}
		if n := cloud.serving().Total(); n > 0 || late > 0 {
			t.Errorf("%d servers serve 85 s after the demand has ended, %d orders in the last 45 s, want none", n, late)
		}
	})
}
