package retry

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// BenchmarkTakeUnsettled measures the decision on a retry while totals are needed.
func BenchmarkTakeUnsettled(b *testing.B) {
	c := &manualClock{now: clock.Instant(DefaultWindow)}
	a := NewAccounts(c, Bound{Share: 0.2, Slack: 56}, func() {})
	c.now = c.now.Add(2 * DefaultWindow)
	a.SetDeployment(Deployment{Processes: 8, Connected: 8, Complete: true, Totals: []Total{{Service: "s", Requests: 1000}}})
	account := a.Account("s")
	for b.Loop() {
		account.Request()
		if r, ok := account.Take(); ok {
			r.Return()
		}
	}
}
