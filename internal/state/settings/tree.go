package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Change is one operator's change of one subtree.
type Change struct {
	// Operator is the name of the operator.
	Operator string `cbor:"1,keyasint"`
	// Number identifies the change among the operator's changes. The same
	// number with the same content returns the first answer again.
	Number uint64 `cbor:"2,keyasint"`
	// Path is the subtree, such as "teams/desk" or "system".
	Path string `cbor:"3,keyasint"`
	// BaseVersion is the subtree's version that the change was made against;
	// zero for a new subtree.
	BaseVersion uint64 `cbor:"4,keyasint"`
	// Content is the subtree's new content in JSON; empty removes it.
	Content []byte `cbor:"5,keyasint"`
}

// Outcome tells what became of a change.
type Outcome string

const (
	// Accepted means that the change is part of the tree.
	Accepted Outcome = "accepted"
	// Conflict means that the subtree changed since BaseVersion.
	Conflict Outcome = "conflict"
	// NumberTaken means that the operator's number was used for other content.
	NumberTaken Outcome = "number-taken"
	// Invalid means that the whole tree would not be valid.
	Invalid Outcome = "invalid"
)

// ChangeResult is the answer to a Change.
type ChangeResult struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Version is the subtree's version after an accepted change, and its
	// current version otherwise.
	Version uint64 `cbor:"2,keyasint"`
	// Current is the subtree's current content after a refusal.
	Current []byte `cbor:"3,keyasint,omitempty"`
	// Reason explains a refusal, with the path of the offending field.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Subtree is one stored subtree.
type Subtree struct {
	// Version is the log index of the change that wrote the content.
	Version uint64 `cbor:"1,keyasint"`
	// Content is compact JSON.
	Content []byte `cbor:"2,keyasint"`
}

// Tree is the replicated settings tree. It is not safe for concurrent use.
type Tree struct {
	// Version is the index of the newest settings command applied, accepted
	// or refused.
	Version uint64 `cbor:"1,keyasint"`
	// Subtrees holds the content by path.
	Subtrees map[string]Subtree `cbor:"2,keyasint"`
	// Answers holds the changes answered so far by operator and number.
	Answers map[string]map[uint64]Answer `cbor:"3,keyasint"`
}

// Answer is a change that was answered, kept to answer it again.
type Answer struct {
	Change Change       `cbor:"1,keyasint"`
	Result ChangeResult `cbor:"2,keyasint"`
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	return &Tree{
		Subtrees: make(map[string]Subtree),
		Answers:  make(map[string]map[uint64]Answer),
	}
}

// Apply executes the change committed at the given log index.
func (t *Tree) Apply(index uint64, c Change) ChangeResult {
	t.Version = index
	if answer, ok := t.Answers[c.Operator][c.Number]; ok {
		return t.repeat(answer, c)
	}
	result := t.decide(index, c)
	if result.Outcome == Accepted {
		t.remember(c, result)
	}
	return result
}

func (t *Tree) repeat(answer Answer, c Change) ChangeResult {
	if sameChange(answer.Change, c) {
		return answer.Result
	}
	return ChangeResult{
		Outcome: NumberTaken,
		Version: answer.Result.Version,
		Current: answer.Change.Content,
		Reason:  fmt.Sprintf("number %d of %s was used for %s", c.Number, c.Operator, answer.Change.Path),
	}
}

func (t *Tree) decide(index uint64, c Change) ChangeResult {
	current := t.Subtrees[c.Path]
	if current.Version != c.BaseVersion {
		return ChangeResult{Outcome: Conflict, Version: current.Version, Current: current.Content}
	}
	next := maps.Clone(t.Subtrees)
	if len(c.Content) == 0 {
		delete(next, c.Path)
	} else {
		next[c.Path] = Subtree{Version: index, Content: c.Content}
	}
	if _, err := decode(index, next); err != nil {
		return ChangeResult{Outcome: Invalid, Version: current.Version, Current: current.Content, Reason: err.Error()}
	}
	t.Subtrees = next
	return ChangeResult{Outcome: Accepted, Version: index}
}

func (t *Tree) remember(c Change, result ChangeResult) {
	if t.Answers[c.Operator] == nil {
		t.Answers[c.Operator] = make(map[uint64]Answer)
	}
	t.Answers[c.Operator][c.Number] = Answer{Change: c, Result: result}
}

// Configuration decodes the current tree.
func (t *Tree) Configuration() (*Configuration, error) {
	return decode(t.Version, t.Subtrees)
}

// Document returns the current tree as one JSON document, as Parse reads it.
func (t *Tree) Document() ([]byte, error) {
	return document(t.Subtrees)
}

// Parse reads a whole configuration from JSON and checks it.
func Parse(version uint64, content []byte) (*Configuration, error) {
	c := Configuration{Version: version}
	if err := strictjson.Decode(content, &c); err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &c, nil
}

func decode(version uint64, subtrees map[string]Subtree) (*Configuration, error) {
	content, err := document(subtrees)
	if err != nil {
		return nil, err
	}
	return Parse(version, content)
}

// document joins subtrees such as "teams/desk" into one JSON object.
func document(subtrees map[string]Subtree) ([]byte, error) {
	top := make(map[string]json.RawMessage)
	groups := make(map[string]map[string]json.RawMessage)
	for _, path := range slices.Sorted(maps.Keys(subtrees)) {
		group, name, nested := strings.Cut(path, "/")
		content := json.RawMessage(subtrees[path].Content)
		if !nested {
			top[group] = content
			continue
		}
		if groups[group] == nil {
			groups[group] = make(map[string]json.RawMessage)
		}
		groups[group][name] = content
	}
	for group, members := range groups {
		if _, ok := top[group]; ok {
			return nil, &strictjson.FieldError{Path: "/" + group, Reason: "is given whole and in parts"}
		}
		encoded, err := json.Marshal(members)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", group, err)
		}
		top[group] = encoded
	}
	return json.Marshal(top)
}

func sameChange(a, b Change) bool {
	return a.Path == b.Path && a.BaseVersion == b.BaseVersion && bytes.Equal(a.Content, b.Content)
}
