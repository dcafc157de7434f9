package adminhttp

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// unknownOutcomeAge is the age from which a reservation without an outcome
// counts as unknown: longer than any attempt waits for a late answer.
const unknownOutcomeAge = 5 * time.Minute

// LedgerAnswer lists records of the idempotency ledger.
type LedgerAnswer struct {
	// Records are ordered by key, without the stored answers' bodies.
	Records []ledger.Record `json:"records"`
	// Total and Pruned count the records and the pruned keys that are still
	// remembered.
	Total  int `json:"total"`
	Pruned int `json:"pruned"`
}

// ledger lists the calls whose outcome is unknown, or with all=true all calls.
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

// outcomeUnknown selects the records whose outcome nobody knows any more.
func outcomeUnknown(now time.Time) func(ledger.Record) bool {
	return func(record ledger.Record) bool {
		reserved := time.UnixMilli(record.Reserve.AtUnixMilli)
		stuck := record.Outcome.State == ledger.Reserved && now.Sub(reserved) > unknownOutcomeAge
		return stuck || record.Outcome.State == ledger.Unknown
	}
}

// Ledger returns the calls whose outcome is unknown, or all calls.
func (c *Client) Ledger(ctx context.Context, all bool) (LedgerAnswer, error) {
	var answer LedgerAnswer
	err := c.get(ctx, "/v1/ledger?all="+strconv.FormatBool(all), &answer)
	return answer, err
}
