package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Fingerprint identifies a request and its repeats.
type Fingerprint struct {
	// Content is a hash of what is sent, and Caller one of who sends it.
	Content, Caller string
}

// fingerprintBytes is the length of a hash: 128 bits rule out that two requests have
// the same by chance.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a request. content are the fields that a
// repeat has in common with it.
func NewFingerprint(caller string, content ...[]byte) Fingerprint {
	return Fingerprint{Content: hash(content...), Caller: hash([]byte(caller))}
}

// hash returns a hash of fields in hexadecimal. The lengths keep the fields apart.
func hash(fields ...[]byte) string {
	h := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint for logs.
func (f Fingerprint) String() string {
	if f == (Fingerprint{}) {
		return ""
	}
	return f.Content + "." + f.Caller
}

// Keys of requests have a colon, which IDs of prompt parts never have.
const (
	contentPrefix = "content:"
	requestPrefix = "request:"
)

// Keys returns the keys under which the request may be in quarantine: by content and
// caller, and by content alone.
func (f Fingerprint) Keys() []string {
	if f == (Fingerprint{}) {
		return nil
	}
	return []string{requestPrefix + f.String(), contentPrefix + f.Content}
}

// isRequestKey reports whether a key stands for requests rather than for a prompt part.
func isRequestKey(key string) bool {
	return strings.HasPrefix(key, requestPrefix) || strings.HasPrefix(key, contentPrefix)
}
