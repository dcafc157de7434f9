package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

var (
	// errEndedEarly means that the end of its connection, which is to end a response
	// without a length, came before the server had received the request, or together with
	// an error: a server that crashes ends its connections in order too, if it has read all
	// that had arrived. It matches io.ErrUnexpectedEOF.
	errEndedEarly = fmt.Errorf("httpconn: the connection ended before the request was received: %w", io.ErrUnexpectedEOF)
	// errInvalidStatus means that a response has a status that HTTP doesn't have.
	errInvalidStatus = errors.New("httpconn: invalid status")
)

// States of a TCP connection whose other side has ended it (enum tcp_states of Linux).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// checkStatus returns an error unless a status has three digits and one of the classes of
// RFC 9110. http.ReadResponse takes any three characters that are a number.
func checkStatus(response *http.Response) error {
	if response.StatusCode < 100 || response.StatusCode > 599 {
		return fmt.Errorf("%w %.16q", errInvalidStatus, response.Status)
	}
	return nil
}

// untilClose reports whether only the end of its connection ends a response.
func untilClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// requestWriter writes a request to a connection. Before each write but the first one it
// looks whether the server has ended the connection; the last write is such a one if the
// request is longer than the buffer in front.
type requestWriter struct {
	conn  *conn
	begun bool
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	if w.begun && !w.conn.endedEarly {
		w.conn.endedEarly = w.conn.endedByServer()
	}
	w.begun = true
	return w.conn.Write(p)
}

// endedByServer reports whether the server has ended the connection, whether or not
// bytes before its end are still unread.
func (c *conn) endedByServer() (ended bool) {
	c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
	})
	return ended
}

// endedInOrder reports whether a connection whose end has been read ended after the server
// had received the whole request, and without an error. A server that has read the request
// acknowledges all of it with the end of the connection at the latest. A reset behind that
// end shows as an error only.
func (c *conn) endedInOrder() bool {
	ordered := !c.endedEarly
	c.control(func(fd int) {
		unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		failure, errorErr := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && unacknowledged > 0 || errorErr == nil && failure != 0 {
			ordered = false
		}
	})
	return ordered
}

// control calls f with the connection's file descriptor, if it has one and is open.
func (c *conn) control(f func(fd int)) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := syscallConn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only for a closed connection
	}
}
