package peergrpc

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	// retryDelay is the time between two passes over all replicas.
	retryDelay = 50 * time.Millisecond
	// attemptTimeout bounds a call to one replica before the next is tried.
	attemptTimeout = 2 * time.Second
)

// ControlClient is a client of all control replicas. It is safe for concurrent
// use.
type ControlClient struct {
	replicas []replica
	// preferred is the index of the replica that last answered successfully.
	preferred atomic.Int32
}

type replica struct {
	address string
	conn    *grpc.ClientConn
	control peerpb.ControlClient
}

// DialControl prepares connections to the control replicas at the given
// addresses. It does not connect yet.
func DialControl(addresses []string, creds credentials.TransportCredentials) (*ControlClient, error) {
	c := &ControlClient{}
	for _, address := range addresses {
		conn, err := newClientConn(address, creds)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.replicas = append(c.replicas, replica{address: address, conn: conn, control: peerpb.NewControlClient(conn)})
	}
	return c, nil
}

// Close closes all connections.
func (c *ControlClient) Close() {
	for _, r := range c.replicas {
		_ = r.conn.Close()
	}
}

// Renew asks every replica to renew a lease and returns the answers received
// before ctx ended.
func (c *ControlClient) Renew(ctx context.Context, renewal lease.Renewal) []lease.Answer {
	request := &peerpb.RenewRequest{
		Member:          renewal.Member,
		Incarnation:     renewal.Incarnation,
		SettingsVersion: renewal.Version,
	}
	answers := make([]*lease.Answer, len(c.replicas))
	var group errgroup.Group
	for i, r := range c.replicas {
		group.Go(func() error {
			response, err := r.control.Renew(ctx, request)
			if err == nil {
				answers[i] = toAnswer(response)
			}
			return nil
		})
	}
	_ = group.Wait()
	var out []lease.Answer
	for _, a := range answers {
		if a != nil {
			out = append(out, *a)
		}
	}
	return out
}

func toAnswer(response *peerpb.RenewResponse) *lease.Answer {
	return &lease.Answer{
		Replica:          response.GetReplicaId(),
		LogSettingsIndex: response.GetLogSettingsVersion(),
		Voters:           response.GetVoters(),
		VotersIndex:      response.GetVotersIndex(),
		Duration:         time.Duration(response.GetLeaseMs()) * time.Millisecond,
	}
}

// Submit commits a command and returns its result. After an error that
// matches replog.ErrOutcomeUnknown the command may have been committed; all commands
// are idempotent, so it may be submitted again.
func (c *ControlClient) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	var result store.Result
	var refused error // final: the other replicas would refuse the command too
	uncertain := false
	err = c.tryEach(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.Submit(ctx, &peerpb.SubmitRequest{Command: encoded})
		switch {
		case status.Code(err) == codes.InvalidArgument:
			refused = fmt.Errorf("submit to %s: %w", r.address, err)
			return nil
		case err != nil:
			uncertain = uncertain || !certainlyNotAppended(err)
			return fmt.Errorf("submit to %s: %w", r.address, err)
		}
		result, refused = store.DecodeResult(response.GetResult())
		return nil
	})
	switch {
	case err == nil:
		return result, refused
	case uncertain:
		return store.Result{}, fmt.Errorf("%w: %w", replog.ErrOutcomeUnknown, err)
	}
	return store.Result{}, err
}

// ReportLoad sends an encoded roleplan.Report to the control leader.
func (c *ControlClient) ReportLoad(ctx context.Context, member string, incarnation uint64, digest []byte) error {
	request := &peerpb.LoadReport{Member: member, Incarnation: incarnation, Digest: digest}
	return c.tryEach(ctx, func(ctx context.Context, r replica) error {
		if _, err := r.control.ReportLoad(ctx, request); err != nil {
			return fmt.Errorf("report load to %s: %w", r.address, err)
		}
		return nil
	})
}

// certainlyNotAppended reports whether a failed call cannot have appended
// anything to the log.
func certainlyNotAppended(err error) bool {
	return status.Code(err) == codes.FailedPrecondition
}

// tryEach calls do for one replica after the other, starting with the preferred
// one, until do succeeds or ctx ends.
func (c *ControlClient) tryEach(ctx context.Context, do func(context.Context, replica) error) error {
	for {
		start := int(c.preferred.Load())
		var last error
		for i := range c.replicas {
			at := (start + i) % len(c.replicas)
			last = attempt(ctx, c.replicas[at], do)
			if last == nil {
				c.preferred.Store(int32(at))
				return nil
			}
			if ctx.Err() != nil {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryDelay):
		}
	}
}

func attempt(ctx context.Context, r replica, do func(context.Context, replica) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return do(ctx, r)
}
