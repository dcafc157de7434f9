package settingsync_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/vmwatch"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakefleet"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeplatform"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/platformhttp"
)

const (
	backendVM  = "192.0.2.50"
	backendURL = "http://" + backendVM + ":9000"
	// platformLag is the age of the platform's VM list.
	platformLag = 2 * time.Second
	watchPeriod = time.Second
	// newWorkBound is how long new work may still go to a leaving VM after the
	// first read of a list that shows the VM as leaving, while control has a
	// leader: two attempts to commit, one watch period apart, and one lease.
	newWorkBound = watchPeriod + 2*fakefleet.CallTimeout + fakefleet.LeaseDuration
	// electionAllowance is added to newWorkBound if control itself is
	// disturbed.
	electionAllowance = 15 * time.Second
)

// departure is a test run in which a backend server's VM leaves.
type departure struct {
	fleet    *fakefleet.Fleet
	platform *fakeplatform.Platform
	// firstListed is the clock.Instant at which a read of the list first
	// showed the VM as leaving, or zero.
	firstListed atomic.Int64
}

// runWatch runs the control leader's VM watch until ctx is done.
func (d *departure) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(watchPeriod)
		leader := d.fleet.Group.CurrentLeader()
		if leader < 0 {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, fakefleet.CallTimeout)
		round := vmwatch.Watcher{List: d.list, NewObservations: newObservations(d.fleet, leader), Control: replicaSubmitter{d.fleet, leader}}
		_ = round.Poll(limited)
		cancel()
	}
}

func (d *departure) list(context.Context) ([]member.Observation, error) {
	var out []member.Observation
	for _, vm := range d.platform.List().VMs {
		leaving := vm.State == platformhttp.VMLeaving
		if leaving {
			d.firstListed.CompareAndSwap(0, int64(d.fleet.Group.Clock().Now()))
		}
		if d.fleet.Fault == fakefleet.Flapping && !leaving {
			// The injected fault: a VM listed as live is treated as a new run.
			vm.Incarnation += 1000 + uint64(d.fleet.RandomInt(1000))
		}
		out = append(out, member.Observation{Address: vm.Address, Incarnation: vm.Incarnation, Leaving: leaving})
	}
	return out, nil
}

// newObservations returns a filter for vmwatch that uses the settings tree of
// replica i.
func newObservations(fleet *fakefleet.Fleet, i int) func([]member.Observation) []member.Observation {
	return func(seen []member.Observation) (out []member.Observation) {
		fleet.Group.Store(i).View(func(tree *settings.Tree, _ *ledger.Ledger) { out = tree.ChangedObservations(seen) })
		return out
	}
}

// replicaSubmitter submits commands to one replica.
type replicaSubmitter struct {
	fleet   *fakefleet.Fleet
	replica int
}

func (s replicaSubmitter) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	return s.fleet.Submit(ctx, s.replica, command)
}

// sendsNewWork reports whether the entry would send new work to the backend
// server.
func sendsNewWork(e *fakefleet.Entry) bool {
	if _, ok := e.Version(); !ok {
		return false
	}
	return !e.Agent.Settings().Load().ClosedToNewWork(backendURL)
}

