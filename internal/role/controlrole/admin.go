package controlrole

import (
	"errors"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

var (
	errNoLeader = errors.New("no leader is known")
	errNonVoter = errors.New("not a voter yet")
)

// registerTelemetry adds health, metrics and profiles to mux.
func registerTelemetry(mux *http.ServeMux, name string, log replog.Log, logger hclog.Logger) {
	admin := &telemetry.Admin{
		Metrics: telemetry.NewMetrics("control", name, logger),
		Log:     logger,
		Ready:   func() error { return ready(log.View()) },
	}
	admin.Register(mux)
}

// ready reports nil once the replica is a voter of a group that has a leader.
func ready(view replog.View) error {
	if view.LeaderID == 0 {
		return errNoLeader
	}
	for _, voter := range view.Voters {
		if voter == view.ReplicaID {
			return nil
		}
	}
	return errNonVoter
}
