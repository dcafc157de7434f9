package prefillqueue

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// overloaded is the state of engines with more work than the target backlog.
var overloaded = Engines{Count: 1, Tokens: 1 << 20, MinTokens: 1 << 20}

func newQueue(engines *Engines) *Queue {
	return New(Options{Engines: func(string) Engines { return *engines }, Tracker: fleet.NewTracker()})
}

// TestOrder checks the order in which waiting prompts are granted.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := overloaded
		q := newQueue(&engines)
		blocker, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 1 << 20, Resumed: true})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		prompts := map[string]Prompt{
			"late":          {Arrived: now.Add(-2 * time.Second), Objective: 800 * time.Millisecond, Tokens: 6000},
			"later":         {Arrived: now.Add(-time.Second), Objective: 800 * time.Millisecond, Tokens: 6000},
			"in time":       {Arrived: now, Objective: time.Hour, Tokens: 6000},
			"newer in time": {Arrived: now.Add(time.Millisecond), Objective: time.Hour, Tokens: 6000},
			"short":         {Arrived: now, Objective: 400 * time.Millisecond, Tokens: 1800},
			"resumed":       {Arrived: now.Add(-time.Second), Objective: time.Second, Tokens: 6000, Resumed: true},
		}
		var (
			mu    sync.Mutex
			order []string
		)
		for name, p := range prompts {
			p.Service = "llm"
			go func() {
				grant, err := q.Acquire(t.Context(), p)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				grant.Release()
			}()
		}
		synctest.Wait()
		blocker.Release()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if want := []string{"resumed", "short", "newer in time", "in time", "late", "later"}; !slices.Equal(order, want) {
			t.Errorf("order %q, want %q", order, want)
		}
	})
}

// TestPromptIsGrantedAtOnceWhenIdle checks that a prompt of any length is
// granted immediately if the engines are idle or if there are none.
func TestPromptIsGrantedAtOnceWhenIdle(t *testing.T) {
	for name, engines := range map[string]Engines{"idle": {Count: 3}, "none": {}} {
		synctest.Test(t, func(t *testing.T) {
			q := newQueue(&engines)
			started := time.Now()
			for range 3 {
				if _, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 5000}); err != nil {
					t.Fatal(err)
				}
			}
			if waited := time.Since(started); waited > 0 {
				t.Errorf("%s: waited %v, want 0", name, waited)
			}
		})
	}
}

// TestCancelledPromptIsRemoved checks that a prompt whose context ends is no
// longer counted as waiting and that releasing a grant twice counts once.
func TestCancelledPromptIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := overloaded
		q := newQueue(&engines)
		grant, err := q.Acquire(t.Context(), Prompt{Service: "llm", Tokens: 6000})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := q.Acquire(ctx, Prompt{Service: "llm", Tokens: 6000}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("context expired while waiting: got error %v, want context.DeadlineExceeded", err)
		}
		if own := q.options.Tracker.Own(); len(own.Waiting) > 0 {
			t.Errorf("tokens still reported as waiting: %v, want none", own.Waiting)
		}
		grant.Release()
		grant.Release() // must have no effect
		if s := q.services["llm"]; s.prefillingTokens != 0 || len(s.waiting) != 0 {
			t.Errorf("%d tokens in prefill and %d prompts waiting, want none", s.prefillingTokens, len(s.waiting))
		}
	})
}

// TestShareFollowsDemand checks that an entry with a quarter of the total demand
// gets a quarter of the backlog.
func TestShareFollowsDemand(t *testing.T) {
	engines := Engines{Count: 2, Tokens: 2000}
	q := newQueue(&engines)
	q.options.Tracker.SetOthers(fleet.Work{Waiting: map[string]int{"llm": 4000}})
	s := &service{name: "llm", waiting: []*waiter{{Prompt: Prompt{Tokens: 2000}}}}
	if got := q.demandShare(s, s.waitingTokens(), engines); got != 0.25 {
		t.Errorf("got share %v, want 0.25", got)
	}
}

// TestPrefillTimeModelConverges checks that latency and rate are estimated from
// prefills of different lengths, and estimated anew after both have changed.
func TestPrefillTimeModelConverges(t *testing.T) {
	r := newPrefillTimeModel()
	for _, want := range []struct{ latency, rate float64 }{{0.03, 57000}, {0.07, 125000}} {
		for i := range 2000 {
			tokens := 1000 + i%10*2000
			r.observe(0, tokens, 0, secondsToDuration(want.latency+float64(tokens)/want.rate))
		}
		latency, rate := r.estimate()
		if math.Abs(latency-want.latency) > 0.01 || math.Abs(rate/want.rate-1) > 0.1 {
			t.Errorf("estimated latency %.3f s and rate %.0f tokens/s, want %+v", latency, rate, want)
		}
	}
}

// TestPrefillTimeModelStaysBounded checks that the estimate stays usable when
// all prefills have the same length and so carry no information on the rate.
func TestPrefillTimeModelStaysBounded(t *testing.T) {
	r := newPrefillTimeModel()
	for range 5000 {
		r.observe(0, 1800, 0, time.Second)
	}
	if latency, rate := r.estimate(); math.IsNaN(latency) || latency < 0 || rate < minRate {
		t.Errorf("estimated latency %v s and rate %v tokens/s, want latency >= 0 and rate >= minRate", latency, rate)
	}
}

// TestRateIsNotOverestimatedWhereUrgentPromptsOvertake guards against a rate that is
// learned from urgent prompts alone, which overtake all that is pending.
func TestRateIsNotOverestimatedWhereUrgentPromptsOvertake(t *testing.T) {
	const rate, latency = 100000.0, 0.06
	m := newPrefillTimeModel()
	// Two short prompts and a long one take 0.48 s of the engine's time. The short ones
	// overtake all that is pending, which changes slowly.
	for i := range 2000 {
		pending := 60000 + i%100*1000
		for range 2 {
			m.observe(pending-2000, 2000, pending-2000, secondsToDuration(latency+2000/rate))
		}
		m.observe(pending-44000, 44000, pending-44000, secondsToDuration(latency+0.48*float64(pending)/48000))
	}
	if _, got := m.estimate(); got < 0.7*rate || got > 1.3*rate {
		t.Errorf("estimated %.0f tokens/s, want %.0f +-30%%", got, rate)
	}
}
