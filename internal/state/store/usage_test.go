package store

import (
	"bytes"
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/usagelog"
)

// oldSnapshot is the snapshot of builds without usage (commit 7f7d4d3).
type oldSnapshot struct {
	Tree     *settings.Tree    `cbor:"1,keyasint"`
	Ledger   ledger.Encoded    `cbor:"2,keyasint"`
	Orders   *orderbook.Book   `cbor:"10,keyasint"`
	Document document.Document `cbor:"30,keyasint"`
}

func applyUsage(t *testing.T, s *Store, index uint64, c usagelog.Command) Result {
	t.Helper()
	command := Command{Usage: &c}
	encoded, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	result, err := DecodeResult(s.Apply(index, encoded))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestUsageOutlivesSnapshots guards against a replica that was restarted or that lost its
// disk and decides a window a second time.
func TestUsageOutlivesSnapshots(t *testing.T) {
	s := New()
	report := []byte(`{"x":1}`)
	applyUsage(t, s, 1, usagelog.Command{Decide: &usagelog.Decide{Window: 5, Report: report, Appliers: []uint64{3, 4}}})
	applyUsage(t, s, 2, usagelog.Command{Decide: &usagelog.Decide{Window: 6, Report: report}})
	applyUsage(t, s, 3, usagelog.Command{Delivered: &usagelog.Delivered{Window: 5}})
	encoded, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, again) {
		t.Error("the snapshot of a restored state differs from the snapshot it was restored from")
	}
	if result := applyUsage(t, restored, 4, usagelog.Command{Decide: &usagelog.Decide{Window: 6, Report: []byte("other")}}); result.Usage.Accepted {
		t.Error("a restored replica decided a window again")
	}
	undelivered := restored.Usage().Undelivered()
	if len(undelivered) != 1 || undelivered[0].Window != 6 || !bytes.Equal(undelivered[0].Report, report) || len(restored.Usage().Appliers) != 2 {
		t.Errorf("restored usage is %+v", restored.Usage())
	}
}

// TestSnapshotsOfTheOldBuild guards against state of the previous build that can't be read,
// and against snapshots that differ from it in deployments without usage.
func TestSnapshotsOfTheOldBuild(t *testing.T) {
	s := New()
	put := Command{Document: &document.Put{Version: 3, Content: []byte("d")}}
	encoded, err := put.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(1, encoded)
	old, err := encMode.Marshal(oldSnapshot{Tree: s.tree, Ledger: s.ledger.Encode(), Orders: s.orders, Document: *s.document.Load()})
	if err != nil {
		t.Fatal(err)
	}
	if current, err := s.Snapshot(); err != nil || !bytes.Equal(old, current) {
		t.Errorf("snapshot without usage is %x (error %v), want %x as by the old build", current, err, old)
	}
	applyUsage(t, s, 2, usagelog.Command{Decide: &usagelog.Decide{Window: 1}})
	if err := s.Restore(old); err != nil {
		t.Fatal(err)
	}
	if !s.Usage().Empty() || s.Document().Version != 3 {
		t.Errorf("restored document %d and usage %+v, want 3 and none", s.Document().Version, s.Usage())
	}
	// The other way round: a replica of the old build gets a snapshot with usage.
	applyUsage(t, s, 3, usagelog.Command{Decide: &usagelog.Decide{Window: 1}})
	current, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var read oldSnapshot
	if err := decMode.Unmarshal(current, &read); err != nil || read.Document.Version != 3 {
		t.Errorf("the old build reads document %d (error %v), want 3", read.Document.Version, err)
	}
}

// TestUnknownCommandChangesNothing guards the premise of command sets: what a replica does
// with a command that its build doesn't know.
func TestUnknownCommandChangesNothing(t *testing.T) {
	s := New()
	encoded, err := encMode.Marshal(map[int]any{9999: map[int]any{1: 1}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = DecodeResult(s.Apply(1, encoded))
	if err == nil || !strings.Contains(err.Error(), "unknown command") {
		t.Errorf("error %v, want unknown command", err)
	}
}
