// Package controlrole assembles the control process.
package controlrole

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// Run runs a control process until ctx ends.
func Run(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error {
	self, err := d.FindControl(name)
	if err != nil {
		return err
	}
	keys, err := serve.OpenKeys(d, name, log)
	if err != nil {
		return err
	}
	state := store.New()
	replica, err := openReplica(ctx, d, self, keys, state, log)
	if err != nil {
		return err
	}
	stopReplica := replica.start(ctx)
	server := newPeerServer(keys.PeerServer())
	replica.register(server.Server)
	tracker := inforce.New(inforce.Options{Clock: clock.Boot{}, Lease: peergrpc.LeaseDuration})
	control := peergrpc.NewControlServer(replica.log, state)
	control.Observe(tracker)
	orders, err := newEngines(name, replica.log, state, log)
	if err != nil {
		return err
	}
	control.CollectDemand(orders.demand)
	control.Register(server.Server)
	peers, err := peergrpc.DialControl(peerAddresses(d), keys.PeerClient())
	if err != nil {
		return err
	}
	defer peers.Close()

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.listen(self.PeerAddress) })
	group.Go(func() error { return replica.stopServer(ctx, server) })
	fleet := newFleet(d, clock.Boot{}, replica.log, state, tracker, log)
	group.Go(func() error { return fleet.follow(ctx) })
	group.Go(func() error { return fleet.lead(ctx) })
	group.Go(func() error { return orders.reconciler.Run(ctx) })
	mux := http.NewServeMux()
	metrics := telemetry.NewMetrics("control", name, log)
	registerTelemetry(mux, metrics, fleet, log)
	group.Go(func() error { return fleet.watch(ctx, metrics) })
	admin := adminhttp.New(adminhttp.Options{
		Log:     replica.log,
		Store:   state,
		Control: peers,
		Tracker: tracker,
		Clock:   clock.Boot{},
	})
	admin.Register(mux)
	admin.RegisterEngines(mux, orders)
	group.Go(func() error { return serve.HTTP(ctx, self.AdminAddress, mux, keys.Administration()) })
	log.Info("control started", "peer_address", self.PeerAddress, "admin_address", self.AdminAddress)
	err = group.Wait()
	if stopErr := stopReplica(); err == nil {
		err = stopErr
	}
	return err
}

func peerAddresses(d *deployment.Deployment) []string {
	var out []string
	for _, c := range d.Control {
		out = append(out, c.PeerAddress)
	}
	return out
}
