// Package httpconn sends HTTP/1.1 requests over pooled connections. It never
// retries a request: retries are left to the caller, whereas http.Transport
// retries some requests on its own.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lagoonshift/lagoonshift/internal/buffer"
	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/transport/tcpopt"
)

// ErrNotSent means that no byte of the request was written to a connection.
var ErrNotSent = errors.New("httpconn: request not sent")

// ErrOtherResponse means that a response may answer another request than the one
// that was sent, which the server may have executed.
var ErrOtherResponse = errors.New("httpconn: response may belong to another request")

const (
	// defaultIdleTimeout is how long an idle connection is kept if its server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutFraction is the share of the server's idle timeout for which an
	// idle connection is kept. It is below 1 so that a request does not arrive
	// while the server closes the connection.
	idleTimeoutFraction = 0.6
	// maxIdleTimeout bounds how long an idle connection is kept.
	maxIdleTimeout = 30 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
	// maxIDsPerConn bounds the request IDs that a connection remembers; it is not kept
	// after that many requests.
	maxIDsPerConn = 1024
	// sweepInterval is the time between two removals of expired connections.
	sweepInterval   = time.Second
	readBufferBytes = 8 << 10
	// defaultMaxHeadBytes bounds the bytes before a response's body unless the
	// options set another bound.
	defaultMaxHeadBytes = 256 << 10
)

// DialFunc opens a connection, as the DialContext method of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Pool.
type Options struct {
	// DialTimeout bounds how long connecting to a server may take.
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// Dial connects to a server. If it is nil, Dialer's DialContext does.
	Dial DialFunc
	// MaxHeadBytes bounds the bytes that a server may send before the body of its
	// response: informational responses, status line and headers. Zero means
	// 256 KiB.
	MaxHeadBytes int64
	// Buffers bounds the heads that are being received, in sum. If it is nil, each is
	// bounded alone.
	Buffers *buffer.Pool
	// IDHeader names the header with a request's ID, which servers echo in the
	// response. Empty means that requests have no IDs.
	IDHeader string
}

// Dialer returns a dialer with the timeouts of the options.
func (o Options) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:   o.DialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return tcpopt.SetUserTimeout(raw, o.UserTimeout)
		},
	}
}

// Pool keeps idle connections by server address. It is safe for concurrent use.
type Pool struct {
	options Options
	// seed hashes request IDs.
	seed maphash.Seed

	mu   sync.Mutex // guards the fields below
	idle map[string][]*conn
	// ended is set once Run has ended: nothing closes idle connections any more.
	ended bool
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.MaxHeadBytes <= 0 {
		o.MaxHeadBytes = defaultMaxHeadBytes
	}
	if o.Dial == nil {
		o.Dial = o.Dialer().DialContext
	}
	return &Pool{options: o, seed: maphash.MakeSeed(), idle: make(map[string][]*conn)}
}

// conn is one connection; at most one request uses it at a time.
type conn struct {
	net.Conn
	address string
	// limited reads from the connection; reader buffers what it returns.
	limited *limitedReader
	reader  *bufio.Reader
	// expires is when the idle connection expires.
	expires time.Time
	// idleTimeout is how long the connection may stay in the pool.
	idleTimeout time.Duration
	// reused is set once the connection has been in the pool.
	reused bool
	// ids are the hashes of the IDs of the requests that it has carried.
	ids []uint64
	// endedEarly is set if the server ended the connection before the last part of the
	// newest request was written.
	endedEarly bool
}

// Do sends a request and returns the response once its header has arrived. The
// request's body must be in memory. The caller must close the response's body;
// the connection is reused only if the body was read to its end. The connection
// is closed when ctx ends. The error matches ErrNotSent if the server cannot
// have received any part of the request, and ErrOtherResponse if the request has
// an ID and the response isn't certain to answer it. A request with Close set gets
// a new connection that nothing else uses.
func (p *Pool) Do(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	c, err := p.connect(ctx, address, request)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := c.exchange(request, p.options.MaxHeadBytes)
	if err == nil {
		err = c.checkID(p.options.IDHeader, request, response)
	}
	if err != nil {
		stop()
		c.limited.claim.Release()
		_ = c.Close()
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) { // else the server was first
			err = ctx.Err()
		}
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, conn: c, stopContextWatch: stop, close: request.Close || response.Close, untilClose: untilClose(response)}
	c.setIdleTimeout(response.Header)
	return response, nil
}

