package settings

import (
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// fixture is a tree with a root operator and the log index of its last command.
type fixture struct {
	t     *testing.T
	tree  *Tree
	index uint64
}

const rootHash = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, tree: NewTree(), index: 1}
	f.tree.Bootstrap(f.index, Bootstrap{RootTokenSHA256: rootHash, Zones: []string{"a"}})
	return f
}

func edit(path string, base uint64, content string) Edit {
	return Edit{Path: path, BaseVersion: base, Content: []byte(content)}
}

func (f *fixture) apply(number uint64, edits ...Edit) ChangeResult {
	f.index++
	return f.tree.Apply(f.index, Change{Operator: RootOperator, TokenSHA256: rootHash, Number: number, Edits: edits})
}

func (f *fixture) expect(got ChangeResult, outcome Outcome, version uint64) {
	f.t.Helper()
	if got.Outcome != outcome || got.Version != version {
		f.t.Fatalf("result = %+v, want %s, version %d", got, outcome, version)
	}
}

const model = `{"engines":{},"role_price":1}`

func TestResentChangeReturnsFirstResult(t *testing.T) {
	f := newFixture(t)
	f.expect(f.apply(1, edit("models/m", 0, model)), Accepted, 2)
	f.expect(f.apply(2, edit("models/m", 0, `{"role_price":2}`)), Conflict, 2)
	f.expect(f.apply(3, edit("teams/t", 0, `{"classes":{"c":{"model":"n"}}}`)), Invalid, 0)
	f.expect(f.apply(4, edit("models/m", 2, "")), Accepted, 5)
	f.expect(f.apply(5, edit("models/n", 0, model)), Accepted, 6)
	// With the current tree, the refused changes would be accepted if they
	// were executed again.
	f.expect(f.apply(1, edit("models/m", 0, model)), Accepted, 2)
	f.expect(f.apply(2, edit("models/m", 0, `{"role_price":2}`)), Conflict, 2)
	f.expect(f.apply(3, edit("teams/t", 0, `{"classes":{"c":{"model":"n"}}}`)), Invalid, 0)
	if _, ok := f.tree.Subtrees["models/m"]; ok {
		t.Error("a resent change was executed again")
	}
}

func TestReusedNumberReportsFirstChange(t *testing.T) {
	f := newFixture(t)
	f.apply(1, edit("models/m", 0, model))
	got := f.apply(1, edit("models/n", 0, model))
	f.expect(got, NumberTaken, 2)
	if got.Winner == nil || got.Winner.Path != "models/m" || got.Winner.Outcome != Accepted {
		t.Errorf("winner = %+v, want the accepted change of models/m", got.Winner)
	}
}

func TestMultiSubtreeChangeIsAtomic(t *testing.T) {
	f := newFixture(t)
	class := `{"classes":{"c":{"model":"m","expected_wait":"1s","worth":1}}}`
	got := f.apply(1, edit("models/m", 0, model), edit("teams/t", 0, strings.Replace(class, "1s", "0s", 1)))
	f.expect(got, Invalid, 0)
	if got.Path != "/teams/t/classes/c/expected_wait" {
		t.Errorf("path = %q, want /teams/t/classes/c/expected_wait", got.Path)
	}
	f.expect(f.apply(2, edit("models/m", 0, model), edit("teams/t", 7, class)), Conflict, 0)
	if len(f.tree.Subtrees) != 1 {
		t.Fatalf("subtrees = %v, want the root operator only", f.tree.Subtrees)
	}
	f.expect(f.apply(3, edit("teams/t", 0, class), edit("models/m", 0, model)), Accepted, 4)
	f.expect(f.apply(4, edit("models/m", 4, "")), Invalid, 0)
	f.expect(f.apply(5, edit("models/m", 4, ""), edit("teams/t", 4, "")), Accepted, 6)
	f.expect(f.apply(6, edit("models/m", 0, model), edit("models/m", 0, model)), Invalid, 0)
	f.expect(f.apply(7), Invalid, 0)
	f.expect(f.apply(8, edit("members/x", 0, "{}")), Invalid, 0)
}

