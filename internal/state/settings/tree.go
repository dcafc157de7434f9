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
	// Tombstones remembers removed paths for updates.
	Tombstones Tombstones `cbor:"3,keyasint"`
	// Results holds the newest changes answered.
	Results ResultCache `cbor:"4,keyasint"`
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
		Subtrees:   make(map[string]Subtree),
		Tombstones: Tombstones{Versions: make(map[string]uint64)},
		Results:    newResultCache(),
	}
	t.current = newBuilder(&Configuration{}, 0).build()
	return t
}

// Rebuild derives what a decoded snapshot does not hold.
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

// Configuration returns the current tree, decoded.
func (t *Tree) Configuration() *Configuration {
	return t.current
}

// Apply executes the change committed at the given log index.
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
	if forgotten := t.Results.maxEvicted(c.Operator); c.Number <= forgotten {
		reason := fmt.Sprintf("number %d may have been used before; use one above %d", c.Number, forgotten)
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

// setVersion makes index the tree's version; every settings command does so.
func (t *Tree) setVersion(index uint64) {
	t.Version = index
	next := *t.current
	next.Version = index
	t.current = &next
}

// AdvanceVersion passes over a settings command that could not be executed.
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

// validateAndApply checks the change against the tree and carries it out.
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

// nextConfiguration returns the configuration that the change would lead to.
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

// put stores or removes one subtree.
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
