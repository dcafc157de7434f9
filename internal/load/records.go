package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeservice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
)

// Executions reads the fake services' records and returns the number of
// executions by idempotency key.
func (r *Runner) Executions(ctx context.Context) (map[string]int, error) {
	runs := make(map[string]int)
	for _, url := range r.mix.Records {
		var record []fakeservice.Execution
		if err := getJSON(ctx, r.http, url, &record); err != nil {
			return nil, fmt.Errorf("read service record: %w", err)
		}
		for _, e := range record {
			runs[e.IdempotencyKey]++
		}
	}
	return runs, nil
}

// Orders summarizes the order records of the fake engines.
type Orders struct {
	// RoleChanges counts the orders that changed a role.
	RoleChanges int
	// Violations lists conflicting orders and orders that took effect without
	// authority.
	Violations []string
	// Unread counts the engines whose records could not be read.
	Unread int
}

// Orders reads the fake engines' order records and summarizes them. An engine
// that crashed for good during the run has no record and counts as unread.
func (r *Runner) Orders(ctx context.Context) Orders {
	var sum Orders
	for _, url := range r.mix.Engines {
		var record fakeengine.Record
		if err := getJSON(ctx, r.http, url, &record); err != nil {
			sum.Unread++
			continue
		}
		sum.Violations = append(sum.Violations, record.Violations()...)
		for _, a := range record.Arrivals {
			if a.Effect && a.Order.Kind == string(orderbook.ChangeRole) {
				sum.RoleChanges++
			}
		}
	}
	return sum
}

// countCallViolations counts the calls that ran more than once, and those whose
// final refusal said "not executed" although they had run.
func countCallViolations(results []Result, runs map[string]int) (doubled, falseNo int) {
	for i := range results {
		r := &results[i]
		if r.Arrival.Call == nil {
			continue
		}
		if runs[r.Arrival.Key] > 1 {
			doubled++
		}
		if r.Outcome == Refused && r.Executed == string(refusal.ExecutedNo) && runs[r.Arrival.Key] > 0 {
			falseNo++
		}
	}
	return doubled, falseNo
}

func getJSON(ctx context.Context, client *http.Client, url string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create request to %s: %w", url, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("decode response from %s: %w", url, err)
	}
	return nil
}
