package entryrole

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limit"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

const (
	// peerInterval is the time between two rounds of asking other entries.
	peerInterval = time.Second
	// peersPerRound bounds the entries asked in one round, so that the cost
	// does not grow with the zone.
	peersPerRound = 4
	// peerTimeout bounds one question.
	peerTimeout = 500 * time.Millisecond
	// unreachableLoad is the load, in requests in progress, with which an
	// entry that did not answer is named: after all that did.
	unreachableLoad = 1 << 20
)

// peers knows how many requests the other entries of the zone have in
// progress, so that address answers name the less loaded first.
type peers struct {
	self  string
	zone  string
	gate  *limit.Gate
	list  func() []member.Member
	ask   func(ctx context.Context, address string) (int, error)
	turn  int
	loads atomic.Pointer[map[string]int]
}

// load implements address.Load. Until a round was made no load is known, not
// even this entry's own.
func (p *peers) load(name string) (int, bool) {
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

// round asks the entries whose turn it is.
func (p *peers) round(ctx context.Context) {
	chosen := p.choose()
	answers := make([]int, len(chosen))
	var group errgroup.Group
	for i, m := range chosen {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			inFlight, err := p.ask(ctx, m.CallerAddress)
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

// choose returns the next few live entries of the zone in turn.
func (p *peers) choose() []member.Member {
	var near []member.Member
	for _, m := range p.list() {
		if m.Zone == p.zone && m.Name != p.self && m.State == member.Live {
			near = append(near, m)
		}
	}
	var chosen []member.Member
	for range min(peersPerRound, len(near)) {
		chosen = append(chosen, near[p.turn%len(near)])
		p.turn++
	}
	return chosen
}

// publish replaces the known loads by ones with the answers.
func (p *peers) publish(asked []member.Member, answers []int) {
	next := make(map[string]int)
	if known := p.loads.Load(); known != nil {
		maps.Copy(next, *known)
	}
	for i, m := range asked {
		next[m.Name] = answers[i]
	}
	p.loads.Store(&next)
}
