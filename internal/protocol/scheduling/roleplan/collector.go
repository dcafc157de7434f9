package roleplan

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// reportTTL is how long a report counts without a newer one.
	reportTTL = 10 * time.Second
	// sampleInterval is the time between two samples of the recent demand.
	sampleInterval = 5 * time.Second
	// maxSamples is the number of samples kept.
	maxSamples = 24
)

// Collector sums the demand that entries report. It is safe for concurrent use.
type Collector struct {
	mu         sync.Mutex // guards the fields below
	reports    map[string]receivedReport
	recent     map[string][]Demand
	sampledAt  clock.Instant
	hasSampled bool
}

type receivedReport struct {
	report     Report
	receivedAt clock.Instant
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{reports: make(map[string]receivedReport), recent: make(map[string][]Demand)}
}

// Add stores a report; it replaces the previous one of the same member.
func (c *Collector) Add(now clock.Instant, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[report.Member] = receivedReport{report: report, receivedAt: now}
	c.sample(now)
}

// Demand returns the current demand for a model, with the samples of its recent
// past.
func (c *Collector) Demand(now clock.Instant, model string) Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sample(now)
	d := c.total(model)
	d.Recent = slices.Clone(c.recent[model])
	return d
}

// sample drops expired reports and adds one sample for each model, if a sample
// is due. The caller holds mu.
func (c *Collector) sample(now clock.Instant) {
	maps.DeleteFunc(c.reports, func(_ string, r receivedReport) bool { return now.Sub(r.receivedAt) > reportTTL })
	if c.hasSampled && now.Sub(c.sampledAt) < sampleInterval {
		return
	}
	c.hasSampled = true
	c.sampledAt = now
	models := make(map[string]bool)
	for _, r := range c.reports {
		for model := range r.report.Models {
			models[model] = true
		}
	}
	for model := range c.recent {
		models[model] = true
	}
	for model := range models {
		recent := append(c.recent[model], c.total(model))
		c.recent[model] = recent[max(len(recent)-maxSamples, 0):]
	}
}

// total sums the reports on a model. It goes through them in the order of the
// members' names, so that the sum is reproducible. The caller holds mu.
func (c *Collector) total(model string) Demand {
	var sum Demand
	classes := make(map[classKey]*ClassDemand)
	for _, member := range slices.Sorted(maps.Keys(c.reports)) {
		d := c.reports[member].report.Models[model]
		sum.PromptTokens += d.PromptTokens
		sum.OutputTokens += d.OutputTokens
		sum.Requests += d.Requests
		sum.Worth += d.Worth
		for _, class := range d.Classes {
			addClass(classes, class)
		}
	}
	for _, class := range classes {
		sum.Classes = append(sum.Classes, *class)
	}
	slices.SortFunc(sum.Classes, func(a, b ClassDemand) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return sum
}

type classKey struct {
	team  string
	class string
}

// addClass adds the demand of one member to the sum of its class; means are
// weighted by the number of requests.
func addClass(classes map[classKey]*ClassDemand, d ClassDemand) {
	key := classKey{team: d.Team, class: d.Class}
	sum := classes[key]
	if sum == nil {
		classes[key] = &d
		return
	}
	requests := sum.Requests + d.Requests
	if requests <= 0 {
		return
	}
	part := d.Requests / requests
	sum.PromptTokens += part * (d.PromptTokens - sum.PromptTokens)
	sum.OutputTokens += part * (d.OutputTokens - sum.OutputTokens)
	sum.Worth += part * (d.Worth - sum.Worth)
	sum.Requests = requests
}
