package exchange

import (
	"context"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// streamOrigin is the software version that sent the first event of a stream. What
// two versions generate doesn't fit together, and servers don't check it.
type streamOrigin struct {
	version string
	// known is false until the caller has an event.
	known bool
}

// set records the version, unless the stream has begun before.
func (o *streamOrigin) set(version string) {
	if !o.known {
		o.version, o.known = version, true
	}
}

// allows is a filter for servers that may send the next events of the stream.
func (o *streamOrigin) allows(e fleet.Engine) bool {
	return !o.known || placement.OfVersion(o.version)(e)
}

// findOrigin looks up the version that began a stream that the caller takes up. It
// returns ErrOriginUnknown if the caller has events of an unknown version.
func (x *exchange) findOrigin(ctx context.Context) error {
	r := x.request
	if r.Route.Kind != route.Streaming || r.LastEventID == "" && r.Resumes == "" {
		return nil
	}
	version, found := x.options.Origins.Find(ctx, r.Service.Name, r.streamName(r.Resumes))
	switch {
	case found:
		x.origin.set(version)
	case r.LastEventID != "":
		return ErrOriginUnknown
	}
	return nil
}

// recordOrigin records the server that is about to send the stream's first event. A
// stream that the caller takes up began with an earlier request.
func (x *exchange) recordOrigin(e fleet.Engine) {
	x.origin.set(e.Version)
	if x.timeToFirstByte == 0 && x.request.LastEventID == "" {
		x.options.Origins.Began(x.request.Service.Name, x.request.streamName(x.request.ID), e.Version)
	}
}

// noServer returns the error for a request without a candidate.
func (x *exchange) noServer() error {
	switch {
	case x.lacksMemory:
		return ErrNoMemory
	case x.origin.known:
		return ErrVersionGone
	}
	return errNoServer
}
