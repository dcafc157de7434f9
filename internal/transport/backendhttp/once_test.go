package backendhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/fake/refusedport"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// serveRaw listens on a TCP socket, counts POST requests and calls handle for
// the connection of each.
func serveRaw(t *testing.T, handle func(net.Conn)) (url string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && request.Method == http.MethodPost {
					requests.Add(1)
					handle(conn)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), requests
}

func newCall(url string) backend.ServiceCall {
	return backend.ServiceCall{URL: url + "/bookings", Method: http.MethodPost, IdempotencyKey: "van-1", Attempt: "a", Body: []byte("{}")}
}

// TestCallOnceIsNeverResent checks that a call is sent once, whatever the backend
// server does after it has read it.
func TestCallOnceIsNeverResent(t *testing.T) {
	const redirect = "HTTP/1.1 307 Temporary Redirect\r\nLocation: /bookings\r\nContent-Length: 0\r\n\r\n"
	answers := map[string]string{
		"closes at once":                 "",
		"cuts the status line":           "HTTP/1.1 20",
		"cuts the body":                  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab",
		"asks for a retry":               "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"redirects to itself":            redirect,
		"answers twice":                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"sends garbage":                  "nonsense\r\n\r\n",
		"refuses with 503":               "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n",
		"sends only an interim response": "HTTP/1.1 102 Processing\r\n\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			url, requests := serveRaw(t, func(conn net.Conn) { _, _ = conn.Write([]byte(answer)) })
			c := New()
			_, err := c.CallOnce(t.Context(), newCall(url))
			if errors.Is(err, backend.ErrNotSent) {
				t.Errorf("the call arrived, but its error matches ErrNotSent: %v", err)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("the call arrived %d times, want 1", n)
			}
		})
	}
}

// TestReusedConnectionResends reproduces the fault that CallOnce avoids: net/http
// resends a call with an idempotency key if its reused connection breaks.
func TestReusedConnectionResends(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && requests.Add(1) <= 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	c := New()
	warm := newCall(server.URL)
	warm.Method = http.MethodGet
	if _, err := New().send(t.Context(), c.http, warm); err != nil {
		t.Fatal(err)
	}
	_, _ = New().send(t.Context(), c.http, newCall(server.URL))
	if n := requests.Load(); n != 2 {
		t.Errorf("the call over a reused connection arrived %d times, want 2", n)
	}
	requests.Store(0)
	_, _ = c.CallOnce(t.Context(), newCall(server.URL))
	if n := requests.Load(); n != 1 {
		t.Errorf("the call by CallOnce arrived %d times, want 1", n)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	if _, err := New().CallOnce(t.Context(), newCall("http://"+refusedport.Hold(t))); !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("error is %v, want one that matches ErrNotSent", err)
	}
}

// TestNotSentIsFinal cancels calls at arbitrary moments and checks that no call
// arrives whose error matched ErrNotSent.
func TestNotSentIsFinal(t *testing.T) {
	url, requests := serveRaw(t, func(net.Conn) {})
	c := New()
	sent := int64(0)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		if _, err := c.CallOnce(ctx, newCall(url)); !errors.Is(err, backend.ErrNotSent) {
			sent++
		}
	}
	// One more call, which is answered after the earlier ones have arrived.
	_, _ = c.CallOnce(t.Context(), newCall(url))
	if n := requests.Load(); n > sent+1 {
		t.Errorf("%d calls arrived, want at most the %d that count as sent", n, sent+1)
	}
}

func TestWriteGate(t *testing.T) {
	var written, shut writeGate
	for range 2 {
		if !written.allowWrite() {
			t.Error("allowWrite = false before forbidWrites, want true")
		}
	}
	if written.forbidWrites() {
		t.Error("forbidWrites = true after an allowed write, want false")
	}
	if !shut.forbidWrites() || shut.allowWrite() {
		t.Error("forbidWrites = false on a new gate, or allowWrite = true after it")
	}
}

// serveDuplicateAnswers starts a server that sends each answer twice, the second
// time just before the answer to the next request on the connection.
func serveDuplicateAnswers(t *testing.T) string {
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
			go echoAttemptTwice(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

// echoAttemptTwice answers requests with their attempt ID, each one twice.
func echoAttemptTwice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		attempt := request.Header.Get(headerAttempt)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(attempt), attempt)
		if _, err := conn.Write([]byte(late + answer)); err != nil {
			return
		}
		late = answer
	}
}

// TestLateDuplicateAnswerIsNotReturnedToNextCall checks that each call gets its
// own answer from a service that answers every call twice. It also checks that
// calls over reused connections would not.
func TestLateDuplicateAnswerIsNotReturnedToNextCall(t *testing.T) {
	url := serveDuplicateAnswers(t)
	c := New()
	crossed := func(client *http.Client) (count int) {
		for i := range 20 {
			one := newCall(url)
			one.Attempt = fmt.Sprint(i)
			answer, err := New().send(t.Context(), client, one)
			if err != nil || string(answer.Body) != one.Attempt {
				count++
			}
		}
		return count
	}
	if n := crossed(c.noReuse); n != 0 {
		t.Errorf("%d of 20 calls failed or got another call's answer, want 0", n)
	}
	if crossed(c.http) == 0 {
		t.Error("no call over reused connections got another call's answer; the server does not reproduce the fault")
	}
}
