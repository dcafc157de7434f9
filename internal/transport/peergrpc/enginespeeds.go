package peergrpc

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// engineSpeeds combines the speeds of engines that entries report. It is safe for concurrent
// use.
type engineSpeeds struct {
	mu     sync.Mutex         // guards the fields below
	speeds *cost.SharedSpeeds // nil before the first list
	// slowness is what speeds gave at an instant.
	slowness map[string]float64
	at       time.Time
}

// slownessInterval is the time for which the slowness of engines is used. It changes within
// seconds, and digests are made 40 times a second.
const slownessInterval = 200 * time.Millisecond

// setEngines replaces the engines whose speeds are kept. Those of one service and phase are
// compared with each other.
func (s *engineSpeeds) setEngines(engines []fleet.Engine) {
	runs := EngineRuns(engines)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.speeds == nil {
		s.speeds = cost.NewSharedSpeeds()
	}
	s.speeds.SetServers(runs)
	s.at = time.Time{}
}

// EngineRuns returns the runs of a list of engines.
func EngineRuns(engines []fleet.Engine) []cost.Run {
	runs := make([]cost.Run, 0, len(engines))
	for _, e := range engines {
		runs = append(runs, cost.Run{ID: e.ID, Born: e.StartedMs, Group: e.Service + "/" + e.Phase.String()})
	}
	return runs
}

// add adds what an entry reported.
func (s *engineSpeeds) add(measured []*peerpb.MeasuredSpeed) {
	if len(measured) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.speeds != nil {
		s.speeds.Add(time.Now(), toMeasuredSpeeds(measured))
	}
}

// encode adds the speeds that differ to a digest.
func (s *engineSpeeds) encode(out *peerpb.LoadDigest, numbers map[string]uint32) {
	s.mu.Lock()
	if now := time.Now(); s.speeds != nil && now.Sub(s.at) >= slownessInterval {
		s.slowness, s.at = s.speeds.Slowness(now), now
	}
	slowness := s.slowness // replaced, never changed
	s.mu.Unlock()
	type numbered struct{ number, percent uint32 }
	unequal := make([]numbered, 0, len(slowness))
	for engine, slow := range slowness {
		if n := (numbered{numbers[engine], uint32(math.Round(100 * slow))}); n.number != 0 && n.percent != 100 {
			unequal = append(unequal, n)
		}
	}
	slices.SortFunc(unequal, func(a, b numbered) int { return int(a.number) - int(b.number) })
	last := uint32(0)
	for _, n := range unequal {
		out.UnequalEngines = append(out.UnequalEngines, n.number-last)
		out.SlownessPercent = append(out.SlownessPercent, n.percent)
		last = n.number
	}
}

// toSlowness returns the speeds of a digest by engine ID. Engines that the list doesn't hold
// are left out.
func toSlowness(m *peerpb.LoadDigest, engines map[uint32]fleet.Engine) map[string]float64 {
	out := make(map[string]float64, len(m.GetUnequalEngines()))
	number := uint32(0)
	for i, difference := range m.GetUnequalEngines() {
		number += difference
		engine, listed := engines[number]
		if percent := m.GetSlownessPercent(); listed && i < len(percent) && percent[i] > 0 {
			out[engine.ID] = float64(percent[i]) / 100
		}
	}
	return out
}

func fromMeasuredSpeeds(measured []cost.Measured) []*peerpb.MeasuredSpeed {
	out := make([]*peerpb.MeasuredSpeed, 0, len(measured))
	for _, m := range measured {
		out = append(out, &peerpb.MeasuredSpeed{Engine: m.Server, Born: m.Born, Weight: float32(m.Weight), LogSum: float32(m.LogSum)})
	}
	return out
}

func toMeasuredSpeeds(measured []*peerpb.MeasuredSpeed) []cost.Measured {
	out := make([]cost.Measured, 0, len(measured))
	for _, m := range measured {
		out = append(out, cost.Measured{Server: m.GetEngine(), Born: m.GetBorn(), Weight: float64(m.GetWeight()), LogSum: float64(m.GetLogSum())})
	}
	return out
}
