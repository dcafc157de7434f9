package settingsync_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// missed is the number of changes that pass an entry by.
const missed = 400

// newest returns the settings version at the leader.
func (w *world) newest() (version uint64) {
	w.group.Store(w.group.Leader()).View(func(tree *settings.Tree, _ *ledger.Ledger) { version = tree.Version })
	return version
}

func (w *world) change(t *testing.T, times int) {
	for range times {
		if _, err := w.submit(t.Context(), w.group.Leader(), &store.Command{Bootstrap: &settings.Bootstrap{}}); err != nil {
			t.Fatal(err)
		}
	}
}

func (w *world) wantNewest(t *testing.T) {
	t.Helper()
	time.Sleep(2 * leaseDuration)
	if version, ok := w.entries[0].version(); !ok || version != w.newest() {
		t.Errorf("entry works on version %d, %v, want %d", version, ok, w.newest())
	}
}

func TestEntryCatchesUpAfterMissedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 1, sound)
		defer w.stop()
		w.wantNewest(t)
		w.setCut(0, 3, true)
		w.change(t, missed)
		if _, ok := w.entries[0].version(); ok {
			time.Sleep(leaseDuration)
		}
		if _, ok := w.entries[0].version(); ok {
			t.Error("a cut-off entry takes work")
		}
		w.setCut(0, 3, false)
		w.wantNewest(t)
	})
}

func TestEntryDoesNotStartFromLaggingFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 3, 1, sound)
		defer w.stop()
		w.wantNewest(t)
		follower := (w.group.Leader() + 1) % 3
		w.group.CutOff(follower)
		w.change(t, missed)
		// The entry reaches the lagging follower only.
		w.setCut(0, 3, true)
		w.mu.Lock()
		w.cut[link{w.entries[0].name, follower}] = false
		w.mu.Unlock()
		w.do(event{Kind: "restart entry", Target: 0})
		time.Sleep(time.Minute)
		if w.entries[0].agent.Settings().Load() != nil {
			t.Error("the entry started from a lagging follower")
		}
		w.setCut(0, 3, false)
		w.wantNewest(t)
	})
}
