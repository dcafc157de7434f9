// Package lenientjson reads lists in JSON of which some elements may be damaged.
// An element that can't be read costs only itself where the bytes around it show
// where it ends.
package lenientjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"
)

const (
	// workPerByte bounds the bytes that are examined to read a damaged list, as a
	// multiple of its length.
	workPerByte = 8
	// maxEndCandidates bounds the brackets that are examined to find the end of a
	// damaged list.
	maxEndCandidates = 64
)

// List is a list that is a field of a JSON object.
type List struct {
	// Elements holds the elements that can be read, in their order. Each is valid
	// JSON in UTF-8.
	Elements []json.RawMessage
	// Unreadable counts the damaged parts of the list. Each is one element if the
	// bytes around it show where it ends.
	Unreadable int
	// Incomplete is set if the list may have elements behind those that were read:
	// its end wasn't found, or it is too damaged.
	Incomplete bool
	// Fields holds the object's fields other than the list. It is nil if the end of
	// the list is unknown.
	Fields map[string]json.RawMessage
}

// ErrNoList means that the content isn't an object with the wanted list.
var ErrNoList = errors.New("list not found")

// ReadList reads the list in the given field of an object. After damage that hides
// where an element ends, it goes on with the next object that sound accepts.
func ReadList(content []byte, field string, sound func(json.RawMessage) bool) (List, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(content, &fields); err != nil {
		return recoverList(content, field, sound, err)
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(fields[field], &elements); err != nil || elements == nil {
		return List{}, fmt.Errorf("%w in field %q", ErrNoList, field)
	}
	delete(fields, field)
	count := len(elements)
	elements = slices.DeleteFunc(elements, func(raw json.RawMessage) bool { return !utf8.Valid(raw) })
	return List{Elements: elements, Unreadable: count - len(elements), Fields: fields}, nil
}

func recoverList(content []byte, field string, sound func(json.RawMessage) bool, cause error) (List, error) {
	start := listStart(content, field)
	if start < 0 {
		return List{}, fmt.Errorf("%w in field %q: %w", ErrNoList, field, cause)
	}
	r := &reader{content: content, field: field, sound: sound, start: start, at: start, work: workPerByte * len(content)}
	r.read()
	return r.list, nil
}

// listStart returns the index behind the opening bracket of the list, or -1.
func listStart(content []byte, field string) int {
	name := []byte(`"` + field + `"`)
	for from := 0; ; {
		i := bytes.Index(content[from:], name)
		if i < 0 {
			return -1
		}
		from += i + len(name)
		rest := bytes.TrimLeft(content[from:], whitespace)
		if value, ok := bytes.CutPrefix(rest, []byte(":")); ok {
			if list, ok := bytes.CutPrefix(bytes.TrimLeft(value, whitespace), []byte("[")); ok {
				return len(content) - len(list)
			}
		}
	}
}

const whitespace = " \t\r\n"

// reader reads the elements of a damaged list. It doesn't recurse: the depth of
// the content is bounded by nothing else.
type reader struct {
	content []byte
	field   string
	sound   func(json.RawMessage) bool
	// start is the index behind the opening bracket of the list, and at that of the
	// next byte to read.
	start, at int
	// lastEnd is the index behind the last element that was read.
	lastEnd int
	// work is the number of bytes that may still be examined.
	work int
	list List
}

func (r *reader) read() {
	r.lastEnd = r.start
	for r.skipSeparators(); r.at < len(r.content) && r.work > 0; r.skipSeparators() {
		if r.content[r.at] == ']' && r.endsAt(r.at) {
			return
		}
		end, ok := r.valueEnd(r.at)
		if !ok {
			r.resume()
			continue
		}
		r.add(r.content[r.at:end])
		r.at, r.lastEnd = end, end
	}
	r.list.Incomplete = r.work <= 0 || !r.findEnd()
}

// add adds an element whose bounds are known.
func (r *reader) add(raw json.RawMessage) {
	if !readable(raw) {
		r.list.Unreadable++
		return
	}
	r.list.Elements = append(r.list.Elements, raw)
}

func readable(raw json.RawMessage) bool {
	return utf8.Valid(raw) && json.Valid(raw)
}

// skipSeparators skips what is between two elements. Each comma after the first
// one stands for a missing element.
func (r *reader) skipSeparators() {
	between := len(r.content[r.at:]) - len(bytes.TrimLeft(r.content[r.at:], whitespace+","))
	commas := bytes.Count(r.content[r.at:r.at+between], []byte(","))
	wanted := 1
	if r.at == r.start {
		wanted = 0
	}
	r.list.Unreadable += max(0, commas-wanted)
	r.at += between
}

// resume moves to the next object that is an element for certain: it is readable
// and sound, and it is neither the value of a field nor followed by other bytes.
func (r *reader) resume() {
	r.list.Unreadable++
	for r.at++; r.at < len(r.content) && r.work > 0; r.at++ {
		r.work--
		if r.content[r.at] == '{' && r.isElement(r.at) {
			return
		}
	}
}

// isElement reports whether an element that is certain starts at an index.
func (r *reader) isElement(at int) bool {
	before := bytes.TrimRight(r.content[r.start:at], whitespace)
	if len(before) > 0 && before[len(before)-1] != ',' && before[len(before)-1] != '[' {
		return false
	}
	end, ok := r.valueEnd(at)
	if !ok {
		return false
	}
	after := bytes.TrimLeft(r.content[end:], whitespace)
	if len(after) > 0 && after[0] != ',' && after[0] != ']' {
		return false
	}
	raw := json.RawMessage(r.content[at:end])
	return readable(raw) && r.sound(raw)
}

// endsAt reports whether the list ends with the bracket at an index, and then
// takes over the object's other fields.
func (r *reader) endsAt(at int) bool {
	object := slices.Concat(r.content[:r.start], r.content[at:])
	r.work -= len(object)
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		return false
	}
	delete(fields, r.field)
	r.list.Fields = fields
	return true
}

