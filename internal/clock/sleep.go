package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. If ctx is done earlier, it returns false
// immediately.
func Sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
