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

// errSecondConnection means that net/http asked for another connection for a
// call that is sent at most once.
var errSecondConnection = errors.New("backendhttp: a call that is sent once gets one connection")

// errWriteForbidden means that a call was given up before its first write.
var errWriteForbidden = errors.New("backendhttp: call was given up before it was written")

// CallOnce sends a call at most once. net/http repeats a request with an
// Idempotency-Key header on a new connection when a kept one turns out to be
// closed; so the call gets a transport of its own, whose only connection is
// new and is given out once. An error matches backend.ErrNotSent if nothing
// was written to it, and then nothing will be.
func (c *Client) CallOnce(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error) {
	dialer := &singleDialer{dialer: c.dialer}
	transport := &http.Transport{DialContext: dialer.dial, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	answer, err := send(ctx, &http.Client{Transport: transport, CheckRedirect: returnRedirect}, call)
	if err != nil && dialer.gate.forbidWrites() {
		return answer, fmt.Errorf("%w: %w", backend.ErrNotSent, err)
	}
	return answer, err
}

// writeGate settles the race between the first write of a call and the
// decision that it was not sent: net/http may still write after it has
// returned an error. Whichever comes first wins for good.
type writeGate struct {
	state atomic.Int32
}

// States of a writeGate.
const (
	gateInitial int32 = iota
	gateWritten
	gateForbidden
)

// allowWrite reports whether a write may begin.
func (g *writeGate) allowWrite() bool {
	return g.state.CompareAndSwap(gateInitial, gateWritten) || g.state.Load() == gateWritten
}

// forbidWrites forbids writes and reports whether there was none.
func (g *writeGate) forbidWrites() bool {
	return g.state.CompareAndSwap(gateInitial, gateForbidden)
}

// singleDialer dials one connection.
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

// gatedConn asks its gate before each write. Since it is no *net.TCPConn,
// net/http can't write past it.
type gatedConn struct {
	net.Conn
	gate *writeGate
}

// Write implements net.Conn.
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
