// Package settingsync keeps the settings in force at one entry: it reads them
// from the control group, renews the settings lease and keeps the entry in the
// member table.
package settingsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/member"
	memberstate "github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	// RenewInterval is the time between two rounds of renewal.
	RenewInterval = time.Second
	// renewTimeout bounds the renewal of a round and fetchTimeout its read of
	// settings. Together they are shorter than a lease: while no leader
	// answers reads, the lease is renewed all the same.
	renewTimeout = 800 * time.Millisecond
	fetchTimeout = 1500 * time.Millisecond
	// startTimeout bounds each step of the start.
	startTimeout = 5 * time.Second
	// startPause is the pause between two tries to start.
	startRetryDelay = 200 * time.Millisecond
)

// ErrReplaced means that a newer process registered under the entry's name.
var ErrReplaced = errors.New("settingsync: another process registered under this name")

// Control is the control group as an entry reaches it.
type Control interface {
	// Renew asks every replica and returns the answers that came in before
	// ctx ended.
	Renew(ctx context.Context, r lease.Renewal) []lease.Answer
	// Settings returns the update from the version that the caller has to
	// the newest accepted settings, by a linearizable read.
	Settings(ctx context.Context, have uint64) (settings.Update, error)
	// Submit commits a command.
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Options holds what an Agent needs.
type Options struct {
	// Self is the entry as it registers.
	Self    memberstate.Member
	Control Control
	Clock   clock.Clock
	// Holder is the entry's lease and Gate what new work passes.
	Holder *lease.Holder
	Gate   *lease.Gate
	// Changed is called with each new configuration before it is published;
	// it may be nil.
	Changed func(*settings.Configuration)
	Log     hclog.Logger
}

// Agent keeps one entry's settings. Settings and Directory may be read by
// other goroutines at any time.
type Agent struct {
	options   Options
	current   atomic.Pointer[settings.Configuration]
	directory *member.Directory
	// leaving is set once the entry began to leave.
	leaving atomic.Bool

	mu sync.Mutex // held while current is replaced
}

// New returns an agent that holds no settings yet.
func New(o Options) *Agent {
	return &Agent{options: o, directory: member.NewDirectory()}
}

// Settings returns the pointer to the settings in force. It holds nil until
// Start returned.
func (a *Agent) Settings() *atomic.Pointer[settings.Configuration] {
	return &a.current
}

// Directory returns the entry's view of all entries.
func (a *Agent) Directory() *member.Directory {
	return a.directory
}

// Start reads the settings and registers the entry. It tries until it succeeds
// or ctx ends.
func (a *Agent) Start(ctx context.Context) error {
	for {
		err := a.start(ctx)
		if err == nil {
			return nil
		}
		a.options.Log.Warn("not started yet", "error", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(startRetryDelay):
		}
	}
}

func (a *Agent) start(ctx context.Context) error {
	if err := a.fetch(ctx, startTimeout); err != nil {
		return err
	}
	if err := a.register(ctx, startTimeout); err != nil {
		return err
	}
	return a.fetch(ctx, startTimeout)
}

// register enters this incarnation into the member table in place of the one
// that the table shows now.
func (a *Agent) register(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	self := a.options.Self
	if a.leaving.Load() {
		self.State = memberstate.Leaving
	}
	result, err := a.options.Control.Submit(ctx, &store.Command{Register: &memberstate.Register{
		Member:   self,
		Replaces: a.current.Load().Members[self.Name].Incarnation,
	}})
	if err != nil {
		return fmt.Errorf("register entry %s: %w", self.Name, err)
	}
	if !result.Member.Accepted {
		return fmt.Errorf("register entry %s: incarnation %d was there first", self.Name, result.Member.Current.Incarnation)
	}
	return nil
}

// Run renews the lease until ctx ends, or returns ErrReplaced.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		changed, err := a.Sync(ctx)
		if err != nil {
			return err
		}
		if changed {
			// The lease may have been refused for the old settings only.
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Round renews the lease once and fetches newer settings, if there are any. It
// reports whether the settings changed, and fails with ErrReplaced only.
func (a *Agent) Sync(ctx context.Context) (changed bool, err error) {
	inForce := a.current.Load()
	registered := inForce.Members[a.options.Self.Name]
	switch registered.Incarnation {
	case a.options.Self.Incarnation:
	case 0:
		return a.reregister(ctx), nil
	default:
		return false, fmt.Errorf("incarnation %d of entry %s: %w", registered.Incarnation, a.options.Self.Name, ErrReplaced)
	}
	result := a.renew(ctx, inForce.Version)
	if result.NewestIndex <= inForce.Version {
		return false, nil
	}
	if err := a.fetch(ctx, fetchTimeout); err != nil {
		a.options.Log.Warn("settings not fetched", "error", err)
	}
	return a.current.Load().Version > inForce.Version, nil
}

// renew asks for a lease on the settings in force.
func (a *Agent) renew(ctx context.Context, version uint64) lease.RoundResult {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	// The lease counts from before the first request was sent: a replica may
	// take a newer change right after its answer.
	start := a.options.Clock.Now()
	answers := a.options.Control.Renew(ctx, lease.Renewal{
		Member:      a.options.Self.Name,
		Incarnation: a.options.Self.Incarnation,
		Version:     version,
	})
	result := lease.Evaluate(answers, version)
	if result.Granted {
		a.options.Holder.Extend(start, result.Duration)
	}
	return result
}

// rejoin registers again after control took the entry for dead.
func (a *Agent) reregister(ctx context.Context) bool {
	before := a.current.Load().Version
	err := a.register(ctx, fetchTimeout)
	if err == nil {
		err = a.fetch(ctx, fetchTimeout)
	}
	if err != nil {
		a.options.Log.Warn("not registered", "error", err)
	}
	return a.current.Load().Version > before
}

// fetch replaces the settings in force by the newest accepted ones.
func (a *Agent) fetch(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.current.Load()
	have := uint64(0)
	if current != nil {
		have = current.Version
	}
	update, err := a.options.Control.Settings(ctx, have)
	if err != nil {
		return err
	}
	next, err := update.Apply(current)
	if err != nil {
		return err
	}
	a.publish(next)
	return nil
}

// publish puts a configuration in force. Readers find it before the gate
// refuses decisions made on the one before. The caller holds mu.
func (a *Agent) publish(next *settings.Configuration) {
	if a.options.Changed != nil {
		a.options.Changed(next)
	}
	a.directory.Configure(next)
	a.current.Store(next)
	a.options.Gate.Publish(next.Version)
}

// Leave marks the entry as leaving, so that no address answer names it once
// every entry has the mark or lost its lease.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	return a.retire(ctx, false)
}

// Deregister takes the entry out of the member table when it is done.
func (a *Agent) Deregister(ctx context.Context) error {
	return a.retire(ctx, true)
}

func (a *Agent) retire(ctx context.Context, gone bool) error {
	self := a.options.Self
	_, err := a.options.Control.Submit(ctx, &store.Command{Retire: &memberstate.Retire{
		Name:        self.Name,
		Incarnation: self.Incarnation,
		Gone:        gone,
	}})
	if err != nil {
		return fmt.Errorf("retire entry %s: %w", self.Name, err)
	}
	return nil
}
