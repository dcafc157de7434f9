package peergrpc

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	joinTimeout    = 2 * time.Second
	joinRetryDelay = 500 * time.Millisecond
)

// Join asks one replica after the other to add a new replica until one does or
// ctx ends, and returns the group's cluster id. It calls addresses before each
// pass, as the replicas' addresses may change.
func Join(ctx context.Context, pool *Pool, addresses func() []string, request *peerpb.JoinRequest, log hclog.Logger) (string, error) {
	for {
		for _, address := range addresses() {
			clusterID, err := JoinAt(ctx, pool, address, request)
			if err == nil {
				return clusterID, nil
			}
			log.Info("join request failed; trying again", "peer", address, "error", err)
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("join group: %w", ctx.Err())
		case <-time.After(joinRetryDelay):
		}
	}
}

// JoinAt asks the replica at one address to add a new replica, and returns the
// group's cluster id.
func JoinAt(ctx context.Context, pool *Pool, address string, request *peerpb.JoinRequest) (string, error) {
	conn, err := pool.conn(address)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	response, err := peerpb.NewReplicaClient(conn).Join(ctx, request)
	if err != nil {
		return "", fmt.Errorf("join at %s: %w", address, err)
	}
	return response.GetClusterId(), nil
}
