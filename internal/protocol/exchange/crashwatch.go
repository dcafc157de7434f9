package exchange

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// suspicionPeriod is how long an attempt that a server broke off stays a suspicion: a
	// crashed server remains on the list for some seconds.
	suspicionPeriod = 5 * time.Second
	// silentPeriod is the same for one whose server went silent: a list may have a machine
	// without power for longer.
	silentPeriod = 15 * time.Second
	// watchInterval is the time between two looks at a suspected server, and
	// recheckPeriod the time after a suspicion in which each also tries to connect: a
	// server's listener may close after its connections.
	watchInterval = 100 * time.Millisecond
	recheckPeriod = 350 * time.Millisecond
	// removalPeriod is how long a server must be off the list to count as removed.
	// Replicas deliver lists of different age.
	removalPeriod = time.Second
	// endedRetention is how long a server that ended is known, for the attempts at it
	// that the entry ends itself.
	endedRetention = 10 * time.Second
	// maxWatched bounds the suspected and ended servers that are known, and
	// maxSuspicions the attempts of each.
	maxWatched    = 256
	maxSuspicions = 64
)

// watchedServer is one incarnation of a server that didn't answer attempts.
type watchedServer struct {
	fleet.Engine
	// suspectedAt is the time of the first suspicion that speaks for the server's end, and
	// endedAt when the server was shown to have ended, or zero.
	suspectedAt, endedAt time.Time
	suspicions           []suspicion
	// evidence are the numbers of the attempts that were reported once the server had ended.
	evidence []uint64
	// silent is set if a suspicion of kind serverSilent is held. wentOnAt is when the
	// server, or another one at its address, was heard since, or zero.
	silent   bool
	wentOnAt time.Time
	// timer has the server looked at again and again, next at lookAt, or is nil.
	timer  *time.Timer
	lookAt time.Time
	// leaving is set if the server was to leave, and unlistedSince is when it was first
	// missing on the list.
	leaving       bool
	unlistedSince time.Time
}

// crashWatch holds suspicions until their servers are shown to have ended or they are too
// old. It is safe for concurrent use.
type crashWatch struct {
	forwarder *Forwarder

	// silent is the number of servers that hold a suspicion of kind serverSilent.
	silent atomic.Int64

	mu      sync.Mutex // guards the fields below
	servers map[string]*watchedServer
	// sender is a recent one. It connects to the servers, of which watchers are watched.
	sender   Sender
	watchers int
	// tries counts the connection attempts since triesFrom.
	tries     int
	triesFrom time.Time
}

// suspect adds a suspicion. It reports whether the server is known to have ended while the
// attempt was in progress; then the suspicion has become evidence.
func (w *crashWatch) suspect(a Attempt, s suspicion) (ended bool) {
	w.mu.Lock()
	known, reported := w.servers[a.Engine.Incarnation()], false
	if known != nil && !known.endedAt.IsZero() {
		reported = s.attempt != 0 && slices.Contains(known.evidence, s.attempt)
		ended = reported || a.placedAt.Before(known.suspectedAt)
		if ended && !reported && len(known.evidence) < maxSuspicions {
			known.evidence = append(known.evidence, s.attempt)
		}
	}
	held := ended || w.add(a.Engine, s)
	w.mu.Unlock()
	if ended && !reported {
		w.forwarder.serverEnded(a.Engine, s)
	}
	if !held && s.kind != endedHere {
		w.forwarder.suspicions.dropped(dropTableFull, s.Request, a.Engine.ID, a.Engine.Address, s.err)
	}
	return ended
}

// add reports whether there is room for a suspicion. w.mu must be held.
func (w *crashWatch) add(e fleet.Engine, s suspicion) (held bool) {
	known := w.servers[e.Incarnation()]
	if known != nil && !known.endedAt.IsZero() && s.kind != brokenOff {
		return true // the attempt was never there
	}
	if known == nil || !known.endedAt.IsZero() {
		if known == nil && !w.makeRoom(s.at) {
			return false
		}
		known = &watchedServer{Engine: e, leaving: e.Leaving}
		w.servers[e.Incarnation()] = known
	}
	if !known.hold(s) {
		return false
	}
	known.suspectedAt = firstSpeaking(known.suspicions)
	w.noteSilent(known)
	return true
}

