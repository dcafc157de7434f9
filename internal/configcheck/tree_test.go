package configcheck_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/configcheck"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	tokenHash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	otherHash = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

const validTree = `// settings version 4
{
  "system": {"address_ttl": "30s", "old_system": ["http://127.0.0.9:80"], "weight_store_rate": 10},
  "models/m": {"role_price": 1, "weights": [{"kind": "model", "name": "w", "version": "1"}], "engines": {
    "e1": {"url": "http://127.0.0.1:1", "zone": "a", "authority": "lagoonshift"}}},
  "services/s": {"backends": {"b": {"url": "http://127.0.0.4:1", "zone": "a"}}, "calls": {"x": {"timeout": "1s", "lookup": "y"}}},
  "teams/t": {"classes": {"c": {"model": "m", "expected_wait": "2s", "worth": 1}}},
  "operators/o": {"token_sha256": "` + tokenHash + `", "subtrees": ["teams/t"]},
}`

// TestCheckTree guards against findings that are missed, at a wrong place, or made about
// sound settings.
func TestCheckTree(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"30s"`, `"30m"`, "error 3:29 /system/address_ttl: expected a duration"},
		{`"30s"`, `"30s" x`, "error 3:35 : invalid character after object value"},
		{`"30s"`, `30s`, "error 3:29 : invalid literal"},
		{`"worth": 1`, `"worth": 1, "worth": 2`, "error 7:91 /teams/t/classes/c/worth: field is given twice"},
		{`"worth": 1`, `"price": 1`, "error 7:79 /teams/t/classes/c/price: unknown field"},
		{`"classes": {"c": {"model": "m", "expected_wait": "2s", "worth": 1}}`, `"classes": {}`, `warning 7:14 /teams/t: team "t" can't be used`},
		{`"expected_wait": "2s"`, `"expected_wait": "2s", "old_system_share": 1`, `warning 7:90 /teams/t/classes/c/old_system_share: class "c" gets no requests`},
		{`"models/m"`, `"models/n": {"role_price": 1, "engines": {"e2": {"url": "http://127.0.0.2:1", "zone": "a", "authority": "lagoonshift"}}}, "models/m"`, `warning 4:15 /models/n: model "n" gets no requests`},
		{`, "weight_store_rate": 10`, ``, "warning 4:44 /models/m/weights: the weights are never loaded"},
		{`"authority": "lagoonshift"`, `"authority": "old-system", "role": "mixed"`, "/models/m/engines/e1/role: no order is sent"},
		{`"authority": "lagoonshift"`, `"authority": "lagoonshift", "drain": true`, `/models/m/engines: model "m" can't be served`},
		{`"authority": "lagoonshift"}}`, `"authority": "lagoonshift", "role": "mixed"}}, "speeds": {"prefill": {"prefill_rate": 1, "step_base": "1s", "step_per_sequence": "1s", "max_sequences": 1, "prefill_share": 0.5}}`, "/models/m/speeds/prefill: has no effect"},
		{`"backends": {"b": {"url": "http://127.0.0.4:1", "zone": "a"}}`, `"backends": {}`, `/services/s/backends: service "s" can't be served`},
		{`"calls": {"x": {"timeout": "1s", "lookup": "y"}}`, `"calls": {}`, `/services/s: service "s" can't be used`},
		{`"lookup": "y"`, `"lookup": "y", "idempotent": true`, "/services/s/calls/x/lookup: has no effect"},
		{`["teams/t"]`, `["teams/t", "teams"]`, "warning 8:116 /operators/o/subtrees/0: has no effect: the prefix at /operators/o/subtrees/1"},
		{`["teams/t"]`, `["teams/t", "teams/t"]`, "/operators/o/subtrees/1: has no effect"},
	} {
		findings, err := configcheck.CheckTree([]byte(strings.Replace(validTree, c.old, c.new, 1)), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		for _, f := range findings {
			fmt.Fprintf(&got, "%s %d:%d %s: %s\n", f.Severity, f.Line, f.Column, f.Pointer, f.Message)
		}
		if c.want == "" && len(findings) > 0 || !strings.Contains(got.String(), c.want) {
			t.Errorf("%s: got %q, want %q", c.new, got.String(), c.want)
		}
	}
	if findings, _ := configcheck.CheckTree([]byte(validTree), nil, []string{"b"}); configcheck.ExitCode(findings) != configcheck.ExitUnusable {
		t.Errorf("a zone that the deployment hasn't: got %+v, want an error", findings)
	}
}

