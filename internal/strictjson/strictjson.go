// Package strictjson decodes JSON with comments into typed values. Unlike
// encoding/json, it rejects unknown fields, duplicate fields and trailing content.
// Its errors contain the line and the JSON pointer of the value.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// FieldError reports an invalid value in a document.
type FieldError struct {
	// Path is the JSON pointer of the value, without the escapes ~0 and ~1.
	Path string
	// Reason describes what was expected.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Path + ": " + e.Reason
}

// Decode decodes JSON with comments and trailing commas into the value that out
// points to. Apart from syntax errors, whose text is that of package hujson, the
// error text starts with the line number.
func Decode(content []byte, out any) error {
	standard, err := hujson.Standardize(bytes.Clone(content))
	if err != nil {
		return err
	}
	w := newWalker(standard)
	if err := w.document(reflect.TypeOf(out).Elem()); err != nil {
		return fmt.Errorf("%d: %w", w.line(), err)
	}
	if err := json.Unmarshal(standard, out); err != nil {
		return fmt.Errorf("%d: %w", w.line(), err)
	}
	return nil
}

// Locate returns the line of the value at the given JSON pointer, or of the nearest
// enclosing value if there is none. It returns 0 if the document has a syntax
// error.
func Locate(content []byte, path string) int {
	standard, err := hujson.Standardize(bytes.Clone(content))
	if err != nil {
		return 0
	}
	w := newWalker(standard)
	_ = w.document(reflect.TypeFor[any]())
	for {
		if line, ok := w.lines[path]; ok || path == "" {
			return max(line, 1)
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

// AtLine prefixes the text of err with the line of the invalid value if err wraps a
// *FieldError. Other errors are returned unchanged.
func AtLine(content []byte, err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	return fmt.Errorf("%d: %w", Locate(content, field.Path), err)
}

// Duration is a time.Duration that is encoded as a string with its unit, such as
// "750ms" or "2m".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(content []byte) error {
	var text string
	if err := json.Unmarshal(content, &text); err != nil {
		return fmt.Errorf("expected a duration with its unit, such as \"750ms\", got %s", content)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("expected a duration with its unit, such as \"750ms\", got %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
