package configcheck

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// compareJSON returns the differences between two valid JSON values of a settings tree.
// Values of operators aren't shown.
func compareJSON(pointer string, now, before json.RawMessage) []Finding {
	var a, b any
	if json.Unmarshal(now, &a) != nil || json.Unmarshal(before, &b) != nil {
		return []Finding{{Severity: Difference, Pointer: pointer, Message: "is changed"}}
	}
	return compareAny(pointer, a, b)
}

func compareAny(pointer string, now, before any) []Finding {
	a, isObject := now.(map[string]any)
	b, wasObject := before.(map[string]any)
	if !isObject || !wasObject {
		if reflect.DeepEqual(now, before) {
			return nil
		}
		message := "is changed"
		if from, to := shown(pointer, before), shown(pointer, now); from != to {
			message = from + " becomes " + to
		}
		return []Finding{{Severity: Difference, Pointer: pointer, Message: message}}
	}
	var out []Finding
	for _, name := range slices.Sorted(maps.Keys(a)) {
		old, ok := b[name]
		if !ok {
			out = append(out, Finding{Severity: Difference, Pointer: pointer + "/" + name, Message: shown(pointer, a[name]) + " is added"})
			continue
		}
		out = append(out, compareAny(pointer+"/"+name, a[name], old)...)
	}
	for _, name := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[name]; !ok {
			out = append(out, Finding{Severity: Difference, Pointer: pointer + "/" + name, Line: notInFile, Message: shown(pointer, b[name]) + " is removed"})
		}
	}
	return out
}

// shown returns a value for a message.
func shown(pointer string, value any) string {
	switch value.(type) {
	case map[string]any:
		return "the object"
	case []any:
		return "the list"
	}
	if strings.HasPrefix(pointer+"/", operatorsPointer) {
		return "the value"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return "the value"
	}
	return string(text)
}
