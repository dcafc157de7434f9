package phaseplan_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestServiceWithoutDecoderGetsOneAtOnce guards against a service that serves nothing for seconds
// because all engines that decode were given back, and the others were ordered to prefill shortly
// before.
func TestServiceWithoutDecoderGetsOneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChangingEngines(8, fleet.Decode)
		d := newScaledDriver(c, noPace)
		const step = 250 * time.Millisecond
		reconcile := func(length time.Duration) {
			for range length / step {
				d.ReconcileScaled(t.Context(), "llm", c.list())
				time.Sleep(step)
			}
		}
		for deadline := time.Now().Add(10 * time.Second); c.prefill() < 0.5 && time.Now().Before(deadline); {
			reconcile(step)
		}
		listed := c.list()
		c.mu.Lock()
		c.engines = slices.DeleteFunc(c.engines, func(e fleet.Engine) bool {
			return slices.ContainsFunc(listed, func(l fleet.Engine) bool { return l.ID == e.ID && l.Phase == fleet.Decode })
		})
		c.mu.Unlock()
		if got := c.prefill(); got != 1 {
			t.Fatalf("%.2f of the engines prefill, want all", got)
		}
		reconcile(changeTime + 2*time.Second)
		if got := c.prefill(); got == 1 {
			t.Errorf("no engine decodes %v after the last one that did has gone", changeTime+2*time.Second)
		}
		d.Wait()
	})
}
