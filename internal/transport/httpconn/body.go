package httpconn

import (
	"io"
	"sync"
)

// body is an answer's body; its end gives the connection back to the pool.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	// stopContextWatch ends the watch over the request's context.
	stopContextWatch func() bool
	// close is set if the server closes the connection after the answer.
	close bool
	once  sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. Before the body's end it closes the connection.
func (b *body) Close() error {
	b.release(false)
	return nil
}

// release gives the connection back or closes it.
func (b *body) release(whole bool) {
	b.once.Do(func() {
		// Stop fails if the context has ended and closes the connection.
		reusable := b.stopContextWatch() && whole && !b.close && b.conn.reader.Buffered() == 0
		if !reusable {
			_ = b.conn.Close()
			return
		}
		b.pool.put(b.conn)
	})
}
