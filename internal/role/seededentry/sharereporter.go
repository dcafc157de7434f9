package seededentry

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
)

// shareReportInterval is the interval at which the sharing among workspaces is reported, and
// shareLogInterval that at which it is logged while a service is saturated.
const (
	shareReportInterval = time.Second
	shareLogInterval    = 5 * time.Second
)

// Uses returns the record of what workspaces asked for and were granted.
func (a *Agent) Uses() *fairshare.Uses { return a.uses }

// shareReporter reports how saturated services are shared, as metrics and in the log.
type shareReporter struct {
	agent *Agent
	// saturated holds when each saturated service was last logged.
	saturated map[string]time.Time
}

func (r *shareReporter) report(context.Context) {
	r.reportMemory()
	now := time.Now()
	for service, s := range r.agent.uses.Status(now) {
		scope := r.agent.options.Metrics.Tagged(map[string]string{"service": service})
		for name, value := range map[string]float64{
			"share_saturated":    oneIf(s.Saturated),
			"share_workspaces":   float64(s.Workspaces),
			"share_demand":       s.Demand,
			"share_capacity":     s.Capacity,
			"share_served":       s.Served,
			"share_least_served": s.Least,
			"share_refused_over": float64(s.RefusedOver),
		} {
			scope.Gauge(name).Update(value)
		}
		logged, was := r.saturated[service]
		if !s.Saturated && was {
			delete(r.saturated, service)
		}
		if s.Saturated == was && (!s.Saturated || now.Sub(logged) < shareLogInterval) {
			continue
		}
		if s.Saturated {
			r.saturated[service] = now
		}
		r.agent.options.Log.Info("workspaces share capacity", "service", service, "saturated", s.Saturated, "workspaces", s.Workspaces,
			"demand", s.Demand, "capacity", s.Capacity, "served", s.Served, "least_served", s.Least, "refused_over", s.RefusedOver,
			"others_age_ms", r.agent.tracker.Age().Milliseconds())
	}
}

// reportMemory sets the gauges of what requests need in the engines' KV caches.
func (r *shareReporter) reportMemory() {
	most, sum := make(map[string]int), make(map[string]int)
	for e := range r.agent.View().All() {
		tokens := r.agent.tracker.Load(e.ID).KVTokens
		most[e.Service] = max(most[e.Service], tokens)
		sum[e.Service] += tokens
	}
	for service, tokens := range most {
		scope := r.agent.options.Metrics.Tagged(map[string]string{"service": service})
		scope.Gauge("kv_tokens_most").Update(float64(tokens))
		scope.Gauge("kv_tokens").Update(float64(sum[service]))
	}
}
