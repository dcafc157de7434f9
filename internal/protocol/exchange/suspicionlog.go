package exchange

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// suspicionLogInterval is the minimum time between two lines on dropped suspicions.
const suspicionLogInterval = time.Second

// Reasons for which a suspicion that a request ended a server is dropped.
const (
	dropNotConfirmed = "never confirmed"
	dropTableFull    = "too many at once"
	dropStopped      = "the entry stops"
	dropIsolated     = "the entry reached no server"
)

// suspicionLog logs dropped suspicions, at most one in suspicionLogInterval. It is safe
// for concurrent use.
type suspicionLog struct {
	log hclog.Logger

	mu       sync.Mutex // guards the fields below
	loggedAt time.Time
	// left counts the suspicions without a line since the last one.
	left int
}

func (l *suspicionLog) dropped(reason, request, engine, peer string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.loggedAt) >= suspicionLogInterval {
		l.log.Info("crash suspicion dropped", "reason", reason, "request", request, "engine", engine, "peer", peer, "error", err, "left_out", l.left)
		l.loggedAt, l.left = now, 0
		return
	}
	l.left++
}
