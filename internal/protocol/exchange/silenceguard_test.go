package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestEventAtTimeoutStartsNoPreparation guards against a timer that expires as the server
// goes on and takes a restarted guard for its own.
func TestEventAtTimeoutStartsNoPreparation(t *testing.T) {
	const (
		guards  = 200
		events  = 50
		timeout = 5 * time.Millisecond
	)
	var early, overlapping atomic.Int32
	var wait sync.WaitGroup
	for range guards {
		wait.Go(func() {
			var restarted atomic.Int64
			var running atomic.Int32
			prepare := func(ctx context.Context) func() {
				if time.Since(time.Unix(0, restarted.Load())) < timeout/2 {
					early.Add(1)
				}
				if running.Add(1) > 1 {
					overlapping.Add(1)
				}
				defer running.Add(-1)
				select {
				case <-ctx.Done():
				case <-time.After(3 * timeout):
				}
				return nil
			}
			restarted.Store(time.Now().UnixNano())
			g := guardSilence(context.Background(), timeout, prepare, func() {})
			for range events {
				time.Sleep(timeout)
				g.stop()
				restarted.Store(time.Now().UnixNano())
				g.restart()
			}
			g.stop()
		})
	}
	wait.Wait()
	if early.Load() > 0 || overlapping.Load() > 0 {
		t.Errorf("%d preparations began right after an event, %d beside another one; want none", early.Load(), overlapping.Load())
	}
}

// TestPanicOfPreparationReachesTheExchange guards against ending the process for a panic
// in a timer's goroutine.
func TestPanicOfPreparationReachesTheExchange(t *testing.T) {
	abandoned := make(chan struct{})
	g := guardSilence(context.Background(), time.Millisecond, func(context.Context) func() { panic("fault") }, func() { close(abandoned) })
	<-abandoned
	defer func() {
		if got := recover(); got != "fault" {
			t.Errorf("stop panicked with %v, want the reason of the preparation", got)
		}
	}()
	g.stop()
}

// TestLateTimerStartsNoSecondPreparation guards against a timer that expired before a
// restart and runs when the restarted one does.
func TestLateTimerStartsNoSecondPreparation(t *testing.T) {
	started := make(chan struct{}, 2)
	g := guardSilence(context.Background(), time.Millisecond, func(ctx context.Context) func() {
		started <- struct{}{}
		<-ctx.Done()
		return nil
	}, func() {})
	<-started
	late := make(chan struct{})
	go func() { g.fire(); close(late) }()
	select {
	case <-late:
	case <-started:
		t.Error("a second preparation began beside the first")
	}
	g.stop()
}
