package serve_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/role/serve"
)

// TestStopLeavesPipelinedRequestsAlone guards against cancelling a request that came in one write
// with the one before.
func TestStopLeavesPipelinedRequestsAlone(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	in2 := make(chan struct{})
	var canceled atomic.Bool
	ended := make(chan error, 1)
	go func() {
		ended <- serve.Listener(ctx, tcp, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				close(in2)
				select {
				case <-r.Context().Done():
					canceled.Store(true)
					panic(http.ErrAbortHandler)
				case <-time.After(300 * time.Millisecond):
				}
			}
			_, _ = io.WriteString(w, "ok")
		}), nil)
	}()
	conn, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-in2
	time.Sleep(20 * time.Millisecond)
	stop()
	br := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d: %v (context canceled: %v)", i+1, err, canceled.Load())
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if canceled.Load() {
		t.Error("context of a handled request canceled by the stop")
	}
	<-ended
}
