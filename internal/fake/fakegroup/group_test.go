package fakegroup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

func command(t *testing.T, key string) []byte {
	t.Helper()
	c := store.Command{Reserve: &ledger.Reserve{Key: ledger.Key{IdempotencyKey: key}, Attempt: key}}
	encoded, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestGroupSurvivesKillAndLostDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(t, Options{Seed: 1})
		submit := func(key string) {
			t.Helper()
			if _, err := g.Submit(t.Context(), g.Leader(), command(t, key)); err != nil {
				t.Fatalf("submit %s: %v", key, err)
			}
		}
		submit("a")
		old := g.Leader()
		g.Kill(old)
		submit("b")
		g.Restart(old)
		g.LoseDisk(old)
		g.Restart(old)
		g.WaitVoters()
		submit("c")
		if err := g.Log(old).ReadBarrier(context.Background()); err != nil {
			t.Fatal(err)
		}
		for _, key := range []string{"a", "b", "c"} {
			if !hasKey(g.Store(old), key) {
				t.Errorf("replica %d lacks key %q after its disk was lost", old, key)
			}
		}
	})
}

func TestFrozenLeaderLosesAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(t, Options{Seed: 2})
		old := g.Leader()
		g.Freeze(old)
		next := g.Leader()
		time.Sleep(5 * time.Second)
		g.Thaw(old)
		if _, ok := g.Log(old).Authority(); ok {
			t.Error("old leader has authority after it was thawed, want none")
		}
		if _, ok := g.Log(next).Authority(); !ok {
			t.Error("new leader has no authority")
		}
	})
}

func hasKey(s *store.Store, key string) bool {
	found := false
	s.View(func(_ *settings.Tree, l *ledger.Ledger) {
		_, found = l.Lookup(ledger.Key{IdempotencyKey: key})
	})
	return found
}
