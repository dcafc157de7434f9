package exchange

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

const (
	// Callers disconnect from a stream after a pause of the longest of minPatience,
	// patienceObjectives times the route's objective and patienceGaps times its event
	// gap. patienceMargin is left of that to answer, or to begin a stream.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
	patienceMargin     = 250 * time.Millisecond
	// A request that has not begun waits for a server for minNewPatience or its
	// objective, whichever is longer: after that it would be late anyway. At most
	// maxNewWaiting of them wait for a service in this process, since the first server that
	// is back gets the requests of all entries.
	minNewPatience = 400 * time.Millisecond
	maxNewWaiting  = 48
	// returnPollInterval is the interval at which a waiting request looks for a
	// server that is back.
	returnPollInterval = 50 * time.Millisecond
)

// awaitServer waits until a server that can answer the request is reachable. A group of
// servers, such as those of one version during a release, can be unreachable as a whole
// for a moment. It returns an error if none is back before the caller disconnects, or soon
// enough for a request that has not begun.
func (x *exchange) awaitServer(ctx context.Context) error {
	if x.returned != "" && !slices.Contains(x.failedEngines, x.returned) {
		return nil
	}
	x.returned = ""
	if x.silentEngine != "" {
		return nil
	}
	if x.serverKnown() {
		x.probeMissing()
		return nil
	}
	if !x.origin.known {
		if x.request.Forwarded {
			return errAllGone
		}
		waiting := x.waitingForServers(x.request.Service.Name)
		defer waiting.Add(-1)
		if waiting.Add(1) > maxNewWaiting {
			return errAllGone
		}
	}
	started, until := time.Now(), x.serverWaitEnd()
	for {
		servers, mayReturn := x.continuingServers()
		if x.anyReachable(servers) || !mayReturn || x.reachAny(ctx, servers) {
			break
		}
		if !time.Now().Before(until) {
			if x.origin.known {
				return ErrVersionGone
			}
			return errAllGone
		}
		if !clock.Sleep(ctx, returnPollInterval) {
			return ctx.Err()
		}
	}
	if waited := time.Since(started); waited >= returnPollInterval {
		x.options.Log.Info("request waited for a server", "request", x.request.ID, "version", x.origin.version, "returned", x.returned, "ms", waited.Milliseconds())
	}
	return nil
}

// serverKnown reports whether a server can answer the request that has not failed it and
// is not known to be gone. For a stream of a known version, which has few servers, those that
// other entries find missing don't count either: it can wait for them.
func (x *exchange) serverKnown() bool {
	gone := x.gone()
	if x.origin.known {
		own := gone
		gone = func(c placement.Candidate) bool {
			return own(c) || c.Load.MissingEntries > 0 && c.ID != x.returned && !x.returns.answeredLately(c.Engine)
		}
	}
	for _, e := range x.options.View().Engines(x.request.Service.Name) {
		if x.request.Prompt != nil && !placement.CanDecode(e) || !x.origin.allows(e) || !placement.AcceptsWork(e) || slices.Contains(x.failedEngines, e.ID) {
			continue
		}
		if x.options.Notices.Open(e) && !gone(placement.Candidate{Engine: e, Load: x.options.Tracker.Load(e.ID)}) {
			return true
		}
	}
	return false
}

// waitingForServers returns the number of requests that have not begun and wait for a server
// of a service.
func (c *Forwarder) waitingForServers(service string) *atomic.Int64 {
	n, ok := c.newWaiting.Load(service)
	if !ok {
		n, _ = c.newWaiting.LoadOrStore(service, new(atomic.Int64))
	}
	return n.(*atomic.Int64)
}

// serverWaitEnd returns until when the request waits for a server that is back.
func (x *exchange) serverWaitEnd() time.Time {
	end := x.patienceEnd()
	if newEnd := x.started.Add(max(minNewPatience, x.request.Route.Objective)); !x.origin.known && newEnd.Before(end) {
		return newEnd
	}
	return end
}

// patienceEnd returns when the caller disconnects unless it has the first event, or the next
// one, by then.
func (x *exchange) patienceEnd() time.Time {
	r, silentSince := x.request.Route, x.started
	if x.lastWrite.After(silentSince) {
		silentSince = x.lastWrite
	}
	end := silentSince.Add(max(minPatience, patienceObjectives*r.Objective, patienceGaps*r.EventGap) - patienceMargin)
	if latest := x.request.Deadline.Add(-patienceMargin); latest.Before(end) {
		return latest
	}
	return end
}

