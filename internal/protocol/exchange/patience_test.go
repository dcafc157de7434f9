package exchange

import (
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// TestPromptsWaitAsLongAsTheirCallers guards against refusing prompts in the prefill queue that are late but in time for their callers.
func TestPromptsWaitAsLongAsTheirCallers(t *testing.T) {
	started := time.Now()
	x := &exchange{
		Forwarder: &Forwarder{}, started: started,
		request: &Request{Route: &route.Route{Objective: 300 * time.Millisecond, Timeout: 10 * time.Second}, Deadline: started.Add(10 * time.Second)},
	}
	if got, want := x.queueEntry(placement.Prompt{Tokens: 20000}).GiveUp.Sub(started), minPatience-patienceMargin; got != want {
		t.Errorf("the prompt may wait for %v, want %v", got, want)
	}
}
