package exchange_test

import (
	"errors"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
)

// TestRequestWithoutTimeLeftIsNotBegun guards against a request that an entry which stops
// sends to a server after its prompt took long, and then cuts.
func TestRequestWithoutTimeLeftIsNotBegun(t *testing.T) {
	w := newFixture(reply{status: 200, events: true, body: "id: 1\n\n"})
	r := promptRequest("system")
	r.Prompt.Tokens = 5000
	r.MayBegin = func() bool { return len(w.prefills) == 0 }
	if o := w.run(t, r); o.Result != exchange.Refused || !errors.Is(o.Err, exchange.ErrStopping) || len(w.sends) != 0 || len(w.released) != 1 {
		t.Errorf("got %v after %d sends, released %v; want refused as stopping and the handle released", o, len(w.sends), w.released)
	}
}
