// Package serve runs HTTP servers until a context ends and then shuts them down
// without interrupting requests.
package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// headerTimeout bounds the time in which a client must send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the idle time of a connection.
	idleTimeout = 90 * time.Second
	// partTimeout bounds the time in which a client must send the rest of its headers once
	// the server stops.
	partTimeout = 2 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// maxConnections bounds the number of connections per listener.
	maxConnections = 16 << 10
)

// HTTP serves handler at address until ctx ends; it then stops accepting and
// returns when the last request that it has begun to read is answered. A nil TLS configuration means plain
// TCP.
func HTTP(ctx context.Context, address string, handler http.Handler, config *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	return Listener(ctx, listener, handler, config)
}

// Listener serves handler on listener, as HTTP does.
func Listener(ctx context.Context, listener net.Listener, handler http.Handler, config *tls.Config) error {
	listener = netutil.LimitListener(listener, maxConnections)
	if config != nil {
		return listenTLS(ctx, tls.NewListener(listener, config), handler)
	}
	address := listener.Addr()
	connections := NewConnections()
	listener = connections.Listener(listener)
	server := &http.Server{
		Handler:           handler,
		ConnState:         connections.State,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		err := listener.Close()
		connections.StopReading()
		if !connections.AwaitUntil(time.Now().Add(partTimeout)) {
			connections.AbortHeaders(0)
			connections.Await()
		}
		stopped <- err
	})
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil || !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve at %s: %w", address, err)
	}
	if err := <-stopped; err != nil {
		return fmt.Errorf("stop serving at %s: %w", address, err)
	}
	return nil
}

// listenTLS serves handler on a listener with TLS until ctx ends. Clients may use HTTP/2, which
// only Shutdown ends gracefully.
func listenTLS(ctx context.Context, listener net.Listener, handler http.Handler) error {
	address := listener.Addr()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		stopped <- server.Shutdown(context.WithoutCancel(ctx))
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve at %s: %w", address, err)
	}
	if err := <-stopped; err != nil {
		return fmt.Errorf("stop serving at %s: %w", address, err)
	}
	return nil
}
