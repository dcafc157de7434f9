package peergrpc

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func fromEngine(e fleet.Engine) *peerpb.Engine {
	return &peerpb.Engine{
		Id:        e.ID,
		Born:      e.StartedMs,
		Service:   e.Service,
		Address:   e.Address,
		Zone:      e.Zone,
		Phase:     e.Phase.String(),
		Leaving:   e.Leaving,
		Slots:     toUint32(e.Slots),
		WarmingMs: toUint32(e.WarmingMs),
		Version:   e.Version,

		Reclaimable: e.Reclaimable,
	}
}

// toUint32 returns the nearest number to n that its field can hold.
func toUint32(n int) uint32 {
	return uint32(min(max(0, n), math.MaxUint32))
}

func sameEngine(a, b *peerpb.Engine) bool {
	return a.GetId() == b.GetId() && a.GetBorn() == b.GetBorn() && a.GetService() == b.GetService() &&
		a.GetAddress() == b.GetAddress() && a.GetZone() == b.GetZone() && a.GetPhase() == b.GetPhase() &&
		a.GetLeaving() == b.GetLeaving() && a.GetSlots() == b.GetSlots() && a.GetVersion() == b.GetVersion() && a.GetReclaimable() == b.GetReclaimable()
}

func toEngine(e *peerpb.Engine) (fleet.Engine, error) {
	phase, err := fleet.ParsePhase(e.GetPhase())
	if err != nil {
		return fleet.Engine{}, fmt.Errorf("engine %s: %w", e.GetId(), err)
	}
	return fleet.Engine{
		ID:        e.GetId(),
		StartedMs: e.GetBorn(),
		Service:   e.GetService(),
		Address:   e.GetAddress(),
		Zone:      e.GetZone(),
		Phase:     phase,
		Leaving:   e.GetLeaving(),
		Slots:     int(e.GetSlots()),
		WarmingMs: int(e.GetWarmingMs()),
		Version:   e.GetVersion(),

		Reclaimable: e.GetReclaimable(),
	}, nil
}

func fromHoldings(holdings []prefixdir.Holding) []*peerpb.Holding {
	out := make([]*peerpb.Holding, 0, len(holdings))
	for _, h := range holdings {
		out = append(out, &peerpb.Holding{Part: h.Part, Engine: h.Engine, Born: h.EngineStartedMs})
	}
	return out
}

func toHoldings(holdings []*peerpb.Holding) []prefixdir.Holding {
	out := make([]prefixdir.Holding, 0, len(holdings))
	for _, h := range holdings {
		out = append(out, prefixdir.Holding{Part: h.GetPart(), Engine: h.GetEngine(), EngineStartedMs: h.GetBorn()})
	}
	return out
}

func fromRateLimits(limits []ratelimit.Announcement) []*peerpb.RateLimit {
	out := make([]*peerpb.RateLimit, 0, len(limits))
	for _, l := range limits {
		out = append(out, &peerpb.RateLimit{Server: l.Server, Limited: l.Limit.Limited, PerSecond: l.Limit.PerSecond, AgeMs: uint64(l.Age.Milliseconds())})
	}
	return out
}

func toRateLimits(limits []*peerpb.RateLimit) []ratelimit.Announcement {
	out := make([]ratelimit.Announcement, 0, len(limits))
	for _, l := range limits {
		out = append(out, ratelimit.Announcement{
			Server: l.GetServer(),
			Limit:  ratelimit.Limit{Limited: l.GetLimited(), PerSecond: l.GetPerSecond()},
			Age:    time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

func fromPace(pace map[string]fleet.Pace) map[string]*peerpb.Pace {
	out := make(map[string]*peerpb.Pace, len(pace))
	for service, p := range pace {
		out[service] = &peerpb.Pace{Ended: uint32(p.Ended), Tight: uint32(p.Tight), Late: uint32(p.Late)}
	}
	return out
}

func toPace(pace map[string]*peerpb.Pace) map[string]fleet.Pace {
	out := make(map[string]fleet.Pace, len(pace))
	for service, p := range pace {
		out[service] = fleet.Pace{Ended: int(p.GetEnded()), Tight: int(p.GetTight()), Late: int(p.GetLate())}
	}
	return out
}

func fromWork(w fleet.Work) (loads []*peerpb.EngineLoad, waiting map[string]uint64) {
	for engine, load := range w.Engines {
		loads = append(loads, fromLoad(engine, load))
	}
	return loads, fromWaiting(w.Waiting)
}

func fromWaiting(waiting map[string]int) map[string]uint64 {
	out := make(map[string]uint64, len(waiting))
	for service, tokens := range waiting {
		out[service] = uint64(max(0, tokens))
	}
	return out
}

func toWork(loads []*peerpb.EngineLoad, waiting map[string]uint64) fleet.Work {
	w := fleet.Work{Engines: make(map[string]fleet.Load, len(loads)), Waiting: make(map[string]int, len(waiting))}
	for _, l := range loads {
		w.Engines[l.GetEngine()] = toLoad(l)
	}
	for service, tokens := range waiting {
		w.Waiting[service] = int(tokens)
	}
	return w
}

func fromLoad(engine string, l fleet.Load) *peerpb.EngineLoad {
	return &peerpb.EngineLoad{
		Engine:       engine,
		PromptTokens: uint64(max(0, l.PromptTokens)),
		Streams:      uint32(max(0, l.Streams)),
		Calls:        uint32(max(0, l.Calls)),
		Ailing:       uint32(max(0, l.FailingEntries)),
		Missing:      uint32(max(0, l.MissingEntries)),
		Leaving:      uint32(max(0, l.LeavingEntries)),
		Withdrawn:    l.Withdrawn > 0,
		KvTokens:     uint64(max(0, l.KVTokens)),
	}
}

func toLoad(l *peerpb.EngineLoad) fleet.Load {
	withdrawn := 0
	if l.GetWithdrawn() {
		withdrawn = 1
	}
	return fleet.Load{
		Withdrawn:      withdrawn,
		PromptTokens:   int(l.GetPromptTokens()),
		Streams:        int(l.GetStreams()),
		Calls:          int(l.GetCalls()),
		KVTokens:       int(l.GetKvTokens()),
		FailingEntries: int(l.GetAiling()),
		MissingEntries: int(l.GetMissing()),
		LeavingEntries: int(l.GetLeaving()),
	}
}
