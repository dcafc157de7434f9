package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// walker reads a document token by token and compares it with the Go type into
// which it will be decoded, so that errors can contain the path and the line.
type walker struct {
	content []byte
	decoder *json.Decoder
	// lines maps the JSON pointer of each value to its line.
	lines map[string]int
}

func newWalker(content []byte) *walker {
	return &walker{
		content: content,
		decoder: json.NewDecoder(bytes.NewReader(content)),
		lines:   make(map[string]int),
	}
}

// line returns the line of the last token read.
func (w *walker) line() int {
	return 1 + bytes.Count(w.content[:w.decoder.InputOffset()], []byte("\n"))
}

// document reads a whole document that is to be decoded into type t.
func (w *walker) document(t reflect.Type) error {
	if err := w.value("", t); err != nil {
		return err
	}
	if _, err := w.decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected content after the document")
	}
	return nil
}

// value reads one value that is to be decoded into type t.
func (w *walker) value(path string, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if !isContainer(t) {
		return w.scalar(path, t)
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.lines[path] = w.line()
	switch token {
	case json.Delim('{'):
		return w.object(path, t)
	case json.Delim('['):
		return w.array(path, t)
	case nil:
		return nil
	}
	if t.Kind() == reflect.Interface {
		return nil
	}
	return &FieldError{Path: path, Reason: "expected " + kindName(t)}
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// isContainer reports whether values of type t are checked member by member. Types
// with their own UnmarshalJSON are not.
func isContainer(t reflect.Type) bool {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		return false
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map, reflect.Slice, reflect.Interface:
		return true
	}
	return false
}

func (w *walker) scalar(path string, t reflect.Type) error {
	var raw json.RawMessage
	if err := w.decoder.Decode(&raw); err != nil {
		return err
	}
	w.lines[path] = w.line()
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &FieldError{Path: path, Reason: fmt.Sprintf("expected %s, got %s", kindName(t), raw)}
	}
	if err != nil {
		return &FieldError{Path: path, Reason: err.Error()}
	}
	return nil
}

func (w *walker) object(path string, t reflect.Type) error {
	if t.Kind() == reflect.Slice {
		return &FieldError{Path: path, Reason: "expected " + kindName(t)}
	}
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		at := path + "/" + name
		if seen[name] {
			return &FieldError{Path: at, Reason: "field is given twice"}
		}
		seen[name] = true
		member, ok := memberType(t, name)
		if !ok {
			return &FieldError{Path: at, Reason: "unknown field, expected one of " + strings.Join(fieldNames(t), ", ")}
		}
		if err := w.value(at, member); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) array(path string, t reflect.Type) error {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Interface {
		return &FieldError{Path: path, Reason: "expected " + kindName(t)}
	}
	element := t
	if t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(path+"/"+strconv.Itoa(i), element); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// memberType returns the type of the member with the given name of an object that
// is to be decoded into type t. It returns false if t has no such member.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Interface:
		return t, true
	}
	for field := range fields(t) {
		// The tag "-" excludes a field; it is not a name.
		if own := fieldName(field); own == name && own != "-" {
			return field.Type, true
		}
	}
	return nil, false
}

// fieldNames returns the JSON names of the fields of a struct.
func fieldNames(t reflect.Type) []string {
	var out []string
	for field := range fields(t) {
		if name := fieldName(field); name != "-" {
			out = append(out, name)
		}
	}
	return out
}

func fields(t reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// kindName describes the JSON values that can be decoded into type t.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
