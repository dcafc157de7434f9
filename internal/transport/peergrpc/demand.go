package peergrpc

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// setDemand replaces what callers ask for at an entry.
func (h *FleetHub) setDemand(w *entryWatch, demand []*peerpb.ServiceDemand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.demand = demand
}

// Demand returns what callers ask for at all entries, by service.
func (h *FleetHub) Demand() map[string]fleet.DemandRate {
	h.mu.Lock()
	sums := make(map[string]*fleet.DemandSum)
	for w := range h.entries {
		for _, d := range w.demand {
			sum := sums[d.GetService()]
			if sum == nil {
				sum = &fleet.DemandSum{}
				sums[d.GetService()] = sum
			}
			sum.Add(toDemand(d))
		}
	}
	h.mu.Unlock()
	out := make(map[string]fleet.DemandRate, len(sums))
	for service, sum := range sums {
		out[service] = sum.Total()
	}
	return out
}

func fromDemand(demand map[string]fleet.Demand) []*peerpb.ServiceDemand {
	if len(demand) == 0 {
		return nil
	}
	out := make([]*peerpb.ServiceDemand, 0, len(demand))
	for service, d := range demand {
		out = append(out, &peerpb.ServiceDemand{
			Service:               service,
			IntervalMs:            toUint32(int(d.Interval.Milliseconds())),
			Requests:              toUint32(d.Requests),
			PromptTokens:          uint64(max(0, d.PromptTokens)),
			EngineTokensPerSecond: toUint32(int(d.EngineRate)),
			InProgress:            d.InProgress,
		})
	}
	return out
}

func toDemand(d *peerpb.ServiceDemand) fleet.Demand {
	return fleet.Demand{
		Interval:     time.Duration(d.GetIntervalMs()) * time.Millisecond,
		Requests:     int(d.GetRequests()),
		PromptTokens: int(d.GetPromptTokens()),
		EngineRate:   float64(d.GetEngineTokensPerSecond()),
		InProgress:   d.GetInProgress(),
	}
}
