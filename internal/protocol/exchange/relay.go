package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes is the size of one read from a stream.
	readBufferBytes = 8 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// A resumable stream moves to another engine after a pause of
	// minStallTimeout or stallTimeoutGaps times the route's event gap,
	// whichever is longer. Callers disconnect after two seconds or eight times
	// that gap, and the next engine needs part of that time.
	minStallTimeout  = 1100 * time.Millisecond
	stallTimeoutGaps = 5
)

var (
	errCallerWrite   = errors.New("write to caller failed")
	errEventTooLarge = errors.New("event exceeds 1 MiB")
	// errBrokenOff means that a stream ended where it can't be complete.
	errBrokenOff = errors.New("stream broken off")
	// errSilent means that a server sent nothing until a stall timeout or a
	// prefill timeout expired.
	errSilent = errors.New("server sent nothing before the timeout")
)

// relayStream writes a stream's events to the caller as they arrive. It writes
// complete events only, so that another engine of the same software version can
// continue a broken stream.
func (x *exchange) relayStream(ctx context.Context, a Attempt, response *Response) (done bool, err error) {
	if !x.streamBegun {
		x.streamBegun = true
		if err := x.sink.BeginStream(response); err != nil {
			return false, fmt.Errorf("%w: %w", errCallerWrite, err)
		}
	}
	stall := x.newStallGuard(response)
	defer stall.stop()
	var pending []byte
	hasEvents := false
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		readErr = stall.readError(readErr)
		pending = append(pending, buffer[:n]...)
		if complete := completeEventsLen(pending); complete > 0 {
			if !hasEvents {
				hasEvents = true
				x.recordOrigin(a.Engine)
				x.promptPrefilled()
				x.options.Quarantine.Answered(x.request.Service.Name, x.quarantineKeys())
			}
			stall.stop() // a caller that reads slowly does not stall the engine
			if err := x.writeEvents(pending[:complete]); err != nil {
				return false, err
			}
			stall.reset()
			pending = pending[complete:]
		}
		x.unfinishedBytes = len(pending)
		switch {
		case readErr == io.EOF:
			readErr = checkStreamEnd(response, hasEvents, pending)
			if readErr == nil {
				x.options.Outlier.Success(a.Engine.ID)
				return true, nil
			}
		case readErr == nil && len(pending) > maxEventBytes:
			readErr = errEventTooLarge
		}
		if readErr != nil {
			x.recordFailure(ctx, a, "stream broke", readErr)
			if !hasEvents {
				x.checkCrash(ctx, a, readErr, true)
			}
			return false, readErr
		}
	}
}

// checkStreamEnd checks whether a stream whose body has ended in order can be
// complete. unfinished is what followed its last complete event. The close of a
// connection alone proves nothing: a crashed engine's connections are closed in
// order too.
func checkStreamEnd(response *Response, hasEvents bool, unfinished []byte) error {
	switch {
	case len(unfinished) > 0:
		return fmt.Errorf("%w: its last event is unfinished after %d bytes", errBrokenOff, len(unfinished))
	case response.UntilClose && !hasEvents:
		return fmt.Errorf("%w: its connection was closed before the first event", errBrokenOff)
	}
	return nil
}

// stallGuard closes the body of a stream in which no event is completed for too
// long, even if single bytes arrive. A nil *stallGuard is valid and never closes
// anything.
type stallGuard struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

// newStallGuard returns a guard for a stream, or nil if the stream can't be
// resumed on another server: then waiting is better, as its server may go on.
func (x *exchange) newStallGuard(response *Response) *stallGuard {
	if !x.request.Route.Repeatable() || x.runs >= x.request.Route.MaxAttempts {
		return nil
	}
	timeout := max(minStallTimeout, stallTimeoutGaps*x.request.Route.EventGap)
	g := &stallGuard{timeout: timeout}
	g.timer = time.AfterFunc(timeout, func() {
		g.fired.Store(true)
		_ = response.Body.Close()
	})
	return g
}

// readError returns errSilent in place of a read error that the guard caused
// by closing the body, and any other error unchanged.
func (g *stallGuard) readError(err error) error {
	if g != nil && err != nil && err != io.EOF && g.fired.Load() {
		return errSilent
	}
	return err
}

func (g *stallGuard) reset() {
	if g != nil {
		g.timer.Reset(g.timeout)
	}
}

func (g *stallGuard) stop() {
	if g != nil {
		g.timer.Stop()
	}
}

// writeEvents writes complete events to the caller, without those that it has
// already received.
func (x *exchange) writeEvents(events []byte) error {
	unseen, last := unseenEvents(events, x.lastEventID)
	x.lastEventID = last
	if len(unseen) == 0 {
		return nil
	}
	now := time.Now()
	if x.timeToFirstByte == 0 {
		x.timeToFirstByte = now.Sub(x.started)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastWrite))
	}
	x.lastWrite = now
	if err := x.sink.WriteEvents(unseen); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}
