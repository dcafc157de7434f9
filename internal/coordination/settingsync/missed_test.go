package settingsync_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakefleet"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// missedChanges is the number of changes committed while an entry or a
// follower is isolated.
const missedChanges = 400

// newestVersion returns the leader's settings version.
func newestVersion(fleet *fakefleet.Fleet) (version uint64) {
	fleet.Group.Store(fleet.Group.Leader()).View(func(tree *settings.Tree, _ *ledger.Ledger) { version = tree.Version })
	return version
}

// commitChanges commits the given number of settings changes.
func commitChanges(fleet *fakefleet.Fleet, t *testing.T, times int) {
	for range times {
		if _, err := fleet.Submit(t.Context(), fleet.Group.Leader(), &store.Command{Bootstrap: &settings.Bootstrap{}}); err != nil {
			t.Fatal(err)
		}
	}
}

// wantNewestVersion checks that the first entry reaches the newest settings
// version, and may take work, within two lease durations.
func wantNewestVersion(fleet *fakefleet.Fleet, t *testing.T) {
	t.Helper()
	time.Sleep(2 * fakefleet.LeaseDuration)
	if version, ok := fleet.Entries[0].Version(); !ok || version != newestVersion(fleet) {
		t.Errorf("entry has version %d, may take work: %v, want version %d and true", version, ok, newestVersion(fleet))
	}
}

func TestEntryCatchesUpAfterMissedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New(t, 1, 3, 1, fakefleet.NoFault)
		defer fleet.Stop()
		wantNewestVersion(fleet, t)
		fleet.SetCut(0, 3, true)
		commitChanges(fleet, t, missedChanges)
		if _, ok := fleet.Entries[0].Version(); ok {
			time.Sleep(fakefleet.LeaseDuration)
		}
		if _, ok := fleet.Entries[0].Version(); ok {
			t.Error("isolated entry takes work after its lease has expired")
		}
		fleet.SetCut(0, 3, false)
		wantNewestVersion(fleet, t)
	})
}

func TestEntryDoesNotStartFromLaggingFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New(t, 2, 3, 1, fakefleet.NoFault)
		defer fleet.Stop()
		wantNewestVersion(fleet, t)
		follower := (fleet.Group.Leader() + 1) % 3
		fleet.Group.CutOff(follower)
		commitChanges(fleet, t, missedChanges)
		// The entry can reach only the lagging follower.
		fleet.SetCut(0, 3, true)
		fleet.SetLink(0, follower, false)
		fleet.Do(fakefleet.Event{Kind: fakefleet.RestartEntry, Target: 0})
		time.Sleep(time.Minute)
		if fleet.Entries[0].Agent.Settings().Load() != nil {
			t.Error("entry started with the settings of a lagging follower")
		}
		fleet.SetCut(0, 3, false)
		wantNewestVersion(fleet, t)
	})
}
