package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Limiter admits one entry's requests to servers within its shares of their
// rates. It is safe for concurrent use; for a server without a limit, a check
// costs an atomic load and a look-up.
type Limiter struct {
	clock clock.Clock
	// buckets holds the servers with a limit, by incarnation. The map is
	// immutable.
	buckets atomic.Pointer[map[string]*bucket]

	mu       sync.Mutex // guards the fields below
	register *Register
	// peers holds what is known of each control replica, by source.
	peers    map[string]*Peer
	position Position
	// ranks holds the place of each listed incarnation among those of its service.
	ranks map[string]int
}

// NewLimiter returns a limiter without limits.
func NewLimiter(c clock.Clock) *Limiter {
	l := &Limiter{clock: c, register: NewRegister(c), peers: make(map[string]*Peer), ranks: make(map[string]int)}
	l.buckets.Store(&map[string]*bucket{})
	return l
}

// Announce records the limit in a response to a request that was sent at the given
// time, and reports whether it changed. A limit ends only by the response to a
// request that was sent after it was last announced: an older response may have
// been on its way.
func (l *Limiter) Announce(e fleet.Engine, limit Limit, sent clock.Instant) (changed bool) {
	b := l.bucket(e)
	if b == nil && !limit.Limited {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	server := e.Incarnation()
	if !limit.Limited && sent.Before(l.register.records[server].at) {
		return false
	}
	if changed = l.register.Set(server, limit, l.clock.Now()); changed {
		l.updateBuckets()
	}
	return changed
}

// SetPosition sets the entry's place among those that accept new work.
func (l *Limiter) SetPosition(p Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position != p {
		l.position = p
		l.updateBuckets()
	}
}

// SetView sets the list of servers.
func (l *Limiter) SetView(v *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ranks = make(map[string]int, v.Len())
	next := make(map[string]int)
	for e := range v.All() {
		l.ranks[e.Incarnation()] = next[e.Service]
		next[e.Service]++
	}
	l.register.Retain(func(server string) bool { _, listed := l.ranks[server]; return listed })
	l.updateBuckets()
}

// Merge records the limits that a control replica sent and returns those that
// changed.
func (l *Limiter) Merge(source string, received []Announcement) (changed []Announcement) {
	if len(received) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if changed = l.register.Merge(l.peer(source), received); len(changed) > 0 {
		l.updateBuckets()
	}
	return changed
}

// Pending returns the limits in which a control replica differs, which the caller
// must send to it. first is set for the first message over a connection.
func (l *Limiter) Pending(source string, first bool) []Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first {
		delete(l.peers, source)
	}
	return l.register.Pending(l.peer(source))
}

// peer returns what is known of a control replica. l.mu must be held.
func (l *Limiter) peer(source string) *Peer {
	p := l.peers[source]
	if p == nil {
		p = &Peer{}
		l.peers[source] = p
	}
	return p
}

// updateBuckets applies the limits, the position and the ranks to the buckets.
// l.mu must be held.
func (l *Limiter) updateBuckets() {
	now := l.clock.Now()
	held := *l.buckets.Load()
	next := make(map[string]*bucket)
	for server, r := range l.register.records {
		if !r.limit.Limited {
			continue
		}
		b := held[server]
		if b == nil {
			b = &bucket{updatedAt: now}
		}
		b.setShare(shareOf(r.limit, l.position, l.ranks[server]), r.limit, now)
		next[server] = b
	}
	l.buckets.Store(&next)
}

// bucket returns the bucket of a server, or nil if it has no limit.
func (l *Limiter) bucket(e fleet.Engine) *bucket {
	buckets := *l.buckets.Load()
	if len(buckets) == 0 {
		return nil
	}
	return buckets[e.Incarnation()]
}

// Wait returns how long it takes until this entry may send a request to a server,
// or Never.
func (l *Limiter) Wait(e fleet.Engine) time.Duration {
	b := l.bucket(e)
	if b == nil {
		return 0
	}
	return b.wait(l.clock.Now())
}

// Interval returns the mean time between two requests that a server takes, or
// zero if it has no limit.
func (l *Limiter) Interval(e fleet.Engine) time.Duration {
	b := l.bucket(e)
	if b == nil {
		return 0
	}
	return b.interval()
}

// Reserve takes one request from this entry's share of a server's rate. The caller
// must send it after the wait. ok is false, and nothing is taken, if that is
// longer than maxWait.
func (l *Limiter) Reserve(e fleet.Engine, maxWait time.Duration) (wait time.Duration, ok bool) {
	b := l.bucket(e)
	if b == nil {
		return 0, true
	}
	return b.reserve(l.clock.Now(), maxWait)
}

// Charge counts a call that is sent to a server whether or not the entry's share has
// room for it.
func (l *Limiter) Charge(e fleet.Engine) {
	if b := l.bucket(e); b != nil {
		b.charge(l.clock.Now())
	}
}

// bucket is a token bucket. A new one is empty: requests that were sent before
// the limit was known may still be on their way.
type bucket struct {
	mu        sync.Mutex // guards the fields below
	limit     Limit
	share     share
	tokens    float64
	updatedAt clock.Instant
}

func (b *bucket) setShare(s share, l Limit, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.limit, b.share = l, s
}

// refill adds the tokens since the last call. b.mu must be held.
func (b *bucket) refill(now clock.Instant) {
	added := b.share.perSecond * now.Sub(b.updatedAt).Seconds()
	b.tokens, b.updatedAt = min(b.share.burst, b.tokens+added), now
}

func (b *bucket) wait(now clock.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.untilToken()
}

// untilToken returns the time until there is a whole token. b.mu must be held.
func (b *bucket) untilToken() time.Duration {
	switch missing := 1 - b.tokens; {
	case b.share.perSecond == 0:
		return Never
	case missing <= tokenPrecision:
		return 0
	default:
		return time.Duration(missing / b.share.perSecond * float64(time.Second))
	}
}

// tokenPrecision allows for rounding in the sum of many refills.
const tokenPrecision = 1e-6

func (b *bucket) reserve(now clock.Instant, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if wait = b.untilToken(); wait > maxWait {
		return 0, false
	}
	b.tokens--
	return wait, true
}

func (b *bucket) charge(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens, max(b.tokens-1, -b.share.burst))
}

func (b *bucket) interval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(time.Second) / b.limit.rate())
}
