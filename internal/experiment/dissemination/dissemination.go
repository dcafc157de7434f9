package dissemination

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/loaddigest"
)

const (
	// packetOverhead is the size of the IP and UDP headers and of the message
	// header, in bytes.
	packetOverhead = 28 + 8
	// packetBytes is the maximum payload of one packet, in bytes.
	packetBytes = 1400
)

// Options describes the nodes and the run.
type Options struct {
	Nodes   int
	Zones   int
	Engines int // per node
	// Rounds is the length of the run in rounds of gossip and Seed the seed of
	// its random numbers.
	Rounds int
	Seed   uint64
}

// Result is the cost and the staleness of one method.
type Result struct {
	Name string
	// Sent and Received are the rates of one node, in bytes per second.
	Sent     float64
	Received float64
	// Near and Far are the ages of digests of the same zone and of other zones,
	// in seconds: median, 95th and 99th percentile.
	Near [3]float64
	Far  [3]float64
	// RelayRate is the maximum rate of one relay VM, in bytes per second.
	RelayRate float64
}

// messageBytes returns the size on the wire of a message with the digests of the
// given number of nodes.
func (o *Options) messageBytes(nodes int) float64 {
	d := loaddigest.Digest{Engines: make([]loaddigest.Engine, o.Engines)}
	payload := nodes * len(d.Encode())
	packets := (payload + packetBytes - 1) / packetBytes
	return float64(payload + packets*packetOverhead)
}

// Gossip simulates gossip with quality ratings. rating is that of nodes outside
// the zone, timeout the number of rounds in which an update reaches the zone and
// interval the duration of a round.
func Gossip(o Options, rating float64, timeout int, interval time.Duration) Result {
	perZone := o.Nodes / o.Zones
	near, far := fitParameters(perZone, o.Nodes-perZone, rating, timeout)
	g := newGossip(o, near, far)
	for round := range o.Rounds {
		g.round(round)
	}
	seconds := interval.Seconds()
	bytes := o.messageBytes(perZone)
	rate := g.messages / float64(o.Rounds) / float64(o.Nodes) / seconds * bytes
	return Result{
		Name: fmt.Sprintf("gossip, rating %g beyond, %d rounds of %s", rating, timeout, interval),
		Sent: rate, Received: rate,
		Near: percentiles(g.near, seconds), Far: percentiles(g.far, seconds),
	}
}

// gossip is the state of a run. newest[i][j] is the round of the newest digest of
// node j that node i holds, or -1.
type gossip struct {
	options    Options
	random     *rand.Rand
	parameters [2]ratingParameters
	newest     [][]int32
	messages   float64
	near, far  []float64
}

func newGossip(o Options, near, far ratingParameters) *gossip {
	g := &gossip{options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), parameters: [2]ratingParameters{near, far}}
	for range o.Nodes {
		row := make([]int32, o.Nodes)
		for j := range row {
			row[j] = -1
		}
		g.newest = append(g.newest, row)
	}
	return g
}

func (g *gossip) zone(node int) int { return node % g.options.Zones }

// parametersOf returns the parameters of a node in the group of a zone.
func (g *gossip) parametersOf(node, zone int) *ratingParameters {
	if g.zone(node) == zone {
		return &g.parameters[0]
	}
	return &g.parameters[1]
}

type push struct {
	from, to, zone int
}

// round simulates one round, in which every node gossips in every group. Nodes
// send the state that they had at the start of the round.
func (g *gossip) round(round int) {
	for i := range g.newest {
		g.newest[i][i] = int32(round)
	}
	var pushes []push
	for zone := range g.options.Zones {
		for from := range g.newest {
			pushes = g.draw(pushes, from, zone)
		}
	}
	before := make([][]int32, len(g.newest))
	for i := range g.newest {
		before[i] = slices.Clone(g.newest[i])
	}
	for _, p := range pushes {
		g.messages++
		for j := p.zone; j < g.options.Nodes; j += g.options.Zones {
			g.newest[p.to][j] = max(g.newest[p.to][j], before[p.from][j])
		}
	}
	if round > g.options.Rounds/2 {
		g.sample(round)
	}
}

