package ratelimit

import (
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
	// version counts the changes of limits.
	version uint64
	// free holds the slots of dropped records, and slots is the number of all.
	free  []int
	slots int
}

// record is the newest announcement of one server.
type record struct {
	limit Limit
	// at is when a response last confirmed the limit.
	at clock.Instant
	// slot is the place of the record in what is known of peers, and version is the register's
	// after the last change of the limit.
	slot    int
	version uint64
}

// Peer is the state that a register keeps of another one. It belongs to one register. It takes 8 bytes
// for each record: a control replica has one for each entry, and every server may announce a
// limit.
type Peer struct {
	// held holds, by slot, the version of the record whose limit the peer has, or zero.
	held []uint64
	// seen is the version of the register up to which the peer differs in nothing.
	seen uint64
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
	changed = held.limit != l
	if !known {
		held.slot = r.takeSlot()
	}
	if changed {
		r.version++
		held.version = r.version
	}
	held.limit, held.at = l, at
	r.records[server] = held
	return changed
}

func (r *Register) takeSlot() int {
	if last := len(r.free) - 1; last >= 0 {
		slot := r.free[last]
		r.free = r.free[:last]
		return slot
	}
	r.slots++
	return r.slots - 1
}

// Merge records what a peer sent and returns the announcements that changed a
// limit.
func (r *Register) Merge(p *Peer, received []Announcement) (changed []Announcement) {
	now := r.clock.Now()
	for _, a := range received {
		if r.Set(a.Server, a.Limit, now.Add(-max(0, a.Age))) {
			changed = append(changed, a)
		}
		record, recorded := r.records[a.Server]
		switch {
		case !recorded:
		case record.limit == a.Limit:
			p.hold(record.slot, record.version)
		default:
			p.hold(record.slot, 0)
			p.seen = 0
		}
	}
	return changed
}

// Pending returns the limits in which a peer differs. The caller must send them
// to the peer, in order.
func (r *Register) Pending(p *Peer) []Announcement {
	if p.seen == r.version {
		return nil
	}
	p.seen = r.version
	var out []Announcement
	now := r.clock.Now()
	for server, record := range r.records {
		if record.slot < len(p.held) && p.held[record.slot] == record.version {
			continue
		}
		p.hold(record.slot, record.version)
		out = append(out, Announcement{Server: server, Limit: record.limit, Age: now.Sub(record.at)})
	}
	return out
}

func (p *Peer) hold(slot int, version uint64) {
	if missing := slot + 1 - len(p.held); missing > 0 {
		p.held = append(p.held, make([]uint64, missing)...)
	}
	p.held[slot] = version
}

// Retain drops the records of servers that have not been listed for
// unlistedRetention.
func (r *Register) Retain(listed func(server string) bool) {
	now := r.clock.Now()
	for server, held := range r.records {
		if !listed(server) && now.Sub(held.at) > unlistedRetention {
			delete(r.records, server)
			r.free = append(r.free, held.slot)
		}
	}
}
