package serve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/role/serve/servetest"
)

// TestStopAnswersWhatItHasRead guards against a request that is read whole and dropped while
// the server stops.
func TestStopAnswersWhatItHasRead(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for range 20 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := &servetest.Listener{Listener: tcp}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- serve.Listener(ctx, listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // only its end matters
			}), nil)
		}()
		wait := listener.SendUntilClosed(t, 50, request)
		time.Sleep(20 * time.Millisecond)
		stop()
		if wait() == 0 {
			t.Error("no request was answered before the stop")
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
