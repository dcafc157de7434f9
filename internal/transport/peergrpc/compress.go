package peergrpc

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/state/document"
)

// maxUncompressedBytes limits uncompressed content: several times the largest
// body that the operator's API accepts.
const maxUncompressedBytes = 32 << 20

// compressedDocument keeps the newest document in compressed form, so that it is
// compressed once and not for each entry. Hundreds of entries ask for a new
// document at the same time; uncompressed copies would exceed a replica's memory
// and an entry's link.
type compressedDocument struct {
	mu      sync.Mutex // guards the fields below
	version uint64
	content []byte
}

// of returns the compressed content of a document.
func (c *compressedDocument) of(d document.Document) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.content != nil && c.version == d.Version {
		return c.content, nil
	}
	content, err := compress(d.Content)
	if err != nil {
		return nil, fmt.Errorf("compress document %d: %w", d.Version, err)
	}
	c.version, c.content = d.Version, content
	return c.content, nil
}

// compress returns the content in gzip's format.
func compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

var errTooLarge = errors.New("uncompressed content exceeds 32 MiB")

// decompressDocument is the inverse of compressedDocument.of. It returns nil for
// an empty input.
func decompressDocument(compressed []byte) ([]byte, error) {
	content, err := decompress(compressed)
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	return content, nil
}

// decompress is the inverse of compress. It returns nil for an empty input.
func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(r, maxUncompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxUncompressedBytes {
		return nil, errTooLarge
	}
	return content, nil
}
