// Package peergrpc implements the gRPC services between the processes of one
// deployment, both servers and clients.
package peergrpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// LeaseDuration is the duration of an entry's settings lease.
const LeaseDuration = 3 * time.Second

// ControlServer serves the Control service of one replica.
type ControlServer struct {
	peerpb.UnimplementedControlServer

	log   replog.Log
	store *store.Store
	// renewalObserver may be nil.
	renewalObserver RenewalObserver
	// loadCollector may be nil.
	loadCollector LoadCollector
}

// LoadCollector collects the entries' load reports.
type LoadCollector interface {
	// ReportLoad handles the encoded roleplan.Report of a member.
	ReportLoad(member string, digest []byte) error
}

// RenewalObserver is notified of every lease renewal that a replica answers.
type RenewalObserver interface {
	// Renewed is called when a member that has the given settings version in
	// force asks to renew its lease.
	Renewed(member string, incarnation, version uint64)
}

// NewControlServer returns a server for the replica behind log and store.
func NewControlServer(log replog.Log, s *store.Store) *ControlServer {
	return &ControlServer{log: log, store: s}
}

// SetRenewalObserver sets the receiver of renewals. It must be called before Register.
func (c *ControlServer) SetRenewalObserver(r RenewalObserver) {
	c.renewalObserver = r
}

// SetLoadCollector sets the receiver of load reports. It must be called before
// Register.
func (c *ControlServer) SetLoadCollector(d LoadCollector) {
	c.loadCollector = d
}

// Register adds the service to a gRPC server.
func (c *ControlServer) Register(server *grpc.Server) {
	peerpb.RegisterControlServer(server, c)
}

// Submit implements peerpb.ControlServer. It does not forward a command that was
// already forwarded to this replica.
func (c *ControlServer) Submit(ctx context.Context, request *peerpb.SubmitRequest) (*peerpb.SubmitResponse, error) {
	log := c.log
	if forwarding, ok := log.(*ForwardingLog); ok && request.GetForwarded() {
		log = forwarding.Log
	}
	applied, err := log.Submit(ctx, request.GetCommand())
	if err != nil {
		return nil, toStatus("submit command", err)
	}
	return &peerpb.SubmitResponse{Result: applied.Result, Index: applied.Index}, nil
}

// ReportLoad implements peerpb.ControlServer. Only the replica that has
// authority over engines accepts reports; others refuse them, and the client
// tries the next replica.
func (c *ControlServer) ReportLoad(_ context.Context, request *peerpb.LoadReport) (*peerpb.LoadReportResponse, error) {
	if _, ok := c.log.Authority(); !ok || c.loadCollector == nil {
		return nil, toStatus("take load report", replog.ErrNotLeader)
	}
	if err := c.loadCollector.ReportLoad(request.GetMember(), request.GetDigest()); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "take load report: %v", err)
	}
	return &peerpb.LoadReportResponse{}, nil
}

// toStatus maps a log error to a gRPC status that the client maps back.
func toStatus(step string, err error) error {
	switch {
	case errors.Is(err, replog.ErrOutcomeUnknown):
		return status.Errorf(codes.Unknown, "%s: %v", step, err)
	case errors.Is(err, replog.ErrNotLeader), errors.Is(err, replog.ErrStopped):
		return status.Errorf(codes.FailedPrecondition, "%s: %v", step, err)
	case errors.Is(err, raft.ErrTooLarge):
		return status.Errorf(codes.InvalidArgument, "%s: %v", step, err)
	case errors.Is(err, context.DeadlineExceeded):
		return status.Errorf(codes.DeadlineExceeded, "%s: %v", step, err)
	}
	return status.Errorf(codes.Unknown, "%s: %v", step, err)
}
