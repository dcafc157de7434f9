package controlrole

import (
	"context"
	"fmt"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// maxMessageBytes bounds the size of a message from a peer.
const maxMessageBytes = 8 << 20

// peerServer is the gRPC server for other processes. It lets unary calls finish
// before it stops.
type peerServer struct {
	*grpc.Server
	// calls counts the unary calls in progress. Streams between replicas never
	// end by themselves and are not counted.
	calls sync.WaitGroup
}

func newPeerServer(creds credentials.TransportCredentials) *peerServer {
	s := &peerServer{}
	s.Server = grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.UnaryInterceptor(s.count))
	return s
}

func (s *peerServer) count(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	s.calls.Add(1)
	defer s.calls.Done()
	return handler(ctx, request)
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
	s.calls.Wait()
	endStreams()
	<-stopped
}
