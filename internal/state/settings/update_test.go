package settings

import (
	"errors"
	"fmt"
	"testing"
)

func TestUpdateAfterMoreRemovalsThanAreRemembered(t *testing.T) {
	b := newBench(t)
	b.want(b.apply(1, edit("models/m", 0, model)), Accepted, 2)
	reader, err := update(b.tree, 0).Apply(nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxRemovals + 1 {
		b.tree.put(uint64(3+i), fmt.Sprintf("teams/t%d", i), []byte(`{"classes":{}}`))
	}
	behind := uint64(3 + maxRemovals)
	for i := range maxRemovals + 1 {
		b.tree.put(behind+1+uint64(i), fmt.Sprintf("teams/t%d", i), nil)
	}
	b.tree.Version = behind + 1 + maxRemovals
	if got := update(b.tree, behind); !got.Whole {
		t.Error("a reader that may hold a forgotten removal gets no whole update")
	}
	if got := update(b.tree, behind+1); got.Whole || len(got.Subtrees) != maxRemovals {
		t.Errorf("update = whole %v with %d subtrees, want the remembered removals", got.Whole, len(got.Subtrees))
	}
	next, err := update(b.tree, reader.Version).Apply(reader)
	if err != nil || len(next.Teams) != 0 || len(next.Models) != 1 {
		t.Errorf("reader holds %d teams, %d models, %v", len(next.Teams), len(next.Models), err)
	}
}

func TestUpdateNeverGoesBack(t *testing.T) {
	newer := &Configuration{Version: 9}
	older := Update{Version: 8, Whole: true}
	if _, err := older.Apply(newer); !errors.Is(err, ErrOlder) {
		t.Errorf("Apply = %v, want ErrOlder", err)
	}
}

func update(t *Tree, have uint64) *Update {
	u := t.Since(have)
	return &u
}
