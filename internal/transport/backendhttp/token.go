package backendhttp

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// Parts of a token message as engines usually encode it.
var (
	tokenHead   = []byte(`{"attempt":"`)
	tokenOffset = []byte(`","offset":`)
	tokenText   = []byte(`,"text":"`)
	tokenTail   = []byte(`"}`)
)

// decodeToken decodes a token message. It has a fast path for the usual encoding
// without escapes and uses the JSON decoder for all others.
func decodeToken(data []byte, t *backend.TokenEvent) error {
	if decodePlainToken(data, t) {
		return nil
	}
	*t = backend.TokenEvent{}
	return json.Unmarshal(data, t)
}

// decodePlainToken decodes a message in the usual encoding without escapes. It
// reports false for any other message.
func decodePlainToken(data []byte, t *backend.TokenEvent) bool {
	rest, ok := bytes.CutPrefix(data, tokenHead)
	if !ok || !isPlain(data) {
		return false
	}
	attempt, rest, ok := bytes.Cut(rest, tokenOffset)
	if !ok {
		return false
	}
	digits, rest, ok := bytes.Cut(rest, tokenText)
	if !ok {
		return false
	}
	text, ok := bytes.CutSuffix(rest, tokenTail)
	if !ok || bytes.IndexByte(text, '"') >= 0 || bytes.IndexByte(attempt, '"') >= 0 {
		return false
	}
	offset, ok := parseOffset(digits)
	if !ok {
		return false
	}
	t.Offset = offset
	t.Text = string(text)
	// Most messages have the same attempt as the one before; comparing does not
	// allocate.
	if string(attempt) != t.Attempt {
		t.Attempt = string(attempt)
	}
	return true
}

// isPlain reports whether the JSON strings in data can be used unchanged: data is
// valid UTF-8 without escapes and control characters.
func isPlain(data []byte) bool {
	for _, b := range data {
		if b < ' ' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(data)
}

// parseOffset parses a non-negative integer in JSON syntax.
func parseOffset(digits []byte) (int, bool) {
	offset, err := strconv.Atoi(string(digits))
	if err != nil || digits[0] < '0' || digits[0] == '0' && len(digits) > 1 {
		return 0, false
	}
	return offset, true
}