// draw appends the pushes of one node in one group. It samples their number and
// then their targets, which is equivalent to one sample per target if the
// probabilities are small.
func (g *gossip) draw(pushes []push, from, zone int) []push {
	infectivity := g.parametersOf(from, zone).infectivity
	for kind, p := range g.parameters {
		for range g.poisson(infectivity * p.susceptibility * p.count) {
			to := g.target(zone, kind == 0)
			if to != from {
				pushes = append(pushes, push{from: from, to: to, zone: zone})
			}
		}
	}
	return pushes
}

// target returns a random node inside or outside a zone.
func (g *gossip) target(zone int, inside bool) int {
	perZone := g.options.Nodes / g.options.Zones
	if inside {
		return zone + g.options.Zones*g.random.IntN(perZone)
	}
	other := (zone + 1 + g.random.IntN(g.options.Zones-1)) % g.options.Zones
	return other + g.options.Zones*g.random.IntN(perZone)
}

func (g *gossip) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := g.random.Float64(); p > limit; p *= g.random.Float64() {
		n++
	}
	return n
}

func (g *gossip) sample(round int) {
	const stride = 7
	for i := 0; i < len(g.newest); i += stride {
		for j, newest := range g.newest[i] {
			age := float64(round) - float64(newest)
			switch {
			case i == j:
			case g.zone(i) == g.zone(j):
				g.near = append(g.near, age)
			default:
				g.far = append(g.far, age)
			}
		}
	}
}

// FanOut computes the fan-out from dedicated relay VMs. Every node sends its
// digest to one of them at the interval near, the relays exchange what they
// received, and each node receives the digests of its zone at the interval near
// and those of the others at the interval far. The ages are sampled, since the
// phases of the nodes are independent.
func FanOut(o Options, vms int, near, far time.Duration) Result {
	perZone := o.Nodes / o.Zones
	r := Result{Name: fmt.Sprintf("fan-out from %d VMs, zone each %s, others each %s", vms, near, far)}
	r.Sent = o.messageBytes(1) / near.Seconds()
	r.Received = o.messageBytes(perZone)/near.Seconds() + o.messageBytes(o.Nodes-perZone)/far.Seconds()
	nodes := math.Ceil(float64(o.Nodes) / float64(vms))
	exchange := o.messageBytes(int(nodes)) / near.Seconds() * float64(vms-1)
	r.RelayRate = nodes*(r.Sent+r.Received) + 2*exchange
	random := rand.New(rand.NewPCG(o.Seed, 8))
	r.Near = sampleAges(random, near.Seconds(), near.Seconds(), near.Seconds())
	r.Far = sampleAges(random, near.Seconds(), near.Seconds(), far.Seconds())
	return r
}

// sampleAges returns percentiles of the sum of delays that are uniform between
// zero and each of the given intervals.
func sampleAges(random *rand.Rand, intervals ...float64) [3]float64 {
	const draws = 20000
	ages := make([]float64, draws)
	for i := range ages {
		for _, interval := range intervals {
			ages[i] += interval * random.Float64()
		}
	}
	return percentiles(ages, 1)
}

func percentiles(values []float64, scale float64) [3]float64 {
	slices.Sort(values)
	at := func(p float64) float64 { return scale * values[int(p*float64(len(values)-1))] }
	return [3]float64{at(0.5), at(0.95), at(0.99)}
}

// WriteTable writes results as a Markdown table.
func WriteTable(w io.Writer, results []Result) error {
	lines := []string{
		"| way | node sends B/s | node receives B/s | age in zone s (50/95/99%) | age beyond s (50/95/99%) | VM set aside B/s |",
		"| --- | --- | --- | --- | --- | --- |",
	}
	for _, r := range results {
		lines = append(lines, fmt.Sprintf("| %s | %.0f | %.0f | %.1f/%.1f/%.1f | %.1f/%.1f/%.1f | %.0f |",
			r.Name, r.Sent, r.Received, r.Near[0], r.Near[1], r.Near[2], r.Far[0], r.Far[1], r.Far[2], r.RelayRate))
	}
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
