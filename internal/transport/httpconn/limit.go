package httpconn

import (
	"errors"
	"io"

	"github.com/lagoonshift/lagoonshift/internal/buffer"
)

// errHeadTooLarge means that a server sent more bytes than allowed before the
// body of its response.
var errHeadTooLarge = errors.New("response head exceeds the limit")

// limitedReader reads from a connection. While a limit is set, it fails once that
// many bytes have been read.
type limitedReader struct {
	reader  io.Reader
	limited bool
	// left is the number of bytes that may still be read while limited is set.
	left int64
	// claim holds the bytes of the head that have been read, and head is their number.
	claim buffer.Claim
	head  int
}

// limit sets the number of bytes that may be read from now on.
func (l *limitedReader) limit(n int64) {
	l.limited, l.left, l.head = true, n, 0
}

// unlimit removes the limit.
func (l *limitedReader) unlimit() {
	l.limited = false
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.head += n
	if claimErr := l.claim.Resize(l.head); claimErr != nil && err == nil {
		err = claimErr
	}
	return n, err
}
