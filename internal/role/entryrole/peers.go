package entryrole

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/limit"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

const (
	// peerPollInterval is the interval at which other entries are polled.
	peerPollInterval = time.Second
	// peersPerPoll bounds the number of entries in one poll, so that the cost
	// does not grow with the zone.
	peersPerPoll = 4
	// peerPollTimeout bounds the request to one entry.
	peerPollTimeout = 500 * time.Millisecond
	// unreachableLoad is the load, in requests in progress, assumed for an entry
	// that did not answer. It orders that entry after all that did.
	unreachableLoad = 1 << 20
)

// peerLoads polls how many requests the other entries of the zone have in
// progress, so that address answers list less loaded entries first.
type peerLoads struct {
	self      string
	zone      string
	gate      *limit.Gate
	members   func() []member.Member
	fetchLoad func(ctx context.Context, address string) (int, error)
	nextIndex int
	loads     atomic.Pointer[map[string]int]
}

// load implements address.Load. Before the first poll it reports every load as
// unknown, even this entry's own.
func (p *peerLoads) load(name string) (int, bool) {
	known := p.loads.Load()
	if known == nil {
		return 0, false
	}
	if name == p.self {
		return int(p.gate.Total()), true
	}
	inFlight, ok := (*known)[name]
	return inFlight, ok
}

// poll reads the load of the next few entries.
func (p *peerLoads) poll(ctx context.Context) {
	chosen := p.nextPeers()
	answers := make([]int, len(chosen))
	var group errgroup.Group
	for i, m := range chosen {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
			defer cancel()
			inFlight, err := p.fetchLoad(ctx, m.CallerAddress)
			if err != nil {
				inFlight = unreachableLoad
			}
			answers[i] = inFlight
			return nil
		})
	}
	_ = group.Wait()
	p.publish(chosen, answers)
}

// nextPeers returns the next few live entries of the zone in round-robin order.
func (p *peerLoads) nextPeers() []member.Member {
	var sameZone []member.Member
	for _, m := range p.members() {
		if m.Zone == p.zone && m.Name != p.self && m.State == member.Live {
			sameZone = append(sameZone, m)
		}
	}
	var chosen []member.Member
	for range min(peersPerPoll, len(sameZone)) {
		chosen = append(chosen, sameZone[p.nextIndex%len(sameZone)])
		p.nextIndex++
	}
	return chosen
}

// publish replaces the known loads by a copy that includes the answers.
func (p *peerLoads) publish(asked []member.Member, answers []int) {
	next := make(map[string]int)
	if known := p.loads.Load(); known != nil {
		maps.Copy(next, *known)
	}
	for i, m := range asked {
		next[m.Name] = answers[i]
	}
	p.loads.Store(&next)
}