// withdraw drops what an attempt is suspected of that its server, as it turned out, did not
// run.
func (w *crashWatch) withdraw(a Attempt) {
	if w.silent.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.servers[a.Engine.Incarnation()]; s != nil {
		s.suspicions = slices.DeleteFunc(s.suspicions, func(c suspicion) bool { return c.attempt != 0 && c.attempt == a.waiter.id() })
		w.noteSilent(s)
	}
}

// makeRoom forgets servers that ended long ago or, if that doesn't suffice, one for whose
// end nothing speaks, or the one that ended first. It reports whether there is room for
// another one. w.mu must be held.
func (w *crashWatch) makeRoom(now time.Time) bool {
	first, weak := "", ""
	for key, s := range w.servers {
		switch {
		case s.endedAt.IsZero() && !slices.ContainsFunc(s.suspicions, suspicion.speaksForEnd):
			weak = key
		case s.endedAt.IsZero():
		case now.Sub(s.endedAt) > endedRetention:
			delete(w.servers, key)
		case first == "" || s.endedAt.Before(w.servers[first].endedAt):
			first = key
		}
	}
	if victim := cmp.Or(weak, first); len(w.servers) >= maxWatched && victim != "" {
		delete(w.servers, victim)
	}
	return len(w.servers) < maxWatched
}

// confirm records that a server has ended: what the sign shows of the suspicions becomes
// evidence. If it refused a connection, that counts once another server is reached: an entry
// that is cut off reaches none.
func (w *crashWatch) confirm(e fleet.Engine, sign endSign) {
	if !w.suspected(e) || sign.refused() && !w.forwarder.options.Isolation.Confirm(w.forwarder.ending, e) {
		return
	}
	leaving := w.forwarder.options.Notices.Leaving(e) || listing(w.forwarder.options.View(), e).leaving
	w.mu.Lock()
	s := w.servers[e.Incarnation()]
	if s == nil || !s.endedAt.IsZero() {
		w.mu.Unlock()
		return
	}
	sign.leaving, sign.wentOn = leaving || s.leaving, !s.wentOnAt.IsZero()
	confirmed := sign.confirmed(s.suspicions)
	for _, c := range confirmed {
		s.evidence = append(s.evidence, c.attempt)
	}
	s.suspicions, s.endedAt = nil, time.Now()
	if s.suspectedAt.IsZero() {
		s.suspectedAt = s.endedAt
		if !sign.at.IsZero() {
			s.suspectedAt = sign.at
		}
	}
	w.noteSilent(s)
	w.mu.Unlock()
	for _, c := range confirmed {
		w.forwarder.serverEnded(e, c)
	}
}

// suspected reports whether a server is held that isn't known to have ended.
func (w *crashWatch) suspected(e fleet.Engine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[e.Incarnation()]
	return s != nil && s.endedAt.IsZero()
}

// endedUnder reports whether a server is known to have ended while an attempt was in
// progress there.
func (w *crashWatch) endedUnder(e fleet.Engine, attempt uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[e.Incarnation()]
	return s != nil && !s.endedAt.IsZero() && slices.Contains(s.evidence, attempt)
}

// heard records that a server sent something, so that its silence is over.
func (w *crashWatch) heard(e fleet.Engine) {
	if w.silent.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.servers[e.Incarnation()]; s != nil && s.silent && s.wentOnAt.IsZero() {
		s.wentOnAt = time.Now()
	}
}

// noteSilent counts the server if a suspicion of kind serverSilent is held. w.mu must be held.
func (w *crashWatch) noteSilent(s *watchedServer) {
	silent := slices.ContainsFunc(s.suspicions, func(c suspicion) bool { return c.kind == serverSilent })
	if silent == s.silent {
		return
	}
	s.silent = silent
	if silent {
		w.silent.Add(1)
		return
	}
	w.silent.Add(-1)
}

// knownEnded reports whether a suspected server is known to have ended.
func (w *crashWatch) knownEnded(e fleet.Engine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[e.Incarnation()]
	return s != nil && !s.endedAt.IsZero()
}

