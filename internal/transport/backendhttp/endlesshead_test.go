package backendhttp

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEndlessHeadEndsEachKindOfCall guards against keeping more of a response's head than
// the limit, in calls that are sent once too.
func TestEndlessHeadEndsEachKindOfCall(t *testing.T) {
	const maxTaken = 8 << 20 // with what socket buffers hold
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var taken atomic.Int64
	ended := make(chan struct{}, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n")); err == nil {
				taken.Store(0)
			}
			for line := []byte(strings.Repeat("X-More: 1\r\n", 1000)); err == nil; {
				var n int
				n, err = conn.Write(line)
				taken.Add(int64(n))
			}
			_ = conn.Close()
			ended <- struct{}{}
		}
	}()
	client, call := New(), newCall("http://"+listener.Addr().String())
	for name, do := range map[string]func() error{
		"call":      func() error { _, err := client.Call(t.Context(), call); return err },
		"call once": func() error { _, err := client.CallOnce(t.Context(), call); return err },
	} {
		if err := do(); err == nil {
			t.Errorf("%s: no error", name)
		}
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the connection is still open", name)
		}
		if n := taken.Load(); n > maxTaken {
			t.Errorf("%s: %d bytes of a head were taken, want at most %d", name, n, maxTaken)
		}
	}
}
