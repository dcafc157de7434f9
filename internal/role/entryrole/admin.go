package entryrole

import (
	"errors"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

var errNoLease = errors.New("no settings lease")

// adminHandler serves health, metrics and profiles.
func (e *entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	admin := &telemetry.Admin{Metrics: e.metrics, Log: e.log, Ready: e.ready}
	admin.Register(mux)
	return mux
}

// ready reports nil while the entry may take new work.
func (e *entry) ready() error {
	if !e.lease.Valid() {
		return errNoLease
	}
	return nil
}
