package httpconn

import (
	"io"
	"sync"
)

// body is a response body. Reading it to its end returns the connection to the
// pool.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	// stopContextWatch cancels the function that closes the connection when the
	// request's context ends. It returns false if that function has started.
	stopContextWatch func() bool
	// close is set if the server closes the connection after the response.
	close bool
	// untilClose is set if only the end of the connection ends the response.
	untilClose bool
	// ended is set once the body was read to its end, and endErr is why it isn't complete.
	ended  bool
	endErr error
	once   sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.untilClose && !b.ended {
		b.ended = true
		if !b.conn.endedInOrder() {
			b.endErr = errEndedEarly
		}
	}
	if err == io.EOF && b.endErr != nil {
		err = b.endErr
	}
	if err != nil {
		b.release(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read
// to its end.
func (b *body) Close() error {
	b.release(false)
	return nil
}

// release returns the connection to the pool if it can be reused and closes it
// otherwise. complete reports whether the body was read to its end.
func (b *body) release(complete bool) {
	b.once.Do(func() {
		b.conn.limited.claim.Release()
		// stopContextWatch returns false if the context has ended and closes the
		// connection.
		reusable := b.stopContextWatch() && complete && !b.close && b.conn.reader.Buffered() == 0
		if !reusable {
			_ = b.conn.Close()
			return
		}
		b.pool.put(b.conn)
	})
}
