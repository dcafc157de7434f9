package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// lastingShare is the part of the servers that can't be reclaimed: what is left if all
// zones are reclaimed one after the other. It is small, since each costs several
// times as much as a reclaimable one.
const lastingShare = 0.05

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

// Distribute returns the servers to have for a need: a few lasting ones, and reclaimable
// ones evenly over the zones, so that enough is left if those of one zone are taken away.
// Where reclaimable servers are unavailable, lasting ones make up for what is needed for
// some seconds at least, until others are to be had.
func Distribute(n Need, l Limits) ZoneCounts {
	d := distribution{Limits: l, need: n, zones: l.zones(), target: make(ZoneCounts)}
	for range roundUp(lastingShare * float64(n.Normal)) {
		d.add(Lasting)
	}
	d.fillMinimum()
	for !d.enough() && d.moreHelps() && d.add(Reclaimable) {
	}
	least := n.AfterLoss
	if l.ReclaimablePrice <= 0 {
		least = n.Normal
	}
	for d.total() < least && d.add(Lasting) {
	}
	if !slices.ContainsFunc(d.zones, l.Unavailable) {
		d.replaceReclaimable()
	}
	return d.target
}

// distribution is one that is being made.
type distribution struct {
	Limits
	need   Need
	zones  []string
	target ZoneCounts
}

func (d *distribution) total() int { return d.target.Total().Total() }

// mayAdd reports whether a zone may get one more server.
func (d *distribution) mayAdd(zone string, k Kind) bool {
	c := d.target[zone]
	switch {
	case c.Total() >= d.max():
		return false
	case k == Lasting:
		return true
	}
	return d.ReclaimablePrice > 0 && (!d.Unavailable(zone) || c[Reclaimable] < d.Present[zone][Reclaimable])
}

// add adds a server to the zone with the fewest of its kind, the cheapest of these. It
// returns false if no zone may get one.
func (d *distribution) add(k Kind) bool {
	best := ""
	for _, zone := range d.zones {
		if d.mayAdd(zone, k) && (best == "" || d.target[zone][k] < d.target[best][k]) {
			best = zone
		}
	}
	if best != "" {
		d.target.add(best, k, 1)
	}
	return best != ""
}

// fillMinimum gives each zone its minimum, of reclaimable servers where there are any.
func (d *distribution) fillMinimum() {
	for _, zone := range d.zones {
		for d.target[zone].Total() < d.Min {
			k := Lasting
			if d.mayAdd(zone, Reclaimable) {
				k = Reclaimable
			}
			d.target.add(zone, k, 1)
		}
	}
}

// enough reports whether the servers are enough, also after the loss of the reclaimable ones
// of any zone.
func (d *distribution) enough() bool {
	lost := d.target[d.target.mostReclaimable()][Reclaimable]
	return d.total() >= d.need.Normal && d.total()-lost >= d.need.AfterLoss
}

// moreHelps reports whether more reclaimable servers bring the number nearer to the need. Once
// there are enough for the normal need, those of the zone with the most of them don't: they
// would be lost together.
func (d *distribution) moreHelps() bool {
	if d.total() < d.need.Normal {
		return true
	}
	open, most := 0, d.target[d.target.mostReclaimable()][Reclaimable]
	for _, zone := range d.zones {
		if d.mayAdd(zone, Reclaimable) {
			if d.target[zone][Reclaimable] < most {
				return true
			}
			open++
		}
	}
	return open > 1
}

// replaceReclaimable has lasting servers take the place of reclaimable ones where the number
// is enough, but not after a loss: the maximum of the zones leaves no room for more.
func (d *distribution) replaceReclaimable() {
	for d.total() >= d.need.Normal && !d.enough() {
		zone := d.target.mostReclaimable()
		if zone == "" {
			return
		}
		d.target.add(zone, Reclaimable, -1)
		if !d.add(Lasting) {
			d.target.add(zone, Lasting, 1)
		}
	}
}
