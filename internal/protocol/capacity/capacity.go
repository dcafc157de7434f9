// Package capacity decides how many servers a service has, in which availability zones and
// of which kind. Reclaimable servers cost less than lasting ones, but all of a zone may be
// taken away at once, and a server takes seconds to start; the demand may grow in the meantime.
package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Kind is a kind of server.
type Kind uint8

const (
	// Lasting servers stay until they are given back.
	Lasting Kind = iota
	// Reclaimable servers cost less and may be taken away.
	Reclaimable
)

var kindNames = []string{"lasting", "reclaimable"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Kinds are all kinds.
var Kinds = []Kind{Lasting, Reclaimable}

// Counts holds a number of servers of each kind.
type Counts [2]int

// Total returns the number of servers of all kinds.
func (c Counts) Total() int { return c[Lasting] + c[Reclaimable] }

// ZoneCounts holds numbers of servers by availability zone.
type ZoneCounts map[string]Counts

// Total returns the numbers of all zones together.
func (z ZoneCounts) Total() (sum Counts) {
	for _, c := range z {
		sum[Lasting] += c[Lasting]
		sum[Reclaimable] += c[Reclaimable]
	}
	return sum
}

// Zones returns the zones of the counts, sorted.
func (z ZoneCounts) Zones() []string { return slices.Sorted(maps.Keys(z)) }

// mostReclaimable returns the zone with the most reclaimable servers, or an empty name if
// there are none.
func (z ZoneCounts) mostReclaimable() (most string) {
	for _, zone := range z.Zones() {
		if z[zone][Reclaimable] > z[most][Reclaimable] {
			most = zone
		}
	}
	return most
}

func (z ZoneCounts) add(zone string, k Kind, n int) {
	c := z[zone]
	c[k] += n
	z[zone] = c
}

const (
	// prefillUse and decodeUse are the parts of what an engine can do at most that are
	// planned for. The rest is for demand that grows by half within seconds for single
	// kinds of requests, and by a quarter in all while ordered servers start. Prompts
	// queue beyond the one, and pauses within streams grow with the other.
	prefillUse = 0.6
	decodeUse  = 0.6
	// plainUse is the same for servers without phases.
	plainUse = 0.6
	// prefillUseAfterLoss, decodeUseAfterLoss and plainUseAfterLoss are planned for the
	// seconds between the loss of a zone's reclaimable servers and their replacement.
	prefillUseAfterLoss = 0.85
	decodeUseAfterLoss  = 0.85
	plainUseAfterLoss   = 0.85
	// priorEngineRate is assumed until an engine's speed has been measured, in prompt
	// tokens a second.
	priorEngineRate = 50000
)

// Need is how many servers the demand needs.
type Need struct {
	// Normal leaves room for growth; AfterLoss is enough for some seconds.
	Normal, AfterLoss int
}

// Class describes the servers of a service.
type Class struct {
	// PrefillShare is the part of the servers that run prefill, if each runs either
	// prefill or decode, or zero.
	PrefillShare float64
	// Slots is the number of requests that a server processes concurrently.
	Slots int
}

// NeedFor returns the number of servers that a demand needs, which is growth times as high
// once a server that is ordered now has started.
func NeedFor(d fleet.DemandRate, c Class, growth float64) Need {
	slots := float64(max(1, c.Slots))
	held := growth * d.InProgress / slots
	if c.PrefillShare <= 0 {
		least := 0
		if d.Requests > 0 {
			least = 1 // requests that find no server aren't in progress for long
		}
		return Need{Normal: max(least, roundUp(held/plainUse)), AfterLoss: max(least, roundUp(held/plainUseAfterLoss))}
	}
	rate := cmp.Or(d.EngineRate, priorEngineRate)
	reading := growth * d.PromptTokens / rate
	// The phases keep their shares: both swing within seconds, and an engine that changes its
	// phase is out of service for as long.
	servers := func(prefillUse, decodeUse float64) int {
		prefill, decode := reading/prefillUse/c.PrefillShare, held/decodeUse/(1-c.PrefillShare)
		return max(minPhased, roundUp(max(prefill, decode)))
	}
	return Need{Normal: servers(prefillUse, decodeUse), AfterLoss: servers(prefillUseAfterLoss, decodeUseAfterLoss)}
}

// minPhased is the smallest number of servers that can run both phases.
const minPhased = 2

// roundUp rounds up, except for errors of floating point arithmetic.
func roundUp(n float64) int { return int(math.Ceil(n - 1e-9)) }
