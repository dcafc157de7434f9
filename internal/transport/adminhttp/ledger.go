package adminhttp

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// unknownOutcomeAge is the age above which the outcome of a reservation without
// a recorded outcome counts as unknown. It is longer than any attempt waits for
// a late response.
const unknownOutcomeAge = 5 * time.Minute

// LedgerAnswer lists records of the idempotency ledger.
type LedgerAnswer struct {
	// Records are sorted by key and lack the bodies of the stored responses.
	Records []ledger.Record `json:"records"`
	// Total is the number of records, and Pruned the number of keys whose
	// records were pruned and that are still known.
	Total  int `json:"total"`
	Pruned int `json:"pruned"`
}

// ledger lists the calls whose outcome is unknown or, with all=true, all calls.
func (s *Server) ledger(w http.ResponseWriter, r *http.Request, _ operator) error {
	keep := outcomeUnknown(time.Now())
	if r.URL.Query().Get("all") == "true" {
		keep = nil
	}
	answer := LedgerAnswer{}
	s.Store.View(func(_ *settings.Tree, l *ledger.Ledger) {
		answer.Records = l.List(keep)
		answer.Total, answer.Pruned = l.Len()
	})
	for i := range answer.Records {
		answer.Records[i].Outcome.Body = nil
	}
	return writeJSON(w, http.StatusOK, answer)
}

// outcomeUnknown returns a filter for the records whose outcome is recorded as
// unknown or has been missing for longer than unknownOutcomeAge at now.
func outcomeUnknown(now time.Time) func(ledger.Record) bool {
	return func(record ledger.Record) bool {
		reserved := time.UnixMilli(record.Reserve.AtUnixMilli)
		overdue := record.Outcome.State == ledger.Reserved && now.Sub(reserved) > unknownOutcomeAge
		return overdue || record.Outcome.State == ledger.Unknown
	}
}

// Ledger returns the calls whose outcome is unknown, or all calls.
func (c *Client) Ledger(ctx context.Context, all bool) (LedgerAnswer, error) {
	var answer LedgerAnswer
	err := c.get(ctx, "/v1/ledger?all="+strconv.FormatBool(all), &answer)
	return answer, err
}
