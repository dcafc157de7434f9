package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// ErrQuarantined means that the request or a part of its prompt is in quarantine,
// because it crashed servers.
var ErrQuarantined = errors.New("request or prompt part in quarantine")

// errServersEnded means that as many servers have ended under the request as may.
var errServersEnded = fmt.Errorf("%w: %d servers ended under it", errNoServer, maxCrashes)

// maxCrashes is the number of servers that may end under one request. Its repeats are
// stopped by the quarantine.
const maxCrashes = 2

// quarantineKeys returns the shared parts of the prompt and, while anything is
// suspected or in quarantine, the keys of the request.
func (x *exchange) quarantineKeys() []string {
	if !x.options.Quarantine.Active() {
		return x.sharedParts
	}
	return append(slices.Clone(x.sharedParts), x.fingerprint().Keys()...)
}

// checkStart returns an error if no server may get the request: it is in quarantine, or,
// unless one may have run it already, this entry has no time left to complete it.
func (x *exchange) checkStart() error {
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if x.runs == 0 && x.request.MayBegin != nil && !x.request.MayBegin() {
		return ErrStopping
	}
	return nil
}

// checkQuarantine returns ErrQuarantined if no server may get the request.
func (x *exchange) checkQuarantine() error {
	part, left, blocked := x.options.Quarantine.Blocked(x.quarantineKeys())
	if !blocked {
		return nil
	}
	x.quarantineLeft = left
	return fmt.Errorf("%w: %s, for %v more", ErrQuarantined, part, left)
}

// maxCrashChecks bounds the first checks, and those of silent servers, at the same time.
const maxCrashChecks = 64

// checkCrash handles an attempt that ended without an answer, or without an event of
// the stream. If its server has ended too, the request may be the cause. begun is set
// if the server had begun to answer: then the request is the most likely cause, and is
// not sent to another one.
//
// It returns once the server is known to have ended or has been tried, but no later than
// ctx ends, and at once if no attempt may follow. The check goes on by itself: that the
// request has ended says nothing of the server.
func (x *exchange) checkCrash(ctx context.Context, a Attempt, err error, begun bool) {
	if errors.Is(err, ErrNotRun) {
		x.crashWatch.withdraw(a)
		return
	}
	s := x.newSuspicion(a)
	s.Fingerprint, s.Begun, s.at, s.err, s.kind = x.fingerprint(), begun, time.Now(), err, suspicionOf(err)
	resumed := x.timeToFirstByte > 0 // an engine has answered the prompt
	suspected := suspectedServer{Engine: a.Engine, attempt: a.waiter.id(), likely: begun && !resumed, brokenOff: s.kind == brokenOff}
	if ended := x.crashWatch.suspect(a, s); ended {
		x.countCrash(suspected)
		return
	}
	if s.kind != brokenOff {
		x.suspected = append(x.suspected, suspected)
		x.crashWatch.watch(a.Engine, x.sender)
		return
	}
	x.suspected = append(x.suspected, suspected)
	checked := x.startCheck(a.Engine)
	if !x.mayRetry() {
		return
	}
	select {
	case <-checked:
	case <-ctx.Done():
	}
	x.countLateCrashes()
}

// confirmEnd records that a server has ended. It returns once that counts, or ctx ends.
func (x *exchange) confirmEnd(ctx context.Context, e fleet.Engine, sign endSign) {
	if x.options.Isolation == nil || !sign.refused() || !x.crashWatch.suspected(e) {
		x.crashWatch.confirm(e, sign)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.crashWatch.confirm(e, sign)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// newSuspicion returns what an attempt is suspected of, without its fingerprint and what
// became of it.
func (x *exchange) newSuspicion(a Attempt) suspicion {
	s := suspicion{Suspect: quarantine.Suspect{Request: x.request.ID}, placedAt: a.placedAt, attempt: a.waiter.id(), crashes: x.crashes}
	if x.timeToFirstByte == 0 { // else an engine has answered the prompt
		s.Parts = x.sharedParts
	}
	return s
}

// waitAt records an attempt that is about to be sent.
func (x *exchange) waitAt(a Attempt) *waiter {
	w := &waiter{attempt: a, sender: x.sender, suspicion: x.newSuspicion(a), fingerprint: x.fingerprint}
	x.contacts.begin(w)
	return w
}

// suspectedServer is a server that didn't answer the request and may have ended. likely is
// set if the request is the most likely cause, brokenOff if the server broke the attempt off.
type suspectedServer struct {
	fleet.Engine
	attempt           uint64
	likely, brokenOff bool
}

func (x *exchange) countCrash(s suspectedServer) {
	x.crashes++
	x.crashedEngine = x.crashedEngine || s.likely
}

// countLateCrashes counts the suspected servers that are known to have ended since.
func (x *exchange) countLateCrashes() {
	x.suspected = slices.DeleteFunc(x.suspected, func(s suspectedServer) bool {
		ended := x.crashWatch.knownEnded(s.Engine)
		if !s.brokenOff {
			ended = x.crashWatch.endedUnder(s.Engine, s.attempt)
		}
		if ended {
			x.countCrash(s)
		}
		return ended
	})
}

// startCheck tries to connect to a suspected server, then closes the channel that it
// returns, and watches the server unless it has ended. With maxCrashChecks in progress it
// is only watched.
func (x *exchange) startCheck(e fleet.Engine) (checked <-chan struct{}) {
	c, sender, done := x.Forwarder, x.sender, make(chan struct{})
	select {
	case c.crashChecks <- struct{}{}:
	default:
		close(done)
		c.crashWatch.watch(e, sender)
		return done
	}
	go func() {
		began := time.Now()
		ended := c.refusesConnections(sender, e)
		<-c.crashChecks
		if ended {
			c.crashWatch.confirm(e, endSign{at: began})
		}
		close(done)
		c.crashWatch.watch(e, sender)
	}()
	return done
}

// refusesConnections reports whether a server refuses connections.
func (c *Forwarder) refusesConnections(sender Sender, e fleet.Engine) bool {
	ended := sender.Ended(context.Background(), e)
	if ended {
		c.markMissing(e)
	}
	return ended
}

// suspicionOf returns how an attempt ended that reached its server and failed with err.
func suspicionOf(err error) suspicionKind {
	if errors.Is(err, errSilent) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return endedHere
	}
	return brokenOff
}

// serverEnded reports a server that ended under a request.
func (c *Forwarder) serverEnded(e fleet.Engine, s suspicion) {
	s.Age = time.Since(s.at)
	c.options.Quarantine.Crashed(e, s.Suspect)
	c.options.Log.Info("server ended before it answered", "request", s.Request, "engine", e.ID, "peer", e.Address, "known_after_ms", s.Age.Milliseconds(),
		"begun", s.Begun, "crashes", s.crashes+1, "shared_parts", s.Parts, "fingerprint", s.Fingerprint.String())
}
