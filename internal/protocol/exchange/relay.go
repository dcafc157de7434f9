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
	// relayBuffer is the size of one read from a stream, in bytes.
	relayBuffer = 8 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
	// stallFloor and stallGaps bound a pause after which a stream that may be
	// resumed goes on elsewhere: callers leave after two seconds or eight
	// times the allowed pause, and the next engine needs part of that.
	stallFloor = 1100 * time.Millisecond
	stallGaps  = 5
)

var (
	// errCaller means that the caller can't be written to.
	errCaller = errors.New("caller can't be written to")
	errEvent  = errors.New("event is too large")
	// errSilent means that a server says nothing for too long.
	errSilent = errors.New("server is silent")
)

// relay passes a stream's events on as they arrive, whole events only, so
// that a broken one can be made again elsewhere.
func (x *run) relay(ctx context.Context, a Attempt, answer *Answer) (done bool, err error) {
	if !x.begun {
		x.begun = true
		if err := x.sink.Begin(answer); err != nil {
			return false, fmt.Errorf("%w: %w", errCaller, err)
		}
	}
	stall := x.watchStall(answer)
	defer stall.stop()
	var pending []byte
	buffer := make([]byte, relayBuffer)
	for {
		n, readErr := answer.Body.Read(buffer)
		readErr = stall.reason(readErr)
		stall.reset()
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if readErr == io.EOF {
			whole = len(pending)
		}
		if whole > 0 {
			x.read()
			if err := x.passEvents(pending[:whole]); err != nil {
				return false, err
			}
			pending = pending[whole:]
		}
		switch {
		case readErr == io.EOF:
			x.options.Outlier.Success(a.Engine.ID)
			return true, nil
		case readErr == nil && len(pending) > maxEvent:
			readErr = errEvent
		}
		if readErr != nil {
			x.failed(ctx, a, "stream broke", readErr)
			return false, readErr
		}
	}
}

// stallGuard ends an answer that pauses for too long. A nil guard leaves it
// alone.
type stallGuard struct {
	timer    *time.Timer
	patience time.Duration
	fired    atomic.Bool
}

// watchStall guards a stream that may be resumed. One that can't be is left
// alone: its server's silence may end.
func (x *run) watchStall(answer *Answer) *stallGuard {
	if !x.request.Route.Repeatable() || x.runs >= x.request.Route.MaxAttempts {
		return nil
	}
	patience := max(stallFloor, stallGaps*x.request.Route.EventGap)
	g := &stallGuard{patience: patience}
	g.timer = time.AfterFunc(patience, func() {
		g.fired.Store(true)
		_ = answer.Body.Close()
	})
	return g
}

// reason returns why a read failed: the guard's own end is a silent server.
func (g *stallGuard) reason(err error) error {
	if g != nil && err != nil && err != io.EOF && g.fired.Load() {
		return errSilent
	}
	return err
}

func (g *stallGuard) reset() {
	if g != nil {
		g.timer.Reset(g.patience)
	}
}

func (g *stallGuard) stop() {
	if g != nil {
		g.timer.Stop()
	}
}

// passEvents passes whole events on, less those that the caller has.
func (x *run) passEvents(events []byte) error {
	fresh, last := newEvents(events, x.lastEvent)
	x.lastEvent = last
	if len(fresh) == 0 {
		return nil
	}
	now := time.Now()
	if x.first == 0 {
		x.first = now.Sub(x.started)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.passed))
	}
	x.passed = now
	if err := x.sink.Events(fresh); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the whole events at the start of a buffer.
func wholeEvents(buffer []byte) int {
	end := bytes.LastIndex(buffer, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// newEvents returns the events after the one with the id last, and the id of
// the last event. Events without a number as id are all new.
func newEvents(events []byte, last string) (fresh []byte, newest string) {
	newest = last
	for rest := events; len(rest) > 0; {
		event := rest
		if end := bytes.Index(rest, eventEnd); end >= 0 {
			event = rest[:end+len(eventEnd)]
		}
		rest = rest[len(event):]
		id := eventID(event)
		if id != "" && !after(id, newest) {
			continue
		}
		if id != "" {
			newest = id
		}
		fresh = append(fresh, event...)
	}
	return fresh, newest
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

// after reports whether event id a comes after b.
func after(a, b string) bool {
	first, errA := strconv.ParseUint(a, 10, 64)
	second, errB := strconv.ParseUint(b, 10, 64)
	return errA != nil || errB != nil || first > second
}
