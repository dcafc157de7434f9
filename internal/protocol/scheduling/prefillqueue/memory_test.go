package prefillqueue

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestPromptWaitsForMemory guards against a prompt that is granted while no engine has room for
// it, also alongside prompts that were granted and haven't been sent, and against one that is not
// granted once there is room.
func TestPromptWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := Engines{Count: 2, Slots: 64, Decoding: 1, Memory: &EngineMemory{Total: 100000, Free: 20000, MaxFree: 20000, MaxFreePrefill: 50000}}
		q := newQueue(&engines)
		ask := func(decode, prefill int, resumed bool) (*Grant, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			return q.Acquire(ctx, Prompt{Service: "llm", Tokens: 1000, DecodeMemory: decode, PrefillMemory: prefill, Resumed: resumed})
		}
		first, err := ask(15000, 15000, false)
		if err != nil {
			t.Fatal(err)
		}
		first.Release() // prefilled, not sent yet
		for name, c := range map[string]struct {
			decode, prefill int
			resumed         bool
		}{"decode": {10000, 10000, false}, "resumed": {10000, 10000, true}, "prefill": {100, 60000, false}} {
			if _, err := ask(c.decode, c.prefill, c.resumed); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("%s: got error %v without room, want the prompt to wait", name, err)
			}
		}
		first.Sent()
		if _, err := ask(10000, 10000, false); err != nil {
			t.Errorf("got error %v once there is room", err)
		}
	})
}
