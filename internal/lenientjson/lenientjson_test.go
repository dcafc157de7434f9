package lenientjson_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/lenientjson"
)

// hasName accepts the objects that have a name.
func hasName(raw json.RawMessage) bool {
	var element struct{ Name string }
	return json.Unmarshal(raw, &element) == nil && element.Name != ""
}

func texts(elements []json.RawMessage) []string {
	var out []string
	for _, e := range elements {
		out = append(out, strings.TrimSpace(string(e)))
	}
	return out
}

func TestReadList(t *testing.T) {
	const a, b = `{"name":"a"}`, `{"name":"b"}`
	for name, c := range map[string]struct {
		content    string
		want       []string
		unreadable int
		incomplete bool
		// next is the field next of the object; empty means that it isn't known.
		next string
	}{
		"sound":                            {content: `{"next":1,"list":[` + a + `,` + b + `]}`, want: []string{a, b}, next: "1"},
		"empty":                            {content: `{"list":[],"next":1}`, next: "1"},
		"elements of other types":          {content: `{"list":[1,"x",null,[2]],"next":1}`, want: []string{"1", `"x"`, "null", "[2]"}, next: "1"},
		"no UTF-8":                         {content: `{"list":[` + a + `,"` + "\xff" + `"],"next":1}`, want: []string{a}, unreadable: 1, next: "1"},
		"control character":                {content: `{"list":[` + a + `,{"name":"` + "\x01" + `"},` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, next: "1"},
		"number with a leading zero":       {content: `{"list":[01,` + a + `],"next":1}`, want: []string{a}, unreadable: 1, next: "1"},
		"too deep":                         {content: `{"list":[` + strings.Repeat("[", 1e6) + strings.Repeat("]", 1e6) + `,` + a + `],"next":1}`, want: []string{a}, unreadable: 1, next: "1"},
		"nothing between commas":           {content: `{"list":[` + a + `,,` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, next: "1"},
		"missing comma":                    {content: `{"list":[` + a + b + `],"next":1}`, want: []string{a, b}, next: "1"},
		"quote missing":                    {content: `{"list":[` + a + `,{"name":"odd},` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, next: "1"},
		"quote missing in the last":        {content: `{"list":[` + a + `,{"name":"odd}],"next":1}`, want: []string{a}, unreadable: 1, next: "1"},
		"two quotes missing":               {content: `{"list":[{"name":"odd},` + a + `,{"name":"odd},` + b + `],"next":1}`, want: []string{a, b}, unreadable: 2, next: "1"},
		"bracket missing":                  {content: `{"list":[` + a + `,{"x":[1},` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, next: "1"},
		"bracket too many":                 {content: `{"list":[` + a + `],` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, next: "1"},
		"garbage between":                  {content: `{"list":[` + a + `,` + "\x00\xfe" + `,` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, next: "1"},
		"object within a damaged element":  {content: `{"list":[{"name":"odd,"of":` + a + `},` + b + `],"next":1}`, want: []string{b}, unreadable: 1, next: "1"},
		"unsound within a damaged element": {content: `{"list":[{"x":\,"of":[{"x":1}]},` + b + `],"next":1}`, want: []string{b}, unreadable: 1, next: "1"},
		"sound elements in a string":       {content: `{"list":[{"name":"\u","x":"[{\"name\":\"a\"}]"},` + b + `],"next":1}`, want: []string{b}, unreadable: 1, next: "1"},
		"cut off within an element":        {content: `{"list":[` + a + `,{"name":"b","of":{"x":[]}`, want: []string{a}, unreadable: 1, incomplete: true},
		"cut off":                          {content: `{"list":[` + a + `,` + b + `,{"na`, want: []string{a, b}, unreadable: 1, incomplete: true},
		"cut off after an element":         {content: `{"list":[` + a + `,` + b, want: []string{a, b}, incomplete: true},
		"cut off after the list":           {content: `{"list":[` + a + `,` + b + `],"nex`, want: []string{a, b}, unreadable: 1, incomplete: true},
		"garbage before the list":          {content: `{"x":` + "\xff" + `,"list":[` + a + `,` + b + `],"next":1}`, want: []string{a, b}, unreadable: 1, incomplete: true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := lenientjson.ReadList([]byte(c.content), "list", hasName)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(texts(got.Elements), c.want) || got.Unreadable != c.unreadable || got.Incomplete != c.incomplete || string(got.Fields["next"]) != c.next {
				t.Errorf("got %.300s, %d unreadable, incomplete %t, next %s", got.Elements, got.Unreadable, got.Incomplete, got.Fields["next"])
			}
		})
	}
}

