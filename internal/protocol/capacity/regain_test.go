package capacity_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/duty"
	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestLeaseIsRegainedDuringCall guards against a second call on a matter while the first one is
// unanswered, where the holder loses its lease and regains it in the same term: the older call may
// take effect after the newer one.
func TestLeaseIsRegainedDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leads atomic.Bool
		leads.Store(true)
		var mu sync.Mutex
		calls, inProgress := make(map[string]int), make(map[string]int)
		d := capacity.NewDriver(capacity.DriverOptions{
			Permit: func(string) (duty.Permit, error) {
				if !leads.Load() {
					return duty.Permit{}, duty.ErrNotHolder
				}
				return duty.Permit{Token: 1}, nil
			},
			Refused: func(string, uint64) {},
			Send: func(_ context.Context, _ duty.Permit, o capacity.Order) error {
				mu.Lock()
				calls[o.Matter()]++
				inProgress[o.Matter()]++
				if n := inProgress[o.Matter()]; n > 1 {
					t.Errorf("%d calls at once on %s", n, o.Matter())
				}
				mu.Unlock()
				time.Sleep(1500 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				inProgress[o.Matter()]--
				return nil
			},
			Demand: func() map[string]fleet.DemandRate { return nil },
			Rate:   50, Clock: clock.NewRuntime(), Log: hclog.NewNullLogger(),
		})
		var engines []fleet.Engine
		for _, zone := range zoneNames {
			engines = append(engines, fleet.Engine{ID: zone, Service: serviceName, Zone: zone})
		}
		d.Observe(planned, fleet.NewView(engines), nil)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = d.Run(ctx) })
		time.Sleep(600 * time.Millisecond)
		leads.Store(false)
		time.Sleep(300 * time.Millisecond)
		leads.Store(true)
		time.Sleep(600 * time.Millisecond)
		cancel()
		group.Wait()
		if len(calls) == 0 {
			t.Error("no calls")
		}
	})
}