// runDeparture lets the backend server's VM leave in the middle of a schedule.
// It returns for how long new work went there after a read of the list first
// showed the VM as leaving, and whether the VM's next run gets work again.
func runDeparture(t *testing.T, seed uint64, schedule []fakefleet.Event, f fakefleet.Fault) (longest time.Duration, resumed bool) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New(t, seed, 3, 3, f)
		defer fleet.Stop()
		platform := fakeplatform.New(fakeplatform.Options{Lag: platformLag, Flap: 0.4, Seed: seed})
		platform.Set(platformhttp.VM{Address: backendVM, Incarnation: 1, State: platformhttp.VMLive})
		configureBackend(t, fleet)
		departing := &departure{fleet: fleet, platform: platform}
		ctx, cancel := context.WithCancel(t.Context())
		watchDone := make(chan struct{})
		go func() {
			defer close(watchDone)
			departing.runWatch(ctx)
		}()
		time.Sleep(settleTime)
		platform.Set(platformhttp.VM{Address: backendVM, Incarnation: 1, State: platformhttp.VMLeaving})
		sample := func(d time.Duration) {
			for range d / sampleInterval {
				time.Sleep(sampleInterval)
				for _, e := range fleet.Entries {
					if firstListed := departing.firstListed.Load(); firstListed != 0 && sendsNewWork(e) {
						longest = max(longest, fleet.Group.Clock().Now().Sub(clock.Instant(firstListed)))
					}
				}
			}
		}
		for _, e := range schedule {
			sample(e.Wait)
			fleet.Do(e)
		}
		fleet.EndFailures()
		sample(2 * settleTime)
		platform.Set(platformhttp.VM{Address: backendVM, Incarnation: 2, State: platformhttp.VMLive})
		time.Sleep(2 * settleTime)
		resumed = sendsNewWork(fleet.Entries[0]) && sendsNewWork(fleet.Entries[1]) && sendsNewWork(fleet.Entries[2])
		cancel()
		<-watchDone
	})
	return longest, resumed
}

func configureBackend(t *testing.T, fleet *fakefleet.Fleet) {
	content := `{"backends":{"b":{"url":"` + backendURL + `","zone":"a"}},"calls":{}}`
	for _, command := range []*store.Command{
		{Bootstrap: &settings.Bootstrap{RootTokenSHA256: settings.HashToken("root"), Zones: []string{"a"}}},
		{Change: &settings.Change{
			Operator:    settings.RootOperator,
			TokenSHA256: settings.HashToken("root"),
			Number:      1,
			Edits:       []settings.Edit{{Path: "services/s", Content: []byte(content)}},
		}},
	} {
		if _, err := fleet.Submit(t.Context(), fleet.Group.Leader(), command); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLeavingBackendGetsNoNewWork checks that new work to a leaving VM ends
// within a bound although the platform's list is outdated and the VM's state
// in it flaps. Random schedules isolate, suspend and restart entries; in half
// of the runs they disturb the control group as well.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		schedule := drawSchedule(r)
		bound := newWorkBound + electionAllowance
		if rapid.Bool().Draw(r, "control is undisturbed") {
			schedule = entryEvents(schedule)
			bound = newWorkBound
		}
		longest, resumed := runDeparture(t, seed, schedule, fakefleet.NoFault)
		if longest > bound {
			r.Fatalf("new work went to the leaving backend server for %v, want at most %v", longest, bound)
		}
		if !resumed {
			r.Fatal("the VM's next run gets no new work from some entry, want work from each")
		}
	})
}

// entryEvents returns the events of schedule that disturb only entries and
// their links to the replicas.
func entryEvents(schedule []fakefleet.Event) []fakefleet.Event {
	var out []fakefleet.Event
	for _, e := range schedule {
		switch e.Kind {
		case fakefleet.CutEntry, fakefleet.CutHalf, fakefleet.KeepOne, fakefleet.HealEntry,
			fakefleet.FreezeEntry, fakefleet.ThawEntry, fakefleet.RestartEntry, fakefleet.Slow, fakefleet.Fast:
			out = append(out, e)
		}
	}
	return out
}

// TestLeavingCheckerDetectsInjectedFault injects the fault that a VM's leaving
// mark is lost when the list shows the VM as live again.
func TestLeavingCheckerDetectsInjectedFault(t *testing.T) {
	longest, _ := runDeparture(t, 1, []fakefleet.Event{{Wait: 2 * settleTime}}, fakefleet.Flapping)
	if longest <= newWorkBound {
		t.Errorf("checker missed the lost leaving mark: last new work after %v, want later than the bound", longest)
	}
}
