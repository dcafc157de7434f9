package clock

import (
	"context"
	"time"
)

// Every calls do at once and then at the interval until ctx ends. It returns
// nil, so that it can be one function of a group.
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
