package peergrpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"github.com/lagoonshift/lagoonshift/internal/transport/tcpopt"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. Otherwise peers would wait after a network partition
	// for TCP's next retransmission, which can take long.
	userTimeout       = 2 * time.Second
	connectTimeout    = time.Second
	reconnectDelay    = 50 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	reconnectFactor   = 1.6
	reconnectJitter   = 0.2
)

// newClientConn prepares a connection to a peer address. It does not connect yet.
func newClientConn(address string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dialTCP),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectDelay,
				Multiplier: reconnectFactor,
				Jitter:     reconnectJitter,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, fmt.Errorf("prepare connection to %s: %w", address, err)
	}
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return tcpopt.SetUserTimeout(raw, userTimeout)
}

// Pool keeps one connection per peer address. It is safe for concurrent use.
type Pool struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex // guards conns
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool whose connections use the given credentials.
func NewPool(creds credentials.TransportCredentials) *Pool {
	return &Pool{creds: creds, conns: make(map[string]*grpc.ClientConn)}
}

// conn returns the connection to an address.
func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := newClientConn(address, p.creds)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// Drop closes the connection to an address; the next use of the address opens a
// new one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}
