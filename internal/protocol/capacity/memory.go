package capacity

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

const (
	// growthWindow is the time over which the growth of the demand is measured, and
	// maxGrowth bounds what is expected of it within the start of a server.
	growthWindow = 4 * time.Second
	maxGrowth    = 1.25
	// peakWindow is how long a peak of the demand is provided for: the demand swings with
	// periods of some ten seconds.
	peakWindow = 12 * time.Second
	// giveBackInterval is the time between two steps in which servers are given back, and
	// giveBackShare the part of them that a step gives back at most: shared prefixes that a
	// server holds are lost with it.
	giveBackInterval = 2 * time.Second
	giveBackShare    = 0.1
	// spareShare is the part of the servers beyond the peak that is kept when others are given
	// back, since the noise of the demand raises the peak again.
	spareShare = 0.05
	// unavailableTime is how long no reclaimable servers are ordered in a zone after an order
	// was refused. It doubles with each refusal in a row up to maxUnavailableTime: a refusal
	// because of a higher token looks the same, and after it calls must cease.
	unavailableTime    = 4 * time.Second
	maxUnavailableTime = time.Minute
	// reclaimedTime is how long none are ordered in a zone after its reclaimable servers were
	// taken away, when none are available for 8 to 11 s.
	reclaimedTime = 8 * time.Second
	// lossBeforeTraffic is the part of the servers that may be lost before there is traffic.
	lossBeforeTraffic = 0.3
)

// Servers are the listed servers of a service.
type Servers struct {
	// Present don't leave, and Serving are those of them that serve at full speed.
	Present, Serving ZoneCounts
	// Leaving are those that leave.
	Leaving ZoneCounts
	// Slots is the largest number of slots of a server.
	Slots int
}

// Count counts the listed servers of a service. serves reports whether a server that
// doesn't leave serves at full speed.
func Count(servers []fleet.Engine, serves func(fleet.Engine) bool) Servers {
	s := Servers{Present: make(ZoneCounts), Serving: make(ZoneCounts), Leaving: make(ZoneCounts)}
	for _, e := range servers {
		k := Lasting
		if e.Reclaimable {
			k = Reclaimable
		}
		s.Slots = max(s.Slots, e.Slots)
		if e.Leaving {
			s.Leaving.add(e.Zone, k, 1)
			continue
		}
		s.Present.add(e.Zone, k, 1)
		if serves(e) {
			s.Serving.add(e.Zone, k, 1)
		}
	}
	return s
}

// Observation is what a plan depends on besides its memory.
type Observation struct {
	Now     clock.Instant
	Scaling route.Scaling
	Class   Class
	Servers Servers
	// Demand is nil before callers have asked for anything.
	Demand *fleet.DemandRate
	// Ordered holds the last orders for reclaimable servers that were taken, by zone, where
	// they are known.
	Ordered map[string]Ordered
}

// Ordered is an order that was taken. Starting is set while its servers may be starting.
type Ordered struct {
	Servers  int
	Starting bool
}

// Plan is the number of servers to order.
type Plan struct {
	// Wanted is what the service should have in the end, and Orders what to order now:
	// servers are given back only when others do their work.
	Wanted, Orders ZoneCounts
	Need           Need
	// Reason states what the number depends on.
	Reason string
}

// Memory is what a plan remembers of the seconds before. It is not safe for concurrent use.
type Memory struct {
	// samples are the needs of the last peakWindow, oldest first.
	samples []sample
	// held is what is provided for; it falls step by step.
	held Need
	// gaveBackAt is when held last fell, and traffic is set once there was demand.
	gaveBackAt clock.Instant
	traffic    bool
	// lasting is the number of lasting servers that were last to be kept.
	lasting   int
	lastingAt clock.Instant
	// unavailable is until when no reclaimable servers are ordered, and refusals the number
	// of refusals in a row, by zone.
	unavailable map[string]clock.Instant
	refusals    map[string]int
	// reclaimed is until when zones count as reclaimed.
	reclaimed map[string]clock.Instant
}

type sample struct {
	at     clock.Instant
	demand fleet.DemandRate
	need   Need
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{unavailable: make(map[string]clock.Instant), refusals: make(map[string]int), reclaimed: make(map[string]clock.Instant)}
}

// Refused records that no reclaimable servers were available in a zone, and returns for how
// long no others are ordered there.
func (m *Memory) Refused(zone string, now clock.Instant) time.Duration {
	pause := min(maxUnavailableTime, unavailableTime<<min(m.refusals[zone], 10))
	m.refusals[zone]++
	m.unavailable[zone] = max(m.unavailable[zone], now.Add(pause))
	return pause
}

// Accepted records that an order for reclaimable servers in a zone was taken.
func (m *Memory) Accepted(zone string) { delete(m.refusals, zone) }

