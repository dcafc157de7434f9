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

// Tree holds the replicated data that entries cache under the settings lease:
// the operators' settings, the members, the leaving VMs and the closed engines.
// It is not safe for concurrent use.
type Tree struct {
	// Version is the log index of the last settings command that was applied,
	// whether it was accepted, refused or skipped.
	Version uint64 `cbor:"1,keyasint"`
	// Subtrees holds the content by path.
	Subtrees map[string]Subtree `cbor:"2,keyasint"`
	// Tombstones holds the paths of removed subtrees.
	Tombstones Tombstones `cbor:"3,keyasint"`
	// Results caches the results of the most recent changes.
	Results ResultCache `cbor:"4,keyasint"`
	// History holds the most recent accepted changes.
	History History `cbor:"5,keyasint"`
	// Zones lists the availability zones that subtrees may refer to.
	Zones []string `cbor:"6,keyasint"`
	// RootTokenSHA256 is the hex SHA-256 of the root operator's token that
	// was last read from the deployment file.
	RootTokenSHA256 string `cbor:"7,keyasint"`

	// current is derived from the fields above.
	current *Configuration
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	t := &Tree{
		Subtrees:   make(map[string]Subtree),
		Tombstones: Tombstones{Versions: make(map[string]uint64)},
		Results:    newResultCache(),
	}
	t.current = newBuilder(&Configuration{}, 0).build()
	return t
}

// Rebuild restores the fields that a decoded snapshot does not contain.
func (t *Tree) Rebuild() error {
	if t.Subtrees == nil {
		t.Subtrees = make(map[string]Subtree)
	}
	if t.Tombstones.Versions == nil {
		t.Tombstones.Versions = make(map[string]uint64)
	}
	if t.Results.Operators == nil {
		t.Results = newResultCache()
	}
	current, err := decodeStored(t.Version, t.Zones, t.Subtrees)
	if err != nil {
		return err
	}
	t.current = current
	return nil
}

// Configuration returns the decoded form of the current tree.
func (t *Tree) Configuration() *Configuration {
	return t.current
}

// Apply executes the change committed at the given log index. It panics if the
// change was proposed under newer validation rules than this binary has.
func (t *Tree) Apply(index uint64, c Change) ChangeResult {
	if c.Rules > RulesVersion {
		panic(fmt.Sprintf("settings: change at index %d needs rules version %d, this binary has %d", index, c.Rules, RulesVersion))
	}
	t.setVersion(index)
	if !t.hasValidToken(&c) {
		return ChangeResult{Outcome: Denied, Reason: "unknown operator or wrong token"}
	}
	digest := c.digest()
	if cached, ok := t.Results.find(c.Operator, c.Number); ok {
		return duplicateResult(&cached, digest, &c)
	}
	if evicted := t.Results.maxEvicted(c.Operator); c.Number <= evicted {
		reason := fmt.Sprintf("number %d may have been used before; use one above %d", c.Number, evicted)
		return ChangeResult{Outcome: NumberTooOld, Reason: reason}
	}
	result := t.validateAndApply(index, &c)
	t.Results.add(c.Operator, CachedResult{
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

// setVersion sets the tree's version to index. Every settings command must
// call it.
func (t *Tree) setVersion(index uint64) {
	t.Version = index
	next := *t.current
	next.Version = index
	t.current = &next
}

// AdvanceVersion sets the tree's version to index for a settings command that
// is not executed by the tree, for example one that can't be decoded.
func (t *Tree) AdvanceVersion(index uint64) {
	t.setVersion(index)
}

func duplicateResult(cached *CachedResult, digest Digest, c *Change) ChangeResult {
	if cached.Digest == digest {
		return cached.Result
	}
	return ChangeResult{
		Outcome: NumberTaken,
		Version: cached.Result.Version,
		Path:    cached.Path,
		Reason:  fmt.Sprintf("number %d of %s was used for another change", c.Number, c.Operator),
		Winner: &Winner{
			Outcome: cached.Result.Outcome,
			Version: cached.Result.Version,
			Path:    cached.Path,
			Edits:   cached.Edits,
		},
	}
}

// validateAndApply executes a change if it is authorized, has no conflict and
// leaves the tree valid.
func (t *Tree) validateAndApply(index uint64, c *Change) ChangeResult {
	if path, ok := t.firstDenied(c); ok {
		return ChangeResult{Outcome: Denied, Path: "/" + path, Reason: "the operator may not change this subtree"}
	}
	if result, ok := t.conflict(c); ok {
		return result
	}
	next, err := t.nextConfiguration(index, c)
	if err != nil {
		return invalidResult(err)
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
		return ChangeResult{Outcome: Conflict, Version: current, Path: "/" + e.Path, Reason: truncate(reason)}, true
	}
	return ChangeResult{}, false
}

// nextConfiguration returns the configuration after the change, or an error if
// the change is not valid.
func (t *Tree) nextConfiguration(index uint64, c *Change) (*Configuration, error) {
	if len(c.Edits) == 0 {
		return nil, fieldError("/", "expected at least one edit")
	}
	b := newBuilder(t.current, index)
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
		if err := b.set(p, e.Content); err != nil {
			return nil, err
		}
	}
	return b.buildEdited(paths)
}

// put stores one subtree, or removes it if content is empty.
func (t *Tree) put(index uint64, path string, content []byte) {
	if len(content) > 0 {
		t.Subtrees[path] = Subtree{Version: index, Content: content}
		t.Tombstones.remove(path)
		return
	}
	if _, ok := t.Subtrees[path]; !ok {
		return
	}
	delete(t.Subtrees, path)
	t.Tombstones.add(path, index)
}

func invalidResult(err error) ChangeResult {
	var field *strictjson.FieldError
	if errors.As(err, &field) {
		return ChangeResult{Outcome: Invalid, Path: truncate(field.Path), Reason: truncate(field.Reason)}
	}
	return ChangeResult{Outcome: Invalid, Reason: truncate(err.Error())}
}

func truncate(text string) string {
	if len(text) <= maxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxReasonBytes], "")
}

func firstPath(c *Change) string {
	if len(c.Edits) == 0 {
		return ""
	}
	return truncate(c.Edits[0].Path)
}
