package seededentry

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
)

// budgetReportInterval is the interval at which the use of the retry budgets is reported.
const budgetReportInterval = time.Second

// budgetReporter reports the use of the retry budgets as metrics and in the log.
type budgetReporter struct {
	agent *Agent
	// logged is what was last logged of each account, by service.
	logged map[string]retry.Usage
}

// report sets the gauges, and logs each account of which retries were made or denied
// since it was last logged.
func (r *budgetReporter) report(context.Context) {
	for service, s := range r.agent.retries.States() {
		scope := r.agent.options.Metrics.Tagged(map[string]string{"service": service})
		for name, value := range map[string]float64{
			"retry_requests":       float64(s.Requests),
			"retry_retries":        float64(s.Retries),
			"retry_allowed":        s.Allowed,
			"retry_denied":         float64(s.Denied),
			"retry_entries":        float64(s.Processes),
			"retry_settled":        oneIf(s.Settled),
			"retry_total_requests": float64(s.Total.Requests),
			"retry_total_retries":  float64(s.Total.Retries),
		} {
			scope.Gauge(name).Update(value)
		}
		logged := r.logged[service]
		r.logged[service] = s.Usage
		if s.Taken == logged.Taken && s.Denied == logged.Denied {
			continue
		}
		r.agent.options.Log.Info("retry budget", "service", service, "requests", s.Requests, "retries", s.Retries, "allowed", s.Allowed,
			"slack", s.Slack, "entries", s.Processes, "denied", s.Denied, "in_contact", s.InContact, "settled", s.Settled, "complete", s.Complete,
			"total_requests", s.Total.Requests, "total_retries", s.Total.Retries, "incarnation", r.agent.incarnation)
	}
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
