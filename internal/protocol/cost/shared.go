package cost

import (
	"math"
	"time"
)

const (
	// sharedHalfLife is the time in which what all entries measured of a server loses half of
	// its weight.
	sharedHalfLife = 20 * time.Second
	// sharedWeight is the weight, in observations, of the assumption that a server is as fast
	// as the others of its group.
	sharedWeight = 4
	// maxReportedWeight bounds the weight of one report about a server.
	maxReportedWeight = 100
)

// Run is one run of a server, from its start to its end.
type Run struct {
	ID string
	// Born is the start in Unix milliseconds, or zero if it isn't known.
	Born int64
	// Group names the servers whose speeds are compared with each other.
	Group string
}

// Measured sums up what an entry observed of a server's speed.
type Measured struct {
	Server string
	Born   int64
	// Weight is the sum of the weights of the observations, and LogSum that of the weighted
	// logarithms of the time taken over the one expected of the mean server.
	Weight, LogSum float64
}

// SharedSpeeds combines what entries measured of servers. It is not safe for concurrent use.
type SharedSpeeds struct {
	servers map[string]*sharedServer
}

type sharedServer struct {
	run            Run
	weight, logSum float64
	at             time.Time
}

func (s *sharedServer) age(now time.Time) {
	keep := math.Exp2(-max(0, now.Sub(s.at).Seconds()) / sharedHalfLife.Seconds())
	s.weight, s.logSum, s.at = s.weight*keep, s.logSum*keep, now
}

// NewSharedSpeeds returns speeds without servers.
func NewSharedSpeeds() *SharedSpeeds { return &SharedSpeeds{servers: make(map[string]*sharedServer)} }

// SetServers replaces the servers whose speeds are kept. Nothing is known of a new run.
func (s *SharedSpeeds) SetServers(runs []Run) {
	next := make(map[string]*sharedServer, len(runs))
	for _, r := range runs {
		held := s.servers[r.ID]
		if held == nil || held.run.Born != r.Born {
			held = &sharedServer{}
		}
		held.run = r
		next[r.ID] = held
	}
	s.servers = next
}

// Add adds what an entry measured since its last report. Reports about other runs than the
// present ones are ignored.
func (s *SharedSpeeds) Add(now time.Time, measured []Measured) {
	for _, m := range measured {
		held := s.servers[m.Server]
		mean := m.LogSum / m.Weight
		if held == nil || held.run.Born != m.Born || m.Weight <= 0 || math.IsNaN(mean) {
			continue
		}
		weight := min(m.Weight, maxReportedWeight)
		held.age(now)
		held.weight += weight
		held.logSum += weight * min(max(mean, -math.Log(maxFactor)), math.Log(maxFactor))
	}
}

// Slowness returns how much slower than the mean of their groups servers are, without those
// of which nothing is known.
func (s *SharedSpeeds) Slowness(now time.Time) map[string]float64 {
	type sums struct{ weight, logSum float64 }
	groups := make(map[string]sums)
	for _, held := range s.servers {
		held.age(now)
		g := groups[held.run.Group]
		groups[held.run.Group] = sums{g.weight + held.weight, g.logSum + held.logSum}
	}
	out := make(map[string]float64)
	for id, held := range s.servers {
		if held.weight < forgottenWeight {
			continue
		}
		g := groups[held.run.Group]
		factor := math.Exp((held.logSum - held.weight*g.logSum/g.weight) / (held.weight + sharedWeight))
		out[id] = min(max(factor, 1.0/maxFactor), maxFactor)
	}
	return out
}
