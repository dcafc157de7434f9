// Package settingsync keeps an entry process in sync with the control group:
// it fetches the settings, renews the settings lease and keeps the entry
// registered in the member table.
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
	// RenewInterval is the interval between lease renewals.
	RenewInterval = time.Second
	// renewTimeout bounds a lease renewal and fetchTimeout the read of the
	// settings that may follow it. Their sum is shorter than the lease
	// duration, so that the lease is renewed even while no leader answers
	// reads.
	renewTimeout = 800 * time.Millisecond
	fetchTimeout = 1500 * time.Millisecond
	// startTimeout bounds each request to the control group during startup.
	startTimeout = 5 * time.Second
	// startRetryDelay is the delay before a failed start is retried.
	startRetryDelay = 200 * time.Millisecond
)

// ErrReplaced means that another process has registered under the entry's name.
var ErrReplaced = errors.New("settingsync: another process registered under this name")

// Control is an entry's client for the control group.
type Control interface {
	// Renew sends the renewal to every replica and returns the answers that
	// arrive before ctx is done.
	Renew(ctx context.Context, r lease.Renewal) []lease.Answer
	// Settings does a linearizable read and returns the update from version
	// have to the newest accepted settings.
	Settings(ctx context.Context, have uint64) (settings.Update, error)
	// Submit commits a command and returns its result.
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Options configures an Agent.
type Options struct {
	// Self is the member record under which the entry registers.
	Self    memberstate.Member
	Control Control
	Clock   clock.Clock
	// Holder keeps the entry's lease; Gate checks it for new work.
	Holder *lease.Holder
	Gate   *lease.Gate
	// OnChange, if not nil, is called with each new configuration before the
	// configuration is published.
	OnChange func(*settings.Configuration)
	Log      hclog.Logger
}

// Agent keeps one entry's settings up to date. What Settings and Directory
// return may be read by other goroutines at any time.
type Agent struct {
	options   Options
	current   atomic.Pointer[settings.Configuration]
	directory *member.Directory
	// leaving is set once Leave was called.
	leaving atomic.Bool

	mu sync.Mutex // held while current is being replaced
}

// New returns an agent without settings.
func New(o Options) *Agent {
	return &Agent{options: o, directory: member.NewDirectory()}
}

// Settings returns the pointer to the settings in force. It holds nil until
// Start has fetched the first settings.
func (a *Agent) Settings() *atomic.Pointer[settings.Configuration] {
	return &a.current
}

// Directory returns the entry's view of all entries.
func (a *Agent) Directory() *member.Directory {
	return a.directory
}

// Start fetches the settings and registers the entry. It retries until it
// succeeds or ctx is done; then it returns the last error.
func (a *Agent) Start(ctx context.Context) error {
	for {
		err := a.start(ctx)
		if err == nil {
			return nil
		}
		a.options.Log.Warn("could not fetch settings and register; retrying", "error", err)
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

// register adds this incarnation to the member table, replacing the one that
// the current settings show under the entry's name, if any.
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
		return fmt.Errorf("register entry %s: incarnation %d is already registered", self.Name, result.Member.Current.Incarnation)
	}
	return nil
}

// Run renews the lease and fetches new settings periodically until ctx is
// done. It returns ErrReplaced if another process has taken over the entry's
// name.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		changed, err := a.Sync(ctx)
		if err != nil {
			return err
		}
		if changed {
			// The lease may have been refused only because the settings were
			// outdated: renew at once.
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Sync renews the lease once and fetches newer settings, if there are any. It
// reports whether the settings changed. Its only error is ErrReplaced.
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
		a.options.Log.Warn("could not fetch newer settings", "error", err)
	}
	return a.current.Load().Version > inForce.Version, nil
}

// renew requests a lease for the given settings version.
func (a *Agent) renew(ctx context.Context, version uint64) lease.RoundResult {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	// The lease starts before the first request is sent, because a replica
	// may append a newer change to its log right after it has answered.
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

// reregister registers the entry again after the control leader removed it as
// dead. It reports whether the settings changed.
func (a *Agent) reregister(ctx context.Context) bool {
	before := a.current.Load().Version
	err := a.register(ctx, fetchTimeout)
	if err == nil {
		err = a.fetch(ctx, fetchTimeout)
	}
	if err != nil {
		a.options.Log.Warn("could not register entry again", "error", err)
	}
	return a.current.Load().Version > before
}

// fetch replaces the settings in force with the newest accepted ones.
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

// publish puts a configuration in force. Readers can load it before the gate
// rejects decisions based on the previous one. The caller holds mu.
func (a *Agent) publish(next *settings.Configuration) {
	if a.options.OnChange != nil {
		a.options.OnChange(next)
	}
	a.directory.Configure(next)
	a.current.Store(next)
	a.options.Gate.Publish(next.Version)
}

// Leave marks the entry as leaving. Callers are no longer given its address
// once every entry has either seen the mark or lost its lease.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	return a.retire(ctx, false)
}

// Deregister removes the entry from the member table. It is called when the
// entry has finished its work.
func (a *Agent) Deregister(ctx context.Context) error {
	return a.retire(ctx, true)
}

// retire marks the entry as leaving or, if gone is set, removes it.
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
