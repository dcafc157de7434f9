package workspace

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

func define(name string, keys ...string) Definition {
	return Definition{Workspace: Workspace{Name: name}, Keys: keys}
}

// TestInvalidDirectoriesAreRejected guards against keys that belong to two workspaces, names
// that can't be sent to servers, and errors that show a key.
func TestInvalidDirectoriesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		definitions []Definition
		place       string
	}{
		"no name":               {[]Definition{define("a", "secret-1"), define("", "secret-2")}, "workspace 1"},
		"name used twice":       {[]Definition{define("a", "secret-1"), define("a", "secret-2")}, `workspace 1 ("a")`},
		"name with a line end":  {[]Definition{define("a\r\nx", "secret-1")}, "workspace 0"},
		"name with blanks":      {[]Definition{define(" a", "secret-1")}, "workspace 0"},
		"key of two workspaces": {[]Definition{define("a", "x", "secret-1"), define("b", "y", "secret-1")}, `workspace 1 ("b"): key 1: workspace "a"`},
		"empty key":             {[]Definition{define("a", "secret-1", "")}, "key 1"},
		"long key":              {[]Definition{define("a", strings.Repeat("secret-1", maxKeyBytes))}, "key 0"},
	} {
		_, err := NewDirectory(c.definitions)
		switch {
		case !errors.Is(err, ErrInvalid):
			t.Errorf("%s: got error %v, want ErrInvalid", name, err)
		case !strings.Contains(err.Error(), c.place) || strings.Contains(err.Error(), "secret"):
			t.Errorf("%s: got error %q, want one that names %s and no key", name, err, c.place)
		}
	}
}

func TestKeysFindTheirWorkspace(t *testing.T) {
	longest := strings.Repeat("k", maxKeyBytes)
	d, err := NewDirectory([]Definition{define("a", "one", "two", "two"), define("b", longest), define("none")})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{
		"one": "a", "two": "a", longest: "b",
		"": "", "One": "", "one ": "", "on": "", "\x00\xff": "", longest + "k": "", strings.Repeat("k", 16<<10): "",
	} {
		got := ""
		if w := d.ByKey(key); w != nil {
			got = w.Name
		}
		if got != want {
			t.Errorf("key %.20q of %d bytes: got workspace %q, want %q", key, len(key), got, want)
		}
	}
	if d.ByName("none") == nil || d.ByName("") != nil || d.Len() != 3 {
		t.Errorf("workspaces are not found by their names")
	}
}

// TestAdmission guards against requests that are served without a key, and against a final
// rejection of a key that a newer configuration may have.
func TestAdmission(t *testing.T) {
	d, err := NewDirectory([]Definition{define("a", "one")})
	if err != nil {
		t.Fatal(err)
	}
	empty, err := NewDirectory(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		directory *Directory
		keys      []string
		public    bool
		outdated  bool
		workspace string
		verdict   Verdict
	}{
		"no workspaces":                     {nil, []string{"any"}, false, true, "", Admitted},
		"empty list":                        {empty, []string{"one"}, false, false, "", Rejected},
		"known key":                         {d, []string{"one"}, false, true, "a", Admitted},
		"unknown key":                       {d, []string{"two"}, false, false, "", Rejected},
		"unknown key, outdated":             {d, []string{"two"}, false, true, "", Undecided},
		"no key, outdated":                  {d, nil, false, true, "", Rejected},
		"empty key, outdated":               {d, []string{""}, false, true, "", Rejected},
		"two keys, outdated":                {d, []string{"one", "one"}, false, true, "", Rejected},
		"public, no key":                    {d, nil, true, false, "", Admitted},
		"public, known key":                 {d, []string{"one"}, true, false, "a", Admitted},
		"public, unknown key, outdated":     {d, []string{"two"}, true, true, "", Admitted},
		"public, two keys":                  {d, []string{"one", "one"}, true, false, "", Admitted},
		"public, list of workspaces empty":  {empty, nil, true, false, "", Admitted},
		"key of 16 kB":                      {d, []string{strings.Repeat("x", 16<<10)}, false, false, "", Rejected},
		"several keys in one header's line": {d, []string{"one, one"}, false, false, "", Rejected},
	} {
		w, verdict := c.directory.Admit(Credentials{Keys: c.keys, Public: c.public, Outdated: func() bool { return c.outdated }})
		got := ""
		if w != nil {
			got = w.Name
		}
		if got != c.workspace || verdict != c.verdict {
			t.Errorf("%s: got workspace %q, verdict %d; want %q, %d", name, got, verdict, c.workspace, c.verdict)
		}
	}
}

// TestForwardedAdmission guards against requests that lose their workspace between entries.
func TestForwardedAdmission(t *testing.T) {
	d, err := NewDirectory([]Definition{define("a", "one")})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		directory *Directory
		name      string
		keys      []string
		public    bool
		workspace string
		ok        bool
	}{
		"known name":                       {d, "a", nil, false, "a", true},
		"unknown name":                     {d, "gone", nil, false, "", false},
		"unknown name, public":             {d, "gone", nil, true, "", false},
		"name, but no workspaces here":     {nil, "a", nil, false, "", false},
		"neither, no workspaces here":      {nil, "", []string{"any"}, false, "", true},
		"neither, public":                  {d, "", nil, true, "", true},
		"neither":                          {d, "", nil, false, "", false},
		"earlier version with known key":   {d, "", []string{"one"}, false, "a", true},
		"earlier version with unknown key": {d, "", []string{"two"}, false, "", false},
	} {
		w, ok := c.directory.AdmitForwarded(c.name, Credentials{Keys: c.keys, Public: c.public, Outdated: func() bool { return true }})
		got := ""
		if w != nil {
			got = w.Name
		}
		if got != c.workspace || ok != c.ok {
			t.Errorf("%s: got workspace %q, %t; want %q, %t", name, got, ok, c.workspace, c.ok)
		}
	}
}

// manyDefinitions returns n workspaces with one key each.
func manyDefinitions(n int) []Definition {
	out := make([]Definition, 0, n)
	for i := range n {
		out = append(out, define(fmt.Sprintf("workspace-%05d", i), fmt.Sprintf("key-%028d", i)))
	}
	return out
}

func BenchmarkByKey(b *testing.B) {
	for _, n := range []int{77, 10_000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d, err := NewDirectory(manyDefinitions(n))
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		for name, key := range map[string]string{
			"known": fmt.Sprintf("key-%028d", n/2), "unknown": strings.Repeat("x", 32), "longest": strings.Repeat("x", maxKeyBytes),
			"16kB": strings.Repeat("x", 16<<10),
		} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					d.ByKey(key)
				}
				b.ReportMetric(held/1024, "directory-KiB")
			})
		}
	}
}
