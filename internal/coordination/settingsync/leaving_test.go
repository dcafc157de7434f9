package settingsync_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/vmwatch"
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
	// platformLag is how old the platform's list is.
	platformLag = 2 * time.Second
	watchPeriod = time.Second
	// grace is the longest time from the first reading of the list that names
	// a VM as leaving to the last new work there, while control has a leader:
	// the commit, which may be tried twice, and a lease.
	grace = watchPeriod + 2*attempt + leaseDuration
	// electionTime is added where control itself is disturbed.
	electionTime = 15 * time.Second
)

// watch is the control leader's duty of reading the platform's list.
func (w *world) watch(ctx context.Context, p *fakeplatform.Platform) {
	for ctx.Err() == nil {
		time.Sleep(watchPeriod)
		leader := w.group.CurrentLeader()
		if leader < 0 {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, attempt)
		round := vmwatch.Watch{List: w.list(p), News: w.news(leader), Control: replicaSubmitter{w, leader}}
		_ = round.Round(limited)
		cancel()
	}
}

func (w *world) list(p *fakeplatform.Platform) func(context.Context) ([]member.Observation, error) {
	return func(context.Context) ([]member.Observation, error) {
		var out []member.Observation
		for _, vm := range p.List().VMs {
			leaving := vm.State == platformhttp.VMLeaving
			if leaving {
				w.shown.CompareAndSwap(0, int64(w.group.Clock().Now()))
			}
			if w.fault == flapping && !leaving {
				// Planted: a VM shown as live has no incarnation to stick to.
				vm.Incarnation += 1000 + uint64(w.pick(1000))
			}
			out = append(out, member.Observation{Address: vm.Address, Incarnation: vm.Incarnation, Leaving: leaving})
		}
		return out, nil
	}
}

func (w *world) news(i int) func([]member.Observation) []member.Observation {
	return func(seen []member.Observation) (out []member.Observation) {
		w.group.Store(i).View(func(tree *settings.Tree, _ *ledger.Ledger) { out = tree.News(seen) })
		return out
	}
}

// replicaSubmitter submits at one replica.
type replicaSubmitter struct {
	world   *world
	replica int
}

func (s replicaSubmitter) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	return s.world.submit(ctx, s.replica, command)
}

// sends reports whether the entry would send new work to the backend server.
func (e *entry) sends() bool {
	if _, ok := e.version(); !ok {
		return false
	}
	return !e.agent.Settings().Load().Leaving(backendURL)
}

// leave lets the backend server's VM leave in the middle of a schedule and
// returns how long new work went there after a reading showed it, and whether
// the VM's next run gets work again.
func leave(t *testing.T, seed uint64, schedule []event, f fault) (last time.Duration, again bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, 3, 3, f)
		defer w.stop()
		platform := fakeplatform.New(fakeplatform.Options{Lag: platformLag, Flap: 0.4, Seed: seed})
		platform.Set(platformhttp.VM{Address: backendVM, Incarnation: 1, State: platformhttp.VMLive})
		w.configureBackend()
		ctx, cancel := context.WithCancel(t.Context())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			w.watch(ctx, platform)
		}()
		time.Sleep(settled)
		platform.Set(platformhttp.VM{Address: backendVM, Incarnation: 1, State: platformhttp.VMLeaving})
		look := func(d time.Duration) {
			for range d / step {
				time.Sleep(step)
				for _, e := range w.entries {
					if shown := w.shown.Load(); shown != 0 && e.sends() {
						last = max(last, w.group.Clock().Now().Sub(clock.Instant(shown)))
					}
				}
			}
		}
		for _, e := range schedule {
			look(e.Wait)
			w.do(e)
		}
		w.calm()
		look(2 * settled)
		platform.Set(platformhttp.VM{Address: backendVM, Incarnation: 2, State: platformhttp.VMLive})
		time.Sleep(2 * settled)
		again = w.entries[0].sends() && w.entries[1].sends() && w.entries[2].sends()
		cancel()
		<-watched
	})
	return last, again
}

func (w *world) configureBackend() {
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
		if _, err := w.submit(w.t.Context(), w.group.Leader(), command); err != nil {
			w.t.Fatal(err)
		}
	}
}

// TestLeavingBackendGetsNoNewWork draws schedules beside a list that lags and
// flaps. Entries are cut off, frozen and started again; control is disturbed
// too in every second run.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		schedule := drawSchedule(r)
		bound := grace + electionTime
		if rapid.Bool().Draw(r, "control is sound") {
			schedule = onlyEntries(schedule)
			bound = grace
		}
		last, again := leave(t, seed, schedule, sound)
		if last > bound {
			r.Fatalf("new work went to the leaving backend server for %v, more than %v", last, bound)
		}
		if !again {
			r.Fatal("the next run of the VM gets no work")
		}
	})
}

func onlyEntries(schedule []event) []event {
	var out []event
	for _, e := range schedule {
		switch e.Kind {
		case "cut entry", "half cut", "keep one", "heal entry", "freeze entry", "thaw entry", "restart entry", "slow", "fast":
			out = append(out, e)
		}
	}
	return out
}

// TestLeavingCheckerFindsPlantedFaults plants a mark that does not stick.
func TestLeavingCheckerFindsPlantedFaults(t *testing.T) {
	last, _ := leave(t, 1, []event{{Wait: 2 * settled}}, flapping)
	if last <= grace {
		t.Errorf("the checker missed a mark that does not stick: last work after %v", last)
	}
}
