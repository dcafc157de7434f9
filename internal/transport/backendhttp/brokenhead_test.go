package backendhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// serveBytes answers each request with the given bytes and closes the connection in
// order.
func serveBytes(t *testing.T, answer string) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestHeadBrokenOffIsNoResponse guards against a success with an empty or short body after a server closed the connection within the head of its response.
func TestHeadBrokenOffIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	client := New()
	for cut := range len(head) {
		url := serveBytes(t, head[:cut])
		call := newCall(url)
		if answer, err := client.Call(t.Context(), call); err == nil {
			t.Errorf("%q: call returned %+v", head[:cut], answer)
		}
		if answer, err := client.CallOnce(t.Context(), call); err == nil {
			t.Errorf("%q: call that is sent once returned %+v", head[:cut], answer)
		}
		if answer, found, err := client.Lookup(t.Context(), call); err == nil || found {
			t.Errorf("%q: lookup returned %+v", head[:cut], answer)
		}
		if answer, err := client.Forward(t.Context(), []string{url}, call); err == nil {
			t.Errorf("%q: call to the old system returned %+v", head[:cut], answer)
		}
		if report, err := client.Load(t.Context(), url); err == nil {
			t.Errorf("%q: load report %+v", head[:cut], report)
		}
		if _, err := client.Complete(t.Context(), url, &backend.CompletionRequest{}); err == nil {
			t.Errorf("%q: completion began", head[:cut])
		}
	}
}

// TestErrorInStreamIsNoEvent guards against an error text or the head of another response that is passed on in a stream, or ends it like a complete one.
func TestErrorInStreamIsNoEvent(t *testing.T) {
	for _, end := range []string{"", "boom\n\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nboom"} {
		url := serveBytes(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+"event: token\ndata: {\"attempt\":\"a\",\"offset\":0,\"text\":\"x\"}\n\n"+end)
		stream, err := New().Complete(t.Context(), url, &backend.CompletionRequest{})
		if err != nil {
			t.Fatal(err)
		}
		var e backend.Event
		if err := stream.Next(&e); err != nil || e.Kind != backend.KindToken {
			t.Errorf("%q: first event of kind %v, error %v, want a token", end, e.Kind, err)
		}
		if err := stream.Next(&e); err == nil {
			t.Errorf("%q: event of kind %v after the first one, want an error", end, e.Kind)
		}
		stream.Close()
	}
}
