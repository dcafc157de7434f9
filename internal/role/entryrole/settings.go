package entryrole

import (
	"context"

	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// newSettingsAgent returns the agent that maintains the entry's settings, lease
// and registration.
func (e *entry) newSettingsAgent() *settingsync.Agent {
	return settingsync.New(settingsync.Options{
		Self: member.Member{
			Name:          e.self.Name,
			Incarnation:   e.incarnation,
			Zone:          e.self.Zone,
			CallerAddress: e.self.CallerAddress,
		},
		Control:  e.control,
		Clock:    e.clock,
		Holder:   e.lease,
		Gate:     e.gate,
		OnChange: e.applySettings,
		Log:      e.log,
	})
}

// applySettings passes on a new configuration before it is in force.
func (e *entry) applySettings(c *settings.Configuration) {
	e.tracker.Configure(c)
	e.admission.Configure(c)
	e.longestTTL.Store(max(e.longestTTL.Load(), int64(c.System.AddressTTL.Std())))
}

// deregister removes the entry from the member table after its last request.
func (e *entry) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := e.agent.Deregister(ctx); err != nil {
		e.log.Warn("entry not deregistered; control removes it after its lease lapses", "error", err)
	}
}
