package reconcile

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/roleplan"
)

// Demand decodes the reports of entries for a collector.
type Demand struct {
	// Collector adds the reports up.
	Collector *roleplan.Collector
	Clock     clock.Clock
}

// ReportLoad takes the encoded roleplan.Report of a member.
func (d *Demand) ReportLoad(member string, digest []byte) error {
	var report roleplan.Report
	if err := cbor.Unmarshal(digest, &report); err != nil {
		return fmt.Errorf("decode load report of %s: %w", member, err)
	}
	report.Member = member
	d.Collector.Add(d.Clock.Now(), report)
	return nil
}
