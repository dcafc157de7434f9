package seededentry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/protocol/walltime"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// usageMetricsInterval is the interval at which the metrics of usage are set.
const usageMetricsInterval = time.Second

// usageReporter reports this entry's time of day and the requests that servers began for
// it. The nil usageReporter reports nothing.
type usageReporter struct {
	clock   clock.Clock
	time    *walltime.Follower
	counter *usage.Counter
	metrics tally.Scope
	log     hclog.Logger
	// uncounted is the number of requests that were last logged as not counted.
	uncounted uint64
}

// newUsageReporter returns nil if requests aren't counted.
func newUsageReporter(o Options) *usageReporter {
	if o.UsageWindow <= 0 {
		return nil
	}
	follower := walltime.NewFollower(o.Clock)
	return &usageReporter{
		clock: o.Clock, time: follower, counter: usage.NewCounter(o.UsageWindow, follower.Now), metrics: o.Metrics, log: o.Log,
	}
}

// addTo adds to a report what a replica doesn't know yet.
func (u *usageReporter) addTo(r *peergrpc.Report, source string, first bool) {
	if u == nil {
		return
	}
	r.Usage = u.counter.Pending(source, first)
	r.Wall = u.clock.Wall()
}

// setTime applies a replica's estimate of the true time.
func (u *usageReporter) setTime(update peergrpc.Update) {
	if u != nil && !update.TrueTime.IsZero() {
		u.time.Record(update.Source, update.TrueTime)
	}
}

// measure sets the metrics and logs requests that were not counted.
func (u *usageReporter) measure(context.Context) {
	if u == nil {
		return
	}
	counted, uncounted := u.counter.Totals()
	u.metrics.Gauge("usage_requests").Update(float64(counted))
	u.metrics.Gauge("usage_uncounted").Update(float64(uncounted))
	u.metrics.Gauge("clock_skew_seconds").Update(u.time.Skew().Seconds())
	if uncounted > u.uncounted {
		u.log.Error("requests not counted: too many workspaces within the retention", "requests", uncounted-u.uncounted)
		u.uncounted = uncounted
	}
}

// Usage returns the counter of the requests that servers began, or nil if requests aren't
// counted.
func (a *Agent) Usage() *usage.Counter {
	if a.usage == nil {
		return nil
	}
	return a.usage.counter
}
