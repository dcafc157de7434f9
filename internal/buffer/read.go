package buffer

import (
	"errors"
	"fmt"
	"io"
)

// firstReadBytes is the size of the buffer in which a body is read first.
const firstReadBytes = 4 << 10

// ErrTooLong means that a body is longer than allowed.
var ErrTooLong = errors.New("body exceeds the size limit")

// ReadAll reads a body of at most limit bytes to its end, within what the claim gets. The
// error matches ErrTooLong, ErrFull or that of the body.
func ReadAll(body io.Reader, limit int, claim *Claim) ([]byte, error) {
	content := make([]byte, 0, firstReadBytes)
	for {
		if len(content) == cap(content) {
			size := 2 * cap(content)
			if err := claim.Resize(size); err != nil {
				return nil, fmt.Errorf("after %d bytes: %w", len(content), err)
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case len(content) > limit:
			return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, limit)
		case err == io.EOF:
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}
