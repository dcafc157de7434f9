package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// errSecondConnection means that net/http tried to open a second connection for
// a call that is sent at most once.
var errSecondConnection = errors.New("backendhttp: second connection for a call that is sent at most once")

// errWriteForbidden means that a call was abandoned before its first write.
var errWriteForbidden = errors.New("backendhttp: call was abandoned before its first write")

// CallOnce sends a call at most once. net/http resends a request with an
// Idempotency-Key header on a new connection if it finds that a reused
// connection has been closed. Each call therefore has its own transport, which
// opens a single new connection. An error matches backend.ErrNotSent if nothing
// has been written to that connection; nothing is written later either.
func (c *Client) CallOnce(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error) {
	dialer := &singleDialer{dialer: c.dialer}
	transport := &http.Transport{DialContext: dialer.dial, MaxResponseHeaderBytes: maxHeaderBytes, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	answer, err := c.send(ctx, &http.Client{Transport: transport, CheckRedirect: returnRedirect}, call)
	if err != nil && dialer.gate.forbidWrites() {
		return answer, fmt.Errorf("%w: %w", backend.ErrNotSent, err)
	}
	return answer, err
}

// writeGate decides the race between the first write of a call and the decision
// that the call was not sent, since net/http may still write after it has
// returned an error. The first of the two is final.
type writeGate struct {
	state atomic.Int32
}

// States of a writeGate. gateInitial changes to one of the others, which are
// final.
const (
	gateInitial int32 = iota
	gateWritten
	gateForbidden
)

// allowWrite reports whether a write may begin and, if so, records that there
// was one.
func (g *writeGate) allowWrite() bool {
	return g.state.CompareAndSwap(gateInitial, gateWritten) || g.state.Load() == gateWritten
}

// forbidWrites forbids all writes and returns true, unless a write has begun or
// writes are already forbidden.
func (g *writeGate) forbidWrites() bool {
	return g.state.CompareAndSwap(gateInitial, gateForbidden)
}

// singleDialer dials at most one connection, whose writes gate controls.
type singleDialer struct {
	dialer *net.Dialer
	dialed atomic.Bool
	gate   writeGate
}

func (s *singleDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if s.dialed.Swap(true) {
		return nil, errSecondConnection
	}
	conn, err := s.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return &gatedConn{Conn: conn, gate: &s.gate}, nil
}

// gatedConn is a connection that asks its gate before each write. It embeds
// net.Conn and is not a *net.TCPConn, so net/http can't bypass Write.
type gatedConn struct {
	net.Conn
	gate *writeGate
}

// Write implements net.Conn. It fails with errWriteForbidden if the gate forbids
// writes.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.gate.allowWrite() {
		return 0, errWriteForbidden
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		return n, fmt.Errorf("write call: %w", err)
	}
	return n, nil
}
