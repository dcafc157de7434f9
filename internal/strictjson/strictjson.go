// Package strictjson decodes JSON with comments into typed values and refuses
// what encoding/json would let pass: unknown fields, doubled fields and
// trailing content. Its errors name line and path.
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

// FieldError says which part of a document is wrong and what was expected.
type FieldError struct {
	// Path is the JSON pointer of the value.
	Path string
	// Reason tells what was expected.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Path + ": " + e.Reason
}

// Decode reads JSON with comments and trailing commas into the value that out
// points to. The error text starts with the line number.
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

// Locate returns the line of the value at the given path, or of the nearest
// enclosing value if the document has none there.
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

// AtLine puts the line of a *FieldError's path before its text.
func AtLine(content []byte, err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	return fmt.Errorf("%d: %w", Locate(content, field.Path), err)
}

// Duration is a time.Duration written with its unit, such as "750ms" or "2m".
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
