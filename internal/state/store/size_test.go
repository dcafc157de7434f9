package store

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
)

// TestLargeSnapshotIsRestored restores a snapshot with more records than the
// codec's default limit on array elements.
func TestLargeSnapshotIsRestored(t *testing.T) {
	const records = 131_073
	var content ledger.Encoded
	for i := range records {
		reserve := ledger.Reserve{Key: ledger.Key{IdempotencyKey: fmt.Sprint(i)}, Attempt: "a"}
		content.Records = append(content.Records, ledger.Record{Reserve: reserve})
	}
	s := New()
	s.ledger = ledger.Decode(content)
	encoded, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	if n, _ := restored.ledger.Len(); n != records {
		t.Errorf("restored %d records, want %d", n, records)
	}
}
