package exchange

import (
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// healthyEngines returns the engines of a service that pass the filters, take
// new work, are not gone, were not full a moment ago and are not ejected by this entry's
// outlier detection. Engines that told other entries that they leave are left out, unless
// no others remain.
func (c *Forwarder) healthyEngines(service string, filters ...placement.Filter) []placement.Candidate {
	ejected, full := placement.Except(c.options.Outlier.Ejected()...), placement.Except(c.options.Outlier.Full()...)
	filters = append([]placement.Filter{placement.AcceptsWork, c.options.Notices.Accepts, ejected, full}, filters...)
	return placement.Present(slices.DeleteFunc(c.listed(service, filters...), c.gone()))
}

// listed returns the engines of a service that pass the filters.
func (c *Forwarder) listed(service string, filters ...placement.Filter) []placement.Candidate {
	found := placement.Candidates(c.options.View().Engines(service), c.options.Tracker.Load, filters...)
	for i := range found {
		found[i].FailureRate = c.options.Outlier.FailureRate(found[i].ID)
		if c.costsFollowed.Load() {
			found[i].Slowness = c.options.Costs.Factor(service, found[i].ID)
		}
	}
	return found
}

// gone returns a function that reports whether no server, or another one, listens at a
// server's address. Only what this entry has found counts: another one may be cut off.
func (c *Forwarder) gone() func(placement.Candidate) bool {
	missing := c.options.Outlier.Missing()
	return func(s placement.Candidate) bool {
		if c.returns.addressReused(s.Engine) {
			return true
		}
		return slices.Contains(missing, s.ID) && !c.returns.answeredLately(s.Engine)
	}
}

// candidates returns the engines that may get the request. Engines that have
// failed this request, those of another software version than the one that began
// its stream, those that announced that they leave or asked for a pause, those
// at their rate limits and those that are gone are never candidates. Ejected engines,
// those that were full and those that other entries left out are candidates only if there
// are no others.
func (x *exchange) candidates(filters ...placement.Filter) []placement.Candidate {
	service := x.request.Service.Name
	filters = append(filters, x.untried(), x.origin.allows)
	if x.returned != "" {
		filters = append(filters, x.onlyReturned)
	}
	if found := x.healthyEngines(service, filters...); len(found) > 0 {
		return found
	}
	found := x.listed(service, append(filters, placement.AcceptsWork, x.options.Notices.Accepts)...)
	return slices.DeleteFunc(found, x.gone())
}

// gone is like [Forwarder.gone], except that it takes the server that has accepted a
// connection for this request as present.
func (x *exchange) gone() func(placement.Candidate) bool {
	gone := x.Forwarder.gone()
	return func(s placement.Candidate) bool { return s.ID != x.returned && gone(s) }
}

// untried returns a filter for the engines that the request may still be sent to.
func (x *exchange) untried() placement.Filter {
	return placement.Except(append(slices.Clone(x.failedEngines), x.silentEngine)...)
}

// capableServers returns the listed servers that can answer the request.
func (x *exchange) capableServers() []fleet.Engine {
	return slices.DeleteFunc(slices.Clone(x.options.View().Engines(x.request.Service.Name)), func(e fleet.Engine) bool {
		return !x.origin.allows(e) || x.request.Prompt != nil && !placement.CanDecode(e)
	})
}