// exchange writes the request and reads the header of the final response; 1xx
// responses are skipped. All that is read here is limited to maxHead bytes.
func (c *conn) exchange(request *http.Request, maxHead int64) (*http.Response, error) {
	c.endedEarly = false
	writer := bufio.NewWriter(&requestWriter{conn: c})
	if err := request.Write(writer); err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	c.limited.limit(maxHead)
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := checkStatus(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.limited.unlimit()
			return response, nil
		}
	}
}

// checkID returns ErrOtherResponse if the response may answer another request than
// the one with the given ID. A response without an ID can do so only on a connection
// that was used before.
func (c *conn) checkID(header string, request *http.Request, response *http.Response) error {
	sent := request.Header.Get(header)
	echoed := response.Header.Get(header)
	if sent == "" || echoed == sent || echoed == "" && !c.reused {
		return nil
	}
	return fmt.Errorf("%w: sent ID %.64q, got status %d with ID %.64q, connection reused: %t", ErrOtherResponse, sent, response.StatusCode, echoed, c.reused)
}

// setIdleTimeout derives the idle timeout from a response's Keep-Alive header.
func (c *conn) setIdleTimeout(header http.Header) {
	c.idleTimeout = defaultIdleTimeout
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = min(maxIdleTimeout, time.Duration(float64(seconds)*idleTimeoutFraction*float64(time.Second)))
		}
	}
}

// connect returns a connection for a request. A connection carries each request ID
// once, so that an echoed ID tells the response from a late one to an earlier request
// with that ID.
func (p *Pool) connect(ctx context.Context, address string, request *http.Request) (*conn, error) {
	if request.Close {
		return p.dial(ctx, address)
	}
	id := request.Header.Get(p.options.IDHeader)
	hash := maphash.String(p.seed, id)
	c, err := p.get(ctx, address, hash)
	if err == nil && id != "" {
		c.ids = append(c.ids, hash)
	}
	return c, err
}

// get returns a connection that has not carried the ID with the given hash: a usable
// idle one or, without one, a new one.
func (p *Pool) get(ctx context.Context, address string, id uint64) (*conn, error) {
	for {
		c := p.popIdle(address, id)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.expires) && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// Refused reports whether a new connection to a server is refused: nothing
// listens at its address.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	return errors.Is(p.Connect(ctx, address), syscall.ECONNREFUSED)
}

// Connect opens a connection to a server and keeps it for later requests. The error
// matches syscall.ECONNREFUSED if nothing listens at the address.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.idleTimeout = defaultIdleTimeout
	p.put(c)
	return nil
}

// errClosedAtOnce means that a new connection did not stay open.
var errClosedAtOnce = errors.New("closed by the server as soon as it was open")

// ConnectStable is like Connect, but fails if the connection doesn't stay open for the time
// stable. Without such a wait, a middlebox that accepts a connection and then resets it
// passes for a server.
func (p *Pool) ConnectStable(ctx context.Context, address string, stable time.Duration) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	if !clock.Sleep(ctx, stable) || !c.usable() {
		_ = c.Close()
		return errors.Join(errClosedAtOnce, ctx.Err())
	}
	c.idleTimeout = defaultIdleTimeout
	p.put(c)
	return nil
}

// popIdle removes and returns the idle connection that was used last, of those that
// have not carried the ID with the given hash. It returns nil if there is none.
func (p *Pool) popIdle(address string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i, c := range slices.Backward(idle) {
		if !slices.Contains(c.ids, id) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, p.options.Buffers), nil
}

func newConn(raw net.Conn, address string, buffers *buffer.Pool) *conn {
	limited := &limitedReader{reader: raw, claim: buffers.Claim()}
	return &conn{Conn: raw, address: address, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
}

// usable reports whether the connection is open and has no unread bytes, which
// could not belong to the next response.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var one [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false
	}
	return errors.Is(peekErr, unix.EAGAIN)
}

// put adds a connection to the idle ones, or closes it if it may not be kept or has
// carried maxIDsPerConn IDs, its server has maxIdlePerServer idle connections, or Run
// has ended.
func (p *Pool) put(c *conn) {
	if c.idleTimeout <= 0 || len(c.ids) >= maxIDsPerConn {
		_ = c.Close()
		return
	}
	c.expires = time.Now().Add(c.idleTimeout)
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || len(p.idle[c.address]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Run closes idle connections that have expired, that their server has closed, or
// on which bytes arrived that belong to no request, until ctx ends. Then it
// closes all idle connections.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			p.ended = true
			p.mu.Unlock()
			p.closeIdle(func(*conn) bool { return true })
			return nil
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool { return now.After(c.expires) || !c.usable() })
		}
	}
}

func (p *Pool) closeIdle(selected func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if selected(c) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
