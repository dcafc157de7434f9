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

// TestAllServersLost guards against a service that gets no servers any more once the last one
// has gone.
func TestAllServersLost(t *testing.T) {
	for name, min := range map[string]int{"with a minimum": 1, "without one": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cloud := newCloud(1)
				busy := fleet.DemandRate{Requests: 10, InProgress: 100}
				r := newReplica(cloud, 1, func() *fleet.DemandRate { return &busy })
				s := []capacity.Service{{Name: serviceName, Class: capacity.Class{Slots: 64}, Scaling: route.Scaling{Min: min, Max: 4, Boot: bootTime, ZonePrices: map[string]float64{"z1": 1}}}}
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { _ = r.Run(ctx) })
				for at := time.Duration(0); at < 30*time.Second; at += 250 * time.Millisecond {
					if at == 5*time.Second {
						cloud.mu.Lock()
						cloud.servers = nil
						cloud.mu.Unlock()
					}
					r.Observe(s, fleet.NewView(cloud.list()), nil)
					time.Sleep(250 * time.Millisecond)
				}
				cancel()
				group.Wait()
				if n := cloud.serving().Total(); n < 3 {
					t.Errorf("%d servers serve 25 s after the loss of all, want 3", n)
				}
			})
		})
	}
}
