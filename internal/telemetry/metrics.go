// Package telemetry sets up logging and metrics and serves them at a process's
// administration address.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters reach the scrape endpoint.
const reportInterval = time.Second

// Metrics holds a process's metrics.
type Metrics struct {
	// Scope is the root under which all metrics are made.
	Scope tally.Scope

	closer  io.Closer
	handler http.Handler
}

// NewMetrics returns an empty set of metrics for the process with the given
// role and name. Errors in registering a metric go to log.
func NewMetrics(role, name string, log hclog.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { log.Error("metric not registered", "error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lagoonshift",
		Tags:                   map[string]string{"role": role, "process": name},
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Close reports the metrics a last time.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
