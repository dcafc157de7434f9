package exchange

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

const (
	// silenceCheckAfter is how long nothing is heard from a server at which attempts wait
	// until a connection attempt shows whether it is there, and the time between two such
	// attempts.
	silenceCheckAfter = 300 * time.Millisecond
	// contactInterval is the time between two looks at the servers at which attempts wait.
	contactInterval = 100 * time.Millisecond
)

// contacts knows the attempts that wait for an answer, and when their servers were last
// heard. A server that loses its power closes no connection: that it doesn't accept
// another one while nothing is heard makes the attempts that wait there suspicions. It is
// safe for concurrent use.
type contacts struct {
	forwarder *Forwarder
	// created is what the times of contacts are relative to.
	created time.Time

	mu sync.Mutex // guards the fields below, and those of contacts and waiters that aren't atomic
	// servers are those with attempts in progress, by incarnation.
	servers map[string]*contact
	// begun counts the attempts.
	begun uint64
	// sweeping is set while sweep is scheduled.
	sweeping bool
}

// contact is what is known of one incarnation of a server while attempts are in progress
// there.
type contact struct {
	fleet.Engine
	// heardAt is when bytes of the server last arrived, in nanoseconds after the creation
	// of contacts.
	heardAt atomic.Int64

	// attempts is the number of attempts in progress, waiting those without an answer, and
	// waitingSince when the latter had its first one.
	attempts     int
	waiting      map[*waiter]struct{}
	waitingSince time.Time
	// checkedAt is the time of the last connection attempt.
	checkedAt time.Time
}

// waiter is an attempt in progress. A nil *waiter is valid and does nothing.
type waiter struct {
	contacts *contacts
	contact  *contact
	// number is that of the attempt in this process, from one.
	number  uint64
	attempt Attempt
	sender  Sender
	// suspicion is what the attempt is suspected of if its server is silent, without
	// its fingerprint.
	suspicion   suspicion
	fingerprint func() quarantine.Fingerprint
	// begun is set once the server has begun to answer.
	begun atomic.Bool
}

func newContacts(f *Forwarder) *contacts {
	return &contacts{forwarder: f, created: time.Now(), servers: make(map[string]*contact)}
}

// begin records an attempt that is being sent and waits for its answer.
func (c *contacts) begin(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	w.contacts, w.number = c, c.begun
	key := w.attempt.Engine.Incarnation()
	s := c.servers[key]
	if s == nil {
		s = &contact{Engine: w.attempt.Engine, waiting: make(map[*waiter]struct{})}
		c.servers[key] = s
	}
	if len(s.waiting) == 0 {
		s.waitingSince = time.Now()
	}
	w.contact = s
	s.attempts++
	s.waiting[w] = struct{}{}
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(contactInterval, c.sweep)
	}
}

// id returns the number of the attempt, or zero.
func (w *waiter) id() uint64 {
	if w == nil {
		return 0
	}
	return w.number
}

// heard records that bytes of the server arrived.
func (w *waiter) heard() {
	if w == nil {
		return
	}
	w.contact.heardAt.Store(int64(time.Since(w.contacts.created)))
	w.contacts.forwarder.crashWatch.heard(w.contact.Engine)
}

// answered records the first event of the answer: the attempt waits no longer.
func (w *waiter) answered() {
	if w == nil {
		return
	}
	w.contacts.mu.Lock()
	defer w.contacts.mu.Unlock()
	delete(w.contact.waiting, w)
}

// end records the end of the attempt.
func (w *waiter) end() {
	if w == nil {
		return
	}
	c := w.contacts
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(w.contact.waiting, w)
	if w.contact.attempts--; w.contact.attempts == 0 {
		delete(c.servers, w.contact.Incarnation())
	}
}

// sweep has connections tried to servers that are silent, while attempts wait.
func (c *contacts) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, waiting := time.Now(), false
	for _, s := range c.servers {
		if len(s.waiting) == 0 {
			continue
		}
		waiting = true
		if s.checkDue(now, c.lastHeard(s)) {
			c.checkSilent(s, now)
		}
	}
	if c.sweeping = waiting && c.forwarder.ending.Err() == nil; c.sweeping {
		time.AfterFunc(contactInterval, c.sweep)
	}
}

// lastHeard returns when bytes of a server last arrived.
func (c *contacts) lastHeard(s *contact) time.Time {
	return c.created.Add(time.Duration(s.heardAt.Load()))
}

// checkDue reports whether a server at which attempts wait has been silent for so long
// that a connection attempt is due.
func (s *contact) checkDue(now, heard time.Time) bool {
	return now.Sub(heard) >= silenceCheckAfter && now.Sub(s.waitingSince) >= silenceCheckAfter && now.Sub(s.checkedAt) >= silenceCheckAfter
}

// checkSilent tries to connect to a silent server, unless maxCrashChecks are in progress.
// c.mu must be held.
func (c *contacts) checkSilent(s *contact, now time.Time) {
	select {
	case c.forwarder.crashChecks <- struct{}{}:
	default:
		return
	}
	s.checkedAt = now
	var sender Sender
	for w := range s.waiting {
		sender = w.sender
		break
	}
	go func() {
		began := time.Now()
		err := sender.Reach(c.forwarder.ending, s.Engine)
		<-c.forwarder.crashChecks
		if err == nil || c.forwarder.ending.Err() != nil {
			return
		}
		c.forwarder.options.Isolation.Failed(s.Engine)
		c.suspectWaiting(s, began)
		c.forwarder.crashWatch.watch(s.Engine, sender)
	}()
}

// suspectWaiting makes the attempts that wait at a server suspicions, as it accepted no
// connection that was begun then, unless it was heard since.
func (c *contacts) suspectWaiting(s *contact, began time.Time) {
	heard := c.lastHeard(s)
	if !heard.Before(began) {
		return
	}
	var found []suspicion
	var waiters []*waiter
	c.mu.Lock()
	for w := range s.waiting {
		if !w.attempt.placedAt.Before(began) {
			continue
		}
		suspected := w.suspicion
		suspected.attempt, suspected.kind, suspected.err, suspected.Begun = w.number, serverSilent, errSilent, w.begun.Load()
		suspected.placedAt, suspected.at = w.attempt.placedAt, w.attempt.placedAt
		if heard.After(suspected.at) {
			suspected.at = heard
		}
		if began.Sub(suspected.at) < silentPeriod {
			found, waiters = append(found, suspected), append(waiters, w)
		}
	}
	c.mu.Unlock()
	for i, suspected := range found {
		suspected.Fingerprint = waiters[i].fingerprint()
		c.forwarder.crashWatch.suspect(waiters[i].attempt, suspected)
	}
}

// heardBody is the body of a response. It records that the server is heard.
type heardBody struct {
	io.ReadCloser
	waiter *waiter
}

// Read implements io.Reader.
func (b *heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.waiter.heard()
	}
	return n, err
}
