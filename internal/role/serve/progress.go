package serve

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/transport/tcpopt"
)

const (
	// sendBufferBytes bounds what the kernel holds of a response for a caller that reads
	// slowly. The kernel would let it grow to several MB. It doubles the value for its own
	// needs.
	sendBufferBytes = 64 << 10
	// progressCheckInterval is the interval at which a blocked write is checked for progress.
	progressCheckInterval = 250 * time.Millisecond
)

// ErrNoProgress is matched by the error of a write to a connection whose other side has taken
// nothing for too long. The connection is reset, so that the other side can't take what it has
// for a complete response.
var ErrNoProgress = errors.New("the other side has read nothing for too long")

// ProgressOptions configures a progress listener.
type ProgressOptions struct {
	// Timeout is how long a blocked write may go on without progress.
	Timeout time.Duration
	// OnStall is called once a write has made no progress for that long, before the connection
	// is reset.
	OnStall func(remote net.Addr)
}

// ProgressListener returns a listener of TCP connections whose writes end with ErrNoProgress if
// the other side takes nothing of them for a time. One that reads slowly, but continues, is not
// affected: a write may take any time while bytes are acknowledged.
func ProgressListener(l net.Listener, o ProgressOptions) net.Listener {
	return &progressListener{Listener: l, options: o}
}

type progressListener struct {
	net.Listener
	options ProgressOptions
}

// Accept implements net.Listener.
func (l *progressListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn, nil // the connection is closed, which the next call on it reports
	}
	_ = tcp.SetWriteBuffer(sendBufferBytes) // fails only on a closed connection
	return &progressConn{Conn: tcp, tcp: tcp, raw: raw, options: l.options}, nil
}

// progressConn is a connection whose writes need progress.
type progressConn struct {
	net.Conn // hides ReadFrom of the TCP connection, which doesn't check progress
	tcp      *net.TCPConn
	raw      syscall.RawConn
	options  ProgressOptions
}

// CloseWrite closes the sending side.
func (c *progressConn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger is that of a TCP connection.
func (c *progressConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (written int, err error) {
	progressAt, unacked := time.Now(), -1
	for {
		if err := c.SetWriteDeadline(time.Now().Add(progressCheckInterval)); err != nil {
			return written, err
		}
		n, err := c.tcp.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// The kernel takes more only once a good part of its buffer is free, so the bytes
		// that the other side acknowledges count too.
		left, err := tcpopt.UnackedBytes(c.raw)
		if err != nil {
			left = unacked // only what the kernel takes counts then
		}
		if n > 0 || unacked < 0 || left < unacked {
			progressAt = time.Now()
		}
		unacked = left
		if time.Since(progressAt) < c.options.Timeout {
			continue
		}
		if c.options.OnStall != nil {
			c.options.OnStall(c.RemoteAddr())
		}
		return written, errors.Join(ErrNoProgress, c.tcp.SetLinger(0), c.tcp.Close())
	}
}
