package exchange

import "github.com/lagoonshift/lagoonshift/internal/protocol/fleet"

// demand returns the counter of what callers ask of the service, or nil if its number of
// servers is fixed.
func (x *exchange) demand() *fleet.DemandCounter {
	if x.request.Service.Scaling == nil {
		return nil
	}
	return x.options.Demand
}

// countDemand counts the request unless another entry has, it continues a stream, or its
// caller has come back after a refusal.
func (x *exchange) countDemand() {
	r := x.request
	if r.Counted || r.LastEventID != "" || x.firstAsked().Before(x.started) {
		return
	}
	tokens := 0
	if r.Prompt != nil {
		tokens = r.Prompt.Unshared()
	}
	x.demand().Request(r.Service.Name, tokens)
}
