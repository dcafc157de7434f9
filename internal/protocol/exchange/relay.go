package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// readBufferBytes is the size of one read from a stream.
	readBufferBytes = 8 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
)

var (
	errCallerWrite   = errors.New("write to caller failed")
	errEventTooLarge = errors.New("event exceeds 1 MiB")
	// errBrokenOff means that a stream ended where it can't be complete.
	errBrokenOff = errors.New("stream broken off")
	// errNoEvents means that a stream contains bytes that are no events, such as an
	// error text or the head of another response.
	errNoEvents = errors.New("bytes in the stream are no events")
	// errSilent means that an attempt was abandoned because its server sent nothing
	// before a timeout expired.
	errSilent = errors.New("server sent nothing before the timeout")
)

// relayStream writes a stream's events to the caller as they arrive. It writes
// complete events only, so that another engine of the same software version can
// continue a broken stream.
func (x *exchange) relayStream(ctx context.Context, s *startedAttempt) (done bool, err error) {
	a, response := s.attempt, s.response
	guard := x.guardStream(ctx, s)
	defer guard.stop()
	var pending []byte
	claim := x.options.Buffers.Claim()
	defer claim.Release()
	hasEvents := false
	chunk := make([]byte, readBufferBytes)
	for {
		n, readErr := response.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if err := claim.Resize(cap(pending)); err != nil && readErr == nil {
			readErr = fmt.Errorf("read stream after %d bytes of an event: %w", len(pending), err)
		}
		complete := completeEventsLen(pending)
		if complete == 0 && readErr == nil && len(pending) <= maxEventBytes {
			continue // single bytes don't end the server's silence
		}
		if valid := validEventsLen(pending[:complete]); valid < complete {
			complete, readErr = valid, errNoEvents
		}
		if complete > 0 {
			x.countUsage()
		}
		// Stopped until the next read: a caller that reads slowly does not make the
		// server silent.
		ended := readErr == io.EOF
		if ended {
			readErr = checkStreamEnd(response, hasEvents || complete > 0, pending[complete:])
		}
		if readErr = guard.stopAfter(readErr); guard.replaced() {
			if readErr == nil {
				readErr = errSilent
			}
			complete, ended = 0, false // the replacement has begun after the last event
		}
		if complete > 0 {
			if !hasEvents {
				hasEvents = true
				x.recordOrigin(a.Engine)
				x.learnFirst(s)
				s.promptPrefilled()
				a.waiter.answered()
				x.options.Quarantine.Answered(x.request.Service.Name, x.quarantineKeys())
			}
			if err := x.writeEvents(response, pending[:complete]); err != nil {
				return false, err
			}
			x.learnStep(s)
			pending = pending[complete:]
		}
		x.unfinishedBytes = len(pending)
		if ended && readErr == nil {
			readErr = x.checkClose(ctx, a, response)
		}
		switch {
		case ended && readErr == nil:
			x.options.Outlier.Success(a.Engine.ID)
			return true, x.beginStream(response)
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
		guard.restart()
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

// beginStream writes the headers of an event stream to the caller, unless they have
// been written. While there is no event for the caller, a failure can still be
// answered.
func (x *exchange) beginStream(response *Response) error {
	if x.streamBegun {
		return nil
	}
	x.streamBegun = true
	if err := x.sink.BeginStream(response); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// writeEvents writes complete events of a response to the caller, without those that
// it has already received.
func (x *exchange) writeEvents(response *Response, events []byte) error {
	unseen, count, last := unseenEvents(events, x.lastEventID)
	x.lastEventID = last
	if len(unseen) == 0 {
		return nil
	}
	if err := x.beginStream(response); err != nil {
		return err
	}
	now := time.Now()
	if x.timeToFirstByte == 0 {
		x.timeToFirstByte = now.Sub(x.started)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastWrite))
	}
	x.lastWrite = now
	x.events += count
	if err := x.sink.WriteEvents(unseen); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}
