package exchange

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// reachInterval is the interval between two connection attempts to a server that
	// was unreachable, by all requests of this process together.
	reachInterval = 100 * time.Millisecond
	// confirmPeriod is how long a server that accepted a connection is left to the
	// request that has connected, until it answers: another server may have its address.
	confirmPeriod = 500 * time.Millisecond
	// answeredPeriod is how long a server that has answered counts as back although
	// other entries report it as missing.
	answeredPeriod = time.Second
	// maxReturnStates bounds the servers of which returnWatch keeps a state.
	maxReturnStates = 1024
)

// returnWatch coordinates the requests of one process that wait for servers. It is safe
// for concurrent use.
type returnWatch struct {
	mu      sync.Mutex // guards servers
	servers map[string]returnState
}

// returnState is the state of one incarnation of a server.
type returnState struct {
	// triedAt is the time of the last connection attempt, reachedAt that of the last one
	// that was accepted, and answeredAt that of the last answer.
	triedAt, reachedAt, answeredAt time.Time
	// ended is set if another server answered at the address.
	ended bool
}

func newReturnWatch() *returnWatch {
	return &returnWatch{servers: make(map[string]returnState)}
}

// takeTurn reports whether the caller may try to connect to a server now.
func (w *returnWatch) takeTurn(e fleet.Engine) (ok bool) {
	w.update(e, func(s *returnState) {
		if ok = time.Since(s.triedAt) >= reachInterval && time.Since(s.reachedAt) >= confirmPeriod; ok {
			s.triedAt = time.Now()
		}
	})
	return ok
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
	w.update(e, func(s *returnState) { s.answeredAt = time.Now() })
}

// end records that a server has ended: another one has its address.
func (w *returnWatch) end(e fleet.Engine) {
	w.update(e, func(s *returnState) { s.ended = true })
}

func (w *returnWatch) answeredLately(e fleet.Engine) bool {
	return time.Since(w.state(e).answeredAt) < answeredPeriod
}

func (w *returnWatch) hasEnded(e fleet.Engine) bool {
	return w.state(e).ended
}

func (w *returnWatch) state(e fleet.Engine) returnState {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.servers) == 0 {
		return returnState{}
	}
	return w.servers[e.Incarnation()]
}

func (w *returnWatch) update(e fleet.Engine, change func(*returnState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.servers) >= maxReturnStates {
		clear(w.servers) // the states only save attempts
	}
	s := w.servers[e.Incarnation()]
	change(&s)
	w.servers[e.Incarnation()] = s
}
