package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
)

// TestRetryCountsFromWhenItIsSent guards against counting a retry before its request has
// waited for a prefill engine.
func TestRetryCountsFromWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(reply{err: errReset}, reply{status: 200, events: true, body: "id: 1\n\n"})
		w.prefillTime, w.quickPrefills = time.Second, 1
		if o := w.run(t, streamRequest(true, 5000)); o.Result != exchange.Delivered || o.Attempts != 2 {
			t.Fatalf("got %+v, want the response of the second attempt", o)
		}
		time.Sleep(10200 * time.Millisecond) // longer than the window, counted from the first failure
		if got := w.budget.Usage().Retries; got != 1 {
			t.Errorf("%d retries are within the window, want 1: the send, not the prefill call before it", got)
		}
	})
}

// TestRetriesThatAreNotMadeAreGivenBack guards against retries that stay reserved.
func TestRetriesThatAreNotMadeAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, replies := range [][]reply{
			{{err: errReset}, {status: 200, events: true, body: "id: 1\n\n"}},
			{pausing(silence), pausing(0)},
			{pausing(silence), {err: errRejected}, {err: errRejected}, {err: errRejected}},
		} {
			w := newFixture(replies...)
			w.prefillTime, w.quickPrefills = silence, 1
			w.run(t, streamRequest(true, 5000))
			time.Sleep(time.Minute)
			if got := w.budget.Usage().Retries; got != 0 {
				t.Errorf("%v: %d retries stay counted, want none", replies, got)
			}
		}
	})
}
