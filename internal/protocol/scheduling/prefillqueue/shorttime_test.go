package prefillqueue

import (
	"testing"
	"time"
)

// TestShortPromptsWaitForEquallyUrgentOnes guards against short prompts that are taken to
// overtake all that is pending at engines, and begin late.
func TestShortPromptsWaitForEquallyUrgentOnes(t *testing.T) {
	now := time.Now()
	s := &situation{
		now: now, firstEvent: now.Add(400*time.Millisecond + postPrefillTime), backlog: 0.4, tokensOf: map[int]int{0: 5000, 1: 15000}, rate: priorRate,
		saturatedFor: time.Second,
	}
	for priority, want := range []time.Duration{200 * time.Millisecond, -100 * time.Millisecond, -100 * time.Millisecond} {
		w := &waiter{Prompt: Prompt{Priority: priority, Tokens: 2000, Arrived: now, Objective: 300*time.Millisecond + postPrefillTime}}
		if got := s.inTimeLeft(w); got < want-time.Millisecond || got > want+time.Millisecond {
			t.Errorf("priority %d: %v left, want %v", priority, got, want)
		}
	}
}
