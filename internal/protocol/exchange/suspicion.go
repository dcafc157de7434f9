package exchange

import (
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

const (
	// endedHerePeriod is how long after an attempt that the entry ended itself the end of
	// the server is taken to have been under way; later it has another cause.
	endedHerePeriod = 100 * time.Millisecond
	// endedHereDelay is the time from the end of such an attempt to the first connection
	// attempt, and endedHereInterval the time to the next one at the same server.
	endedHereDelay    = 10 * time.Millisecond
	endedHereInterval = endedHerePeriod / 2
	// maxTries bounds the connection attempts of one process for such attempts in
	// watchInterval.
	maxTries = 64
)

// suspicionKind is what became of an attempt that its server didn't answer. Larger kinds
// replace smaller ones; brokenOff is the zero value.
type suspicionKind int

const (
	// endedHere means that the entry ended the attempt, as when the caller leaves. That
	// speaks for nothing unless the server is shown to have ended at the same time.
	endedHere suspicionKind = iota - 2
	// serverSilent means that a connection attempt failed while nothing was heard from the
	// server.
	serverSilent
	// brokenOff means that the server broke the attempt off.
	brokenOff
)

// suspicion is an attempt that its server may have ended under.
type suspicion struct {
	quarantine.Suspect
	kind suspicionKind
	// placedAt is when the server was chosen, and at when it was last known to be there.
	placedAt, at time.Time
	err          error
	// crashes counts the servers that had ended under the request before.
	crashes int
	// attempt is the number of the attempt, or zero.
	attempt uint64
}

// speaksForEnd reports whether the suspicion says anything of the server.
func (s suspicion) speaksForEnd() bool { return s.kind != endedHere }

// firstSpeaking returns the time of the first suspicion that speaks for the server's end, or
// zero.
func firstSpeaking(all []suspicion) (at time.Time) {
	for _, c := range all {
		if c.speaksForEnd() && (at.IsZero() || c.at.Before(at)) {
			at = c.at
		}
	}
	return at
}

// hold reports whether there is room for a suspicion. One of the same attempt is replaced.
func (s *watchedServer) hold(added suspicion) (held bool) {
	if i := slices.IndexFunc(s.suspicions, func(c suspicion) bool { return c.attempt != 0 && c.attempt == added.attempt }); i >= 0 {
		if added.kind > s.suspicions[i].kind {
			s.suspicions[i] = added
		}
		return true
	}
	if added.kind == serverSilent && !s.wentOnAt.IsZero() { // silent once more
		s.suspicions = slices.DeleteFunc(s.suspicions, func(c suspicion) bool { return c.kind == serverSilent })
		s.wentOnAt = time.Time{}
	}
	if len(s.suspicions) >= maxSuspicions {
		least := slices.IndexFunc(s.suspicions, func(c suspicion) bool { return !c.speaksForEnd() })
		if least < 0 && added.Begun {
			least = slices.IndexFunc(s.suspicions, func(c suspicion) bool { return !c.Begun })
		}
		if least < 0 || !added.speaksForEnd() {
			return false
		}
		s.suspicions = slices.Delete(s.suspicions, least, least+1)
	}
	s.suspicions = append(s.suspicions, added)
	return true
}

// current parts the suspicions into those that still count and those that don't.
func (s *watchedServer) current(now time.Time) (kept, dropped []suspicion) {
	for _, c := range s.suspicions {
		old := false
		switch c.kind {
		case brokenOff:
			old = now.Sub(c.at) >= suspicionPeriod
		case serverSilent:
			old = now.Sub(c.at) >= silentPeriod || !s.wentOnAt.IsZero() && now.Sub(s.wentOnAt) >= removalPeriod
		case endedHere:
			old = now.Sub(c.at) >= 2*endedHerePeriod && !atSameTime(s.suspicions, c)
		}
		if old {
			dropped = append(dropped, c)
			continue
		}
		kept = append(kept, c)
	}
	return kept, dropped
}

// endedHereAt reports whether a suspicion of kind endedHere asks for a connection attempt.
func (s *watchedServer) endedHereAt(now time.Time) bool {
	return slices.ContainsFunc(s.suspicions, func(c suspicion) bool { return c.kind == endedHere && now.Sub(c.at) < endedHerePeriod })
}

// lookInterval returns the time to the next look at the server.
func (s *watchedServer) lookInterval() time.Duration {
	if !s.endedHereAt(time.Now()) {
		return watchInterval
	}
	if s.timer == nil {
		return endedHereDelay
	}
	return endedHereInterval
}

// atSameTime reports whether a suspicion speaks for an end of the server while the attempt
// ended here was in progress, or just after.
func atSameTime(all []suspicion, ended suspicion) bool {
	return slices.ContainsFunc(all, func(c suspicion) bool { return c.speaksForEnd() && ended.inProgressAt(c.at) })
}

// inProgressAt reports whether an attempt that the entry ended was in progress, or had just
// been, when its server may have ended.
func (s suspicion) inProgressAt(end time.Time) bool {
	return s.placedAt.Before(end) && end.Sub(s.at) <= endedHerePeriod
}

// brokenOffLately reports whether a suspicion of kind brokenOff asks for a connection
// attempt after its first one.
func brokenOffLately(all []suspicion, now time.Time) bool {
	return slices.ContainsFunc(all, func(c suspicion) bool {
		age := now.Sub(c.at)
		return c.kind == brokenOff && age >= watchInterval && age < recheckPeriod
	})
}

// afterTry returns what a connection attempt that began at the given time and wasn't refused
// leaves of suspicions. A server that accepts connections is there: attempts that had ended
// well before had nothing to do with its end. One that doesn't has gone silent under those
// that had just ended.
func afterTry(all []suspicion, began time.Time, accepted bool) (kept []suspicion) {
	for _, c := range all {
		switch {
		case c.kind != endedHere:
		case accepted && began.Sub(c.at) >= endedHereInterval && !atSameTime(all, c):
			continue
		case !accepted && c.inProgressAt(began):
			c.kind = serverSilent
		}
		kept = append(kept, c)
	}
	return kept
}

// mayTry reports whether another connection attempt may be made. w.mu must be held.
func (w *crashWatch) mayTry(now time.Time) bool {
	if now.Sub(w.triesFrom) >= watchInterval {
		w.tries, w.triesFrom = 0, now
	}
	w.tries++
	return w.tries <= maxTries
}

// endSign is a sign that a server has ended.
type endSign struct {
	// at is when a connection was refused or another server answered at the address, or zero
	// for a sign of the list.
	at time.Time
	// replaced is set if the list has a newer incarnation, or if another server is at its address.
	replaced bool
	// leaving is set if the server was to leave, and wentOn if it was heard after it had
	// been silent.
	leaving, wentOn bool
}

// refused reports whether the sign is a refused connection.
func (e endSign) refused() bool { return !e.at.IsZero() && !e.replaced }

// confirmed returns the suspicions that the sign makes evidence.
func (e endSign) confirmed(all []suspicion) (out []suspicion) {
	for _, c := range all {
		shown := true
		switch c.kind {
		case serverSilent:
			shown = !e.leaving && (!e.wentOn || e.replaced)
		case endedHere:
			shown = !e.leaving && (!e.at.IsZero() && c.inProgressAt(e.at) || atSameTime(all, c))
		case brokenOff:
		}
		if shown {
			out = append(out, c)
		}
	}
	return out
}
