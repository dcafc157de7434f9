package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Subtree is one stored subtree.
type Subtree struct {
	// Version is the log index of the command that wrote the content.
	Version uint64 `cbor:"1,keyasint"`
	// Content is compact JSON.
	Content []byte `cbor:"2,keyasint"`
}

// Tree is everything that entries hold under the settings lease: the
// operators' settings, the members and the leaving VMs. It is replicated and
// not safe for concurrent use.
type Tree struct {
	// Version is the index of the newest settings command applied, accepted
	// or refused.
	Version uint64 `cbor:"1,keyasint"`
	// Subtrees holds the content by path.
	Subtrees map[string]Subtree `cbor:"2,keyasint"`
	// Removed remembers removed paths for updates.
	Removed Removals `cbor:"3,keyasint"`
	// Answers holds the newest changes answered.
	Answers Answers `cbor:"4,keyasint"`
	// History holds the newest changes accepted.
	History History `cbor:"5,keyasint"`
	// Zones lists the availability zones that subtrees may name.
	Zones []string `cbor:"6,keyasint"`
	// RootTokenSHA256 is the root operator's token as the deployment file
	// gave it last.
	RootTokenSHA256 string `cbor:"7,keyasint"`

	// current is derived from the fields above.
	current *Configuration
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	t := &Tree{
		Subtrees: make(map[string]Subtree),
		Removed:  Removals{Versions: make(map[string]uint64)},
		Answers:  newAnswers(),
	}
	t.current = newDraft(&Configuration{}, 0).finish()
	return t
}

// Rebuild derives what a decoded snapshot does not hold.
func (t *Tree) Rebuild() error {
	if t.Subtrees == nil {
		t.Subtrees = make(map[string]Subtree)
	}
	if t.Removed.Versions == nil {
		t.Removed.Versions = make(map[string]uint64)
	}
	if t.Answers.Operators == nil {
		t.Answers = newAnswers()
	}
	current, err := build(t.Version, t.Zones, t.Subtrees)
	if err != nil {
		return err
	}
	t.current = current
	return nil
}

// Configuration returns the current tree, decoded.
func (t *Tree) Configuration() *Configuration {
	return t.current
}

// Apply executes the change committed at the given log index.
func (t *Tree) Apply(index uint64, c Change) ChangeResult {
	if c.Rules > RulesVersion {
		panic(fmt.Sprintf("settings: change at index %d needs rules version %d, this binary has %d", index, c.Rules, RulesVersion))
	}
	t.advance(index)
	if !t.authentic(&c) {
		return ChangeResult{Outcome: Denied, Reason: "unknown operator or wrong token"}
	}
	digest := c.digest()
	if answer, ok := t.Answers.find(c.Operator, c.Number); ok {
		return repeat(&answer, digest, &c)
	}
	if forgotten := t.Answers.forgotten(c.Operator); c.Number <= forgotten {
		reason := fmt.Sprintf("number %d may have been used before; use one above %d", c.Number, forgotten)
		return ChangeResult{Outcome: NumberTooOld, Reason: reason}
	}
	result := t.decide(index, &c)
	t.Answers.remember(c.Operator, Answer{
		Index:  index,
		Number: c.Number,
		Digest: digest,
		Path:   firstPath(&c),
		Edits:  len(c.Edits),
		Result: result,
	})
	if result.Outcome == Accepted {
		t.History.add(index, &c)
	}
	return result
}

// advance makes index the tree's version; every settings command does so.
func (t *Tree) advance(index uint64) {
	t.Version = index
	next := *t.current
	next.Version = index
	t.current = &next
}

// Skip passes over a settings command that could not be executed.
func (t *Tree) Skip(index uint64) {
	t.advance(index)
}

func repeat(answer *Answer, digest Digest, c *Change) ChangeResult {
	if answer.Digest == digest {
		return answer.Result
	}
	return ChangeResult{
		Outcome: NumberTaken,
		Version: answer.Result.Version,
		Path:    answer.Path,
		Reason:  fmt.Sprintf("number %d of %s was used for another change", c.Number, c.Operator),
		Winner: &Winner{
			Outcome: answer.Result.Outcome,
			Version: answer.Result.Version,
			Path:    answer.Path,
			Edits:   answer.Edits,
		},
	}
}

// decide checks the change against the tree and carries it out.
func (t *Tree) decide(index uint64, c *Change) ChangeResult {
	if path, ok := t.uncovered(c); ok {
		return ChangeResult{Outcome: Denied, Path: "/" + path, Reason: "the operator may not change this subtree"}
	}
	if result, ok := t.conflict(c); ok {
		return result
	}
	next, err := t.next(index, c)
	if err != nil {
		return invalid(err)
	}
	for _, e := range c.Edits {
		t.put(index, e.Path, e.Content)
	}
	t.current = next
	return ChangeResult{Outcome: Accepted, Version: index}
}

func (t *Tree) conflict(c *Change) (ChangeResult, bool) {
	for _, e := range c.Edits {
		current := t.Subtrees[e.Path].Version
		if current == e.BaseVersion {
			continue
		}
		reason := fmt.Sprintf("made against version %d, the current one is %d", e.BaseVersion, current)
		return ChangeResult{Outcome: Conflict, Version: current, Path: "/" + e.Path, Reason: clip(reason)}, true
	}
	return ChangeResult{}, false
}

// next returns the configuration that the change would lead to.
func (t *Tree) next(index uint64, c *Change) (*Configuration, error) {
	if len(c.Edits) == 0 {
		return nil, fieldError("/", "expected at least one edit")
	}
	d := newDraft(t.current, index)
	seen := make(map[string]bool, len(c.Edits))
	paths := make([]Path, 0, len(c.Edits))
	for _, e := range c.Edits {
		p, err := ParsePath(e.Path)
		if err != nil {
			return nil, err
		}
		if seen[e.Path] {
			return nil, fieldError("/"+e.Path, "subtree is given twice")
		}
		seen[e.Path] = true
		paths = append(paths, p)
		if err := d.set(p, e.Content); err != nil {
			return nil, err
		}
	}
	return d.finishEdited(paths)
}

// put stores or removes one subtree.
func (t *Tree) put(index uint64, path string, content []byte) {
	if len(content) > 0 {
		t.Subtrees[path] = Subtree{Version: index, Content: content}
		t.Removed.forget(path)
		return
	}
	if _, ok := t.Subtrees[path]; !ok {
		return
	}
	delete(t.Subtrees, path)
	t.Removed.add(path, index)
}

func invalid(err error) ChangeResult {
	var field *strictjson.FieldError
	if errors.As(err, &field) {
		return ChangeResult{Outcome: Invalid, Path: clip(field.Path), Reason: clip(field.Reason)}
	}
	return ChangeResult{Outcome: Invalid, Reason: clip(err.Error())}
}

func clip(text string) string {
	if len(text) <= maxReason {
		return text
	}
	return strings.ToValidUTF8(text[:maxReason], "")
}

func firstPath(c *Change) string {
	if len(c.Edits) == 0 {
		return ""
	}
	return clip(c.Edits[0].Path)
}
