package ledger

import (
	"encoding/hex"
	"strings"
)

const (
	// uuidLength is the length of a UUID in text form, with hyphens.
	uuidLength = 36
	// uuidDigits is the number of hexadecimal digits of a UUID.
	uuidDigits = 32
	// versionDigit is the index of the version among the hexadecimal digits.
	versionDigit = 12
	// timestampBytes is the length of the timestamp at the start of a version 7
	// UUID.
	timestampBytes = 6
)

// IssuedAt returns the issue time in Unix milliseconds that is embedded in the
// key if the key is a version 7 UUID (RFC 9562). The time is part of the key, so
// a retry can't change it, and the client's clock need not be trusted: a wrong
// time can only cause the key to be refused, never a call to run twice.
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
