package peergrpc

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// streamOriginTimeout bounds the question to all control replicas: several round
// trips within a region, and time to open connections.
const streamOriginTimeout = 250 * time.Millisecond

// maxVouchedListAge is the age of a replica's list of engines up to which it vouches
// that the list names all software versions: two intervals at which lists are read, and
// time for one reading.
const maxVouchedListAge = 3 * time.Second

// recordVersions records the software versions of the engines in use.
func (h *FleetHub) recordVersions(engines []fleet.Engine) {
	for _, c := range h.origins.SetEngines(engines) {
		h.options.Log.Info("software version of a service", "service", c.Service, "version", c.Version.Version, "listed", c.Listed, "others", c.Others)
	}
}

// Origins returns what the replica knows of the software versions that began streams.
func (h *FleetHub) Origins() *origin.Memory { return h.origins }

// StreamOrigin implements peerpb.FleetServer. A replica with an old list, such as one
// that was frozen or cut off, doesn't vouch for it: other processes may use servers of
// a version that it doesn't know.
func (h *FleetHub) StreamOrigin(_ context.Context, r *peerpb.StreamOriginRequest) (*peerpb.StreamOriginResponse, error) {
	a := h.origins.Answer(r.GetService(), origin.ID(r.GetId()))
	listAge := clock.Boot{}.Now().Sub(clock.Instant(h.listedAt.Load()))
	a.Covered = a.Covered && listAge <= maxVouchedListAge
	return &peerpb.StreamOriginResponse{Version: a.Version, Recorded: a.Recorded, Conflicting: a.Conflicting, Listed: a.Listed, Covered: a.Covered}, nil
}

// StreamOrigin asks control replicas for the origin of a stream, all at once, and
// returns their answers. It returns when one has a record, all have answered or
// failed, or streamOriginTimeout is over. Unless connectedOnly is set, it also asks
// replicas without an open watch.
func (f *FleetWatcher) StreamOrigin(ctx context.Context, service string, id origin.ID, connectedOnly bool) []origin.Answer {
	sources := f.sources()
	if !connectedOnly {
		sources = f.addresses()
	}
	ctx, cancel := context.WithTimeout(ctx, streamOriginTimeout)
	defer cancel()
	var (
		group   errgroup.Group
		mu      sync.Mutex // guards answers
		answers []origin.Answer
	)
	for _, address := range sources {
		group.Go(func() error {
			a, err := f.streamOriginAt(ctx, address, service, id)
			if err != nil {
				f.options.Log.Debug("origin of a stream not answered", "peer", address, "error", err)
				return nil
			}
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
			if a.Recorded {
				cancel()
			}
			return nil
		})
	}
	// Replicas that don't answer are no error: the others may know.
	_ = group.Wait()
	return answers
}

// sources returns the control replicas with an open watch.
func (f *FleetWatcher) sources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.connected))
}

func (f *FleetWatcher) streamOriginAt(ctx context.Context, address, service string, id origin.ID) (origin.Answer, error) {
	conn, err := f.options.Pool.conn(address)
	if err != nil {
		return origin.Answer{}, err
	}
	r, err := peerpb.NewFleetClient(conn).StreamOrigin(ctx, &peerpb.StreamOriginRequest{Service: service, Id: uint64(id)})
	if err != nil {
		return origin.Answer{}, fmt.Errorf("ask %s for the origin of a stream: %w", address, err)
	}
	return origin.Answer{Version: r.GetVersion(), Recorded: r.GetRecorded(), Conflicting: r.GetConflicting(), Listed: r.GetListed(), Covered: r.GetCovered()}, nil
}

func fromStreams(streams []origin.Streams) []*peerpb.BegunStreams {
	out := make([]*peerpb.BegunStreams, 0, len(streams))
	for _, s := range streams {
		ids := make([]uint64, 0, len(s.IDs))
		for _, id := range s.IDs {
			ids = append(ids, uint64(id))
		}
		out = append(out, &peerpb.BegunStreams{Service: s.Service, Version: s.Version.Version, Ids: ids})
	}
	return out
}

func toStreams(streams []*peerpb.BegunStreams) []origin.Streams {
	out := make([]origin.Streams, 0, len(streams))
	for _, s := range streams {
		ids := make([]origin.ID, 0, len(s.GetIds()))
		for _, id := range s.GetIds() {
			ids = append(ids, origin.ID(id))
		}
		out = append(out, origin.Streams{Version: origin.Version{Service: s.GetService(), Version: s.GetVersion()}, IDs: ids})
	}
	return out
}
