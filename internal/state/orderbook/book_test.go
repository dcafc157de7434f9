package orderbook

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const rateLimit = 100

// TestBookInvariants applies random commands, some of them repeated or for settled
// orders, and checks after each that the invariants hold and that the book
// survives encoding and decoding.
func TestBookInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := New()
		version := uint64(0)
		for index := uint64(1); index <= 60; index++ {
			before := book.Clone()
			next := drawCommand(t, book, index, version)
			if next {
				version = index
			}
			if err := checkInvariants(before, book); err != nil {
				t.Fatal(err)
			}
			book = roundTrip(t, book)
		}
	})
}

// drawCommand applies one random command. It reports whether the version of the
// store increases.
func drawCommand(t *rapid.T, book *Book, index, version uint64) bool {
	engine := rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "engine")
	id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id"))
	switch rapid.IntRange(0, 3).Draw(t, "command") {
	case 0:
		wanted := Wanted{Kind: rapid.SampledFrom([]Kind{ChangeRole, LoadAdapter}).Draw(t, "kind"), Rate: int64(rapid.IntRange(0, 60).Draw(t, "rate"))}
		based := version - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
		result := book.Place(index, version, Place{Order: Order{ID: id, Engine: engine, Model: engine[:1], Wanted: wanted}, Version: based, RateLimit: rateLimit})
		if result.Verdict == Accepted && result.Order.ID != id {
			t.Fatalf("Place accepted order %s, but returned order %s", id, result.Order.ID)
		}
		return wanted.Interrupts()
	case 1:
		book.Release(Release{Engine: engine, ID: id})
		return false
	case 2:
		outcome := rapid.SampledFrom([]Outcome{Done, Cancelled}).Draw(t, "outcome")
		book.Settle(index, Settle{Engine: engine, ID: id, Outcome: outcome})
		return true
	}
	side := rapid.SampledFrom([]settings.OrderAuthority{settings.AuthorityLagoonshift, settings.AuthorityOldSystem}).Draw(t, "side")
	book.HandOver(index, HandOver{Engine: engine, To: side, SeenFence: uint64(rapid.IntRange(0, 1000).Draw(t, "fence"))})
	return false
}

// checkInvariants returns an error for the first invariant that a command
// violated.
func checkInvariants(before, after *Book) error {
	interrupting := make(map[string]int)
	for engine, o := range after.Outstanding {
		old, had := before.Outstanding[engine]
		if had && old.ID != o.ID {
			return fmt.Errorf("order %s replaced the unsettled order %s", o.ID, old.ID)
		}
		if after.Holders[engine].Side != settings.AuthorityLagoonshift {
			return fmt.Errorf("order %s is outstanding, but side %s has the authority over engine %s", o.ID, after.Holders[engine].Side, engine)
		}
		for _, record := range after.History[engine] {
			if record.Order.Fence >= o.Fence {
				return fmt.Errorf("fencing token %d of order %s is not above the earlier %d", o.Fence, o.ID, record.Order.Fence)
			}
		}
		if o.Wanted.Interrupts() {
			interrupting[o.Model]++
		}
	}
	for model, count := range interrupting {
		if count > 1 {
			return fmt.Errorf("%d engines of model %s are interrupted at the same time, want at most 1", count, model)
		}
	}
	if reserved := after.ReservedRate(); reserved > rateLimit {
		return fmt.Errorf("outstanding loads reserve rate %d, more than the limit", reserved)
	}
	for engine, history := range after.History {
		last := history[len(history)-1]
		if len(history) > HistoryPerEngine || last.Outcome == Cancelled && last.Order.Phase == Released {
			return fmt.Errorf("history of engine %s is too long or holds a cancelled order that was released: %+v", engine, history)
		}
	}
	return nil
}

// TestCheckInvariantsDetectsViolations checks that checkInvariants reports a
// violation of each invariant.
func TestCheckInvariantsDetectsViolations(t *testing.T) {
	order := func(id, engine string) Order {
		return Order{ID: id, Engine: engine, Model: "a", Fence: 5, Wanted: Wanted{Kind: ChangeRole}}
	}
	faults := map[string]func(b *Book){
		"order replaced":      func(b *Book) { b.Outstanding["a1"] = order("2", "a1") },
		"other side holds":    func(b *Book) { b.Holders["a1"] = Holder{Side: settings.AuthorityOldSystem} },
		"fence repeated":      func(b *Book) { b.History["a1"] = []Record{{Order: order("0", "a1")}} },
		"two engines at once": func(b *Book) { b.Outstanding["a2"] = order("3", "a2") },
		"rate exceeded": func(b *Book) {
			b.Outstanding["a1"] = Order{ID: "1", Wanted: Wanted{Kind: LoadAdapter, Rate: rateLimit + 1}}
		},
		"sent, yet cancelled": func(b *Book) {
			b.History["a1"] = []Record{{Order: Order{Phase: Released}, Outcome: Cancelled}}
		},
	}
	for name, inject := range faults {
		book := New()
		book.Holders["a1"] = Holder{Side: settings.AuthorityLagoonshift}
		book.Holders["a2"] = Holder{Side: settings.AuthorityLagoonshift}
		book.Outstanding["a1"] = order("1", "a1")
		before := book.Clone()
		if err := checkInvariants(before, book); err != nil {
			t.Fatalf("valid book: %v", err)
		}
		inject(book)
		if checkInvariants(before, book) == nil {
			t.Errorf("%s: checkInvariants returned nil, want an error", name)
		}
	}
}

func roundTrip(t *rapid.T, book *Book) *Book {
	encoded, err := cbor.Marshal(book)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &Book{}
	if err := cbor.Unmarshal(encoded, decoded); err != nil {
		t.Fatal(err)
	}
	decoded.InitMaps()
	if !reflect.DeepEqual(book, decoded) {
		t.Fatalf("decoded book is %+v, want %+v", decoded, book)
	}
	return decoded
}

// BenchmarkTargetSize clones a book of 2,800 engines with full histories and
// reports the size of its encoding.
func BenchmarkTargetSize(b *testing.B) {
	book := New()
	index := uint64(0)
	for engine := range 2800 {
		name := fmt.Sprintf("region-1-engine-%04d", engine)
		book.HandOver(index, HandOver{Engine: name, To: settings.AuthorityLagoonshift})
		for range HistoryPerEngine {
			index++
			id := fmt.Sprintf("%026d", index)
			book.Place(index, 0, Place{Order: Order{
				ID: id, Engine: name, Model: name, Wanted: Wanted{Kind: ChangeRole, Role: settings.RolePrefill},
				Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ-1", Reason: "more goodput", AtUnixMilli: 1796349600000,
			}})
			book.Settle(index, Settle{Engine: name, ID: id, Outcome: Done})
		}
	}
	encoded, err := cbor.Marshal(book)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		book.Clone()
	}
	b.ReportMetric(float64(len(encoded)), "snapshot-bytes")
}