// watch looks at a suspected server in lookInterval and again until it is known to have
// ended or all its suspicions are too old. Until recheckPeriod after the newest one of kind
// brokenOff it also tries to connect, and while there are any of kind endedHere.
func (w *crashWatch) watch(e fleet.Engine, sender Sender) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[e.Incarnation()]
	if s == nil || !s.endedAt.IsZero() {
		return
	}
	w.sender = sender
	switch next := time.Now().Add(s.lookInterval()); {
	case s.timer == nil:
		w.watchers++
		s.lookAt = next
		s.timer = time.AfterFunc(time.Until(next), func() { w.look(s) })
	case next.Before(s.lookAt) && s.timer.Stop():
		s.lookAt = next
		s.timer.Reset(time.Until(next))
	}
}

// look checks a suspected server and has it looked at again.
func (w *crashWatch) look(s *watchedServer) {
	sender, strong, goOn := w.next(s)
	if !goOn || w.forwarder.ending.Err() != nil {
		w.stopWatching()
		return
	}
	now, state := time.Now(), listing(w.forwarder.options.View(), s.Engine)
	state.leaving = state.leaving || w.forwarder.options.Notices.Leaving(s.Engine)
	switch {
	case w.noteListing(s, state, now) && strong:
		w.confirm(s.Engine, endSign{replaced: state.replaced})
	case sender != nil:
		w.tryToConnect(s, sender, now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.lookAt = time.Now().Add(s.lookInterval())
	s.timer.Reset(time.Until(s.lookAt))
}

// noteListing records what the list says of a server now. It reports whether that shows that
// the server has ended.
func (w *crashWatch) noteListing(s *watchedServer, state listState, now time.Time) (ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.leaving = s.leaving || state.leaving
	switch {
	case state.listed:
		s.unlistedSince = time.Time{}
	case s.unlistedSince.IsZero():
		s.unlistedSince = now
	}
	return !state.listed && !s.leaving && (state.replaced || now.Sub(s.unlistedSince) >= removalPeriod)
}

// tryToConnect shows whether a suspected server refuses connections, drops their packets
// or accepts them.
func (w *crashWatch) tryToConnect(s *watchedServer, sender Sender, now time.Time) {
	err := sender.Reach(context.Background(), s.Engine)
	if errors.Is(err, ErrServerNotFound) {
		w.forwarder.markMissing(s.Engine)
		w.confirm(s.Engine, endSign{at: now})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.endedAt.IsZero() {
		return
	}
	s.suspicions = afterTry(s.suspicions, now, err == nil)
	s.suspectedAt = firstSpeaking(s.suspicions)
	w.noteSilent(s)
}

// stopWatching releases the sender, and with it the memory of its request, after the last
// server.
func (w *crashWatch) stopWatching() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watchers--; w.watchers == 0 {
		w.sender = nil
	}
}

// next drops suspicions that are too old. It returns the sender that is to connect to the
// server, or nil if none of them asks for it. strong is set if one speaks for its end, and
// goOn unless there is nothing left to watch.
func (w *crashWatch) next(s *watchedServer) (sender Sender, strong, goOn bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.endedAt.IsZero() || w.servers[s.Incarnation()] != s {
		return nil, false, false
	}
	now := time.Now()
	kept, dropped := s.current(now)
	for _, c := range dropped {
		if c.speaksForEnd() {
			w.forwarder.suspicions.dropped(dropNotConfirmed, c.Request, s.ID, s.Address, c.err)
		}
	}
	s.suspicions, s.suspectedAt = kept, firstSpeaking(kept)
	w.noteSilent(s)
	if len(kept) == 0 {
		delete(w.servers, s.Incarnation())
		return nil, false, false
	}
	if brokenOffLately(kept, now) || s.endedHereAt(now) && w.mayTry(now) {
		sender = w.sender
	}
	return sender, slices.ContainsFunc(kept, suspicion.speaksForEnd), true
}

// listState is what a list says of an incarnation of a server.
type listState struct {
	listed, leaving bool
	// replaced is set if a newer incarnation is listed instead or, at its address, another
	// server.
	replaced bool
}

// listing returns what a list says of a server. An empty one says nothing.
func listing(v *fleet.View, e fleet.Engine) (s listState) {
	engines := v.Engines(e.Service)
	for _, other := range engines {
		switch {
		case other.ID == e.ID && other.StartedMs == e.StartedMs:
			return listState{listed: true, leaving: other.Leaving}
		case other.ID == e.ID && other.StartedMs > e.StartedMs, other.ID != e.ID && other.Address == e.Address:
			s.replaced = true
		}
	}
	s.listed = v.Len() == 0
	return s
}
