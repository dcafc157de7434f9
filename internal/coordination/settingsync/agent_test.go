package settingsync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const leaseDuration = 3 * time.Second

var errUnreachable = errors.New("control group unreachable")

// fakeControl is a control group of three replicas that share one settings
// tree.
type fakeControl struct {
	mu    sync.Mutex // guards the fields below
	tree  *settings.Tree
	index uint64
	// answering is how many replicas answer renewals.
	answering uint64
	// readable reports whether reads and commits succeed.
	readable bool
	// stale, if set, is the answer to each read, as if a lagging follower
	// answered.
	stale *settings.Update
}

func newFakeControl() *fakeControl {
	return &fakeControl{tree: settings.NewTree(), answering: 3, readable: true}
}

func (f *fakeControl) Renew(context.Context, lease.Renewal) []lease.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []lease.Answer
	for replica := range f.answering {
		out = append(out, lease.Answer{
			Replica:          replica + 1,
			LogSettingsIndex: f.index,
			Voters:           []uint64{1, 2, 3},
			VotersIndex:      1,
			Duration:         leaseDuration,
		})
	}
	return out
}

func (f *fakeControl) Settings(_ context.Context, have uint64) (settings.Update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale != nil {
		return *f.stale, nil
	}
	if !f.readable {
		return settings.Update{}, errUnreachable
	}
	return f.tree.UpdateSince(have), nil
}

func (f *fakeControl) Submit(_ context.Context, command *store.Command) (store.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readable {
		return store.Result{}, errUnreachable
	}
	f.index++
	if command.Register != nil {
		result := f.tree.Register(f.index, *command.Register)
		return store.Result{Member: &result}, nil
	}
	result := f.tree.Retire(f.index, *command.Retire)
	return store.Result{Member: &result}, nil
}

// commitChange commits a settings command that changes only the version.
func (f *fakeControl) commitChange() {
	f.set(func() {
		f.index++
		f.tree.Bootstrap(f.index, settings.Bootstrap{})
	})
}

// set calls change, which may set fields, while it holds the lock.
func (f *fakeControl) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// offsetClock is a clock that can jump forward, as it does for a process that
// was suspended.
type offsetClock struct {
	*clock.Runtime
	// offset is in nanoseconds.
	offset atomic.Int64
}

func (c *offsetClock) Now() clock.Instant { return c.Runtime.Now().Add(time.Duration(c.offset.Load())) }

// fixture is an agent with the components that it drives.
type fixture struct {
	control *fakeControl
	clock   *offsetClock
	holder  *lease.Holder
	gate    *lease.Gate
	agent   *Agent
}

func newFixture(control *fakeControl, incarnation uint64) *fixture {
	c := &offsetClock{Runtime: clock.NewRuntime()}
	f := &fixture{control: control, clock: c, holder: lease.NewHolder(c)}
	f.gate = lease.NewGate(f.holder)
	f.agent = New(Options{
		Self:    member.Member{Name: "entry-1", Incarnation: incarnation},
		Control: control,
		Clock:   c,
		Holder:  f.holder,
		Gate:    f.gate,
		Log:     hclog.NewNullLogger(),
	})
	return f
}

// runAgent starts an agent under virtual time and calls check while it runs.
func runAgent(t *testing.T, check func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(newFakeControl(), 7)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if err := f.agent.Start(ctx); err != nil {
			t.Fatal(err)
		}
		go func() { _ = f.agent.Run(ctx) }()
		synctest.Wait()
		check(t, f)
	})
}

func (f *fixture) version() uint64 {
	return f.agent.Settings().Load().Version
}

func TestChangeIsInForceAfterOneRenewal(t *testing.T) {
	runAgent(t, func(t *testing.T, f *fixture) {
		before := f.version()
		f.control.commitChange()
		time.Sleep(RenewInterval)
		synctest.Wait()
		if f.version() != before+1 || f.gate.Check(before+1) != nil {
			t.Errorf("got version %d and gate error %v, want version %d in force", f.version(), f.gate.Check(before+1), before+1)
		}
		if err := f.gate.Check(before); !errors.Is(err, lease.ErrSuperseded) {
			t.Errorf("gate.Check(old version) = %v, want ErrSuperseded", err)
		}
	})
}

