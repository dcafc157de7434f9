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
	retireTimeout = 15 * time.Second
	// retirePause is the pause between two tries to commit the mark.
	retirePause = 500 * time.Millisecond
)

// run serves until ctx ends and then leaves: the entry drops out of address
// answers, accepts until the longest answer given has expired, finishes what
// it has and only then ends its own upkeep.
func (e *entry) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.self.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers at %s: %w", e.self.CallerAddress, err)
	}
	upkeep, endUpkeep := context.WithCancel(context.WithoutCancel(ctx))
	group, upkeep := errgroup.WithContext(upkeep)
	group.Go(func() error { return e.agent.Run(upkeep) })
	group.Go(func() error { return clock.Every(upkeep, loadInterval, e.pollLoads) })
	group.Go(func() error {
		return serve.HTTP(upkeep, e.self.AdminAddress, e.adminHandler(), e.keys.Administration())
	})
	group.Go(func() error { return clock.Every(upkeep, demandInterval, e.reportDemand) })
	callers := e.newCallers()
	if e.keys.Callers() == nil {
		// Under TLS an entry holds no authority to verify the others by, and
		// addresses are ordered by zone alone.
		group.Go(func() error { return clock.Every(upkeep, peerInterval, callers.peers.round) })
	}
	group.Go(func() error {
		defer endUpkeep()
		return e.serveCallers(ctx, upkeep, listener, callers)
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
		e.retire(life)
		time.AfterFunc(e.leaveAfter(), endAccepting)
	})
	if err := serve.On(accepting, listener, c.server.Handler(), e.keys.Callers()); err != nil {
		return err
	}
	c.services.Wait(life)
	e.log.Info("left")
	return nil
}

// retire tells the other entries that this one leaves. It tries until that is
// committed, so that the time counts from when they may know. If control can't
// commit for retireTimeout, it has no leader or this entry is cut off: then
// the entries' leases lapse, or control takes this one for dead.
func (e *entry) retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	for {
		err := e.agent.Leave(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.log.Warn("not marked as leaving yet", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(retirePause):
		}
	}
}

// leaveAfter is how long a leaving entry still accepts.
func (e *entry) leaveAfter() time.Duration {
	return time.Duration(e.longestTTL.Load()) + directoryLag
}
