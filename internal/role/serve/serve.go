// Package serve runs listeners until a context ends and then stops them
// without cutting requests.
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
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a connection may be idle.
	idleTimeout = 90 * time.Second
	// maxHeader bounds a request's headers, in bytes.
	maxHeaderBytes = 64 << 10
	// maxConnections bounds the connections of one listener.
	maxConnections = 16 << 10
)

// HTTP serves handler at address until ctx ends; it then stops accepting and
// returns when the last request is finished. Without a TLS configuration it
// speaks plain TCP.
func HTTP(ctx context.Context, address string, handler http.Handler, config *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	return Listener(ctx, listener, handler, config)
}

// On serves handler on a listener, as HTTP does.
func Listener(ctx context.Context, listener net.Listener, handler http.Handler, config *tls.Config) error {
	address := listener.Addr()
	listener = netutil.LimitListener(listener, maxConnections)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
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
