package controlrole

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// replica is this process's replica of the replicated log.
type replica struct {
	identity  raftstore.Identity
	storage   *raftstore.Store
	pool      *peergrpc.Pool
	transport *peergrpc.ReplicaTransport
	node      *raft.Node
	server    *peergrpc.ReplicaServer
	// log forwards commands to the leader.
	log *peergrpc.ForwardingLog
	// done is closed when the replica has stopped; err is then the reason.
	done chan struct{}
	err  error
}

// replicaOptions configures openReplica.
type replicaOptions struct {
	// deployment and name are part of the data folder's identity.
	deployment  string
	name        string
	peerAddress string
	dataFolder  string
	// peers returns the addresses of replicas through which a new one may join.
	peers func() []string
	// names lists the processes that may join; nil admits any.
	names       []string
	credentials credentials.TransportCredentials
	// maxVoters bounds the number of voters; zero means no bound.
	maxVoters int
	timing    raft.Timing
}

// openReplica opens the replica in the data folder. If the folder is empty, the
// replica first joins the group as a learner under a new identity.
func openReplica(ctx context.Context, o replicaOptions, state *store.Store, log hclog.Logger) (*replica, error) {
	folder, err := disk.Open(o.dataFolder)
	if err != nil {
		return nil, err
	}
	r := &replica{pool: peergrpc.NewPool(o.credentials), done: make(chan struct{})}
	if err := r.open(ctx, folder, o, state, log); err != nil {
		r.pool.Close()
		return nil, fmt.Errorf("data folder %s: %w", o.dataFolder, err)
	}
	log.Info("replica opened", "replica", fmt.Sprintf("%016x", r.identity.ReplicaID), "cluster", r.identity.ClusterID)
	return r, nil
}

func (r *replica) open(ctx context.Context, folder disk.Folder, o replicaOptions, state *store.Store, log hclog.Logger) (err error) {
	if r.identity, err = r.loadOrJoin(ctx, folder, o, log); err != nil {
		return err
	}
	if r.storage, err = raftstore.Open(folder, r.identity, raftstore.DefaultOptions); err != nil {
		return err
	}
	r.transport = peergrpc.NewReplicaTransport(r.pool, r.identity.ClusterID, o.peerAddress, log)
	if r.node, err = raft.New(r.nodeOptions(o, state, log)); err != nil {
		r.transport.Close()
		return errors.Join(err, r.storage.Close())
	}
	r.log = peergrpc.NewForwardingLog(r.node, r.pool)
	r.server = peergrpc.NewReplicaServer(peergrpc.ReplicaOptions{
		Node:       r.node,
		Transport:  r.transport,
		ClusterID:  r.identity.ClusterID,
		ReplicaID:  r.identity.ReplicaID,
		Deployment: o.deployment,
		Names:      o.names,
		Pool:       r.pool,
	})
	return nil
}

func (r *replica) nodeOptions(o replicaOptions, machine replog.StateMachine, log hclog.Logger) raft.Options {
	return raft.Options{
		ID:           r.identity.ReplicaID,
		ClusterID:    r.identity.ClusterID,
		StateMachine: machine,
		Storage:      r.storage,
		Transport:    r.transport,
		Clock:        clock.Boot{},
		IsSettings:   store.IsSettingsCommand,
		Timing:       o.timing,
		Compaction:   raft.DefaultCompaction,
		MaxVoters:    o.maxVoters,
		Seed:         randomSeed(),
		Log:          log,
	}
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// loadOrJoin returns the folder's identity. If the folder has none, or one that
// belongs to no group yet, the replica joins a group first.
func (r *replica) loadOrJoin(ctx context.Context, folder disk.Folder, o replicaOptions, log hclog.Logger) (raftstore.Identity, error) {
	identity, found, err := raftstore.LoadIdentity(folder, o.deployment, o.name)
	if err != nil {
		return raftstore.Identity{}, err
	}
	if !found {
		identity = raftstore.NewIdentity(o.deployment, o.name)
		if err := raftstore.SaveIdentity(folder, identity); err != nil {
			return raftstore.Identity{}, err
		}
	}
	if identity.ClusterID != "" {
		return identity, nil
	}
	log.Info("joining the group; a new deployment needs 'control init' on one of its control VMs first")
	identity.ClusterID, err = peergrpc.Join(ctx, r.pool, o.peers, o.joinRequest(identity), log)
	if err != nil {
		return raftstore.Identity{}, err
	}
	if err := raftstore.Prepare(folder, identity, raftstore.DefaultOptions); err != nil {
		return raftstore.Identity{}, err
	}
	return identity, raftstore.SaveIdentity(folder, identity)
}

func (o replicaOptions) joinRequest(identity raftstore.Identity) *peerpb.JoinRequest {
	return &peerpb.JoinRequest{
		Name:       o.name,
		ReplicaId:  identity.ReplicaID,
		Address:    o.peerAddress,
		Deployment: o.deployment,
	}
}

// register adds the replica's service to a gRPC server.
func (r *replica) register(server *grpc.Server) {
	r.server.Register(server)
}

// start runs the replica in the background until stop is called. The replica
// outlives ctx because the last calls to the servers need it.
func (r *replica) start(ctx context.Context) (stop func() error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		r.err = r.run(ctx)
		close(r.done)
	}()
	return func() error {
		cancel()
		<-r.done
		return r.err
	}
}

// stopServer waits until ctx ends, transfers leadership and the vote, and stops
// the server gracefully. If the replica stops by itself first, stopServer stops the server
// immediately and returns the replica's error.
func (r *replica) stopServer(ctx context.Context, server *peerServer) error {
	select {
	case <-r.done:
		server.Stop()
		return r.err
	case <-ctx.Done():
	}
	r.node.TransferLeadership(context.WithoutCancel(ctx))
	r.node.Leave(context.WithoutCancel(ctx))
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
