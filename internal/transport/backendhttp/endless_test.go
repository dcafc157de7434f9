package backendhttp

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEndlessBodiesAreBoundedInSum guards against running out of memory while many services
// send bodies without end.
func TestEndlessBodiesAreBoundedInSum(t *testing.T) {
	const calls = 40
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 64<<10); ; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	client, call := New(), newCall("http://"+listener.Addr().String())
	ended := make(chan error, calls)
	for range calls {
		go func() { _, err := client.Call(t.Context(), call); ended <- err }()
	}
	most := int64(0)
	for left := calls; left > 0; {
		select {
		case err := <-ended:
			left--
			if err == nil {
				t.Error("a body without end was returned")
			}
		case <-time.After(time.Millisecond):
			most = max(most, client.buffers.Used())
		}
	}
	if limit := int64(24 << 20); most == 0 || most > limit || client.buffers.Used() != 0 {
		t.Errorf("%d bytes were held at once and %d at the end, want some, at most %d, and none", most, client.buffers.Used(), limit)
	}
}
