package settings

import (
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// bench is a tree with a root operator and what the tests need around it.
type bench struct {
	t     *testing.T
	tree  *Tree
	index uint64
}

const rootHash = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"

func newBench(t *testing.T) *bench {
	b := &bench{t: t, tree: NewTree(), index: 1}
	b.tree.Bootstrap(b.index, Bootstrap{RootTokenSHA256: rootHash, Zones: []string{"a"}})
	return b
}

func edit(path string, base uint64, content string) Edit {
	return Edit{Path: path, BaseVersion: base, Content: []byte(content)}
}

func (b *bench) apply(number uint64, edits ...Edit) ChangeResult {
	b.index++
	return b.tree.Apply(b.index, Change{Operator: RootOperator, TokenSHA256: rootHash, Number: number, Edits: edits})
}

func (b *bench) want(got ChangeResult, outcome Outcome, version uint64) {
	b.t.Helper()
	if got.Outcome != outcome || got.Version != version {
		b.t.Fatalf("result = %+v, want %s, version %d", got, outcome, version)
	}
}

const model = `{"engines":{},"role_price":1}`

func TestResentChangeGetsFirstAnswer(t *testing.T) {
	b := newBench(t)
	b.want(b.apply(1, edit("models/m", 0, model)), Accepted, 2)
	b.want(b.apply(2, edit("models/m", 0, `{"role_price":2}`)), Conflict, 2)
	b.want(b.apply(3, edit("teams/t", 0, `{"classes":{"c":{"model":"n"}}}`)), Invalid, 0)
	b.want(b.apply(4, edit("models/m", 2, "")), Accepted, 5)
	b.want(b.apply(5, edit("models/n", 0, model)), Accepted, 6)
	// Now the refused changes would be accepted, if they were judged again.
	b.want(b.apply(1, edit("models/m", 0, model)), Accepted, 2)
	b.want(b.apply(2, edit("models/m", 0, `{"role_price":2}`)), Conflict, 2)
	b.want(b.apply(3, edit("teams/t", 0, `{"classes":{"c":{"model":"n"}}}`)), Invalid, 0)
	if _, ok := b.tree.Subtrees["models/m"]; ok {
		t.Error("a resent change was carried out again")
	}
}

func TestEqualNumbersShowTheWinner(t *testing.T) {
	b := newBench(t)
	b.apply(1, edit("models/m", 0, model))
	got := b.apply(1, edit("models/n", 0, model))
	b.want(got, NumberTaken, 2)
	if got.Winner == nil || got.Winner.Path != "models/m" || got.Winner.Outcome != Accepted {
		t.Errorf("winner = %+v, want the accepted change of models/m", got.Winner)
	}
}

func TestChangeOfSeveralSubtreesIsWhole(t *testing.T) {
	b := newBench(t)
	class := `{"classes":{"c":{"model":"m","expected_wait":"1s","worth":1}}}`
	got := b.apply(1, edit("models/m", 0, model), edit("teams/t", 0, strings.Replace(class, "1s", "0s", 1)))
	b.want(got, Invalid, 0)
	if got.Path != "/teams/t/classes/c/expected_wait" {
		t.Errorf("path = %q", got.Path)
	}
	b.want(b.apply(2, edit("models/m", 0, model), edit("teams/t", 7, class)), Conflict, 0)
	if len(b.tree.Subtrees) != 1 {
		t.Fatalf("subtrees = %v, want the root operator only", b.tree.Subtrees)
	}
	b.want(b.apply(3, edit("teams/t", 0, class), edit("models/m", 0, model)), Accepted, 4)
	b.want(b.apply(4, edit("models/m", 4, "")), Invalid, 0)
	b.want(b.apply(5, edit("models/m", 4, ""), edit("teams/t", 4, "")), Accepted, 6)
	b.want(b.apply(6, edit("models/m", 0, model), edit("models/m", 0, model)), Invalid, 0)
	b.want(b.apply(7), Invalid, 0)
	b.want(b.apply(8, edit("members/x", 0, "{}")), Invalid, 0)
}

func TestNumbersAreForgottenNeverRunAgain(t *testing.T) {
	b := newBench(t)
	version := uint64(0)
	for number := uint64(1); number <= answersPerOperator+1; number++ {
		result := b.apply(number, edit("models/m", version, model))
		b.want(result, Accepted, b.index)
		version = result.Version
	}
	b.want(b.apply(1, edit("models/m", 0, model)), NumberTooOld, 0)
	b.want(b.apply(2, edit("models/m", 2, model)), Accepted, 3)
	if kept := len(b.tree.Answers.Operators[RootOperator].Answers); kept != answersPerOperator || b.tree.Answers.Count != kept {
		t.Errorf("%d answers kept, count %d, want %d", kept, b.tree.Answers.Count, answersPerOperator)
	}
}

func TestAuthorizationIsDecidedAtCommit(t *testing.T) {
	b := newBench(t)
	b.apply(1, edit("operators/o", 0, `{"token_sha256":"`+hashA+`","subtrees":["models/m"]}`))
	change := func(path string, number uint64) Change {
		return Change{Operator: "o", TokenSHA256: hashA, Number: number, Edits: []Edit{edit(path, 0, model)}}
	}
	b.want(b.tree.Apply(10, change("models/n", 1)), Denied, 0)
	b.want(b.tree.Apply(11, change("models/m2", 2)), Denied, 0)
	b.want(b.tree.Apply(12, change("models/m", 3)), Accepted, 12)
	forged := change("models/m", 4)
	forged.TokenSHA256 = hashB
	b.want(b.tree.Apply(13, forged), Denied, 0)
	b.index = 13
	b.want(b.apply(2, edit("operators/o", 2, "")), Accepted, 14)
	// The revocation won the race against a change sent before it.
	b.want(b.tree.Apply(15, change("models/m", 5)), Denied, 0)
	// A denied change stays denied when the operator may do more later.
	b.index = 15
	b.apply(3, edit("operators/o", 0, `{"token_sha256":"`+hashA+`","subtrees":["/"]}`))
	b.want(b.tree.Apply(17, change("models/n", 1)), Denied, 0)
}

func TestBootstrap(t *testing.T) {
	b := newBench(t)
	same := Bootstrap{RootTokenSHA256: rootHash, Zones: []string{"a"}}
	if b.tree.NeedsBootstrap(same) {
		t.Error("the same deployment file needs no command")
	}
	b.apply(1, edit("models/m", 0, `{"role_price":1,"engines":{"e":{"url":"http://127.0.0.1:1","zone":"a","authority":"lagoonshift"}}}`))
	b.tree.Bootstrap(5, Bootstrap{RootTokenSHA256: hashB, Zones: []string{"b"}})
	if got := strings.Join(b.tree.Zones, " "); got != "a b" {
		t.Errorf("zones = %q, want the new one and the one in use", got)
	}
	if name, ok := b.tree.Configuration().FindOperator(hashB); !ok || name != RootOperator {
		t.Error("a new token in the deployment file does not replace the root operator")
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
		t.Error("an earlier incarnation removed the newer one")
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
