package clock

import (
	"context"
	"time"
)

// Every calls do immediately and then once per interval until ctx is done. It
// always returns nil, so that it can be passed to an errgroup.
func Every(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