// findEnd looks for the end of the list behind its last known element and reports
// whether it is certain: without other fields, the bracket may as well be that of a
// list within an element that is cut off.
func (r *reader) findEnd() bool {
	end := len(r.content)
	for range maxEndCandidates {
		end = bytes.LastIndexByte(r.content[:end], ']')
		if end < r.lastEnd {
			return false
		}
		if r.endsAt(end) {
			return len(r.list.Fields) > 0
		}
	}
	return false
}

// valueEnd returns the index behind the value that starts at an index. ok is false
// if the value has no end, has brackets that don't match, or has bytes outside of
// strings that are in no JSON text: then a quote may be missing, and what looks
// like a string isn't one.
func (r *reader) valueEnd(at int) (end int, ok bool) {
	defer func() { r.work -= max(0, end-at) }()
	var open []byte
	for end = at; end < len(r.content); {
		switch c := r.content[end]; c {
		case '"':
			if end, ok = stringEnd(r.content, end); !ok {
				return end, false
			}
		case '{', '[':
			open = append(open, c+2) // the closing bracket in ASCII
			end++
			continue
		case '}', ']':
			if len(open) == 0 {
				return end, end > at
			}
			if c != open[len(open)-1] {
				return end, false
			}
			open = open[:len(open)-1]
			end++
		case ',':
			if len(open) == 0 {
				return end, true
			}
			end++
			continue
		default:
			if bytes.IndexByte(outsideStrings, c) < 0 {
				return end, false
			}
			end++
			continue
		}
		if len(open) == 0 {
			return end, true
		}
	}
	return end, len(open) == 0
}

// outsideStrings are the bytes that JSON has outside of strings, except brackets,
// commas and quotes.
var outsideStrings = []byte(whitespace + ":+-.0123456789Etruefalsn")

// stringEnd returns the index behind the string that starts at an index; ok is
// false if it has no end.
func stringEnd(content []byte, at int) (end int, ok bool) {
	for end = at + 1; end < len(content); end++ {
		switch content[end] {
		case '\\':
			end++
		case '"':
			return end + 1, true
		}
	}
	return len(content), false
}
