package entryrole

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// maxReportAge caps the age that is assumed for a load report.
const maxReportAge = time.Minute

// reportTime converts a report's wall time to an instant. Engines' wall clocks
// are accurate enough for that; a time in the future counts as now.
func (e *entry) reportTime(unixMilli int64) clock.Instant {
	age := e.clock.Wall().Sub(time.UnixMilli(unixMilli))
	return e.clock.Now().Add(-min(max(age, 0), maxReportAge))
}

// pollLoads reads the load report of every engine.
func (e *entry) pollLoads(ctx context.Context) {
	var group errgroup.Group
	for _, engine := range e.tracker.Snapshot().Engines {
		group.Go(func() error {
			report, err := e.backends.Load(ctx, engine.URL)
			if err != nil {
				e.log.Debug("load not read", "engine", engine.Name, "error", err)
				return nil
			}
			e.tracker.ApplyReport(engine.Name, report, e.reportTime(report.AtUnixMilli))
			return nil
		})
	}
	_ = group.Wait()
}