func TestEvictedNumberIsNotExecutedAgain(t *testing.T) {
	f := newFixture(t)
	version := uint64(0)
	for number := uint64(1); number <= maxResultsPerOperator+1; number++ {
		result := f.apply(number, edit("models/m", version, model))
		f.expect(result, Accepted, f.index)
		version = result.Version
	}
	f.expect(f.apply(1, edit("models/m", 0, model)), NumberTooOld, 0)
	f.expect(f.apply(2, edit("models/m", 2, model)), Accepted, 3)
	if kept := len(f.tree.Results.Operators[RootOperator].Results); kept != maxResultsPerOperator || f.tree.Results.Count != kept {
		t.Errorf("%d results cached, count %d, want %d", kept, f.tree.Results.Count, maxResultsPerOperator)
	}
}

func TestAuthorizationIsDecidedAtCommit(t *testing.T) {
	f := newFixture(t)
	f.apply(1, edit("operators/o", 0, `{"token_sha256":"`+hashA+`","subtrees":["models/m"]}`))
	change := func(path string, number uint64) Change {
		return Change{Operator: "o", TokenSHA256: hashA, Number: number, Edits: []Edit{edit(path, 0, model)}}
	}
	f.expect(f.tree.Apply(10, change("models/n", 1)), Denied, 0)
	f.expect(f.tree.Apply(11, change("models/m2", 2)), Denied, 0)
	f.expect(f.tree.Apply(12, change("models/m", 3)), Accepted, 12)
	forged := change("models/m", 4)
	forged.TokenSHA256 = hashB
	f.expect(f.tree.Apply(13, forged), Denied, 0)
	f.index = 13
	f.expect(f.apply(2, edit("operators/o", 2, "")), Accepted, 14)
	// The operator was removed before its change was committed.
	f.expect(f.tree.Apply(15, change("models/m", 5)), Denied, 0)
	// A denied change stays denied after the operator gets more rights.
	f.index = 15
	f.apply(3, edit("operators/o", 0, `{"token_sha256":"`+hashA+`","subtrees":["/"]}`))
	f.expect(f.tree.Apply(17, change("models/n", 1)), Denied, 0)
}

func TestBootstrap(t *testing.T) {
	f := newFixture(t)
	same := Bootstrap{RootTokenSHA256: rootHash, Zones: []string{"a"}}
	if f.tree.NeedsBootstrap(same) {
		t.Error("NeedsBootstrap = true for an unchanged deployment file, want false")
	}
	f.apply(1, edit("models/m", 0, `{"role_price":1,"engines":{"e":{"url":"http://127.0.0.1:1","zone":"a","authority":"lagoonshift"}}}`))
	f.tree.Bootstrap(5, Bootstrap{RootTokenSHA256: hashB, Zones: []string{"b"}})
	if got := strings.Join(f.tree.Zones, " "); got != "a b" {
		t.Errorf("zones = %q, want the new one and the one in use", got)
	}
	if name, ok := f.tree.Configuration().FindOperator(hashB); !ok || name != RootOperator {
		t.Error("a new token in the deployment file did not replace the root operator")
	}
}

func TestMembers(t *testing.T) {
	tree := NewTree()
	register := func(index, incarnation, replaces uint64) bool {
		m := member.Member{Name: "entry-1", Incarnation: incarnation}
		return tree.Register(index, member.Register{Member: m, Replaces: replaces}).Accepted
	}
	if !register(1, 10, 0) || !register(2, 20, 10) {
		t.Fatal("registration refused")
	}
	if register(3, 10, 0) {
		t.Error("a late registration replaced a newer incarnation")
	}
	if tree.Retire(4, member.Retire{Name: "entry-1", Incarnation: 10, Gone: true}).Accepted {
		t.Error("the retirement of an earlier incarnation removed the newer one")
	}
	tree.Retire(5, member.Retire{Name: "entry-1", Incarnation: 20})
	register(6, 20, 10)
	if got := tree.Configuration().Members["entry-1"].State; got != member.Leaving {
		t.Errorf("state = %q after a resent registration, want leaving", got)
	}
	tree.Retire(7, member.Retire{Name: "entry-1", Incarnation: 20, Gone: true})
	if len(tree.Configuration().Members) != 0 || tree.Configuration().Version != 7 {
		t.Errorf("configuration = %+v, want no member at version 7", tree.Configuration())
	}
}
