// Package controlrole assembles the control process.
package controlrole

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// Run runs a control process until ctx ends.
func Run(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error {
	self, err := d.FindControl(name)
	if err != nil {
		return err
	}
	state := store.New()
	replica, err := openReplica(ctx, d, self, state, log)
	if err != nil {
		return err
	}
	server := newPeerServer()
	replica.register(server.Server)
	peergrpc.NewControlServer(replica.log, state).Register(server.Server)
	admin := adminhttp.New(replica.log, state)

	// The replica outlives the servers, whose last calls need it.
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	ended := make(chan error, 1)
	go func() { ended <- replica.run(replicaCtx) }()

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.listen(self.PeerAddress) })
	group.Go(func() error { return serve.HTTP(ctx, self.AdminAddress, admin.Handler()) })
	group.Go(func() error {
		select {
		case err := <-ended:
			server.Stop()
			ended <- err
			return err
		case <-ctx.Done():
		}
		replica.node.HandOver(replicaCtx)
		server.stop(replica.server.Stop)
		return nil
	})
	log.Info("control started", "peer_address", self.PeerAddress, "admin_address", self.AdminAddress)
	err = group.Wait()
	stopReplica()
	if endErr := <-ended; err == nil {
		err = endErr
	}
	return err
}
