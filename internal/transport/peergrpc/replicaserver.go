package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// ReplicaOptions configures a ReplicaServer.
type ReplicaOptions struct {
	Node      *raft.Node
	Transport *ReplicaTransport
	ClusterID string
	ReplicaID uint64
	// Deployment is the deployment's name, and Names are the names of its control
	// processes; no other process may join. If Names is empty, any process of
	// the deployment may.
	Deployment string
	Names      []string
	// Pool holds the connection to the leader, to which Join requests are
	// forwarded. If it is nil, they are refused on followers.
	Pool *Pool
}

// ReplicaServer serves the Replica service of one replica.
type ReplicaServer struct {
	peerpb.UnimplementedReplicaServer

	options ReplicaOptions
	once    sync.Once
	stopped chan struct{}
}

// NewReplicaServer returns a server for one replica.
func NewReplicaServer(o ReplicaOptions) *ReplicaServer {
	return &ReplicaServer{options: o, stopped: make(chan struct{})}
}

// Register adds the service to a gRPC server.
func (r *ReplicaServer) Register(server *grpc.Server) {
	peerpb.RegisterReplicaServer(server, r)
}

// Stop ends all Deliver streams, which would otherwise keep a graceful stop of
// the gRPC server waiting.
func (r *ReplicaServer) Stop() {
	r.once.Do(func() { close(r.stopped) })
}

// Deliver implements peerpb.ReplicaServer.
func (r *ReplicaServer) Deliver(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.DeliverResponse]) error {
	ended := make(chan error, 1)
	go func() { ended <- r.receive(stream) }()
	select {
	case err := <-ended:
		return err
	case <-r.stopped:
		return status.Error(codes.Unavailable, "replica is stopping")
	}
}

func (r *ReplicaServer) receive(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.DeliverResponse]) error {
	announced := announcedCommandSets(stream.Context())
	for {
		envelope, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.DeliverResponse{})
		}
		if err != nil {
			return err
		}
		if err := r.checkRecipient(envelope.GetClusterId(), envelope.GetTo()); err != nil {
			return err
		}
		for _, m := range envelope.GetMessages() {
			r.options.Transport.setAddress(m.GetFrom(), envelope.GetFromAddress())
			r.options.Transport.setCommandSets(m.GetFrom(), announced)
			r.options.Node.Deliver(fromProto(m))
		}
	}
}

// checkRecipient refuses messages for another cluster, and those for another
// replica, such as one that had this address before.
func (r *ReplicaServer) checkRecipient(clusterID string, to uint64) error {
	if clusterID != r.options.ClusterID {
		return status.Errorf(codes.FailedPrecondition, "message for cluster %q reached cluster %q", clusterID, r.options.ClusterID)
	}
	if to != r.options.ReplicaID {
		return status.Errorf(codes.FailedPrecondition, "message for replica %x reached replica %x", to, r.options.ReplicaID)
	}
	return nil
}

// InstallSnapshot implements peerpb.ReplicaServer.
func (r *ReplicaServer) InstallSnapshot(stream grpc.ClientStreamingServer[peerpb.SnapshotChunk, peerpb.DeliverResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := r.checkRecipient(first.GetClusterId(), first.GetTo()); err != nil {
		return err
	}
	data, err := receiveData(stream, first)
	if err != nil {
		return fmt.Errorf("receive snapshot from %s: %w", first.GetFromAddress(), err)
	}
	r.options.Transport.setAddress(first.GetFrom(), first.GetFromAddress())
	r.options.Node.Deliver(fromChunks(first, data))
	return stream.SendAndClose(&peerpb.DeliverResponse{})
}

// receiveData returns a snapshot's data, from the given first chunk to the last
// one, and verifies its checksum.
func receiveData(stream grpc.ClientStreamingServer[peerpb.SnapshotChunk, peerpb.DeliverResponse], chunk *peerpb.SnapshotChunk) ([]byte, error) {
	data := chunk.GetData()
	for !chunk.GetLast() {
		var err error
		if chunk, err = stream.Recv(); err != nil {
			return nil, err
		}
		data = append(data, chunk.GetData()...)
	}
	if crc32.Checksum(data, castagnoli) != chunk.GetChecksum() {
		return nil, status.Error(codes.DataLoss, "checksum differs")
	}
	return data, nil
}

// Join implements peerpb.ReplicaServer.
func (r *ReplicaServer) Join(ctx context.Context, request *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	known := len(r.options.Names) == 0 || slices.Contains(r.options.Names, request.GetName())
	if request.GetDeployment() != r.options.Deployment || !known {
		return nil, status.Errorf(codes.PermissionDenied, "join: %q of deployment %q is no control process of deployment %q",
			request.GetName(), request.GetDeployment(), r.options.Deployment)
	}
	added := raft.Member{ID: request.GetReplicaId(), Name: request.GetName(), Address: request.GetAddress()}
	err := r.options.Node.Join(ctx, added)
	switch {
	case errors.Is(err, replog.ErrNotLeader):
		return r.forwardJoin(ctx, request)
	case errors.Is(err, raft.ErrNameInUse):
		return nil, status.Errorf(codes.AlreadyExists, "join: %v", err)
	case err != nil:
		return nil, status.Errorf(codes.Unavailable, "join: %v", err)
	}
	return &peerpb.JoinResponse{ClusterId: r.options.ClusterID}, nil
}

// forwardJoin forwards a join request to the leader, whose address the joining
// replica may not know.
func (r *ReplicaServer) forwardJoin(ctx context.Context, request *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	view := r.options.Node.View()
	if request.GetForwarded() || view.LeaderAddress == "" || view.LeaderID == view.ReplicaID || r.options.Pool == nil {
		return nil, status.Errorf(codes.FailedPrecondition, "join: the leader is %q", view.LeaderAddress)
	}
	conn, err := r.options.Pool.conn(view.LeaderAddress)
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "join: %v", err)
	}
	forwarded := &peerpb.JoinRequest{
		Name:       request.GetName(),
		ReplicaId:  request.GetReplicaId(),
		Address:    request.GetAddress(),
		Deployment: request.GetDeployment(),
		Forwarded:  true,
	}
	return peerpb.NewReplicaClient(conn).Join(ctx, forwarded)
}