func TestReadListNeedsAList(t *testing.T) {
	for _, content := range []string{"", "null", "7", "[]", "{}", `{"list":null}`, `{"list":{}}`, `{"list":"x"}`, "\xff", `{"list"`, `{"list":`} {
		if got, err := lenientjson.ReadList([]byte(content), "list", hasName); !errors.Is(err, lenientjson.ErrNoList) {
			t.Errorf("%q gave %+v, error %v", content, got, err)
		}
	}
}

// TestReadListEndsSoon reads content whose damage invites to read it again from
// each of its bytes.
func TestReadListEndsSoon(t *testing.T) {
	for name, unit := range map[string]string{
		"open objects":          "{",
		"open lists of objects": "[{",
		"open strings":          `,{"a`,
		"open elements":         `,{"a":[`,
		"ends":                  "]",
		"bytes":                 ",\x00",
		"escapes":               `,{"\`,
	} {
		t.Run(name, func(t *testing.T) {
			content := `{"list":[` + strings.Repeat(unit, (1<<20)/len(unit))
			start := time.Now()
			got, err := lenientjson.ReadList([]byte(content), "list", hasName)
			if err != nil || !got.Incomplete || len(got.Elements) > 0 {
				t.Errorf("got %d elements, incomplete %t, error %v", len(got.Elements), got.Incomplete, err)
			}
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// TestDamageCostsOneElement overwrites one element, with bytes that show where it
// ends and with ones that don't.
func TestDamageCostsOneElement(t *testing.T) {
	damages := rapid.OneOf(
		rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return "{" + string(b) + "}" }),
		rapid.SampledFrom([]string{`{"name":"odd`, `{"name":"odd}`, `{"x":[}`, "}", "\x00", `{"name" "odd"}`, `{"name":"\q"}`}),
	)
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		odd := rapid.IntRange(0, count-1).Draw(t, "odd")
		var elements, want []string
		for i := range count {
			element := fmt.Sprintf(`{"name":"e%d","of":[{"x":[%d]}]}`, i, i)
			if i == odd {
				element = damages.Draw(t, "damage")
			} else {
				want = append(want, element)
			}
			elements = append(elements, element)
		}
		list, err := lenientjson.ReadList([]byte(`{"list":[`+strings.Join(elements, ",")+`],"next":1}`), "list", hasName)
		if err != nil {
			t.Fatal(err)
		}
		got := texts(slices.DeleteFunc(list.Elements, func(raw json.RawMessage) bool { return !hasName(raw) }))
		got = slices.DeleteFunc(got, func(s string) bool { return s == elements[odd] })
		if !slices.Equal(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// FuzzReadList reads arbitrary content: it must not panic, what it returns must be
// valid, and valid content must give what encoding/json reads.
func FuzzReadList(f *testing.F) {
	for _, seed := range []string{
		`{"list":[{"name":"a"},{"name":"b"}],"next":1}`,
		`{"list":[{"name":"a},{"name":"b"}],"next":1}`,
		`{"next":"[","list":[{"name":"a"}}]}`,
		"{\"list\":[{\"name\":\"\xff\"},,[[\\",
		`{"list" : [ 1e400 , "list" ] `,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		got, err := lenientjson.ReadList(content, "list", hasName)
		for _, raw := range got.Elements {
			if !json.Valid(raw) {
				t.Errorf("%q gave the element %q", content, raw)
			}
		}
		var want struct {
			List []json.RawMessage `json:"list"`
		}
		var exact map[string]json.RawMessage
		if json.Unmarshal(content, &exact) != nil || json.Unmarshal(exact["list"], &want.List) != nil || want.List == nil {
			return
		}
		if err != nil || got.Incomplete || len(got.Elements)+got.Unreadable != len(want.List) {
			t.Errorf("%q gave %q, error %v, want %q", content, got.Elements, err, want.List)
		}
	})
}
