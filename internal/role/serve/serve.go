// Package serve runs listeners until a context ends and then stops them
// without cutting requests.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// maxHeader bounds a request's headers, in bytes.
	maxHeader = 64 << 10
)

// HTTP serves handler at address until ctx ends; it then stops accepting and
// returns when the last request is finished.
func HTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		stopped <- server.Shutdown(context.Background())
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
