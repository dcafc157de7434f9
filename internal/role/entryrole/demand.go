package entryrole

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/roleplan"
)

const (
	// demandInterval is the time between two demand reports.
	demandInterval = time.Second
	// demandTimeout bounds the sending of one.
	demandTimeout = 800 * time.Millisecond
)

// reportDemand tells the control leader what arrived here, for its role plans.
// A report that is lost is made up for by the next one.
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
