package controlrole

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

var (
	errNoLeader        = errors.New("no leader is known")
	errNonVoter        = errors.New("not a voter yet")
	errNotBootstrapped = errors.New("the settings tree has not taken in the deployment file yet")
)

// gaugeInterval is the interval at which a replica's gauges are updated.
const gaugeInterval = time.Second

// registerTelemetry adds the health, metrics and profiling endpoints to mux.
func registerTelemetry(mux *http.ServeMux, metrics *telemetry.Metrics, f *fleet, logger hclog.Logger) {
	admin := &telemetry.Admin{Metrics: metrics, Log: logger, Ready: f.ready}
	admin.Register(mux)
}

// updateGauges updates the replica's gauges periodically until ctx ends.
func (f *fleet) updateGauges(ctx context.Context, metrics *telemetry.Metrics) error {
	return clock.Every(ctx, gaugeInterval, func(context.Context) { f.setGauges(metrics.Scope) })
}

func (f *fleet) setGauges(scope tally.Scope) {
	view := f.log.View()
	leads := 0.0
	if view.LeaderID == view.ReplicaID {
		leads = 1
	}
	scope.Gauge("control_leads").Update(leads)
	scope.Gauge("control_term").Update(float64(view.Term))
	scope.Gauge("control_voters").Update(float64(len(view.Voters)))
	scope.Gauge("control_commit_index").Update(float64(view.CommitIndex))
	scope.Gauge("control_applied_index").Update(float64(view.AppliedIndex))
}

// ready returns nil once the replica is a voter of a group that has a leader and
// has applied the deployment file, which brings the root operator's token.
func (f *fleet) ready() error {
	view := f.log.View()
	if view.LeaderID == 0 {
		return errNoLeader
	}
	if !slices.Contains(view.Voters, view.ReplicaID) {
		return errNonVoter
	}
	if f.needsBootstrap() {
		return errNotBootstrapped
	}
	return nil
}
