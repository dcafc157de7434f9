package cost

import (
	"math"
	"slices"
	"time"
)

const (
	// sharedHalfLife is the time in which what all entries measured of a server loses half of
	// its weight.
	sharedHalfLife = 20 * time.Second
	// sharedWeight is the weight, in observations, of the assumption that a server is as fast
	// as the others of its group.
	sharedWeight = 8
	// sharedDifference is the logarithm of a factor below which a server counts as fast as the
	// others. Queues that entries can't see yet look like small differences of speed, and all
	// entries would follow these at once.
	sharedDifference = 0.2
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

// Slowness returns how much slower than the median of their groups servers are, without those
// that are about as fast, or of which nothing is known. The median is the speed of most servers
// where a part of them is slow, so that these are the ones that are named.
func (s *SharedSpeeds) Slowness(now time.Time) map[string]float64 {
	groups := make(map[string]*group)
	for _, held := range s.servers {
		held.age(now)
		if held.weight < forgottenWeight {
			continue
		}
		g := groups[held.run.Group]
		if g == nil {
			g = &group{}
			groups[held.run.Group] = g
		}
		g.weight, g.logSum = g.weight+held.weight, g.logSum+held.logSum
		g.servers = append(g.servers, held)
	}
	out := make(map[string]float64)
	for _, g := range groups {
		g.addSlowness(out)
	}
	return out
}

// group is the servers that are compared with each other.
type group struct {
	weight, logSum float64
	servers        []*sharedServer
}

func (g *group) addSlowness(out map[string]float64) {
	mean := g.logSum / g.weight
	logs := make([]float64, 0, len(g.servers))
	for _, held := range g.servers {
		logs = append(logs, (held.logSum+sharedWeight*mean)/(held.weight+sharedWeight))
	}
	sorted := slices.Sorted(slices.Values(logs))
	median := sorted[len(sorted)/2]
	for i, held := range g.servers {
		if log := logs[i] - median; math.Abs(log) >= sharedDifference {
			out[held.run.ID] = min(max(math.Exp(log), 1.0/maxFactor), maxFactor)
		}
	}
}
