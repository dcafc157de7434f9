package serve_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/role/serve"
)

// TestHTTP2ClientsDontKeepAServerFromStopping guards against a stop that clients with overlapping
// requests on one HTTP/2 connection prevent.
func TestHTTP2ClientsDontKeepAServerFromStopping(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	source := httptest.NewUnstartedServer(http.NotFoundHandler())
	source.EnableHTTP2 = true
	source.StartTLS()
	defer source.Close()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- serve.Listener(ctx, tcp, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }),
			&tls.Config{Certificates: source.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}})
	}()
	var clients sync.WaitGroup
	sending, cancel := context.WithCancel(t.Context())
	for i := range 4 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for sending.Err() == nil {
				request, err := http.NewRequestWithContext(sending, http.MethodGet, "https://"+tcp.Addr().String(), nil)
				if err != nil {
					t.Error(err)
					return
				}
				response, err := source.Client().Do(request)
				if err != nil {
					return
				}
				_ = response.Body.Close()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the stop is still in progress after 3s")
	}
	cancel()
	clients.Wait()
}
