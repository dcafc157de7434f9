package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes is the size of one read from a stream, in bytes.
	readBufferBytes = 8 << 10
	// maxEventBytes bounds one event, in bytes.
	maxEventBytes = 1 << 20
	// minStallTimeout and stallGaps bound a pause after which a stream that may be
	// resumed goes on elsewhere: callers leave after two seconds or eight
	// times the allowed pause, and the next engine needs part of that.
	minStallTimeout  = 1100 * time.Millisecond
	stallTimeoutGaps = 5
)

var (
	// errCallerWrite means that the caller can't be written to.
	errCallerWrite   = errors.New("caller can't be written to")
	errEventTooLarge = errors.New("event is too large")
	// errSilent means that a server says nothing for too long.
	errSilent = errors.New("server is silent")
)

// relayStream passes a stream's events on as they arrive, whole events only, so
// that a broken one can be made again elsewhere.
func (x *exchange) relayStream(ctx context.Context, a Attempt, answer *Answer) (done bool, err error) {
	if !x.streamBegun {
		x.streamBegun = true
		if err := x.sink.Begin(answer); err != nil {
			return false, fmt.Errorf("%w: %w", errCallerWrite, err)
		}
	}
	stall := x.newStallGuard(answer)
	defer stall.stop()
	var pending []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := answer.Body.Read(buffer)
		readErr = stall.readError(readErr)
		stall.reset()
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLen(pending)
		if readErr == io.EOF {
			complete = len(pending)
		}
		if complete > 0 {
			x.promptRead()
			if err := x.writeEvents(pending[:complete]); err != nil {
				return false, err
			}
			pending = pending[complete:]
		}
		switch {
		case readErr == io.EOF:
			x.options.Outlier.Success(a.Engine.ID)
			return true, nil
		case readErr == nil && len(pending) > maxEventBytes:
			readErr = errEventTooLarge
		}
		if readErr != nil {
			x.recordFailure(ctx, a, "stream broke", readErr)
			return false, readErr
		}
	}
}

// stallGuard ends an answer that pauses for too long. A nil guard leaves it
// alone.
type stallGuard struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

// newStallGuard guards a stream that may be resumed. One that can't be is left
// alone: its server's silence may end.
func (x *exchange) newStallGuard(answer *Answer) *stallGuard {
	if !x.request.Route.Repeatable() || x.runs >= x.request.Route.MaxAttempts {
		return nil
	}
	timeout := max(minStallTimeout, stallTimeoutGaps*x.request.Route.EventGap)
	g := &stallGuard{timeout: timeout}
	g.timer = time.AfterFunc(timeout, func() {
		g.fired.Store(true)
		_ = answer.Body.Close()
	})
	return g
}

// readError returns why a read failed: the guard's own end is a silent server.
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

// writeEvents passes whole events on, less those that the caller has.
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
	if err := x.sink.Events(unseen); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

var eventSeparator = []byte("\n\n")

// completeEventsLen returns the length of the whole events at the start of a buffer.
func completeEventsLen(buffer []byte) int {
	end := bytes.LastIndex(buffer, eventSeparator)
	if end < 0 {
		return 0
	}
	return end + len(eventSeparator)
}

// unseenEvents returns the events after the one with the id last, and the id of
// the last event. Events without a number as id are all new.
func unseenEvents(events []byte, last string) (unseen []byte, newest string) {
	newest = last
	for rest := events; len(rest) > 0; {
		event := rest
		if end := bytes.Index(rest, eventSeparator); end >= 0 {
			event = rest[:end+len(eventSeparator)]
		}
		rest = rest[len(event):]
		id := eventID(event)
		if id != "" && !idAfter(id, newest) {
			continue
		}
		if id != "" {
			newest = id
		}
		unseen = append(unseen, event...)
	}
	return unseen, newest
}

// eventID returns the id field of an event, or nothing.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// idAfter reports whether event id a comes idAfter b.
func idAfter(a, b string) bool {
	first, errA := strconv.ParseUint(a, 10, 64)
	second, errB := strconv.ParseUint(b, 10, 64)
	return errA != nil || errB != nil || first > second
}
