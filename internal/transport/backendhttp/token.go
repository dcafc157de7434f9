package backendhttp

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// Parts of a token message as engines encode it.
var (
	tokenHead   = []byte(`{"attempt":"`)
	tokenOffset = []byte(`","offset":`)
	tokenText   = []byte(`,"text":"`)
	tokenTail   = []byte(`"}`)
)

// decodeToken decodes a token message. Messages in the usual form, without
// escapes, are cut apart; any other form goes through the JSON decoder.
func decodeToken(data []byte, t *backend.TokenEvent) error {
	if decodePlainToken(data, t) {
		return nil
	}
	*t = backend.TokenEvent{}
	return json.Unmarshal(data, t)
}

// decodePlainToken reports false if the message is not in the usual form.
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
	// The attempt is the same in most messages; comparing does not allocate.
	if string(attempt) != t.Attempt {
		t.Attempt = string(attempt)
	}
	return true
}

// isPlain reports whether JSON strings in data stand for themselves.
func isPlain(data []byte) bool {
	for _, b := range data {
		if b < ' ' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(data)
}

// parseOffset reads a number that is not negative, as JSON writes it.
func parseOffset(digits []byte) (int, bool) {
	offset, err := strconv.Atoi(string(digits))
	if err != nil || digits[0] < '0' || digits[0] == '0' && len(digits) > 1 {
		return 0, false
	}
	return offset, true
}
