package exchange

import (
	"context"
	"errors"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// errServerEnded means that a response that only the end of its connection ended may be a
// part of one: its server has ended too.
var errServerEnded = errors.New("the connection that ended the response was closed by a server that has ended")

// checkClose returns an error if a response whose body has ended may be incomplete because a
// crash ended it. The connections of a process that is killed are closed in order, as at the
// end of a response without a length, but nothing listens at its address any more. A server
// that leaves as planned may stop to listen before it has completed its responses, so nothing
// follows from that.
func (x *exchange) checkClose(ctx context.Context, a Attempt, response *Response) error {
	if !response.UntilClose || response.ServerEnded == nil || x.leaves(a.Engine) || !response.ServerEnded(ctx) {
		return nil
	}
	x.markMissing(a.Engine)
	return errServerEnded
}

// leaves reports whether a server leaves as planned: it has announced that, the newest list
// states so, or the list doesn't have it any more.
func (x *exchange) leaves(e fleet.Engine) bool {
	if x.options.Notices.Leaving(e) {
		return true
	}
	return !slices.ContainsFunc(x.options.View().Engines(e.Service), func(listed fleet.Engine) bool {
		return listed.Incarnation() == e.Incarnation() && !listed.Leaving
	})
}
