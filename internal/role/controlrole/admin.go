package controlrole

import (
	"errors"
	"net/http"
	"slices"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

var (
	errNoLeader = errors.New("no leader is known")
	errNonVoter = errors.New("not a voter yet")
	errNoTree   = errors.New("the settings tree has not taken in the deployment file yet")
)

// registerTelemetry adds health, metrics and profiles to mux.
func registerTelemetry(mux *http.ServeMux, name string, f *fleet, logger hclog.Logger) {
	admin := &telemetry.Admin{
		Metrics: telemetry.NewMetrics("control", name, logger),
		Log:     logger,
		Ready:   func() error { return f.ready() },
	}
	admin.Register(mux)
}

// ready reports nil once the replica is a voter of a group that has a leader,
// and operators' tokens are known to it.
func (f *fleet) ready() error {
	view := f.log.View()
	if view.LeaderID == 0 {
		return errNoLeader
	}
	if !slices.Contains(view.Voters, view.ReplicaID) {
		return errNonVoter
	}
	if f.needsBootstrap() {
		return errNoTree
	}
	return nil
}
