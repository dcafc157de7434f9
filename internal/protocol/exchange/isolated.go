package exchange

import (
	"context"
	"errors"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/isolation"
)

// whileReaching returns a context that is done once this entry reaches no server.
func (c *Forwarder) whileReaching(ctx context.Context) (reaching context.Context, stop func()) {
	if c.options.Isolation == nil {
		return ctx, func() {}
	}
	reaching, cancel := context.WithCancel(ctx)
	reachable := c.options.Isolation.Reachable()
	if reachable.Err() != nil {
		cancel()
	}
	stopWatch := context.AfterFunc(reachable, cancel)
	return reaching, func() {
		stopWatch()
		cancel()
	}
}

// linkFailed reports whether an attempt failed with err because no connection to its server
// could be opened, or one broke off.
func linkFailed(err error) bool {
	response := (*ServerError)(nil)
	switch {
	case errors.Is(err, ErrNotSent):
		return true
	case errors.Is(err, ErrNotRun), errors.Is(err, errPlainResponse), errors.As(err, &response):
		return false
	}
	return suspicionOf(err) == brokenOff
}

// markMissing records that no server was found at a server's address.
func (c *Forwarder) markMissing(e fleet.Engine) {
	c.options.Isolation.Failed(e)
	c.options.Outlier.Unreachable(e.ID)
}

// serversReturned records the end of an isolation. Servers that are reached are so for all
// requests, and no request tries those that aren't. If none is, the isolation ended because the
// list has none any more: then nothing shows that they were there all the time, and the list may still
// show that they ended.
func (c *Forwarder) serversReturned(r isolation.Return) {
	if len(r.Reached) > 0 {
		c.crashWatch.dropAll(dropIsolated)
	}
	for _, e := range r.Reached {
		c.options.Outlier.Reached(e.ID)
	}
	for _, e := range r.Unreached {
		if errors.Is(e.Err, ErrServerNotFound) {
			c.options.Outlier.Unreachable(e.ID)
			continue
		}
		c.options.Outlier.Unconnected(e.ID)
	}
}
