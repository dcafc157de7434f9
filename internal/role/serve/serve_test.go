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

// TestPartOfARequestDelaysTheStopBriefly guards against a process that is killed at the end of
// its grace period because a client never sends the rest of its headers.
func TestPartOfARequestDelaysTheStopBriefly(t *testing.T) {
	t.Parallel()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve.Listener(ctx, tcp, http.NotFoundHandler(), nil) }()
	conn, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("the stop took %v, want at most 3s", took)
	}
}
