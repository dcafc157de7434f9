package entryrole

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
)

const (
	// demandInterval is the interval between demand reports.
	demandInterval = time.Second
	// demandTimeout bounds the sending of one report.
	demandTimeout = 800 * time.Millisecond
)

// reportDemand sends the control leader the demand that arrived at this entry,
// for its role plans. A lost report is made up for by the next one.
func (e *entry) reportDemand(ctx context.Context) {
	report := roleplan.Report{Member: e.self.Name, Models: e.admission.Demand()}
	digest, err := cbor.Marshal(report)
	if err != nil {
		e.log.Error("demand report not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	if err := e.control.ReportLoad(ctx, e.self.Name, e.incarnation, digest); err != nil {
		e.log.Debug("demand not reported", "error", err)
	}
}
