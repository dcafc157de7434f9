package exchange

import (
	"context"
	"errors"
	"fmt"
)

// ErrUnreachable means that nothing but connections to servers failed, or that the servers
// were known to be missing: another entry may reach them.
var ErrUnreachable = errors.New("no server is reachable from this entry")

// markUnreachable adds ErrUnreachable to the error of a refused request if the reason is
// that this entry reached no server.
func (x *exchange) markUnreachable(err error) error {
	allGone, onlyUnsent := errors.Is(err, errAllGone), len(x.failedEngines) == len(x.unreached)
	if !onlyUnsent || !allGone && (len(x.failedEngines) == 0 || errors.Is(err, context.Canceled)) {
		return err
	}
	for _, other := range []error{ErrQuarantined, ErrOverloaded, ErrVersionGone, ErrOriginUnknown, ErrStopping, errRetryBudget} {
		if errors.Is(err, other) {
			return err
		}
	}
	if _, paused := x.options.Notices.EarliestReturn(x.capableServers()); paused {
		return err // a server has answered lately
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, err)
}
