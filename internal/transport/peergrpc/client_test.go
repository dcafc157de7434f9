package peergrpc_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/memlog"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// refusingLog refuses every command as too large.
type refusingLog struct {
	*memlog.Log
	submitted atomic.Int32
}

func (l *refusingLog) Submit(context.Context, []byte) (replog.Applied, error) {
	l.submitted.Add(1)
	return replog.Applied{}, raft.ErrTooLarge
}

func TestFinalRefusalIsNotSentAgain(t *testing.T) {
	state := store.New()
	log := &refusingLog{Log: memlog.New(state, clock.Boot{}, store.IsSettingsCommand)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peergrpc.NewControlServer(log, state).Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, err := peergrpc.DialControl([]string{listener.Addr().String()}, insecure.NewCredentials())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	_, err = client.Submit(t.Context(), &store.Command{Bootstrap: &settings.Bootstrap{}})
	if status.Code(err) != codes.InvalidArgument || log.submitted.Load() != 1 {
		t.Errorf("Submit = %v after %d tries, want InvalidArgument after one", err, log.submitted.Load())
	}
}
