package exchange

import (
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
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
