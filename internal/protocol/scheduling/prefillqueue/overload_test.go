package prefillqueue

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestPromptWhoseTimeRunsOutIsAnsweredAndNotSent guards against prompts that wait until
// their callers leave.
func TestPromptWhoseTimeRunsOutIsAnsweredAndNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := overloaded
		q := newQueue(&engines)
		if _, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 1 << 20}); err != nil {
			t.Fatal(err)
		}
		giveUp := time.Now().Add(400 * time.Millisecond)
		_, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 6000, Arrived: time.Now(), Objective: time.Second, GiveUp: giveUp})
		if !errors.Is(err, ErrNoRoom) {
			t.Errorf("got error %v, want ErrNoRoom", err)
		}
		if late := time.Until(giveUp); late < 0 {
			t.Errorf("answered %v after the caller left", -late)
		}
	})
}

// TestPromptIsNotRefusedWhileEnginesAreFree guards against refusals by an estimate alone.
func TestPromptIsNotRefusedWhileEnginesAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := Engines{Count: 2}
		q := newQueue(&engines)
		_, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 500000, Arrived: time.Now(), Objective: time.Second, GiveUp: time.Now().Add(time.Second)})
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
	})
}

// saturate has prompts of one route wait for a second at engines that take none.
func saturate(t *testing.T, q *Queue) (wait func()) {
	t.Helper()
	if _, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 1 << 20}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range 40 {
		waiting.Go(func() {
			_, _ = q.Acquire(ctx, Prompt{
				Service: "llm", Route: "report", Tokens: 20000, Arrived: time.Now(), Objective: 20 * time.Second, GiveUp: time.Now().Add(30 * time.Second),
			})
		})
	}
	time.Sleep(time.Second)
	return func() { cancel(); waiting.Wait() }
}

// TestNewPromptIsRefusedAtOnceWhereTooManyWait guards against prompts that are taken into a
// queue in which they can't be in time, and callers that aren't told when to come back.
func TestNewPromptIsRefusedAtOnceWhereTooManyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := overloaded
		q := newQueue(&engines)
		defer saturate(t, q)()
		started := time.Now()
		_, err := q.Acquire(t.Context(), Prompt{Service: "llm", Route: "report", Tokens: 6000, Arrived: started, Objective: time.Second, GiveUp: started.Add(4 * time.Second)})
		var full *NoRoomError
		if !errors.As(err, &full) || full.RetryAfter <= 0 {
			t.Errorf("got error %v, want a NoRoomError with a time to come back", err)
		}
		if took := time.Since(started); took > 0 {
			t.Errorf("refused after %v, want at once", took)
		}
	})
}

// TestReturningCallerComesAfterNewOnes guards against callers that come back after a refusal
// and displace those that can be in time.
func TestReturningCallerComesAfterNewOnes(t *testing.T) {
	now := time.Now()
	s := &situation{now: now, firstEvent: now.Add(100 * time.Millisecond), rate: priorRate, saturatedFor: time.Second, kinds: make(map[kind]*kindState)}
	returning := &waiter{Prompt: Prompt{Route: "a", Tokens: 6000, Arrived: now.Add(-time.Millisecond), Asked: now.Add(-3 * time.Second), Objective: time.Second}}
	fresh := &waiter{Prompt: Prompt{Route: "a", Tokens: 6000, Arrived: now, Asked: now, Objective: time.Second}}
	waiting := []*waiter{returning, fresh}
	slices.SortStableFunc(waiting, s.compare)
	if waiting[0] != fresh {
		t.Error("the returning caller goes first")
	}
}

// TestLeastServedKindGoesFirst guards against a kind of prompts that starves.
func TestLeastServedKindGoesFirst(t *testing.T) {
	now, f := time.Now(), make(flows)
	long, short := Prompt{Route: "long", Priority: 2, Tokens: 8000, Arrived: now, Objective: time.Second}, Prompt{Route: "short", Tokens: 2000, Arrived: now, Objective: time.Second}
	for range 100 {
		f.arrive(now, long)
		f.arrive(now, short)
		f.grant(now, short)
	}
	s := &situation{now: now, firstEvent: now, rate: priorRate, capacity: 200000}
	s.saturate(now.Add(-time.Second), f, func(kind) int { return 0 })
	waiting := []*waiter{{Prompt: short}, {Prompt: long}}
	slices.SortStableFunc(waiting, s.compare)
	if waiting[0].Route != "long" {
		t.Error("a route of which all are granted goes before one of which none are")
	}
}
