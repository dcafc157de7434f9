package ledger

import (
	"encoding/hex"
	"strings"
)

const (
	// uuidLength is the length of a UUID in its text form.
	uuidLength = 36
	// uuidDigits is the number of hexadecimal digits of a UUID.
	uuidDigits = 32
	// versionDigit is where the version stands among the digits.
	versionDigit = 12
	// timestampBytes is the length of the time at the head of a version 7 UUID.
	timestampBytes = 6
)

// IssuedAt returns the issue time, in Unix milliseconds, that a key carries if
// it is a version 7 UUID (RFC 9562). The time is part of the key, so a repeat
// can't change it, and nobody's clock needs to be trusted: a wrong time makes
// the key refused, never run twice.
func IssuedAt(key string) (millis int64, ok bool) {
	if len(key) != uuidLength {
		return 0, false
	}
	digits := strings.ReplaceAll(key, "-", "")
	if len(digits) != uuidDigits || digits[versionDigit] != '7' {
		return 0, false
	}
	raw, err := hex.DecodeString(digits)
	if err != nil {
		return 0, false
	}
	for _, b := range raw[:timestampBytes] {
		millis = millis<<8 | int64(b)
	}
	return millis, true
}
