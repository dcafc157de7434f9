package entryrole

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// directoryLag is the longest time for which another entry may still name
// this one after it said that it leaves.
const directoryLag = 5 * time.Second

// run serves until ctx ends and then leaves: the entry drops out of address
// answers, accepts until the longest answer given has expired, finishes what
// it has and only then ends its own upkeep.
func (e *entry) run(ctx context.Context, d *deployment.Deployment) error {
	listener, err := net.Listen("tcp", e.self.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers at %s: %w", e.self.CallerAddress, err)
	}
	upkeep, endUpkeep := context.WithCancel(context.WithoutCancel(ctx))
	group, upkeep := errgroup.WithContext(upkeep)
	group.Go(func() error { return every(upkeep, renewInterval, e.renew) })
	group.Go(func() error { return every(upkeep, loadInterval, e.pollLoads) })
	group.Go(func() error {
		defer endUpkeep()
		return e.serveCallers(ctx, upkeep, listener, e.newCallers(d))
	})
	return group.Wait()
}

// serveCallers serves until stop ends, and then for as long as callers may
// still come here. It returns when the last request and the last attempt of a
// non-idempotent call are finished. Life ends if the process fails.
func (e *entry) serveCallers(stop, life context.Context, listener net.Listener, c callers) error {
	accepting, endAccepting := context.WithCancel(life)
	defer endAccepting()
	context.AfterFunc(stop, func() {
		close(e.leaving)
		e.log.Info("leaving", "accepts_for", e.leaveAfter())
		e.renew(life)
		time.AfterFunc(e.leaveAfter(), endAccepting)
	})
	if err := serve.On(accepting, listener, c.server.Handler()); err != nil {
		return err
	}
	c.services.Wait(life)
	e.log.Info("left")
	return nil
}

// leaveAfter is how long a leaving entry still accepts.
func (e *entry) leaveAfter() time.Duration {
	return time.Duration(e.longestTTL.Load()) + directoryLag
}

func (e *entry) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// keepLongestTTL takes note of how long callers may keep address answers.
func (e *entry) keepLongestTTL(c *settings.Configuration) {
	e.longestTTL.Store(max(e.longestTTL.Load(), int64(c.System.AddressTTL.Std())))
}
