package entryrole

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
)

const (
	// directoryLag is the longest time for which another entry may still name
	// this one after the mark was committed: a lease and a round of renewal.
	directoryLag = 5 * time.Second
	// retireTimeout bounds all tries to commit the mark. It is longer than
	// control needs to take an entry for dead.
	markLeavingTimeout = 15 * time.Second
	// retirePause is the pause between two tries to commit the mark.
	markLeavingRetryDelay = 500 * time.Millisecond
)

// run serves until ctx ends and then leaves: the entry drops out of address
// answers, accepts until the longest answer given has expired, finishes what
// it has and only then ends its own upkeep.
func (e *entry) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.self.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers at %s: %w", e.self.CallerAddress, err)
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return e.agent.Run(background) })
	group.Go(func() error { return clock.Every(background, loadInterval, e.pollLoads) })
	group.Go(func() error {
		return serve.HTTP(background, e.self.AdminAddress, e.adminHandler(), e.keys.AdminTLS())
	})
	group.Go(func() error { return clock.Every(background, demandInterval, e.reportDemand) })
	callers := e.newCallerAPI()
	if e.keys.CallerTLS() == nil {
		// Under TLS an entry holds no authority to verify the others by, and
		// addresses are ordered by zone alone.
		group.Go(func() error { return clock.Every(background, peerPollInterval, callers.peers.poll) })
	}
	group.Go(func() error {
		defer stopBackground()
		return e.serveCallers(ctx, background, listener, callers)
	})
	return group.Wait()
}

// serveCallers serves until stop ends, and then for as long as callers may
// still come here. It returns when the last request and the last attempt of a
// non-idempotent call are finished. Life ends if the process fails.
func (e *entry) serveCallers(stopCtx, processCtx context.Context, listener net.Listener, c callerAPI) error {
	accepting, stopAccepting := context.WithCancel(processCtx)
	defer stopAccepting()
	context.AfterFunc(stopCtx, func() {
		close(e.leaving)
		e.log.Info("leaving", "accepts_for", e.leaveDelay())
		e.markLeaving(processCtx)
		time.AfterFunc(e.leaveDelay(), stopAccepting)
	})
	if err := serve.Listener(accepting, listener, c.server.Handler(), e.keys.CallerTLS()); err != nil {
		return err
	}
	c.services.Wait(processCtx)
	e.log.Info("left")
	return nil
}

// retire tells the other entries that this one leaves. It tries until that is
// committed, so that the time counts from when they may know. If control can't
// commit for retireTimeout, it has no leader or this entry is cut off: then
// the entries' leases lapse, or control takes this one for dead.
func (e *entry) markLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, markLeavingTimeout)
	defer cancel()
	for {
		err := e.agent.Leave(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.log.Warn("not marked as leaving yet", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(markLeavingRetryDelay):
		}
	}
}

// leaveAfter is how long a leaving entry still accepts.
func (e *entry) leaveDelay() time.Duration {
	return time.Duration(e.longestTTL.Load()) + directoryLag
}
