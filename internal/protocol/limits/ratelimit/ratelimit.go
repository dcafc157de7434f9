// Package ratelimit keeps all entries together within the request rates that
// backend servers announce. Entries exchange the announcements through control
// replicas, so that one response to one entry is enough. Each entry may use a
// fixed share of a rate: no request waits for a decision of another process.
package ratelimit

import (
	"math"
	"strconv"
	"time"
)

const (
	// minPerSecond replaces lower rates, among them zero: only a response shows
	// that a limit has ended.
	minPerSecond = 0.1
	// Never is the wait for a server that the entry has no share of.
	Never = time.Duration(math.MaxInt64)
)

// Limit is what a server announces on the requests that it takes from all
// entries together.
type Limit struct {
	// Limited is false if the server takes any number of requests.
	Limited bool
	// PerSecond is the number of requests that a limited server takes in a second.
	PerSecond float64
}

// String returns the limit for logs; it is empty for a nil limit.
func (l *Limit) String() string {
	switch {
	case l == nil:
		return ""
	case !l.Limited:
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s"
}

// rate returns the limit's rate in requests a second, at least minPerSecond.
func (l *Limit) rate() float64 {
	return max(minPerSecond, l.PerSecond)
}

// Position is the place of an entry among those that accept new work, in an order
// that all of them share.
type Position struct {
	// Index is in [0, Count). It is negative for an entry that doesn't accept new
	// work.
	Index int
	Count int
}

// share is the part of a server's rate that one entry may use.
type share struct {
	perSecond float64
	// burst is the number of requests that an entry may save up.
	burst float64
}

// shareOf returns an entry's share of a limit. rank is the server's place among
// those of its service.
//
// A rate is divided among as many entries as it has requests a second, plus one,
// so that what all of them saved up is at most one second's worth plus one
// request, however many entries there are. Consecutive ranks use consecutive
// entries, so that each entry has a share of some server of a service.
func shareOf(l Limit, p Position, rank int) share {
	if p.Count <= 0 || p.Index < 0 || p.Index >= p.Count {
		return share{}
	}
	holders := p.Count
	if rate := l.rate(); rate < float64(p.Count-1) {
		holders = 1 + int(rate)
	}
	first := rank * holders % p.Count
	if (p.Index-first+p.Count)%p.Count >= holders {
		return share{}
	}
	perSecond := l.rate() / float64(holders)
	return share{perSecond: perSecond, burst: max(1, perSecond)}
}
