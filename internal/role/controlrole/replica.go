package controlrole

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// replica is this process's part in the replicated log.
type replica struct {
	identity  raftstore.Identity
	storage   *raftstore.Store
	pool      *peergrpc.Pool
	transport *peergrpc.ReplicaTransport
	node      *raft.Node
	server    *peergrpc.ReplicaServer
	// log forwards to the leader.
	log *peergrpc.ForwardingLog
	// ended is closed when the replica has stopped, for the reason err.
	ended chan struct{}
	err   error
}

// openReplica opens the data folder. With an empty one it first joins the
// group as a non-voter under a new identity.
func openReplica(ctx context.Context, d *deployment.Deployment, self deployment.Control, keys *serve.Keys, state *store.Store, log hclog.Logger) (*replica, error) {
	folder, err := disk.Open(self.DataFolder)
	if err != nil {
		return nil, err
	}
	r := &replica{pool: peergrpc.NewPool(keys.PeerClient()), ended: make(chan struct{})}
	if r.identity, err = r.identify(ctx, folder, d, self, log); err != nil {
		return nil, fmt.Errorf("data folder %s: %w", self.DataFolder, err)
	}
	if r.storage, err = raftstore.Open(folder, r.identity, raftstore.DefaultOptions); err != nil {
		return nil, fmt.Errorf("data folder %s: %w", self.DataFolder, err)
	}
	r.transport = peergrpc.NewReplicaTransport(r.pool, r.identity.ClusterID, self.PeerAddress, log)
	if r.node, err = raft.New(r.nodeOptions(state, log)); err != nil {
		return nil, err
	}
	r.log = peergrpc.NewForwardingLog(r.node, r.pool)
	r.server = peergrpc.NewReplicaServer(peergrpc.ReplicaOptions{
		Node:       r.node,
		Transport:  r.transport,
		ClusterID:  r.identity.ClusterID,
		ReplicaID:  r.identity.ReplicaID,
		Deployment: d.Name,
		Names:      controlNames(d),
	})
	log.Info("replica opened", "replica", fmt.Sprintf("%016x", r.identity.ReplicaID), "cluster", r.identity.ClusterID)
	return r, nil
}

func (r *replica) nodeOptions(machine replog.StateMachine, log hclog.Logger) raft.Options {
	return raft.Options{
		ID:         r.identity.ReplicaID,
		ClusterID:  r.identity.ClusterID,
		Machine:    machine,
		Storage:    r.storage,
		Transport:  r.transport,
		Clock:      clock.Boot{},
		IsSettings: store.IsSettings,
		Timing:     raft.DefaultTiming,
		Compaction: raft.DefaultCompaction,
		Seed:       randomSeed(),
		Log:        log,
	}
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// identify returns the folder's identity and makes a new one, bound to the
// group that the replica joins, if there is none.
func (r *replica) identify(ctx context.Context, folder disk.Folder, d *deployment.Deployment, self deployment.Control, log hclog.Logger) (raftstore.Identity, error) {
	identity, found, err := raftstore.LoadIdentity(folder, d.Name, self.Name)
	if err != nil {
		return raftstore.Identity{}, err
	}
	if !found {
		identity = raftstore.NewIdentity(d.Name, self.Name)
		if err := raftstore.SaveIdentity(folder, identity); err != nil {
			return raftstore.Identity{}, err
		}
	}
	if identity.ClusterID != "" {
		return identity, nil
	}
	log.Info("joining the group; a new deployment needs 'control init' on one of its control VMs first")
	identity.ClusterID, err = peergrpc.Join(ctx, r.pool, otherPeers(d, self), &peerpb.JoinRequest{
		Name:       self.Name,
		ReplicaId:  identity.ReplicaID,
		Address:    self.PeerAddress,
		Deployment: d.Name,
	}, log)
	if err != nil {
		return raftstore.Identity{}, err
	}
	if err := raftstore.Prepare(folder, identity, raftstore.DefaultOptions); err != nil {
		return raftstore.Identity{}, err
	}
	return identity, raftstore.SaveIdentity(folder, identity)
}

// register adds the replica's service to a gRPC server.
func (r *replica) register(server *grpc.Server) {
	r.server.Register(server)
}

// start runs the replica in the background. It outlives ctx, since the last
// calls to the servers need it, and ends when stop is called.
func (r *replica) start(ctx context.Context) (stop func() error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		r.err = r.run(ctx)
		close(r.ended)
	}()
	return func() error {
		cancel()
		<-r.ended
		return r.err
	}
}

// stopServer waits until ctx ends, hands leadership over and then stops the
// server. It stops everything with an error if the replica ends by itself.
func (r *replica) stopServer(ctx context.Context, server *peerServer) error {
	select {
	case <-r.ended:
		server.Stop()
		return r.err
	case <-ctx.Done():
	}
	r.node.HandOver(context.WithoutCancel(ctx))
	server.stop(r.server.Stop)
	return nil
}

// run runs the replica until ctx ends or its storage fails.
func (r *replica) run(ctx context.Context) error {
	err := r.node.Run(ctx)
	r.transport.Close()
	r.pool.Close()
	if closeErr := r.storage.Close(); err == nil {
		err = closeErr
	}
	return err
}

func otherPeers(d *deployment.Deployment, self deployment.Control) []string {
	var out []string
	for _, c := range d.Control {
		if c.Name != self.Name {
			out = append(out, c.PeerAddress)
		}
	}
	return out
}

func controlNames(d *deployment.Deployment) []string {
	var out []string
	for _, c := range d.Control {
		out = append(out, c.Name)
	}
	return out
}
