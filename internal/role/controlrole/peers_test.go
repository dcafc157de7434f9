package controlrole

import (
	"context"
	"runtime"
	"sync"
	"testing"
)

// TestCallsMayBeginWhileTheServerStops guards against a panic of a process that stops while
// other processes call it.
func TestCallsMayBeginWhileTheServerStops(t *testing.T) {
	for range 20_000 {
		s := newPeerServer(nil)
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				for range 20 {
					_, _ = s.count(context.Background(), nil, nil, func(context.Context, any) (any, error) {
						runtime.Gosched()
						return nil, nil
					})
				}
			})
		}
		s.awaitCalls()
		callers.Wait()
	}
}
