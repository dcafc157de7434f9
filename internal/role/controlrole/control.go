// Package controlrole assembles the control process.
package controlrole

import (
	"context"
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/fake/memlog"
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
	replicated := memlog.New(state, clock.Boot{}, store.IsSettings)
	server := grpc.NewServer()
	peergrpc.NewControlServer(replicated, state).Register(server)
	listener, err := net.Listen("tcp", self.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", self.PeerAddress, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		server.GracefulStop()
		return nil
	})
	admin := adminhttp.New(replicated, state)
	group.Go(func() error { return serve.HTTP(ctx, self.AdminAddress, admin.Handler()) })
	log.Info("control started", "peer_address", self.PeerAddress, "admin_address", self.AdminAddress)
	return group.Wait()
}