// Unavailable reports whether no further reclaimable servers are available in a zone.
func (m *Memory) Unavailable(zone string, now clock.Instant) bool {
	return now.Before(m.unavailable[zone])
}

// Plan decides how many servers the service should have.
func (m *Memory) Plan(o Observation) Plan {
	m.observeReclaim(o)
	need, reason := m.need(o)
	limits := Limits{
		Scaling:     o.Scaling,
		Unavailable: func(zone string) bool { return m.Unavailable(zone, o.Now) },
		Present:     m.expected(o),
	}
	p := Plan{Need: need, Reason: reason, Wanted: Distribute(need, limits)}
	p.Orders = m.orders(p.Wanted, need, o, limits)
	return p
}

// observeReclaim notes the zones whose reclaimable servers are taken away, although they
// are ordered.
func (m *Memory) observeReclaim(o Observation) {
	for zone, leaving := range o.Servers.Leaving {
		taken := leaving[Reclaimable] > 0 && o.Servers.Present[zone][Reclaimable] == 0 && o.Ordered[zone].Servers > 0
		if taken && !o.Now.Before(m.reclaimed[zone]) {
			m.reclaimed[zone] = o.Now.Add(reclaimedTime)
			m.unavailable[zone] = max(m.unavailable[zone], m.reclaimed[zone])
		}
	}
}

// expected returns the servers that are present or start. In a zone that has been reclaimed
// none start.
func (m *Memory) expected(o Observation) ZoneCounts {
	out := maps.Clone(o.Servers.Present)
	for zone, ordered := range o.Ordered {
		if missing := ordered.Servers - out[zone][Reclaimable]; ordered.Starting && missing > 0 && !o.Now.Before(m.reclaimed[zone]) {
			out.add(zone, Reclaimable, missing)
		}
	}
	return out
}

// provideForPresent provides for the servers that are present. They may be listed one after
// the other as the deployment starts, so that the number only grows.
func (m *Memory) provideForPresent(o Observation) {
	// While one kind replaces the other, the servers of both are more than are needed.
	present := o.Servers.Present.Total()
	extra := roundUp(lastingShare / (1 - lastingShare) * float64(present[Reclaimable]))
	n := max(present[Lasting], present[Reclaimable]+min(present[Lasting], extra))
	if n > m.held.Normal {
		m.held, m.gaveBackAt = Need{Normal: n, AfterLoss: roundUp(float64(n) * (1 - lossBeforeTraffic))}, o.Now
	}
}

// need returns what is to be provided for, and why. A new memory provides for what is
// present, until it has seen a peakWindow: the previous holder may have known of a peak.
func (m *Memory) need(o Observation) (Need, string) {
	m.traffic = m.traffic || o.Demand != nil && o.Demand.Requests > 0
	if len(m.samples) == 0 {
		m.provideForPresent(o)
	}
	if !m.traffic {
		m.gaveBackAt = o.Now
		return m.held, "no traffic yet"
	}
	demand := fleet.DemandRate{}
	if o.Demand != nil {
		demand = *o.Demand
	}
	class := o.Class
	class.Slots = max(class.Slots, o.Servers.Slots)
	growth := m.growth(o, demand)
	now := NeedFor(demand, class, growth)
	m.samples = append(m.samples, sample{o.Now, demand, now})
	m.samples = slices.DeleteFunc(m.samples, func(s sample) bool { return o.Now.Sub(s.at) > peakWindow })
	peak := m.hold(o.Now)
	return m.held, fmt.Sprintf("%.0f requests and %.0f prompt tokens a second, %.0f tokens a second for an engine, %.1f in progress, growth %.2f: %d now, %d at the peak",
		demand.Requests, demand.PromptTokens, demand.EngineRate, demand.InProgress, growth, now.Normal, peak.Normal)
}

// hold raises what is provided for to the peak of the samples, which it returns, at once,
// and lowers it in steps once the samples cover a peakWindow.
func (m *Memory) hold(now clock.Instant) (peak Need) {
	for _, s := range m.samples {
		peak.Normal, peak.AfterLoss = max(peak.Normal, s.need.Normal), max(peak.AfterLoss, s.need.AfterLoss)
	}
	m.held.AfterLoss = max(m.held.AfterLoss, peak.AfterLoss)
	full := now.Sub(m.samples[0].at) >= peakWindow-giveBackInterval
	least := roundUp((1 + spareShare) * float64(peak.Normal))
	switch {
	case peak.Normal >= m.held.Normal:
		m.held, m.gaveBackAt = peak, now
	case full && m.held.Normal > least && now.Sub(m.gaveBackAt) >= giveBackInterval:
		step := max(1, int(giveBackShare*float64(m.held.Normal)))
		m.held = Need{max(least, m.held.Normal-step), max(peak.AfterLoss, m.held.AfterLoss-step)}
		m.gaveBackAt = now
	}
	return peak
}

