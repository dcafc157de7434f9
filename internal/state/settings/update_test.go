package settings

import (
	"errors"
	"fmt"
	"testing"
)

func TestFullUpdateAfterTombstonePruning(t *testing.T) {
	f := newFixture(t)
	f.expect(f.apply(1, edit("models/m", 0, model)), Accepted, 2)
	reader, err := update(f.tree, 0).Apply(nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxTombstones + 1 {
		f.tree.put(uint64(3+i), fmt.Sprintf("teams/t%d", i), []byte(`{"classes":{}}`))
	}
	behind := uint64(3 + maxTombstones)
	for i := range maxTombstones + 1 {
		f.tree.put(behind+1+uint64(i), fmt.Sprintf("teams/t%d", i), nil)
	}
	f.tree.Version = behind + 1 + maxTombstones
	if got := update(f.tree, behind); !got.Full {
		t.Error("a reader whose version is older than a pruned tombstone got no full update")
	}
	if got := update(f.tree, behind+1); got.Full || len(got.Subtrees) != maxTombstones {
		t.Errorf("update: full %v, %d subtrees; want an incremental update with all kept removals", got.Full, len(got.Subtrees))
	}
	next, err := update(f.tree, reader.Version).Apply(reader)
	if err != nil || len(next.Teams) != 0 || len(next.Models) != 1 {
		t.Errorf("reader has %d teams, %d models, error %v; want 0 teams, 1 model", len(next.Teams), len(next.Models), err)
	}
}

func TestUpdateRejectsOlderVersion(t *testing.T) {
	newer := &Configuration{Version: 9}
	older := Update{Version: 8, Full: true}
	if _, err := older.Apply(newer); !errors.Is(err, ErrStaleUpdate) {
		t.Errorf("Apply = %v, want ErrStaleUpdate", err)
	}
}

func update(t *Tree, have uint64) *Update {
	u := t.UpdateSince(have)
	return &u
}
