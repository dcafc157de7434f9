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
	// errSilent means that a server sent nothing until a stall timeout or a
	// prefill timeout expired.
	errSilent = errors.New("server sent nothing before the timeout")
)

// relayStream writes a stream's events to the caller as they arrive. It writes
// complete events only, so that another engine can continue a broken stream.
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
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		readErr = stall.readError(readErr)
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLen(pending)
		x.unfinishedBytes = len(pending) - complete
		if readErr == io.EOF {
			complete = len(pending)
		}
		if complete > 0 {
			x.promptPrefilled()
			stall.stop() // a caller that reads slowly does not stall the engine
			if err := x.writeEvents(pending[:complete]); err != nil {
				return false, err
			}
			stall.reset()
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

var eventSeparator = []byte("\n\n")

// completeEventsLen returns the length in bytes of the complete events at the
// start of a buffer.
func completeEventsLen(buffer []byte) int {
	end := bytes.LastIndex(buffer, eventSeparator)
	if end < 0 {
		return 0
	}
	return end + len(eventSeparator)
}

// unseenEvents returns the events after the one with the ID last, and the ID
// of the newest event. Events without a numeric ID always count as unseen.
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

// eventID returns the id field of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// idAfter reports whether event ID a is greater than b. It is true if either
// is not a number.
func idAfter(a, b string) bool {
	first, errA := strconv.ParseUint(a, 10, 64)
	second, errB := strconv.ParseUint(b, 10, 64)
	return errA != nil || errB != nil || first > second
}
