package entryrole

import (
	"context"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// renew runs one round of lease renewal and fetches newer settings.
func (e *entry) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	start := e.clock.Now()
	inForce := e.settings.Load().Version
	answers := e.control.Renew(ctx, &peerpb.RenewRequest{Member: e.self.Name, Incarnation: e.incarnation, SettingsVersion: inForce, Leaving: e.isLeaving()})
	verdict := lease.Judge(answers, inForce)
	if verdict.Granted {
		e.lease.Extend(start, verdict.Duration)
		return
	}
	if err := e.fetchSettings(ctx); err != nil {
		e.log.Warn("settings not fetched", "error", err)
	}
}

// fetchSettings replaces the settings in force by the newest accepted ones.
func (e *entry) fetchSettings(ctx context.Context) error {
	have := uint64(0)
	if current := e.settings.Load(); current != nil {
		have = current.Version
	}
	version, content, err := e.control.Settings(ctx, have)
	if err != nil {
		return err
	}
	if content == nil {
		return nil
	}
	next, err := settings.Parse(version, content)
	if err != nil {
		return fmt.Errorf("parse settings version %d: %w", version, err)
	}
	e.tracker.Configure(next)
	e.keepLongestTTL(next)
	e.settings.Store(next)
	return nil
}