// continuingServers returns the listed servers that could go on with the stream if they
// were reachable. mayReturn is false if waiting for one is in vain: all have failed this
// request, or none of the version takes work.
func (x *exchange) continuingServers() (servers []placement.Candidate, mayReturn bool) {
	ofVersion := x.openServersWithout(x.failedAfterSend())
	if x.request.Prompt == nil {
		return ofVersion, len(ofVersion) > 0
	}
	servers = slices.DeleteFunc(slices.Clone(ofVersion), func(c placement.Candidate) bool { return !placement.CanDecode(c.Engine) })
	decoderListed := slices.ContainsFunc(x.openServersWithout(nil), func(c placement.Candidate) bool { return placement.CanDecode(c.Engine) })
	// Without any, an engine that prefills is to change its phase.
	return servers, len(servers) > 0 || !decoderListed && len(ofVersion) > 0
}

// openServersWithout returns the servers of the stream's version, or of any if the stream
// has not begun, that take work, except those with the given IDs and those that are known
// to have ended.
func (x *exchange) openServersWithout(failed []string) []placement.Candidate {
	current := func(e fleet.Engine) bool { return !x.returns.addressReused(e) }
	return placement.Candidates(x.options.View().Engines(x.request.Service.Name), x.options.Tracker.Load,
		x.origin.allows, placement.AcceptsWork, x.options.Notices.Open, placement.Except(failed...), current)
}

// failedAfterSend returns the servers that failed the request after it had reached
// them.
func (x *exchange) failedAfterSend() []string {
	return slices.DeleteFunc(slices.Clone(x.failedEngines), func(id string) bool { return slices.Contains(x.unreached, id) })
}

// anyReachable reports whether nothing is known to keep one of the servers from being
// reached. Those that answer other requests become candidates again. Whether a server
// answers is read once: one that counts as reachable must be a candidate.
func (x *exchange) anyReachable(servers []placement.Candidate) (found bool) {
	missing := x.options.Outlier.Missing()
	for _, c := range servers {
		switch {
		case x.returns.answeredLately(c.Engine):
			x.forgetUnreached(c.ID)
			found = true
		case c.Load.MissingEntries == 0 && !slices.Contains(x.unreached, c.ID) && !slices.Contains(missing, c.ID):
			found = true
		}
	}
	return found
}

// reachAny tries to connect to the servers. It reports whether one accepts the
// connection, which then gets the next attempt.
func (x *exchange) reachAny(ctx context.Context, servers []placement.Candidate) bool {
	for _, c := range servers {
		if !x.returns.takeTurn(c.Engine) {
			continue
		}
		err := x.sender.Reach(ctx, c.Engine)
		if err == nil {
			x.forgetUnreached(c.ID)
			x.returns.reached(c.Engine)
			x.returned = c.ID
			return true
		}
		if errors.Is(err, ErrServerNotFound) && !slices.Contains(x.options.Outlier.Ejected(), c.ID) {
			x.markMissing(c.Engine)
		}
	}
	return false
}

// onlyReturned is a filter that drops the servers that can send events, except the one
// that accepts connections again.
func (x *exchange) onlyReturned(e fleet.Engine) bool {
	return e.ID == x.returned || !placement.CanDecode(e)
}

// forgetUnreached makes a server that the request didn't reach a candidate again.
func (x *exchange) forgetUnreached(id string) {
	if i := slices.Index(x.unreached, id); i >= 0 {
		x.unreached = slices.Delete(x.unreached, i, i+1)
		x.unsentAttempts--
		x.failedEngines = slices.DeleteFunc(x.failedEngines, func(failed string) bool { return failed == id })
	}
}

// probeMissing starts a connection attempt to each server that this entry finds missing,
// where one is due. It doesn't wait for them.
func (x *exchange) probeMissing() {
	missing := x.options.Outlier.Missing()
	if len(missing) == 0 {
		return
	}
	for _, e := range x.options.View().Engines(x.request.Service.Name) {
		if slices.Contains(missing, e.ID) && !x.returns.addressReused(e) && x.returns.takeTurn(e) {
			go x.probe(x.sender, e)
		}
	}
}

// probe tries to connect to a missing server. If that succeeds, the next request sent to
// it shows whether it answers.
func (c *Forwarder) probe(sender Sender, e fleet.Engine) {
	switch err := sender.Reach(c.ending, e); {
	case err == nil:
		c.returns.reached(e)
		c.options.Outlier.Reached(e.ID)
	case errors.Is(err, ErrServerNotFound):
		c.options.Outlier.Unreachable(e.ID)
	}
}

// answered records that a server answers again, for the requests that wait for it.
func (x *exchange) answered(e fleet.Engine) {
	if e.ID == x.returned || x.options.Outlier.Probing(e.ID) {
		x.options.Outlier.Success(e.ID)
		x.returns.answered(e)
	}
}
