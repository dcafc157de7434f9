package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// otherAttempt is the attempt ID of the events sent by the fault Crossed.
const otherAttempt = "other-attempt"

// stream writes one answer as server-sent events.
type stream struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	engine  *Engine
	request *backend.CompletionRequest
	sent    int
}

// run sends the answer, with any injected faults. It returns false if the caller
// disconnected.
func (s *stream) run(ctx context.Context) bool {
	digest := backend.NewDigest()
	for offset := range s.request.MaxTokens {
		text := Token(s.request.Prompt, offset)
		digest.Add(text)
		if offset < s.request.ResumeFrom {
			continue
		}
		if s.moveIfRequested() {
			return true
		}
		end, ok := s.sendToken(ctx, offset, text)
		if end || !ok {
			return ok
		}
		if !clock.Sleep(ctx, s.engine.tokenInterval()) {
			return false
		}
	}
	done := backend.DoneEvent{Attempt: s.request.Attempt, Tokens: s.request.MaxTokens, Digest: digest.Hex()}
	return s.send(backend.EventDone, s.request.MaxTokens, done) == nil
}

// moveIfRequested hands the stream back, and returns true, if the engine was
// ordered to move its streams.
func (s *stream) moveIfRequested() bool {
	select {
	case <-s.engine.moveSignal():
		_ = s.send(backend.EventMoved, s.request.MaxTokens, backend.MovedEvent{Attempt: s.request.Attempt})
		return true
	default:
		return false
	}
}

// sendToken sends one token. The result end is true if a fault ends the stream
// here; ok is false if the caller disconnected.
func (s *stream) sendToken(ctx context.Context, offset int, text string) (end, ok bool) {
	f := s.engine.currentFaults()
	s.sent++
	switch {
	case f.CrashAfter > 0 && s.sent > f.CrashAfter:
		panic(http.ErrAbortHandler)
	case f.CutAfter > 0 && s.sent > f.CutAfter:
		return true, true
	case f.StallAfter > 0 && s.sent > f.StallAfter:
		<-ctx.Done()
		return true, false
	case f.SkipAt > 0 && s.sent == f.SkipAt:
		return false, true
	case f.CorruptAt > 0 && s.sent == f.CorruptAt:
		text = "wrong "
	}
	if f.Crossed && s.send(backend.EventToken, offset, backend.TokenEvent{Attempt: otherAttempt, Offset: offset, Text: "crossed "}) != nil {
		return true, false
	}
	event := backend.TokenEvent{Attempt: s.request.Attempt, Offset: offset, Text: text}
	for range f.copies() {
		if s.send(backend.EventToken, offset, event) != nil {
			return true, false
		}
	}
	return false, true
}

func (s *stream) send(event string, id int, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode %s event: %w", event, err)
	}
	if _, err := fmt.Fprintf(s.w, "id: %d\nevent: %s\ndata: %s\n\n", id, event, encoded); err != nil {
		return fmt.Errorf("write %s event: %w", event, err)
	}
	return s.flush.Flush()
}
