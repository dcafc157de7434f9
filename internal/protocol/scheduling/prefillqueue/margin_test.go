package prefillqueue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSmallEnginesGetStreamsForUnevenLoad guards against free slots at some engines of few slots while others have more streams than slots.
func TestSmallEnginesGetStreamsForUnevenLoad(t *testing.T) {
	for name, c := range map[string]struct {
		engines Engines
		granted bool
	}{
		"12 slots, 1.2 streams a slot": {Engines{Count: 50, Decoding: 50, Slots: 600, Streams: 720}, true},
		"12 slots, 1.4 streams a slot": {Engines{Count: 50, Decoding: 50, Slots: 600, Streams: 840}, false},
		"64 slots, 1.2 streams a slot": {Engines{Count: 10, Decoding: 10, Slots: 640, Streams: 768}, false},
		"64 slots, 1.1 streams a slot": {Engines{Count: 10, Decoding: 10, Slots: 640, Streams: 704}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			q := newQueue(&c.engines)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			grant, err := q.Acquire(ctx, Prompt{Service: "llm", Route: "a", Local: true, Tokens: 500})
			if (err == nil) != c.granted {
				t.Errorf("%s: got error %v, want a grant: %t", name, err, c.granted)
			}
			if err == nil {
				grant.Sent()
				grant.Release()
			}
		})
	}
}
