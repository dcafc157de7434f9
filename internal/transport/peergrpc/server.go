// Package peergrpc carries messages between the processes of one deployment.
package peergrpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// LeaseDuration is the length of an entry's settings lease.
const LeaseDuration = 3 * time.Second

// ControlServer serves the Control service of one replica.
type ControlServer struct {
	peerpb.UnimplementedControlServer

	log   replog.Log
	store *store.Store
}

// NewControlServer returns a server for the replica behind log and store.
func NewControlServer(log replog.Log, s *store.Store) *ControlServer {
	return &ControlServer{log: log, store: s}
}

// Register adds the service to a gRPC server.
func (c *ControlServer) Register(server *grpc.Server) {
	peerpb.RegisterControlServer(server, c)
}

// Renew implements peerpb.ControlServer.
func (c *ControlServer) Renew(context.Context, *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	view := c.log.View()
	return &peerpb.RenewResponse{
		ReplicaId:          view.ReplicaID,
		LogSettingsVersion: view.LogSettingsIndex,
		Voters:             view.Voters,
		VotersIndex:        view.VotersIndex,
		LeaseMs:            uint64(LeaseDuration.Milliseconds()),
	}, nil
}

// Settings implements peerpb.ControlServer.
func (c *ControlServer) Settings(ctx context.Context, request *peerpb.SettingsRequest) (*peerpb.SettingsResponse, error) {
	if err := c.log.ReadBarrier(ctx); err != nil {
		return nil, toStatus("settings read barrier", err)
	}
	version, content, err := c.store.EntryDocument()
	if err != nil {
		return nil, status.Errorf(codes.Internal, "encode settings: %v", err)
	}
	if version == request.GetHaveVersion() {
		content = nil
	}
	return &peerpb.SettingsResponse{Version: version, Content: content}, nil
}

// Submit implements peerpb.ControlServer.
func (c *ControlServer) Submit(ctx context.Context, request *peerpb.SubmitRequest) (*peerpb.SubmitResponse, error) {
	applied, err := c.log.Submit(ctx, request.GetCommand())
	if err != nil {
		return nil, toStatus("submit command", err)
	}
	return &peerpb.SubmitResponse{Result: applied.Result, Index: applied.Index}, nil
}

// ReportLoad implements peerpb.ControlServer.
func (c *ControlServer) ReportLoad(context.Context, *peerpb.LoadReport) (*peerpb.LoadReportResponse, error) {
	return &peerpb.LoadReportResponse{}, nil
}

// toStatus maps a log error to a gRPC status that the client maps back.
func toStatus(step string, err error) error {
	switch {
	case errors.Is(err, replog.ErrNotLeader), errors.Is(err, replog.ErrStopped):
		return status.Errorf(codes.FailedPrecondition, "%s: %v", step, err)
	case errors.Is(err, context.DeadlineExceeded):
		return status.Errorf(codes.DeadlineExceeded, "%s: %v", step, err)
	}
	return status.Errorf(codes.Unknown, "%s: %v", step, err)
}
