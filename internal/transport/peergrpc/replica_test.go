package peergrpc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// testReplica is one replica of a group; it listens on a free port.
type testReplica struct {
	identity raftstore.Identity
	address  string
	node     *raft.Node
	store    *store.Store
	log      *ForwardingLog
	// old is set if the replica announces no command sets, as earlier builds don't.
	old       bool
	transport *ReplicaTransport
}

// shortTiming makes elections quick; no test checks times.
var shortTiming = raft.Timing{ElectionTimeout: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, LeaseMargin: 20 * time.Millisecond}

// startReplica starts a replica. Replica 1 initializes the group.
func startReplica(t *testing.T, id uint64, name string) *testReplica {
	t.Helper()
	return startReplicaOf(t, id, name, false)
}

// startReplicaOf is like startReplica; old is set for a replica of an earlier build.
func startReplicaOf(t *testing.T, id uint64, name string, old bool) *testReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testReplica{
		identity: raftstore.Identity{Deployment: "d", Name: name, ReplicaID: id, ClusterID: "c"},
		address:  listener.Addr().String(),
		store:    store.New(),
		old:      old,
	}
	folder := memdisk.New(id).Open(nil)
	if id == 1 {
		err = raftstore.Init(folder, r.identity, r.address, raftstore.DefaultOptions)
	} else {
		err = raftstore.Prepare(folder, r.identity, raftstore.DefaultOptions)
	}
	if err != nil {
		t.Fatal(err)
	}
	r.serve(t, listener, folder)
	return r
}

func (r *testReplica) serve(t *testing.T, listener net.Listener, folder disk.Folder) {
	t.Helper()
	storage, err := raftstore.Open(folder, r.identity, raftstore.DefaultOptions)
	if err != nil {
		t.Fatal(err)
	}
	pool := NewPool(insecure.NewCredentials())
	transport := NewReplicaTransport(pool, r.identity.ClusterID, r.address, hclog.NewNullLogger())
	if r.old {
		transport.commandSets = nil
	}
	r.transport = transport
	r.node, err = raft.New(raft.Options{
		ID:           r.identity.ReplicaID,
		ClusterID:    r.identity.ClusterID,
		StateMachine: r.store,
		Storage:      storage,
		Transport:    transport,
		Clock:        clock.Boot{},
		IsSettings:   store.IsSettingsCommand,
		Timing:       shortTiming,
		Compaction:   raft.Compaction{LogBytes: 2000, TrailingEntries: 1},
		Log:          hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r.log = NewForwardingLog(r.node, pool)
	server := grpc.NewServer()
	replicaServer := NewReplicaServer(ReplicaOptions{
		Node:       r.node,
		Transport:  transport,
		ClusterID:  r.identity.ClusterID,
		ReplicaID:  r.identity.ReplicaID,
		Deployment: "d",
		Names:      []string{"one", "two"},
	})
	replicaServer.Register(server)
	NewControlServer(r.log, r.store).Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { _ = server.Serve(listener) }()
	go func() {
		_ = r.node.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		replicaServer.Stop()
		server.Stop()
		cancel()
		<-stopped
		transport.Close()
		pool.Close()
	})
}

// submit commits a command through a replica and retries while there is no
// leader or the outcome is unknown.
func submit(t *testing.T, r *testReplica, key string) {
	t.Helper()
	command := store.Command{Reserve: &ledger.Reserve{Key: ledger.Key{IdempotencyKey: key}, Attempt: "a"}}
	encoded, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for {
		_, err := r.log.Submit(t.Context(), encoded)
		if err == nil {
			return
		}
		if !errors.Is(err, replog.ErrNotLeader) && !errors.Is(err, replog.ErrOutcomeUnknown) {
			t.Fatal(err)
		}
		time.Sleep(shortTiming.Heartbeat)
	}
}

func join(t *testing.T, at, added *testReplica, deployment, name string) error {
	t.Helper()
	pool := NewPool(insecure.NewCredentials())
	defer pool.Close()
	_, err := JoinAt(t.Context(), pool, at.address, &peerpb.JoinRequest{
		Name:       name,
		ReplicaId:  added.identity.ReplicaID,
		Address:    added.address,
		Deployment: deployment,
	})
	return err
}

// TestJoinBySnapshotAndForward adds a replica to a group whose log has been
// compacted, so that it needs a snapshot, and submits a command through it, which
// it must forward to the leader. It also checks which join requests are refused.
func TestJoinBySnapshotAndForward(t *testing.T) {
	one := startReplica(t, 1, "one")
	for key := range 100 {
		submit(t, one, string(rune('a'+key)))
	}
	two := startReplica(t, 2, "two")
	if err := join(t, one, two, "other", "two"); status.Code(errors.Unwrap(err)) != codes.PermissionDenied {
		t.Errorf("join of another deployment: got %v, want PermissionDenied", err)
	}
	if err := join(t, one, two, "d", "three"); status.Code(errors.Unwrap(err)) != codes.PermissionDenied {
		t.Errorf("join under an unknown name: got %v, want PermissionDenied", err)
	}
	if err := join(t, one, two, "d", "one"); status.Code(errors.Unwrap(err)) != codes.AlreadyExists {
		t.Errorf("join under a name in use: got %v, want AlreadyExists", err)
	}
	for join(t, one, two, "d", "two") != nil {
		time.Sleep(shortTiming.Heartbeat)
	}
	submit(t, two, "forwarded")
	if err := two.log.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	a, err := one.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b, err := two.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Error("the replicas' states differ")
	}
}

func TestMessagesForAnotherReplicaAreRefused(t *testing.T) {
	one := startReplica(t, 1, "one")
	pool := NewPool(insecure.NewCredentials())
	defer pool.Close()
	for _, envelope := range []*peerpb.Envelope{{ClusterId: "other", To: 1}, {ClusterId: "c", To: 7}} {
		conn, err := pool.conn(one.address)
		if err != nil {
			t.Fatal(err)
		}
		stream, err := peerpb.NewReplicaClient(conn).Deliver(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Send(envelope)
		if _, err := stream.CloseAndRecv(); status.Code(err) != codes.FailedPrecondition {
			t.Errorf("envelope for cluster %q, replica %d: got %v, want FailedPrecondition", envelope.GetClusterId(), envelope.GetTo(), err)
		}
	}
}
