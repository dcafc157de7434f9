package serve

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Connections tracks the connections of one http.Server, so that the server can stop without
// dropping a request that it has read. http.Server.Shutdown may drop one: it reads the
// headers of a request that arrives on an open connection and closes the connection.
// The server must serve the listener of Listener, and its ConnState must be State.
type Connections struct {
	mu   sync.Mutex // guards the fields below
	open map[*connection]struct{}
	// stopped is set once no connection may begin another request.
	stopped bool
}

// NewConnections returns a set without connections.
func NewConnections() *Connections {
	return &Connections{open: make(map[*connection]struct{})}
}

// Counts are the open connections by state.
type Counts struct {
	// Busy connections have sent a part of a request, or all of it, and aren't answered yet.
	Busy int
	// Idle connections have no request since the last one was answered, and New ones have
	// sent nothing yet.
	Idle, New int
}

// Open returns the number of open connections.
func (c Counts) Open() int { return c.Busy + c.Idle + c.New }

// Counts returns the open connections.
func (s *Connections) Counts() Counts {
	var out Counts
	for _, c := range s.list() {
		switch c.current() {
		case busy:
			out.Busy++
		case idle:
			out.Idle++
		default:
			out.New++
		}
	}
	return out
}

func (s *Connections) list() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*connection, 0, len(s.open))
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

// StopReading lets no connection begin another request: those that have sent nothing since
// their last answer are closed, and what they may send then stays unread. The others are
// closed once they are answered.
func (s *Connections) StopReading() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for _, c := range s.list() {
		c.stop(false)
	}
}

// StopReadingUnlessBusy is like StopReading if no connection is busy, and reports whether that was
// so. Otherwise it does nothing: requests may begin as long as others are in progress.
func (s *Connections) StopReadingUnlessBusy() (stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open { // so that none becomes busy until the decision
		c.mu.Lock()
	}
	defer func() {
		for c := range s.open {
			c.mu.Unlock()
		}
	}()
	for c := range s.open {
		if c.state == busy {
			return false
		}
	}
	s.stopped = true
	for c := range s.open {
		c.stopLocked(false)
	}
	return true
}

// AbortReading also reads no more of requests that have begun to arrive.
func (s *Connections) AbortReading() {
	for _, c := range s.list() {
		c.stop(true)
	}
}

// AbortHeaders closes the connections whose request began to arrive at least the time age ago
// and hasn't arrived up to the end of its headers. Requests that are handled already go on.
func (s *Connections) AbortHeaders(age time.Duration) {
	began := time.Now().Add(-age)
	for _, c := range s.list() {
		c.abortHeaders(began)
	}
}

// Await waits until no connection is open.
func (s *Connections) Await() { s.AwaitUntil(time.Time{}) }

// AwaitUntil is like Await, and reports whether that was so before until. The zero time
// never comes.
func (s *Connections) AwaitUntil(until time.Time) bool {
	for s.Counts().Open() > 0 {
		if !until.IsZero() && !time.Now().Before(until) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// pollInterval is the interval at which a server that stops looks for open connections.
const pollInterval = 20 * time.Millisecond

// State must be the ConnState of the server.
func (s *Connections) State(conn net.Conn, state http.ConnState) {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok { // such as *tls.Conn
		conn = wrapper.NetConn()
	}
	c, ok := conn.(*connection)
	switch {
	case !ok:
	case state == http.StateActive:
		c.handled()
	case state == http.StateIdle:
		c.answered()
	}
}

// Listener returns a listener whose connections are tracked.
func (s *Connections) Listener(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, set: s}
}

type trackedListener struct {
	net.Listener
	set *Connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, set: l.set}
	l.set.mu.Lock()
	l.set.open[c] = struct{}{}
	stopped := l.set.stopped
	l.set.mu.Unlock()
	if stopped {
		c.stop(false)
	}
	return c, nil
}

// connectionState is what a connection does; it begins as fresh.
type connectionState uint8

const (
	fresh connectionState = iota
	busy
	idle
)

// connection is a tracked connection.
type connection struct {
	net.Conn
	set *Connections

	mu    sync.Mutex // guards the fields below
	state connectionState
	// began is when the newest request began to arrive.
	began time.Time
	// handling is set while a request is handled: its headers have arrived.
	handling bool
	// stopped is set once no request may begin, aborted once nothing may be read, and
	// headersAborted once nothing may be read up to the end of the headers.
	stopped, aborted, headersAborted bool
	// unread is set once the headers of a request have been given up.
	unread bool
	// readDeadline is the one that the server set last.
	readDeadline time.Time
}

// past is a read deadline that ends reads at once, without an effect on what has arrived.
var past = time.Unix(1, 0)

func (c *connection) current() connectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Read implements net.Conn. Bytes that arrive as the connection is stopped begin a request
// that is read to its end.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gaveUp()
	}
	return n, err
}

// gaveUp marks a request as unread if its headers were given up.
func (c *connection) gaveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = (c.aborted || c.headersAborted) && !c.handling
}

// Write implements net.Conn. http.Server answers a part of a request with an error that
// clients take for their own; a request that stays unread gets no answer.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	unread := c.unread
	c.mu.Unlock()
	if unread {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *connection) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == busy {
		return
	}
	c.state, c.began = busy, time.Now()
	if c.stopped {
		_ = c.setReadDeadline() // if this fails, so does the next read
	}
}

// handled marks the headers of a request as complete. They may have come as they were given
// up, or with an earlier request, in which case nothing is read for this one.
func (c *connection) handled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.handling = busy, true
	if c.headersAborted || c.stopped {
		c.headersAborted = false
		_ = c.setReadDeadline() // if this fails, so does the next read
	}
}

// abortHeaders reads no more of a request that began to arrive by the given time, unless its
// headers have arrived.
func (c *connection) abortHeaders(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling || c.state != busy || c.began.After(began) {
		return
	}
	c.headersAborted = true
	_ = c.setReadDeadline() // it fails only on a closed connection
}

// answered marks the connection as idle after a request.
func (c *connection) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.handling = idle, false
	if c.stopped {
		_ = c.setReadDeadline() // it fails only on a closed connection
	}
}

func (c *connection) stop(abort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLocked(abort)
}

// stopLocked is like stop. c.mu must be held.
func (c *connection) stopLocked(abort bool) {
	c.stopped, c.aborted = true, c.aborted || abort
	_ = c.setReadDeadline() // it fails only on a closed connection
}

// setReadDeadline sets the deadline that the server set last, or one in the past if nothing
// may be read. c.mu must be held.
func (c *connection) setReadDeadline() error {
	if c.aborted || c.headersAborted || c.stopped && c.state != busy {
		return c.Conn.SetReadDeadline(past)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.setReadDeadline()
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the sending side. The server uses it before it closes a connection
// with unread bytes, which would reset an answer on its way.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger is that of a TCP connection.
func (c *connection) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}
