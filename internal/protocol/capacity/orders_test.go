package capacity_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// TestOrdersKeepLimits guards against orders that leave a zone with fewer servers than the
// minimum or with more than the maximum, both kinds together, whatever is present there.
func TestOrdersKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := route.Scaling{
			Min: rapid.IntRange(0, 2).Draw(t, "min"), Max: rapid.IntRange(3, 12).Draw(t, "max"),
			Boot: bootTime, ReclaimablePrice: 0.18, ZonePrices: make(map[string]float64),
		}
		zones := zoneNames[:rapid.IntRange(1, 4).Draw(t, "zones")]
		for i, zone := range zones {
			s.ZonePrices[zone] = 1 + float64(i)/10
		}
		memory, now := capacity.NewMemory(), clock.Instant(time.Hour)
		for range rapid.IntRange(1, 6).Draw(t, "plans") {
			now = now.Add(time.Duration(rapid.IntRange(250, 5000).Draw(t, "ms")) * time.Millisecond)
			listed := capacity.Servers{Present: make(capacity.ZoneCounts), Serving: make(capacity.ZoneCounts), Leaving: make(capacity.ZoneCounts)}
			for _, zone := range zones {
				lasting := rapid.IntRange(0, s.Max).Draw(t, "lasting")
				reclaimable := rapid.IntRange(0, s.Max-lasting).Draw(t, "reclaimable")
				listed.Present[zone] = capacity.Counts{lasting, reclaimable}
				listed.Serving[zone] = capacity.Counts{rapid.IntRange(0, lasting).Draw(t, "serving lasting"), rapid.IntRange(0, reclaimable).Draw(t, "serving reclaimable")}
				if rapid.IntRange(0, 9).Draw(t, "refused") == 0 {
					memory.Refused(zone, now)
				}
			}
			o := capacity.Observation{Now: now, Scaling: s, Class: capacity.Class{PrefillShare: 0.5, Slots: 64}, Servers: listed}
			if rapid.Bool().Draw(t, "traffic") {
				o.Demand = steady(rapid.Float64Range(0, 1).Draw(t, "demand"))
			}
			plan := memory.Plan(o)
			checkGivenBack(t, plan, listed)
			for _, zone := range zones {
				if n := plan.Orders[zone].Total(); n < s.Min || n > s.Max {
					t.Fatalf("%s: ordered %v with %v present and %v serving, want %d to %d; wanted %v, need %+v",
						zone, plan.Orders[zone], listed.Present[zone], listed.Serving[zone], s.Min, s.Max, plan.Wanted[zone], plan.Need)
				}
			}
		}
	})
}

// checkGivenBack checks that the servers that serve are enough for a plan's need if those that
// serve are the ones that are given back, or that none are given back.
func checkGivenBack(t *rapid.T, p capacity.Plan, s capacity.Servers) {
	given := 0
	for zone, present := range s.Present {
		for _, k := range capacity.Kinds {
			given += max(0, present[k]-p.Orders[zone][k])
		}
	}
	least := min(p.Need.Normal, p.Wanted.Total().Total())
	if left := s.Serving.Total().Total() - given; given > 0 && left < least {
		t.Fatalf("%d given back, of %v that serve %d may be left, want %d; present %v, ordered %v, wanted %v", given, s.Serving, left, least, s.Present, p.Orders, p.Wanted)
	}
}
