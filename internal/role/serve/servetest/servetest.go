// Package servetest checks that a server answers every request that it has read.
package servetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Listener counts the bytes that are read of each connection.
type Listener struct {
	net.Listener
	read sync.Map // client address to *atomic.Int64
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: conn, read: new(atomic.Int64)}
	l.read.Store(conn.RemoteAddr().String(), c.read)
	return c, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// SendUntilClosed opens connections, unless the listener is closed, and sends the request on
// each, over and over, until all are closed. It checks that each request that was read whole
// was answered. The returned function waits for that and returns the number of answers.
func (l *Listener) SendUntilClosed(t *testing.T, connections int, request string) (wait func() int) {
	t.Helper()
	var clients sync.WaitGroup
	var total atomic.Int64
	for range connections {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			break
		}
		clients.Go(func() {
			defer conn.Close()
			answers := send(conn, request)
			total.Add(int64(answers))
			read, accepted := l.read.Load(conn.LocalAddr().String())
			if !accepted {
				return
			}
			if whole := int(read.(*atomic.Int64).Load()) / len(request); whole != answers {
				t.Errorf("a client got %d answers to %d requests that were read", answers, whole)
			}
		})
	}
	return func() int {
		clients.Wait()
		return int(total.Load())
	}
}

// send returns the number of answers.
func send(conn net.Conn, request string) (answers int) {
	for reader := bufio.NewReader(conn); ; answers++ {
		if _, err := io.WriteString(conn, request); err != nil {
			return answers
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			return answers
		}
		if response.Close {
			return answers + 1
		}
	}
}
