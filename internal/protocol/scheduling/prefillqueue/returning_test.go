package prefillqueue

import (
	"testing"
	"time"
)

// TestReturningCallerYieldsToFirstRequests guards against free slots that go to callers that
// come back while first requests of their kind are refused.
func TestReturningCallerYieldsToFirstRequests(t *testing.T) {
	for _, c := range []struct {
		granted int
		yields  bool
	}{{50, true}, {98, false}} {
		now, f := time.Now(), make(flows)
		first := Prompt{Route: "a", Tokens: 6000, Arrived: now, Asked: now, Objective: time.Second}
		for i := range 100 {
			f.arrive(now, first)
			if i < c.granted {
				f.grant(now, first)
			}
		}
		back := first
		back.Asked = now.Add(-3 * time.Second)
		for range 100 {
			f.arrive(now, back)
		}
		s := &situation{now: now, firstEvent: now, rate: priorRate, capacity: 200000, slotsShort: true, slots: 64}
		s.saturate(now.Add(-time.Second), f, func(kind) int { return 30 })
		if got := s.yields(&waiter{Prompt: back}); got != c.yields {
			t.Errorf("%d of 100 first requests granted: the returning one yields %v, want %v", c.granted, got, c.yields)
		}
		inTime := back
		inTime.Objective = 5 * time.Second
		if s.yields(&waiter{Prompt: inTime}) {
			t.Errorf("%d of 100 first requests granted: a returning one that can be in time yields", c.granted)
		}
		if s.yields(&waiter{Prompt: first}) {
			t.Errorf("%d of 100 first requests granted: a first request yields", c.granted)
		}
	}
}
