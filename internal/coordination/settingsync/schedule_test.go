package settingsync_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakefleet"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	// sampleInterval is the time between two samples of the fleet's state.
	sampleInterval = 5 * time.Millisecond
	// settleTime is how long a run goes on before the first and after the last
	// event of its schedule.
	settleTime = 8 * time.Second
)

var eventKinds = []fakefleet.Kind{
	fakefleet.KillLeader, fakefleet.Kill, fakefleet.LoseDisk, fakefleet.Restart, fakefleet.Restart,
	fakefleet.Freeze, fakefleet.Thaw, fakefleet.Thaw, fakefleet.CutReplica, fakefleet.Drop, fakefleet.Heal, fakefleet.Heal,
	fakefleet.CutEntry, fakefleet.CutHalf, fakefleet.KeepOne, fakefleet.HealEntry, fakefleet.HealEntry,
	fakefleet.FreezeEntry, fakefleet.ThawEntry, fakefleet.ThawEntry, fakefleet.RestartEntry, fakefleet.Slow, fakefleet.Fast,
}

func drawSchedule(t *rapid.T) []fakefleet.Event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fakefleet.Event {
		return fakefleet.Event{
			Wait:   time.Duration(rapid.IntRange(0, 2500).Draw(t, "wait")) * time.Millisecond,
			Kind:   rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			Target: rapid.IntRange(0, 14).Draw(t, "target"),
		}
	}), 3, 25).Draw(t, "schedule")
}

// checker checks invariants over the state of all processes of the fleet.
type checker struct {
	fleet *fakefleet.Fleet
	// committedAt holds the time at which each settings index was first seen
	// committed.
	committedAt map[uint64]clock.Instant
	// inForce is the highest version that a replica reported as in force.
	inForce uint64
	// versions holds the newest version seen at each incarnation of an entry,
	// by the entry's name and incarnation.
	versions map[string]uint64
	// acceptingSamples counts the samples in which an entry took new work.
	acceptingSamples int
	err              error
}

func newChecker(fleet *fakefleet.Fleet) *checker {
	return &checker{fleet: fleet, committedAt: make(map[uint64]clock.Instant), versions: make(map[string]uint64)}
}

// sample checks the current state of every running replica and every entry.
func (c *checker) sample() {
	now := c.fleet.Group.Clock().Now()
	for i := range c.fleet.Group.Size() {
		if c.fleet.Group.Running(i) {
			c.sampleReplica(i, now)
		}
	}
	for _, e := range c.fleet.Entries {
		c.checkEntry(e, now)
	}
}

// sampleReplica records what replica i has committed and reports as in force.
func (c *checker) sampleReplica(i int, now clock.Instant) {
	view := c.fleet.Group.Log(i).View()
	index := view.LogSettingsIndex
	if _, known := c.committedAt[index]; !known && index <= view.CommitIndex {
		c.committedAt[index] = now
	}
	var current *settings.Configuration
	c.fleet.Group.Store(i).View(func(tree *settings.Tree, _ *ledger.Ledger) { current = tree.Configuration() })
	tracker := c.fleet.Tracker(i)
	tracker.Applied(current.Version, current.Members)
	if tracker.Report(current.Version).InForce {
		c.inForce = max(c.inForce, current.Version)
	}
}

// checkEntry checks that the entry does not take new work on settings older
// than a change that was committed more than a lease duration ago or was
// reported as in force everywhere, and that its settings never revert.
func (c *checker) checkEntry(e *fakefleet.Entry, now clock.Instant) {
	version, ok := e.Version()
	if !ok {
		return
	}
	c.acceptingSamples++
	for index, at := range c.committedAt {
		if index > version && now.Sub(at) > fakefleet.LeaseDuration {
			c.fail("%s takes work with settings version %d, %v after version %d was committed", e.Name, version, now.Sub(at), index)
		}
	}
	if version < c.inForce {
		c.fail("%s takes work with settings version %d, although version %d was reported in force", e.Name, version, c.inForce)
	}
	run := fmt.Sprintf("%s/%d", e.Name, e.Incarnation)
	if version < c.versions[run] {
		c.fail("%s reverted its settings from version %d to %d", run, c.versions[run], version)
	}
	c.versions[run] = version
}

