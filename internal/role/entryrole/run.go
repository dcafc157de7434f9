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
	// directoryLag is the longest time for which another entry may still list
	// this one after the leaving mark was committed: a lease plus one renewal.
	directoryLag = 5 * time.Second
	// markLeavingTimeout bounds all attempts to commit the mark. It is longer
	// than control takes to declare an entry dead.
	markLeavingTimeout = 15 * time.Second
	// markLeavingRetryDelay is the delay between attempts to commit the mark.
	markLeavingRetryDelay = 500 * time.Millisecond
)

// run serves until ctx ends and then leaves: the entry drops out of address
// answers, accepts requests until the longest-lived answer has expired, finishes
// the requests in progress, and only then stops its background work.
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
		// With TLS an entry has no CA certificate to verify other entries with,
		// so addresses are ordered by zone alone.
		group.Go(func() error { return clock.Every(background, peerPollInterval, callers.peers.poll) })
	}
	group.Go(func() error {
		defer stopBackground()
		return e.serveCallers(ctx, background, listener, callers)
	})
	return group.Wait()
}

// serveCallers serves until stopCtx ends, and then for as long as callers may
// still use this entry's address. It returns when the last request and the last
// attempt of a non-idempotent call have finished. processCtx ends if the process
// fails.
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

// markLeaving commits that this entry leaves, so that the other entries receive
// the mark. It retries until the mark is committed, because leaveDelay counts from
// then. If no commit succeeds within markLeavingTimeout, either control has no
// leader and the other entries' leases lapse, or this entry is isolated
// and control declares it dead.
func (e *entry) markLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, markLeavingTimeout)
	defer cancel()
	for {
		err := e.agent.Leave(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.log.Warn("leaving mark not committed; retrying", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(markLeavingRetryDelay):
		}
	}
}

// leaveDelay returns how long a leaving entry still accepts requests.
func (e *entry) leaveDelay() time.Duration {
	return time.Duration(e.longestTTL.Load()) + directoryLag
}
