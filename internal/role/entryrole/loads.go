package entryrole

import (
	"context"

	"golang.org/x/sync/errgroup"
)

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
			e.tracker.Report(engine.Name, report, e.clock.Now())
			return nil
		})
	}
	_ = group.Wait()
}
