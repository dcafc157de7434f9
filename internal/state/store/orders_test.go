package store

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const engineURL = "http://10.0.0.1:9000"

// TestOrderClosesEngine checks that a role change order closes its engine in
// the settings that entries cache under their lease, that the engine stays
// closed after a restore from a snapshot, and that settling the order opens it.
func TestOrderClosesEngine(t *testing.T) {
	s := New()
	index := uint64(0)
	apply := func(c *Command) Result {
		t.Helper()
		encoded, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		index++
		result, err := DecodeResult(s.Apply(index, encoded))
		if err != nil {
			t.Fatal(err)
		}
		if IsSettingsCommand(encoded) != (s.Orders().Version == index) {
			t.Fatalf("settings version = %d after a command with IsSettingsCommand = %v at index %d", s.Orders().Version, IsSettingsCommand(encoded), index)
		}
		return result
	}
	token := settings.HashToken("t")
	apply(&Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: token, Zones: []string{"a"}}})
	model := `{"role_price":1,"engines":{"e1":{"url":"` + engineURL + `","zone":"a","authority":"lagoonshift","checks_fencing":true}}}`
	edit := settings.Edit{Path: "models/m", Content: []byte(model)}
	apply(&Command{Change: &settings.Change{Operator: settings.RootOperator, TokenSHA256: token, Number: 1, Edits: []settings.Edit{edit}}})
	apply(&Command{Order: &OrderCommand{HandOver: &orderbook.HandOver{Engine: "e1", To: settings.AuthorityLagoonshift}}})

	place := orderbook.Place{Order: orderbook.Order{ID: "o1", Engine: "e1", Model: "m", Wanted: orderbook.Wanted{Kind: orderbook.ChangeRole}}}
	if result := apply(&Command{Order: &OrderCommand{Place: &place}}); result.Order.Verdict != orderbook.Stale || s.Orders().Settings.ClosedToNewWork(engineURL) {
		t.Fatalf("order placed from an old settings version: verdict %s, want stale and the engine open", result.Order.Verdict)
	}
	place.Version = s.Orders().Version
	if result := apply(&Command{Order: &OrderCommand{Place: &place}}); result.Order.Order.Fence != index {
		t.Fatalf("order placed at index %d has fence %d, want the index", index, result.Order.Order.Fence)
	}
	encoded, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s = New()
	if err := s.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	if !s.Orders().Settings.ClosedToNewWork(engineURL) {
		t.Fatal("engine is open to new work while the order is outstanding")
	}
	apply(&Command{Order: &OrderCommand{Settle: &orderbook.Settle{Engine: "e1", ID: "o1", Outcome: orderbook.Done}}})
	if s.Orders().Settings.ClosedToNewWork(engineURL) || len(s.Orders().Book.History["e1"]) != 1 {
		t.Fatal("engine is still closed after the order was settled, or the order is not in the history")
	}
}
