package entryrole

import (
	"errors"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

var errNoLease = errors.New("no settings lease")

// adminHandler returns the handler for health, metrics, profiles and the settings
// in force.
func (e *entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	admin := &telemetry.Admin{Metrics: e.metrics, Log: e.log, Ready: e.ready}
	admin.Register(mux)
	(&adminhttp.EntryServer{Name: e.self.Name, Agent: e.agent, Holder: e.lease}).Register(mux)
	return mux
}

// ready returns nil while the entry may accept new work.
func (e *entry) ready() error {
	if !e.lease.Valid() {
		return errNoLease
	}
	return nil
}
