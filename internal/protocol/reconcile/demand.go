package reconcile

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
)

// DemandReceiver receives the load reports of entries and adds them to a collector.
type DemandReceiver struct {
	// Collector aggregates the reports.
	Collector *roleplan.Collector
	Clock     clock.Clock
}

// ReportLoad decodes the CBOR-encoded roleplan.Report of a member and adds it to
// the collector.
func (d *DemandReceiver) ReportLoad(member string, digest []byte) error {
	var report roleplan.Report
	if err := cbor.Unmarshal(digest, &report); err != nil {
		return fmt.Errorf("decode load report of %s: %w", member, err)
	}
	report.Member = member
	d.Collector.Add(d.Clock.Now(), report)
	return nil
}