// growth returns the factor by which the demand is expected to have grown once a server
// that is ordered now serves.
func (m *Memory) growth(o Observation, now fleet.DemandRate) float64 {
	i := slices.IndexFunc(m.samples, func(s sample) bool { return o.Now.Sub(s.at) <= growthWindow })
	if i < 0 {
		return 1
	}
	before := m.samples[i]
	age := o.Now.Sub(before.at).Seconds()
	if age < growthWindow.Seconds()/2 {
		return 1 // the counts of this short a time overlap
	}
	ratio := func(now, before float64) float64 {
		if before <= 0 || now <= 0 {
			return 1
		}
		return 1 + (now/before-1)*o.Scaling.Boot.Seconds()/age
	}
	out := max(ratio(now.PromptTokens, before.demand.PromptTokens), ratio(now.InProgress, before.demand.InProgress))
	return min(max(1, out), maxGrowth)
}

// orders returns what to order now to get to what is wanted: new servers at once, and
// servers are given back only as far as enough others serve, the most expensive first.
func (m *Memory) orders(wanted ZoneCounts, need Need, o Observation, l Limits) ZoneCounts {
	out, total := make(ZoneCounts), wanted.Total()
	least := min(total.Total(), need.Normal)
	// Reclaimable servers replace lasting ones as they begin to serve.
	lasting := m.slowly(max(total[Lasting], least-o.Servers.Serving.Total()[Reclaimable]), o)
	given := orderLasting(out, wanted, lasting, least, o.Servers, l)
	orderReclaimable(out, wanted, least+given, o.Servers, l)
	keepLimits(out, o.Servers, l)
	return out
}

// keepLimits keeps the orders for lasting servers within the limits of each zone while servers
// of one kind replace those of the other: no more are added than there is room for in addition to the
// reclaimable ones that stay, and those that are there stay until others reach the minimum.
func keepLimits(out ZoneCounts, s Servers, l Limits) {
	for _, zone := range l.zones() {
		c, have := out[zone], s.Present[zone][Lasting]
		if room := l.max() - c[Reclaimable]; c[Lasting] > room {
			c[Lasting] = max(room, min(c[Lasting], have))
		}
		if missing := l.Min - c[Reclaimable]; c[Lasting] < missing {
			c[Lasting] = max(c[Lasting], min(missing, have))
		}
		out[zone] = c
	}
}

// orderLasting adds the orders for lasting servers, of which a number is to stay, and returns
// how many are given back. At least a number of servers of both kinds must serve after that,
// even if those given back serve.
func orderLasting(out, wanted ZoneCounts, stay, least int, s Servers, l Limits) (given int) {
	spare := max(0, min(s.Present.Total()[Lasting]-stay, s.Serving.Total().Total()-least))
	for _, zone := range slices.Backward(l.zones()) {
		have := s.Present[zone][Lasting]
		keep := max(wanted[zone][Lasting], have-(spare-given))
		given += max(0, have-keep)
		out.add(zone, Lasting, keep)
	}
	return given
}

// orderReclaimable adds the orders for reclaimable servers. At least a number of servers of
// both kinds must be left of those that serve.
func orderReclaimable(out, wanted ZoneCounts, least int, s Servers, l Limits) {
	spare := s.Serving.Total().Total() - least
	for _, zone := range slices.Backward(l.zones()) {
		n, have := wanted[zone][Reclaimable], s.Present[zone][Reclaimable]
		if n < have {
			given := min(have-n, max(0, spare))
			spare -= given
			n = have - given
		}
		// Lasting servers that are still to be given back count towards the maximum.
		n = min(n, max(have, l.max()-max(out[zone][Lasting], s.Present[zone][Lasting])))
		out.add(zone, Reclaimable, n)
	}
}

// slowly returns the number of lasting servers to keep: with traffic, it falls in steps.
func (m *Memory) slowly(lasting int, o Observation) int {
	have := o.Servers.Present.Total()[Lasting]
	if m.lastingAt == 0 {
		m.lasting, m.lastingAt = have, o.Now
	}
	if !m.traffic || lasting >= min(m.lasting, have) {
		m.lasting, m.lastingAt = max(lasting, 0), o.Now
		return lasting
	}
	if o.Now.Sub(m.lastingAt) >= giveBackInterval {
		step := max(1, int(giveBackShare*float64(m.held.Normal)))
		m.lasting, m.lastingAt = max(lasting, min(m.lasting, have)-step), o.Now
	}
	return min(m.lasting, have)
}
