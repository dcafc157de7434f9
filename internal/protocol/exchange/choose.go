package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// limitWaitFraction is the part of a route's objective for which a request may
// wait for a server that is at its rate limit. The rest is for the server.
const limitWaitFraction = 0.5

// picker chooses one of the candidates.
type picker func(candidates []placement.Candidate) (chosen placement.Candidate, ok bool)

// choose picks the engine for the next send and takes one request of its rate. If
// all that pass the filters are at their rate limits, it waits for one that takes
// the request soon.
func (x *exchange) choose(ctx context.Context, pick picker, filters ...placement.Filter) (chosen placement.Candidate, ok bool) {
	if chosen, ok = x.admit(pick, filters...); ok {
		return chosen, true
	}
	return x.awaitRateLimit(ctx, filters...)
}

// admit picks an engine that is not at its rate limit and takes one request of
// its rate.
func (x *exchange) admit(pick picker, filters ...placement.Filter) (chosen placement.Candidate, ok bool) {
	for {
		found := x.candidates(filters...)
		if retries := len(x.failedEngines) > x.unsentAttempts; retries {
			found = placement.LikelyToServe(found)
		}
		if chosen, ok = pick(found); !ok {
			return chosen, false
		}
		if _, ok = x.options.Notices.Limits.Reserve(chosen.Engine, 0); ok {
			return chosen, true
		}
		filters = append(slices.Clone(filters), placement.Except(chosen.ID))
	}
}

// awaitRateLimit waits for the engine that is first to take another request. ok is
// false if none does within the time that the route's objective allows.
func (x *exchange) awaitRateLimit(ctx context.Context, filters ...placement.Filter) (chosen placement.Candidate, ok bool) {
	limits := x.options.Notices.Limits
	maxWait := time.Duration(limitWaitFraction * float64(min(x.request.Route.Objective, x.remaining())))
	shortest := maxWait
	for _, c := range x.openServers(filters...) {
		if wait := limits.Wait(c.Engine); wait <= shortest {
			chosen, shortest, ok = c, wait, true
		}
	}
	if !ok {
		return chosen, false
	}
	wait, ok := limits.Reserve(chosen.Engine, maxWait)
	if !ok {
		return chosen, false
	}
	clock.Sleep(ctx, wait)
	x.options.Log.Info("request waited for a rate limit", "request", x.request.ID, "engine", chosen.ID, "ms", wait.Milliseconds())
	return chosen, ctx.Err() == nil && x.options.Notices.Open(chosen.Engine)
}

// openServers returns the servers that may get the request, now or once their rate
// limits allow it, and are not gone.
func (x *exchange) openServers(filters ...placement.Filter) []placement.Candidate {
	filters = append(filters, x.untried(), x.origin.allows, placement.AcceptsWork, x.options.Notices.Open)
	return slices.DeleteFunc(x.listed(x.request.Service.Name, filters...), x.gone())
}