func TestIsolatedEntryStopsTakingWork(t *testing.T) {
	runAgent(t, func(t *testing.T, f *fixture) {
		f.control.set(func() { f.control.answering = 1 })
		time.Sleep(leaseDuration)
		if err := f.gate.Check(f.version()); !errors.Is(err, lease.ErrLapsed) {
			t.Errorf("gate.Check = %v, want ErrLapsed", err)
		}
		f.control.set(func() { f.control.answering = 2 })
		time.Sleep(RenewInterval)
		synctest.Wait()
		if err := f.gate.Check(f.version()); err != nil {
			t.Errorf("gate.Check = %v after the partition healed, want nil", err)
		}
	})
}

func TestSuspendedEntryResumesWithoutLease(t *testing.T) {
	runAgent(t, func(t *testing.T, f *fixture) {
		f.control.commitChange()
		f.clock.offset.Add(int64(time.Hour))
		if err := f.gate.Check(f.version()); !errors.Is(err, lease.ErrLapsed) {
			t.Errorf("gate.Check = %v, want ErrLapsed", err)
		}
	})
}

func TestElectionDoesNotStopServing(t *testing.T) {
	runAgent(t, func(t *testing.T, f *fixture) {
		f.control.set(func() { f.control.readable = false })
		time.Sleep(10 * leaseDuration)
		synctest.Wait()
		if err := f.gate.Check(f.version()); err != nil {
			t.Errorf("gate.Check = %v while a majority answers without a leader, want nil", err)
		}
	})
}

func TestSettingsNeverRevert(t *testing.T) {
	runAgent(t, func(t *testing.T, f *fixture) {
		before := f.version()
		f.control.set(func() { f.control.stale = &settings.Update{Version: before - 1, Full: true} })
		f.control.commitChange()
		time.Sleep(leaseDuration)
		synctest.Wait()
		if f.version() != before {
			t.Errorf("settings version = %d, want %d", f.version(), before)
		}
		if err := f.gate.Check(before); !errors.Is(err, lease.ErrLapsed) {
			t.Errorf("gate.Check = %v, want ErrLapsed because newer settings exist", err)
		}
	})
}

func TestRemovedEntryRegistersAgain(t *testing.T) {
	runAgent(t, func(t *testing.T, f *fixture) {
		if err := f.agent.Deregister(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * RenewInterval)
		synctest.Wait()
		if got := f.agent.Directory().Live(); len(got) != 1 || f.gate.Check(f.version()) != nil {
			t.Errorf("got live members %v and gate error %v, want the entry live with a lease", got, f.gate.Check(f.version()))
		}
		if err := f.agent.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(RenewInterval)
		synctest.Wait()
		if got := f.agent.Directory(); len(got.Live()) != 0 || len(got.Members()) != 1 {
			t.Errorf("members = %v, want one leaving member", got.Members())
		}
		// Control removes the leaving entry as dead; the entry must register
		// again as leaving, not as live.
		if err := f.agent.Deregister(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * RenewInterval)
		synctest.Wait()
		if got := f.agent.Directory(); len(got.Live()) != 0 || len(got.Members()) != 1 {
			t.Errorf("members after re-registration = %v, want one leaving member", got.Members())
		}
	})
}

func TestReplacedEntryStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl()
		old, next := newFixture(control, 7), newFixture(control, 8)
		for _, f := range []*fixture{old, next} {
			if err := f.agent.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if err := old.agent.Run(t.Context()); !errors.Is(err, ErrReplaced) {
			t.Errorf("Run of the replaced process = %v, want ErrReplaced", err)
		}
		if _, err := next.agent.Sync(t.Context()); err != nil || next.gate.Check(next.version()) != nil {
			t.Errorf("new process has no lease: Sync error %v, gate error %v, want none", err, next.gate.Check(next.version()))
		}
	})
}

func TestStartWaitsForQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(newFakeControl(), 7)
		f.control.set(func() { f.control.readable = false })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := f.agent.Start(ctx); !errors.Is(err, errUnreachable) || f.agent.Settings().Load() != nil {
			t.Errorf("Start = %v, want errUnreachable and no settings", err)
		}
	})
}
