// Package telemetry sets up the logging and metrics of a process and serves its
// metrics, log level, health and profiles at the administration address.
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

// reportInterval is how often metrics are reported to the scrape endpoint.
const reportInterval = time.Second

// Metrics holds the metrics of a process.
type Metrics struct {
	// Scope is the root scope of all metrics.
	Scope tally.Scope

	closer  io.Closer
	handler http.Handler
}

// NewMetrics returns the metrics of the process with the given role and name. Errors
// in the registration of a metric are logged.
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

// Close reports the metrics one last time and stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
