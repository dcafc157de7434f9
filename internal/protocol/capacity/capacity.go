// Package capacity decides how many servers a service has, in which availability zones and
// of which kind. Reclaimable servers cost less than lasting ones, but all of a zone may be
// taken away at once, and a server takes seconds to start; the demand may grow meanwhile.
package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
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
	// lastingShare is the part of the servers that can't be reclaimed: what is left if all
	// zones are reclaimed one after the other. It is small, since each costs as much as
	// five reclaimable ones.
	lastingShare = 0.05
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
		return Need{Normal: roundUp(held / plainUse), AfterLoss: roundUp(held / plainUseAfterLoss)}
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

// Limits holds what restricts the numbers of servers.
type Limits struct {
	route.Scaling
	// Unavailable reports whether no further reclaimable servers are available in a zone.
	Unavailable func(zone string) bool
	// Present are the servers that are there.
	Present ZoneCounts
}

// price returns the price of a server for a second.
func (l Limits) price(zone string, k Kind) float64 {
	p, ok := l.ZonePrices[zone]
	if !ok {
		p = 1
	}
	if k == Reclaimable {
		p *= l.ReclaimablePrice
	}
	return p
}

// zones returns the zones in which servers can be ordered, the cheapest first.
func (l Limits) zones() []string {
	out := slices.Collect(maps.Keys(l.ZonePrices))
	if len(out) == 0 {
		out = slices.Collect(maps.Keys(l.Present))
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.price(a, Lasting), l.price(b, Lasting)), cmp.Compare(a, b))
	})
	return out
}

// max returns the maximum number of servers in a zone.
func (l Limits) max() int {
	if l.Max <= 0 {
		return math.MaxInt32
	}
	return l.Max
}

// mayAdd reports whether a zone of the target may get one more server.
func (l Limits) mayAdd(target ZoneCounts, zone string, k Kind) bool {
	c := target[zone]
	switch {
	case c.Total() >= l.max():
		return false
	case k == Lasting:
		return true
	}
	return l.ReclaimablePrice > 0 && (!l.Unavailable(zone) || c[Reclaimable] < l.Present[zone][Reclaimable])
}

// Distribute returns the servers to have for a need: a few lasting ones, and reclaimable
// ones evenly over the zones, so that enough is left if those of one zone are taken away.
// Where reclaimable servers are unavailable, lasting ones make up for what is needed for
// some seconds at least, until others are to be had.
func Distribute(n Need, l Limits) ZoneCounts {
	target := make(ZoneCounts)
	zones := l.zones()
	// add adds a server to the zone with the fewest of its kind, the cheapest of these.
	add := func(k Kind) bool {
		best := ""
		for _, zone := range zones {
			if l.mayAdd(target, zone, k) && (best == "" || target[zone][k] < target[best][k]) {
				best = zone
			}
		}
		if best != "" {
			target.add(best, k, 1)
		}
		return best != ""
	}
	for range roundUp(lastingShare * float64(n.Normal)) {
		add(Lasting)
	}
	for _, zone := range zones {
		for target[zone].Total() < l.Min {
			k := Lasting
			if l.mayAdd(target, zone, Reclaimable) {
				k = Reclaimable
			}
			target.add(zone, k, 1)
		}
	}
	for !enough(target, n) && l.moreHelps(target, n) && add(Reclaimable) {
	}
	least := n.AfterLoss
	if l.ReclaimablePrice <= 0 {
		least = n.Normal
	}
	for target.Total().Total() < least && add(Lasting) {
	}
	if !slices.ContainsFunc(zones, l.Unavailable) {
		for lost := target.mostReclaimable(); lost != "" && target.Total().Total() >= n.Normal && !enough(target, n); lost = target.mostReclaimable() {
			// The maximum of the zones leaves no room for enough reclaimable servers.
			target.add(lost, Reclaimable, -1)
			if !add(Lasting) {
				target.add(lost, Lasting, 1)
			}
		}
	}
	return target
}

// moreHelps reports whether more reclaimable servers bring the target nearer to a need. Once
// there are enough for the normal need, those of the zone with the most of them don't: they
// would be lost together.
func (l Limits) moreHelps(target ZoneCounts, n Need) bool {
	if target.Total().Total() < n.Normal {
		return true
	}
	open, most := 0, target[target.mostReclaimable()][Reclaimable]
	for _, zone := range l.zones() {
		if l.mayAdd(target, zone, Reclaimable) {
			if target[zone][Reclaimable] < most {
				return true
			}
			open++
		}
	}
	return open > 1
}

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

// Zones returns the zones of the counts, sorted.
func (z ZoneCounts) Zones() []string { return slices.Sorted(maps.Keys(z)) }

// enough reports whether a target is enough for a need, also after the loss of the
// reclaimable servers of any zone.
func enough(target ZoneCounts, n Need) bool {
	total, lost := target.Total().Total(), target[target.mostReclaimable()][Reclaimable]
	return total >= n.Normal && total-lost >= n.AfterLoss
}
