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

// Executions reads what the fake services ran, by idempotency key.
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

// Orders is what the fake engines' records say about orders.
type Orders struct {
	// RoleChanges counts orders that changed a role.
	RoleChanges int
	// Violations lists conflicting orders and effects without authority.
	Violations []string
	// Unread counts the engines whose records could not be read.
	Unread int
}

// Orders reads and judges the fake engines' records. The record of an engine
// that was lost in the run is lost with it.
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

// judgeCalls counts calls that ran more than once, and calls whose caller was
// told last that they had not run although they had.
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
		return fmt.Errorf("make request to %s: %w", url, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}
