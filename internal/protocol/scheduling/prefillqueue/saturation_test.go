package prefillqueue

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlotsStayShortWhileQueueIsEmptyForAMoment guards against a queue that takes the slots
// to be enough whenever no prompt waits, as after each refusal.
func TestSlotsStayShortWhileQueueIsEmptyForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := Engines{Count: 4, Slots: 64, Streams: 80}
		q := newQueue(&engines)
		for range engines.Streams {
			defer q.Begin("llm", "a", false)()
		}
		ask := func(ctx context.Context, objective time.Duration) error {
			now := time.Now()
			_, err := q.Acquire(ctx, Prompt{
				Service: "llm", Route: "a", Tokens: 2000, Arrived: now, Asked: now, Objective: objective, GiveUp: now.Add(4 * time.Second),
			})
			return err
		}
		wait := func(n int, d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			var waiting sync.WaitGroup
			for range n {
				waiting.Go(func() { _ = ask(ctx, 4*time.Second) })
			}
			waiting.Wait()
		}
		wait(8, time.Second)
		time.Sleep(50 * time.Millisecond) // nothing waits
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		go func() { _ = ask(ctx, 4*time.Second) }()
		go func() { _ = ask(ctx, 4*time.Second) }()
		time.Sleep(10 * time.Millisecond)
		if err := ask(ctx, 300*time.Millisecond); !errors.Is(err, ErrNoRoom) {
			t.Errorf("got error %v beside others that wait, want ErrNoRoom at once", err)
		}
	})
}
