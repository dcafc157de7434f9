package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// builder builds a configuration from a base configuration and edits. Groups
// that are not edited are shared with the base, and subtrees that are not
// edited are not decoded again, so that a small change to a large tree is
// cheap.
type builder struct {
	config Configuration
	// cloned holds the groups whose map was copied and may be modified.
	cloned map[string]bool
}

func newBuilder(base *Configuration, version uint64) *builder {
	b := &builder{config: *base, cloned: make(map[string]bool)}
	b.config.Version = version
	return b
}

// set decodes one subtree into the configuration; empty content removes it.
func (b *builder) set(p Path, content []byte) error {
	switch p.Group {
	case SystemPath:
		return b.setSystem(content)
	case groupTeams:
		return setInGroup(b, p, &b.config.Teams, content)
	case groupModels:
		return setInGroup(b, p, &b.config.Models, content)
	case groupServices:
		return setInGroup(b, p, &b.config.Services, content)
	case OperatorsGroup:
		return setInGroup(b, p, &b.config.Operators, content)
	case groupMembers:
		return setInGroup(b, p, &b.config.Members, content)
	case groupVMs:
		return setInGroup[member.VM](b, p, &b.config.VMs, content)
	case groupClosed:
		return setInGroup(b, p, &b.config.ClosedEngines, content)
	}
	return fieldError(p.pointer(), "unknown group")
}

func (b *builder) setSystem(content []byte) error {
	b.config.System = System{}
	if len(content) == 0 {
		return nil
	}
	return decodeSubtree(Path{Group: SystemPath}, content, &b.config.System)
}

func setInGroup[T any](b *builder, p Path, group *map[string]T, content []byte) error {
	if !b.cloned[p.Group] {
		next := make(map[string]T, len(*group)+1)
		maps.Copy(next, *group)
		*group = next
		b.cloned[p.Group] = true
	}
	if len(content) == 0 {
		delete(*group, p.Name)
		return nil
	}
	var value T
	if err := decodeSubtree(p, content, &value); err != nil {
		return err
	}
	(*group)[p.Name] = value
	return nil
}

// decodeSubtree decodes strictly. Errors name the JSON pointer in the whole
// tree.
func decodeSubtree(p Path, content []byte, out any) error {
	if trimmed := bytes.TrimSpace(content); len(trimmed) == 0 || trimmed[0] != '{' {
		return fieldError(p.pointer(), "expected an object")
	}
	err := strictjson.Decode(content, out)
	if err == nil {
		return nil
	}
	var field *strictjson.FieldError
	if errors.As(err, &field) {
		return &strictjson.FieldError{Path: p.pointer() + field.Path, Reason: field.Reason}
	}
	return fieldError(p.pointer(), "%v", err)
}

// build adds defaults and derived fields. It does not validate.
func (b *builder) build() *Configuration {
	next := b.config
	next.System = next.System.withDefaults()
	next.closedURLs = findClosedURLs(&next)
	return &next
}

// buildChecked is like build, but also validates the whole configuration.
func (b *builder) buildChecked() (*Configuration, error) {
	next := b.build()
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

// buildEdited is like buildChecked, for edits at the given paths of a valid
// configuration. If only teams were edited, it validates only these, because
// no other subtree refers to a team.
func (b *builder) buildEdited(paths []Path) (*Configuration, error) {
	if slices.ContainsFunc(paths, func(p Path) bool { return p.Group != groupTeams }) {
		return b.buildChecked()
	}
	next := b.build()
	for _, p := range paths {
		team, ok := next.Teams[p.Name]
		if !ok {
			continue
		}
		if err := next.checkTeam(p.pointer(), team); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// decodeStored builds a configuration from stored subtrees.
func decodeStored(version uint64, zones []string, subtrees map[string]Subtree) (*Configuration, error) {
	b := newBuilder(&Configuration{Zones: zones}, version)
	for path, subtree := range subtrees {
		if err := b.set(splitPath(path), subtree.Content); err != nil {
			return nil, fmt.Errorf("decode stored subtree: %w", err)
		}
	}
	return b.build(), nil
}
