package peergrpc

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// flushPollInterval is the interval at which Flush checks whether the watches have ended.
const flushPollInterval = 5 * time.Millisecond

// Flush sends a last report to each connected replica and ends the watches. It returns once
// the replicas have handled these reports, or ctx ends. No watch is opened after it, so it is
// for a process that stops.
func (f *FleetWatcher) Flush(ctx context.Context) {
	f.flushOnce.Do(func() { close(f.flushing) })
	for f.watches() > 0 && clock.Sleep(ctx, flushPollInterval) {
	}
}

func (f *FleetWatcher) isFlushing() bool {
	select {
	case <-f.flushing:
		return true
	default:
		return false
	}
}

// watches returns the number of watches that send reports.
func (f *FleetWatcher) watches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.wake)
}

// sendLastReport sends a report and waits until the replica, which has handled all before,
// ends the stream.
func (f *FleetWatcher) sendLastReport(ctx context.Context, stream reportStream, address string) {
	if stream.Send(fromReport(f.options.Report(address, false))) != nil || stream.CloseSend() != nil {
		return // Recv returns the reason.
	}
	<-ctx.Done()
}
