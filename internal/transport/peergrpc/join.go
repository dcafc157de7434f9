package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	// joinTimeout is the timeout of one join request.
	joinTimeout    = time.Second
	joinRetryDelay = 250 * time.Millisecond
)

// Join asks the replicas at the given addresses to add a new replica until one
// does or ctx ends, and returns the group's cluster id. It calls addresses before
// each attempt, as the replicas' addresses may change.
func Join(ctx context.Context, pool *Pool, addresses func() []string, request *peerpb.JoinRequest, log hclog.Logger) (string, error) {
	for {
		clusterID, err := JoinAny(ctx, pool, addresses(), request)
		if err == nil {
			return clusterID, nil
		}
		log.Info("join request failed; trying again", "error", err)
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("join group: %w", ctx.Err())
		case <-time.After(joinRetryDelay):
		}
	}
}

// JoinAny asks the replicas at all given addresses at the same time to add a new
// replica, so that an unreachable one delays nothing. It returns the cluster id from
// the first that does, or the errors of all after joinTimeout at the latest.
// Adding a replica twice has no effect.
func JoinAny(ctx context.Context, pool *Pool, addresses []string, request *peerpb.JoinRequest) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	type answer struct {
		clusterID string
		err       error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			clusterID, err := JoinAt(ctx, pool, address, request)
			answers <- answer{clusterID, err}
		}()
	}
	var errs []error
	for range addresses {
		a := <-answers
		if a.err == nil {
			return a.clusterID, nil
		}
		errs = append(errs, a.err)
	}
	if len(errs) == 0 {
		return "", errNoAddress
	}
	return "", errors.Join(errs...)
}

var errNoAddress = errors.New("no address of a replica to join is known")

// JoinAt asks the replica at one address to add a new replica, and returns the
// group's cluster id.
func JoinAt(ctx context.Context, pool *Pool, address string, request *peerpb.JoinRequest) (string, error) {
	conn, err := pool.conn(address)
	if err != nil {
		return "", err
	}
	response, err := peerpb.NewReplicaClient(conn).Join(ctx, request)
	if err != nil {
		return "", fmt.Errorf("join at %s: %w", address, err)
	}
	return response.GetClusterId(), nil
}
