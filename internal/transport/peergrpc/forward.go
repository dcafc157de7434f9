package peergrpc

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// ForwardingLog is a replica's log whose Submit also works on a follower: it
// forwards the command to the leader, which does not forward it again. It
// implements replog.Log.
type ForwardingLog struct {
	replog.Log
	pool *Pool
}

// NewForwardingLog returns a log that forwards over pool's connections.
func NewForwardingLog(log replog.Log, pool *Pool) *ForwardingLog {
	return &ForwardingLog{Log: log, pool: pool}
}

// Submit implements replog.Log.
func (f *ForwardingLog) Submit(ctx context.Context, command []byte) (replog.Applied, error) {
	applied, err := f.Log.Submit(ctx, command)
	if !errors.Is(err, replog.ErrNotLeader) || ctx.Err() != nil {
		return applied, err
	}
	applied, err = f.forward(ctx, command)
	if err != nil {
		return replog.Applied{}, err
	}
	// The command is committed. The barrier makes its effect visible to readers
	// of this replica.
	if err := f.ReadBarrier(ctx); err != nil {
		return replog.Applied{}, fmt.Errorf("%w: forwarded command: %w", replog.ErrOutcomeUnknown, err)
	}
	return applied, nil
}

func (f *ForwardingLog) forward(ctx context.Context, command []byte) (replog.Applied, error) {
	view := f.View()
	if view.LeaderAddress == "" || view.LeaderID == view.ReplicaID {
		return replog.Applied{}, replog.ErrNotLeader
	}
	conn, err := f.pool.conn(view.LeaderAddress)
	if err != nil {
		return replog.Applied{}, fmt.Errorf("%w: %w", replog.ErrNotLeader, err)
	}
	request := &peerpb.SubmitRequest{Command: command, Forwarded: true}
	response, err := peerpb.NewControlClient(conn).Submit(ctx, request)
	switch {
	case status.Code(err) == codes.FailedPrecondition:
		return replog.Applied{}, fmt.Errorf("forward to %s: %w: %w", view.LeaderAddress, replog.ErrNotLeader, err)
	case err != nil:
		return replog.Applied{}, fmt.Errorf("forward to %s: %w: %w", view.LeaderAddress, replog.ErrOutcomeUnknown, err)
	}
	return replog.Applied{Index: response.GetIndex(), Result: response.GetResult()}, nil
}
