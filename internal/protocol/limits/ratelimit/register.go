package ratelimit

import (
	"maps"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// unlistedRetention is how long the limit of an incarnation that is not listed is
// kept: lists from several sources lag by some seconds.
const unlistedRetention = time.Minute

// Announcement is a limit as processes exchange it.
type Announcement struct {
	// Server is the incarnation that announced the limit.
	Server string
	Limit  Limit
	// Age is the time since the response with the limit arrived.
	Age time.Duration
}

// Register holds the newest announcement of each server. Registers that exchange
// what they hold converge: the newest announcement wins. It is not safe for
// concurrent use.
type Register struct {
	clock   clock.Clock
	records map[string]record
}

// record is the newest announcement of one server.
type record struct {
	limit Limit
	// at is when a response last confirmed the limit.
	at clock.Instant
}

// Peer is what a register knows of another one. It belongs to one register.
type Peer struct {
	held map[string]Limit
}

// NewRegister returns an empty register.
func NewRegister(c clock.Clock) *Register {
	return &Register{clock: c, records: make(map[string]record)}
}

// Set records a limit that arrived at the given time, and reports whether the
// known limit has changed. A server without a record has no limit.
func (r *Register) Set(server string, l Limit, at clock.Instant) (changed bool) {
	held, known := r.records[server]
	if !known && !l.Limited || known && at.Before(held.at) {
		return false
	}
	r.records[server] = record{limit: l, at: at}
	return held.limit != l
}

// Merge records what a peer sent and returns the announcements that changed a
// limit.
func (r *Register) Merge(p *Peer, received []Announcement) (changed []Announcement) {
	now := r.clock.Now()
	for _, a := range received {
		p.hold(a)
		if r.Set(a.Server, a.Limit, now.Add(-max(0, a.Age))) {
			changed = append(changed, a)
		}
	}
	return changed
}

// Pending returns the limits in which a peer differs. The caller must send them
// to the peer, in order.
func (r *Register) Pending(p *Peer) []Announcement {
	maps.DeleteFunc(p.held, func(server string, _ Limit) bool { _, recorded := r.records[server]; return !recorded })
	var out []Announcement
	now := r.clock.Now()
	for server, held := range r.records {
		if sent, known := p.held[server]; known && sent == held.limit {
			continue
		}
		a := Announcement{Server: server, Limit: held.limit, Age: now.Sub(held.at)}
		p.hold(a)
		out = append(out, a)
	}
	return out
}

func (p *Peer) hold(a Announcement) {
	if p.held == nil {
		p.held = make(map[string]Limit)
	}
	p.held[a.Server] = a.Limit
}

// Retain drops the records of servers that have not been listed for
// unlistedRetention.
func (r *Register) Retain(listed func(server string) bool) {
	now := r.clock.Now()
	for server, held := range r.records {
		if !listed(server) && now.Sub(held.at) > unlistedRetention {
			delete(r.records, server)
		}
	}
}
