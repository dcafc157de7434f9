package reconcile

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/roleplan"
)

// demandFreshness is the age up to which an entry's report counts.
const demandFreshness = 10 * time.Second

// Demand adds up what entries report. It is safe for concurrent use.
type Demand struct {
	clock clock.Clock

	mu      sync.Mutex // guards reports
	reports map[string]demandReport
}

type demandReport struct {
	report roleplan.Report
	at     clock.Instant
}

// NewDemand returns a collector without reports.
func NewDemand(c clock.Clock) *Demand {
	return &Demand{clock: c, reports: make(map[string]demandReport)}
}

// ReportLoad takes the encoded roleplan.Report of a member.
func (d *Demand) ReportLoad(member string, digest []byte) error {
	var report roleplan.Report
	if err := cbor.Unmarshal(digest, &report); err != nil {
		return fmt.Errorf("decode load report of %s: %w", member, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[member] = demandReport{report: report, at: d.clock.Now()}
	return nil
}

// Model returns the demand for a model over all fresh reports.
func (d *Demand) Model(model string) roleplan.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum roleplan.Demand
	for member, r := range d.reports {
		if d.clock.Now().Sub(r.at) > demandFreshness {
			delete(d.reports, member)
			continue
		}
		part := r.report.Models[model]
		sum.PromptTokens += part.PromptTokens
		sum.OutputTokens += part.OutputTokens
		sum.Requests += part.Requests
		sum.Worth += part.Worth
	}
	return sum
}