// TestCompareTrees guards against changes that aren't shown, and against hashes in them.
func TestCompareTrees(t *testing.T) {
	now := strings.NewReplacer(tokenHash, otherHash, `"30s"`, `"40s"`, `"services/s"`, `"services/n"`, `"worth": 1`, `"worth": 1, "priority": 2`).Replace(validTree)
	findings, err := configcheck.CheckTree([]byte(now), []byte(validTree), nil)
	if err != nil || configcheck.ExitCode(findings) != configcheck.ExitFine {
		t.Fatalf("got %+v, error %v", findings, err)
	}
	got, err := json.Marshal(findings)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"/system/address_ttl","line":3,"column":29,"message":"\"30s\" becomes \"40s\""`,
		`"/services/n","line":6,"column":17,"message":"the subtree is added"`,
		`"/services/s","message":"the subtree isn't in the file; it stays`,
		`"/teams/t/classes/c/priority","line":7,"column":94,"message":"2 is added"`,
		`"/operators/o/token_sha256","line":8,"column":35,"message":"is changed"`,
	} {
		if !strings.Contains(string(got), want) {
			t.Errorf("got %s, want it to hold %s", got, want)
		}
	}
	if len(findings) != 5 || strings.Contains(string(got), tokenHash) || strings.Contains(string(got), otherHash) {
		t.Errorf("got %s, want five findings without a hash", got)
	}
	if _, err := configcheck.CheckTree([]byte(validTree), []byte("{"), nil); err == nil {
		t.Error("a broken file in force: got no error")
	}
}

// TestNoTokenInTreeFindings guards against errors that quote a token which was given in
// place of its hash, for files that are cut off, lack a byte or have a byte changed.
func TestNoTokenInTreeFindings(t *testing.T) {
	const token = "Xq7vZk2mWp9r"
	tree := strings.Replace(validTree, tokenHash, token, 1)
	check := func(content, inForce string) {
		findings, err := configcheck.CheckTree([]byte(content), []byte(inForce), nil)
		out, _ := json.Marshal(findings)
		text := string(out) + fmt.Sprint(err)
		for i := range len(token) - 4 {
			if strings.Contains(text, token[i:i+5]) {
				t.Fatalf("%s: output %s holds a part of the token", content, text)
			}
		}
	}
	check(strings.Replace(validTree, `"`+tokenHash+`"`, token, 1), validTree)
	for i := range tree {
		check(tree[:i], validTree)
		check(tree[:i]+tree[i+1:], tree)
		for _, b := range []string{`"`, "{", "\\"} {
			check(tree[:i]+b+tree[i+1:], validTree)
		}
	}
}

// FuzzCheckTree guards against settings that the check takes and control rejects, or the
// other way round. By hand: go test ./internal/configcheck -fuzz FuzzCheckTree -fuzztime 30s
func FuzzCheckTree(f *testing.F) {
	f.Add([]byte(validTree))
	f.Add([]byte(`{"models/m": {"role_price": 1}, "teams/t": {"classes": {"c": {"model": "m"}}}}`))
	f.Add([]byte(`{"teams/t": null, "system": {}}`))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		findings, err := configcheck.CheckTree(content, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		file, err := settings.ParseFile(content, nil)
		if accepted := configcheck.ExitCode(findings) != configcheck.ExitUnusable; accepted != (err == nil) {
			t.Fatalf("the check returns %+v, apply %v", findings, err)
		}
		if err != nil {
			return
		}
		const root = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"
		tree := settings.NewTree()
		tree.Bootstrap(1, settings.Bootstrap{RootTokenSHA256: root})
		change := settings.Change{Operator: settings.RootOperator, TokenSHA256: root, Number: 1}
		for path, subtree := range file.Subtrees {
			change.Edits = append(change.Edits, settings.Edit{Path: path, Content: subtree})
		}
		if len(change.Edits) == 0 {
			return // apply sends no change then
		}
		if result := tree.Apply(2, change); result.Outcome != settings.Accepted {
			t.Errorf("control answers %+v to what the check accepts", result)
		}
	})
}
