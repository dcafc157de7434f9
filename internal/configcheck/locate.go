package configcheck

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of the values that a locator finds. Configurations nest less;
// without a bound, pointers into nested lists take memory by the square of their depth.
const maxDepth = 16

// Locator finds the values of a JSON text, which may have comments, by their pointers.
type Locator struct {
	content []byte
	offsets map[string]int
}

// NewLocator returns a locator for a text. Member names are compared without regard to
// case, as encoding/json does, and pointers have no escapes. Of a text with a syntax error
// it locates what comes before the error.
func NewLocator(content []byte) *Locator {
	standard := content
	if converted, err := hujson.Standardize(bytes.Clone(content)); err == nil {
		standard = converted // has the same offsets: comments become blanks
	}
	l := &Locator{content: standard, offsets: make(map[string]int)}
	l.value(json.NewDecoder(bytes.NewReader(standard)), "", 0)
	return l
}

// Position returns the line and the column of the value at a pointer, or of the nearest
// enclosing value.
func (l *Locator) Position(pointer string) (line, column int) {
	pointer = strings.ToLower(pointer)
	for {
		if offset, ok := l.offsets[pointer]; ok {
			return l.at(offset)
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 1, 1
		}
		pointer = pointer[:cut]
	}
}

func (l *Locator) at(offset int) (line, column int) {
	before := l.content[:offset]
	return 1 + bytes.Count(before, []byte{'\n'}), offset - bytes.LastIndexByte(before, '\n')
}

// value records the offsets of the next value and of all within it. It returns false at
// the end of the valid part of the text.
func (l *Locator) value(decoder *json.Decoder, pointer string, depth int) bool {
	start := int(decoder.InputOffset())
	for start < len(l.content) && strings.IndexByte(" \t\r\n,:", l.content[start]) >= 0 {
		start++
	}
	l.offsets[strings.ToLower(pointer)] = start
	if depth == maxDepth {
		var skipped json.RawMessage
		return decoder.Decode(&skipped) == nil
	}
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return true
	}
	for i := 0; decoder.More(); i++ {
		child := strconv.Itoa(i)
		if delim == '{' {
			name, err := decoder.Token()
			if err != nil {
				return false
			}
			child, _ = name.(string)
		}
		if !l.value(decoder, pointer+"/"+child, depth+1) {
			return false
		}
	}
	_, err = decoder.Token()
	return err == nil
}
