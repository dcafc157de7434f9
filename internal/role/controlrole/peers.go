package controlrole

import (
	"context"
	"fmt"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// maxMessageBytes bounds the size of a message from a peer.
const maxMessageBytes = 8 << 20

// peerServer is the gRPC server for other processes. It lets unary calls finish
// before it stops.
type peerServer struct {
	*grpc.Server
	mu sync.Mutex // guards calls
	// calls counts the unary calls in progress, and idle is signalled when there are none.
	// Streams between replicas never end by themselves and are not counted.
	calls int
	idle  *sync.Cond
}

func newPeerServer(creds credentials.TransportCredentials) *peerServer {
	s := &peerServer{}
	s.idle = sync.NewCond(&s.mu)
	s.Server = grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.UnaryInterceptor(s.count), peergrpc.CodecOption())
	return s
}

func (s *peerServer) count(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	s.addCalls(1)
	defer s.addCalls(-1)
	return handler(ctx, request)
}

func (s *peerServer) addCalls(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls += n; s.calls == 0 {
		s.idle.Broadcast()
	}
}

// awaitCalls waits until no unary call is in progress. Calls may begin all the while.
func (s *peerServer) awaitCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.calls > 0 {
		s.idle.Wait()
	}
}

func (s *peerServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	return s.Serve(listener)
}

// stop refuses new calls, waits for unary calls in progress, ends the streams by
// calling endStreams, and returns once the server has stopped.
func (s *peerServer) stop(endStreams func()) {
	stopped := make(chan struct{})
	go func() {
		s.GracefulStop()
		close(stopped)
	}()
	s.awaitCalls()
	endStreams()
	<-stopped
}
