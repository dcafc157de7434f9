package capacity

import (
	"github.com/uber-go/tally/v4"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// report logs a plan that differs from the last one, and sets the gauges of what is wanted.
// d.mu must be held.
func (d *Driver) report(s *driven, p Plan, servers Servers) {
	for zone, counts := range p.Wanted {
		for _, k := range Kinds {
			gauge(d.options.Metrics, s.Name, zone, k, "servers_wanted").Update(float64(counts[k]))
		}
	}
	wanted, before := p.Wanted.Total(), s.logged.Wanted.Total()
	s.logged.Reason = p.Reason
	if wanted == before && s.logged.Wanted != nil {
		return
	}
	present, serving := servers.Present.Total(), servers.Serving.Total()
	s.logged = p
	d.options.Log.Info("servers planned", "service", s.Name, "lasting", wanted[Lasting], "reclaimable", wanted[Reclaimable],
		"lasting_before", before[Lasting], "reclaimable_before", before[Reclaimable], "lasting_present", present[Lasting], "reclaimable_present", present[Reclaimable],
		"serving", serving.Total(), "need", p.Need.Normal, "need_after_loss", p.Need.AfterLoss, "reason", p.Reason)
}

func gauge(scope tally.Scope, service, zone string, k Kind, name string) tally.Gauge {
	return scope.Tagged(map[string]string{"service": service, "zone": zone, "kind": k.String()}).Gauge(name)
}

// billing adds up what the listed servers cost.
type billing struct {
	metrics  tally.Scope
	services map[string]*bill
}

// bill is that of one service. fixedPrice is the price of the servers of the first list for
// a second.
type bill struct {
	at                       clock.Instant
	seconds, cost, fixedCost float64
	fixedPrice               float64
}

func newBilling(metrics tally.Scope) *billing {
	return &billing{metrics: metrics, services: make(map[string]*bill)}
}

// observe adds the cost of the listed servers since the last call.
func (b *billing) observe(s Service, servers Servers, now clock.Instant) {
	limits := Limits{Scaling: s.Scaling}
	count, price := 0, 0.0
	for _, counts := range []ZoneCounts{servers.Present, servers.Leaving} {
		for zone, c := range counts {
			for _, k := range Kinds {
				count += c[k]
				price += float64(c[k]) * limits.price(zone, k)
			}
		}
	}
	for _, zone := range limits.zones() {
		for _, k := range Kinds {
			gauge(b.metrics, s.Name, zone, k, "servers").Update(float64(servers.Present[zone][k]))
		}
	}
	held := b.services[s.Name]
	if held == nil {
		held = &bill{at: now, fixedPrice: price}
		b.services[s.Name] = held
	}
	took := now.Sub(held.at)
	held.at = now
	held.seconds += float64(count) * took.Seconds()
	held.cost += price * took.Seconds()
	held.fixedCost += held.fixedPrice * took.Seconds()
	scope := b.metrics.Tagged(map[string]string{"service": s.Name})
	scope.Gauge("server_seconds").Update(held.seconds)
	scope.Gauge("server_cost").Update(held.cost)
	scope.Gauge("server_cost_if_unchanged").Update(held.fixedCost)
}
