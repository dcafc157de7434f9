package serve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// progressServer serves a response of the given size, in writes of 64 kB, and returns the
// server's address, a channel with the error of the handler's writes, and the count of stalls.
func progressServer(t *testing.T, timeout time.Duration, size int) (address string, ended <-chan error, stalls *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	results, stalls := make(chan error, 1), &atomic.Int32{}
	connections := NewConnections()
	server := &http.Server{ConnState: connections.State, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 64<<10)
		for left := size; left > 0; left -= len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				results <- err
				panic(http.ErrAbortHandler)
			}
		}
		results <- nil
	})}
	listener := connections.Listener(ProgressListener(l, ProgressOptions{Timeout: timeout, OnStall: func(net.Addr) { stalls.Add(1) }}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), results, stalls
}

// request sends a request and returns the connection, unread. Its receive buffer has the given
// size, or the system's if it is 0; it is set before the connection is made, since data that has
// already arrived may fill the larger one.
func request(t *testing.T, address, version string, receiveBuffer int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}), err)
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/"+version+"\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestStalledCallerIsReset guards against a caller that reads nothing and holds a request, or
// takes the part that it has for a complete response, also where only the end of the connection
// ends the response.
func TestStalledCallerIsReset(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		const timeout = 500 * time.Millisecond
		address, ended, stalls := progressServer(t, timeout, 32<<20)
		began := time.Now()
		conn := request(t, address, version, 0)
		select {
		case err := <-ended:
			if !errors.Is(err, ErrNoProgress) {
				t.Errorf("HTTP/%s: got error %v, want ErrNoProgress", version, err)
			}
		case <-time.After(10 * timeout):
			t.Fatalf("HTTP/%s: the write goes on for %v", version, time.Since(began))
		}
		if n := stalls.Load(); n != 1 {
			t.Errorf("HTTP/%s: %d stalls reported, want 1", version, n)
		}
		if _, err := io.Copy(io.Discard, conn); err == nil {
			t.Errorf("HTTP/%s: the response ends in order", version)
		}
	}
}

// TestSlowCallerIsNotReset guards against a reset of callers that read slowly but steadily. With
// the system's receive buffer, the caller announces no room while it reads some 64 kB or more, so
// its rate must be higher or its timeout longer than with a small one.
func TestSlowCallerIsNotReset(t *testing.T) {
	for _, c := range []struct {
		name          string
		receiveBuffer int
		timeout       time.Duration
	}{
		{name: "small receive buffer", receiveBuffer: 16 << 10, timeout: 2 * time.Second},
		{name: "receive buffer of the system", timeout: 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, ended, stalls := progressServer(t, c.timeout, 8<<20)
			conn := request(t, address, "1.1", c.receiveBuffer)
			chunk := make([]byte, 8<<10)
			for began := time.Now(); time.Since(began) < 3*c.timeout; {
				if _, err := io.ReadFull(conn, chunk); err != nil {
					t.Fatalf("after %v: %v", time.Since(began), err)
				}
				time.Sleep(200 * time.Millisecond) // 40 kB a second
			}
			select {
			case err := <-ended:
				t.Fatalf("the response ended early: %v", err)
			default:
			}
			if n := stalls.Load(); n != 0 {
				t.Errorf("%d stalls reported, want none", n)
			}
			if _, err := io.CopyN(io.Discard, conn, 4<<20); err != nil {
				t.Errorf("reading on: %v", err)
			}
		})
	}
}