// fail records the first violation.
func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// writeSettings commits settings commands until ctx is done.
func writeSettings(fleet *fakefleet.Fleet, ctx context.Context) {
	for ctx.Err() == nil {
		command := &store.Command{Bootstrap: &settings.Bootstrap{Zones: []string{"a"}}}
		limited, cancel := context.WithTimeout(ctx, fakefleet.CallTimeout)
		_, _ = fleet.Submit(limited, fleet.RandomInt(fleet.Group.Size()), command)
		cancel()
		time.Sleep(time.Duration(1+fleet.RandomInt(1500)) * time.Millisecond)
	}
}

// runSchedule runs a schedule and returns the checker with its findings.
func runSchedule(t *testing.T, seed uint64, replicas int, schedule []fakefleet.Event, f fakefleet.Fault) (found *checker) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New(t, seed, replicas, 3, f)
		defer fleet.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		writesDone := make(chan struct{})
		go func() {
			defer close(writesDone)
			writeSettings(fleet, ctx)
		}()
		found = newChecker(fleet)
		for _, e := range append([]fakefleet.Event{{Wait: settleTime}}, schedule...) {
			found.sampleFor(e.Wait)
			fleet.Do(e)
		}
		fleet.EndFailures()
		found.sampleFor(settleTime)
		cancel()
		<-writesDone
	})
	return found
}

// sampleFor checks the fleet every sampleInterval for the duration d.
func (c *checker) sampleFor(d time.Duration) {
	for range d / sampleInterval {
		time.Sleep(sampleInterval)
		c.sample()
	}
}

// TestNoWorkOnOldSettings checks that no entry takes work on outdated settings,
// with the real consensus and the real agent, under random schedules of
// crashes, lost disks, suspended processes, partitions, message loss and
// delays.
func TestNoWorkOnOldSettings(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		replicas := rapid.SampledFrom([]int{3, 3, 5}).Draw(r, "replicas")
		found := runSchedule(t, seed, replicas, drawSchedule(r), fakefleet.NoFault)
		if found.err != nil {
			r.Fatal(found.err)
		}
		if len(found.committedAt) < 5 || found.acceptingSamples == 0 {
			r.Fatalf("checked too little: got %d changes and %d samples of entries taking work, want at least 5 and 1", len(found.committedAt), found.acceptingSamples)
		}
	})
}

// TestScheduleCheckerDetectsInjectedFaults injects faults into the lease and
// into the report of which settings are in force.
func TestScheduleCheckerDetectsInjectedFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    fakefleet.Fault
		schedule []fakefleet.Event
	}{
		{"lease counted from the answer", fakefleet.LeaseFromAnswer, []fakefleet.Event{{Kind: fakefleet.CutEntry}}},
		{"one answer taken for a majority", fakefleet.OneAnswer, []fakefleet.Event{{Kind: fakefleet.KeepOne}, {Kind: fakefleet.CutReplica}}},
		{"report before every lease has ended", fakefleet.ShortPeriod, []fakefleet.Event{{Kind: fakefleet.CutEntry}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const tries = 10
			schedule := append(test.schedule, fakefleet.Event{Wait: settleTime})
			for seed := range uint64(tries) {
				if runSchedule(t, seed, 3, schedule, fakefleet.NoFault).err != nil {
					t.Fatal("checker reports a violation without an injected fault")
				}
				if found := runSchedule(t, seed, 3, schedule, test.fault); found.err != nil {
					t.Log(found.err)
					return
				}
			}
			t.Errorf("checker missed the injected fault in %d tries", tries)
		})
	}
}
