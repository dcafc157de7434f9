package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// reachInterval is the interval between two connection attempts to a server that
	// was unreachable, by all requests of this process together. It grows with the time
	// for which the server is unreachable, of which it is at most one part in
	// downPerReachInterval, up to maxReachInterval.
	reachInterval        = 100 * time.Millisecond
	downPerReachInterval = 8
	maxReachInterval     = time.Second
	// confirmPeriod is how long a server that accepted a connection is left to the
	// request that has connected, until it answers: another server may have its address.
	confirmPeriod = 500 * time.Millisecond
	// answeredPeriod is how long a server that has answered counts as back although
	// other entries report it as missing.
	answeredPeriod = time.Second
	// returnStateRetention is how long the state of a server is kept after its last
	// change, or up to twice as long.
	returnStateRetention = 10 * time.Second
	// maxReturnStates bounds the servers of which returnWatch keeps a state.
	maxReturnStates = 1024
)

// returnWatch coordinates the requests of one process that wait for servers. It is safe
// for concurrent use; reads cost one atomic load while no server is missing.
type returnWatch struct {
	// servers is copied on write.
	servers atomic.Pointer[map[string]returnState]
	mu      sync.Mutex // serialises writers, and guards the field below
	// pruning is set while prune is due.
	pruning bool
}

// returnState is the state of one incarnation of a server. It is immutable.
type returnState struct {
	// changedAt is the time of the last change.
	changedAt time.Time
	// downAt is the time of the first connection attempt since the last answer, triedAt
	// that of the last one, reachedAt that of the last one that was accepted, and
	// answeredAt that of the last answer.
	downAt, triedAt, reachedAt, answeredAt time.Time
	// ended is set if another server answered at the address.
	ended bool
}

func newReturnWatch() *returnWatch {
	w := &returnWatch{}
	w.servers.Store(&map[string]returnState{})
	return w
}

// takeTurn reports whether the caller may try to connect to a server now.
func (w *returnWatch) takeTurn(e fleet.Engine) (ok bool) {
	if !w.state(e).mayTry(time.Now()) {
		return false
	}
	w.update(e, func(s *returnState) {
		now := time.Now()
		if ok = s.mayTry(now); ok {
			s.triedAt = now
			if s.downAt.IsZero() {
				s.downAt = now
			}
		}
	})
	return ok
}

// mayTry reports whether a connection attempt is due.
func (s returnState) mayTry(now time.Time) bool {
	interval := reachInterval
	if !s.downAt.IsZero() {
		interval = min(max(interval, now.Sub(s.downAt)/downPerReachInterval), maxReachInterval)
	}
	return now.Sub(s.triedAt) >= interval && now.Sub(s.reachedAt) >= confirmPeriod
}

func (w *returnWatch) reached(e fleet.Engine) {
	w.update(e, func(s *returnState) { s.reachedAt = time.Now() })
}

// unreached records that a server doesn't accept connections.
func (w *returnWatch) unreached(e fleet.Engine) {
	if w.answeredLately(e) {
		w.update(e, func(s *returnState) { s.answeredAt = time.Time{} })
	}
}

func (w *returnWatch) answered(e fleet.Engine) {
	w.update(e, func(s *returnState) { s.answeredAt, s.downAt = time.Now(), time.Time{} })
}

// end records that a server has ended: another one has its address.
func (w *returnWatch) end(e fleet.Engine) {
	w.update(e, func(s *returnState) { s.ended = true })
}

func (w *returnWatch) answeredLately(e fleet.Engine) bool {
	return time.Since(w.state(e).answeredAt) < answeredPeriod
}

func (w *returnWatch) addressReused(e fleet.Engine) bool {
	return w.state(e).ended
}

func (w *returnWatch) state(e fleet.Engine) returnState {
	servers := *w.servers.Load()
	if len(servers) == 0 {
		return returnState{}
	}
	return servers[e.Incarnation()]
}

func (w *returnWatch) update(e fleet.Engine, change func(*returnState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current, now := *w.servers.Load(), time.Now()
	next := make(map[string]returnState)
	if len(current) < maxReturnStates { // the states only save attempts
		next = recentStates(current, now)
	}
	s := current[e.Incarnation()]
	change(&s)
	s.changedAt = now
	next[e.Incarnation()] = s
	w.servers.Store(&next)
	w.schedulePruning()
}

// recentStates returns a copy of the states that changed within returnStateRetention.
func recentStates(current map[string]returnState, now time.Time) map[string]returnState {
	out := make(map[string]returnState, len(current)+1)
	for incarnation, s := range current {
		if now.Sub(s.changedAt) < returnStateRetention {
			out[incarnation] = s
		}
	}
	return out
}

// schedulePruning has prune called later, unless it already is. w.mu must be held.
func (w *returnWatch) schedulePruning() {
	if w.pruning {
		return
	}
	w.pruning = true
	time.AfterFunc(returnStateRetention, w.prune)
}

// prune forgets old states, and again later while there are others.
func (w *returnWatch) prune() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := recentStates(*w.servers.Load(), time.Now())
	w.servers.Store(&next)
	w.pruning = false
	if len(next) > 0 {
		w.schedulePruning()
	}
}
