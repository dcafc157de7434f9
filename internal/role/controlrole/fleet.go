package controlrole

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/coordination/member"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/coordination/vmwatch"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	memberstate "github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/platformhttp"
)

const (
	// applyPollInterval is the interval at which applied settings are checked.
	applyPollInterval = 50 * time.Millisecond
	// leaderTaskInterval is the interval at which a leader runs its tasks.
	leaderTaskInterval = time.Second
	// leaderTaskTimeout bounds one run of all of them.
	leaderTaskTimeout = 5 * time.Second
)

// fleet runs a control replica's background work on settings, members and VMs.
type fleet struct {
	clock     clock.Clock
	log       replog.Log
	state     *store.Store
	tracker   *inforce.Tracker
	bootstrap settings.Bootstrap
	// platform lists the VMs; it is nil if the deployment names no platform.
	platform *platformhttp.Client
	logger   hclog.Logger
}

func newFleet(d *deployment.Deployment, c clock.Clock, l replog.Log, s *store.Store, t *inforce.Tracker, logger hclog.Logger) *fleet {
	f := &fleet{
		clock:     c,
		log:       l,
		state:     s,
		tracker:   t,
		bootstrap: settings.Bootstrap{RootTokenSHA256: d.RootTokenSHA256, Zones: d.Zones},
		logger:    logger,
	}
	if d.Platform != "" {
		f.platform = platformhttp.New(d.Platform, logger)
	}
	return f
}

// reportApplied reports the settings version and members that this replica has
// applied to the tracker until ctx ends.
func (f *fleet) reportApplied(ctx context.Context) error {
	return clock.Every(ctx, applyPollInterval, func(context.Context) {
		c := f.configuration()
		f.tracker.Applied(c.Version, c.Members)
	})
}

// runLeader runs the leader's tasks while this replica leads, until ctx ends. A
// late command of a former leader is harmless: each command names the
// incarnation that it applies to.
func (f *fleet) runLeader(ctx context.Context) error {
	var monitor *member.Monitor
	return clock.Every(ctx, leaderTaskInterval, func(ctx context.Context) {
		if view := f.log.View(); view.LeaderID != view.ReplicaID {
			monitor = nil
		} else if monitor == nil {
			monitor = member.NewMonitor(f.clock, f.tracker, f)
		}
		if monitor != nil {
			f.runLeaderTasks(ctx, monitor)
		}
	})
}

func (f *fleet) runLeaderTasks(ctx context.Context, monitor *member.Monitor) {
	ctx, cancel := context.WithTimeout(ctx, leaderTaskTimeout)
	defer cancel()
	if err := f.ensureBootstrap(ctx); err != nil {
		f.logger.Warn("deployment file not committed to the settings", "error", err)
	}
	if err := monitor.RemoveDead(ctx, f.configuration().Members); err != nil {
		f.logger.Warn("expired members not removed", "error", err)
	}
	if f.platform == nil {
		return
	}
	watch := vmwatch.Watcher{List: f.platform.VMs, NewObservations: f.changedObservations, Control: f}
	if err := watch.Poll(ctx); err != nil {
		f.logger.Warn("leaving VMs not updated", "error", err)
	}
}

// ensureBootstrap commits the settings from the deployment file unless they are
// already committed.
func (f *fleet) ensureBootstrap(ctx context.Context) error {
	if !f.needsBootstrap() {
		return nil
	}
	_, err := f.Submit(ctx, &store.Command{Bootstrap: &f.bootstrap})
	return err
}

// needsBootstrap reports whether this replica's state lacks the settings from
// the deployment file.
func (f *fleet) needsBootstrap() bool {
	var needed bool
	f.state.View(func(tree *settings.Tree, _ *ledger.Ledger) { needed = tree.NeedsBootstrap(f.bootstrap) })
	return needed
}

func (f *fleet) configuration() *settings.Configuration {
	var c *settings.Configuration
	f.state.View(func(tree *settings.Tree, _ *ledger.Ledger) { c = tree.Configuration() })
	return c
}

// Submit commits a command if this replica leads and returns its result.
func (f *fleet) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	applied, err := f.log.Submit(ctx, encoded)
	if err != nil {
		return store.Result{}, err
	}
	return store.DecodeResult(applied.Result)
}

// changedObservations returns the observations that would change the settings.
func (f *fleet) changedObservations(seen []memberstate.Observation) []memberstate.Observation {
	var out []memberstate.Observation
	f.state.View(func(tree *settings.Tree, _ *ledger.Ledger) { out = tree.ChangedObservations(seen) })
	return out
}
