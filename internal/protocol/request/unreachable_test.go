package request

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
)

// TestBegunStreamWaitsForItsEngines guards against ending a stream because all engines of its version are down for a moment after one of them crashed.
func TestBegunStreamWaitsForItsEngines(t *testing.T) {
	for name, c := range map[string]struct {
		down     time.Duration
		software []string
		complete bool
	}{
		"any version, back after 3 s": {3 * time.Second, nil, true},
		"one version, back after 3 s": {3 * time.Second, []string{"v1", "v1", "v2"}, true},
		"not back in time":            {time.Hour, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				f := &fakeEngines{software: c.software}
				f.faultFor = func(attempt int) (fault, int) {
					switch {
					case attempt == 1:
						return crashes, 3
					case time.Since(start) < c.down:
						return refusesConnection, 0
					}
					return noFault, 0
				}
				p := f.newRunner(3)
				p.Budget = retry.NewBudget(retry.DefaultShare, 3)
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				caller, call := &fakeCaller{disconnectAfter: -1}, &Call{Prompt: "p", MaxTokens: 10}
				err := p.Run(ctx, call, testClass, caller)
				if violation := caller.check(call); (err == nil) != c.complete || violation != nil {
					t.Errorf("got error %v, violation %v, want the whole answer: %t", err, violation, c.complete)
				}
				if took := time.Since(start); !c.complete && took > 2*unreachableTimeout {
					t.Errorf("given up after %v, want about %v", took, unreachableTimeout)
				}
				if limit := int(2 * unreachableTimeout / unreachableBackoff.Base); f.attempts > limit {
					t.Errorf("%d attempts, want at most %d", f.attempts, limit)
				}
			})
		})
	}
}
