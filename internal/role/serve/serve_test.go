package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the bytes that are read of each connection, by the address of the client.
type countingListener struct {
	net.Listener
	read sync.Map // client address to *atomic.Int64
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: conn, read: new(atomic.Int64)}
	l.read.Store(conn.RemoteAddr().String(), c.read)
	return c, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestStopAnswersWhatItHasRead guards against a request that is read whole and dropped while
// the server stops.
func TestStopAnswersWhatItHasRead(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for range 20 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := &countingListener{Listener: tcp}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- Listener(ctx, listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // only its end matters
			}), nil)
		}()
		var clients sync.WaitGroup
		for range 50 {
			conn, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			clients.Go(func() {
				defer conn.Close()
				answers, reader := 0, bufio.NewReader(conn)
				for {
					if _, err := io.WriteString(conn, request); err != nil {
						break
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					_ = response.Body.Close()
					answers++
				}
				read, _ := listener.read.Load(conn.LocalAddr().String())
				if whole := int(read.(*atomic.Int64).Load()) / len(request); whole != answers {
					t.Errorf("a client got %d answers to %d requests that were read", answers, whole)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		stop()
		clients.Wait()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
