// Package controlrole assembles the control process.
package controlrole

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
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
	tracker := inforce.New(inforce.Options{Clock: clock.Boot{}, Lease: peergrpc.LeaseDuration})
	control := peergrpc.NewControlServer(replicated, state)
	control.Observe(tracker)
	orders, err := newEngines(name, replicated, state, log)
	if err != nil {
		return err
	}
	control.CollectDemand(orders.demand)
	control.Register(server)
	peers, err := peergrpc.DialControl(peerAddresses(d))
	if err != nil {
		return err
	}
	defer peers.Close()
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
	fleet := newFleet(d, clock.Boot{}, replicated, state, tracker, log)
	group.Go(func() error { return fleet.follow(ctx) })
	group.Go(func() error { return fleet.lead(ctx) })
	group.Go(func() error { return orders.reconciler.Run(ctx) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	admin := adminhttp.New(adminhttp.Options{
		Log:     replicated,
		Store:   state,
		Control: peers,
		Tracker: tracker,
		Clock:   clock.Boot{},
	})
	admin.Register(mux)
	admin.RegisterEngines(mux, orders)
	group.Go(func() error { return serve.HTTP(ctx, self.AdminAddress, mux) })
	log.Info("control started", "peer_address", self.PeerAddress, "admin_address", self.AdminAddress)
	return group.Wait()
}

func peerAddresses(d *deployment.Deployment) []string {
	var out []string
	for _, c := range d.Control {
		out = append(out, c.PeerAddress)
	}
	return out
}
