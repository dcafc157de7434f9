// Package controlrole assembles the control process.
package controlrole

import (
	"context"
	"errors"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// Run runs the control process with the given name until ctx ends.
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
	replica, err := openReplica(ctx, replicaOptions{
		deployment:  d.Name,
		name:        self.Name,
		peerAddress: self.PeerAddress,
		dataFolder:  self.DataFolder,
		peers:       func() []string { return otherPeers(d, self) },
		names:       controlNames(d),
		credentials: keys.PeerClient(),
		timing:      raft.DefaultTiming,
	}, state, log)
	if err != nil {
		return err
	}
	stopReplica := replica.start(ctx)
	p, err := assemble(d, self, keys, replica, state, log)
	if err == nil {
		err = p.run(ctx)
	}
	if stopErr := stopReplica(); err == nil {
		err = stopErr
	}
	return err
}

// process holds the parts of a control process.
type process struct {
	self    deployment.Control
	keys    *serve.Keys
	replica *replica
	server  *peerServer
	peers   *peergrpc.ControlClient
	fleet   *fleet
	orders  *engineOrders
	admin   *http.ServeMux
	metrics *telemetry.Metrics
	log     hclog.Logger
}

// assemble creates the parts of a process for an opened replica and its state.
func assemble(d *deployment.Deployment, self deployment.Control, keys *serve.Keys, r *replica, state *store.Store, log hclog.Logger) (*process, error) {
	orders, err := newEngineOrders(self.Name, r.log, state, log)
	if err != nil {
		return nil, err
	}
	peers, err := peergrpc.DialControl(d.PeerAddresses(), keys.PeerClient())
	if err != nil {
		return nil, err
	}
	tracker := inforce.New(inforce.Options{Clock: clock.Boot{}, Lease: peergrpc.LeaseDuration})
	p := &process{
		self:    self,
		keys:    keys,
		replica: r,
		server:  newPeerServer(keys.PeerServer()),
		peers:   peers,
		fleet:   newFleet(d, clock.Boot{}, r.log, state, tracker, log),
		orders:  orders,
		admin:   http.NewServeMux(),
		metrics: telemetry.NewMetrics("control", self.Name, log),
		log:     log,
	}
	p.registerPeers(state, tracker)
	p.registerAdmin(state, tracker)
	return p, nil
}

// registerPeers registers the gRPC services that other processes call.
func (p *process) registerPeers(state *store.Store, tracker *inforce.Tracker) {
	control := peergrpc.NewControlServer(p.replica.log, state)
	control.SetRenewalObserver(tracker)
	control.SetLoadCollector(p.orders.demand)
	control.Register(p.server.Server)
	p.replica.register(p.server.Server)
}

// registerAdmin registers the HTTP endpoints that operators call.
func (p *process) registerAdmin(state *store.Store, tracker *inforce.Tracker) {
	registerTelemetry(p.admin, p.metrics, p.fleet, p.log)
	admin := adminhttp.New(adminhttp.Options{
		Log:     p.replica.log,
		Store:   state,
		Control: p.peers,
		Tracker: tracker,
		Clock:   clock.Boot{},
	})
	admin.Register(p.admin)
	admin.RegisterEngines(p.admin, p.orders)
}

// run serves requests and, while this replica leads, performs the leader's tasks
// until ctx ends.
func (p *process) run(ctx context.Context) error {
	defer p.peers.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.server.listen(p.self.PeerAddress) })
	group.Go(func() error { return p.replica.stopServer(ctx, p.server) })
	group.Go(func() error { return p.fleet.reportApplied(ctx) })
	group.Go(func() error { return p.fleet.runLeader(ctx) })
	group.Go(func() error { return p.fleet.updateGauges(ctx, p.metrics) })
	group.Go(func() error { return p.orders.reconciler.Run(ctx) })
	group.Go(func() error { return serve.HTTP(ctx, p.self.AdminAddress, p.admin, p.keys.AdminTLS()) })
	p.log.Info("control started", "peer_address", p.self.PeerAddress, "admin_address", p.self.AdminAddress)
	return errors.Join(group.Wait(), p.metrics.Close())
}
