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

// draft is the next configuration under construction. It shares with the
// current one every part that is not edited, so that the cost of a change
// grows with the edited subtrees and not with the tree.
type draft struct {
	next Configuration
	// cloned holds the groups whose map belongs to the draft alone.
	cloned map[string]bool
}

func newDraft(base *Configuration, version uint64) *draft {
	d := &draft{next: *base, cloned: make(map[string]bool)}
	d.next.Version = version
	return d
}

// set decodes one subtree into the draft; empty content removes it.
func (d *draft) set(p Path, content []byte) error {
	switch p.Group {
	case SystemPath:
		return d.setSystem(content)
	case groupTeams:
		return setNamed(d, p, &d.next.Teams, content)
	case groupModels:
		return setNamed(d, p, &d.next.Models, content)
	case groupServices:
		return setNamed(d, p, &d.next.Services, content)
	case OperatorsGroup:
		return setNamed(d, p, &d.next.Operators, content)
	case groupMembers:
		return setNamed(d, p, &d.next.Members, content)
	case groupVMs:
		return setNamed[member.VM](d, p, &d.next.VMs, content)
	case groupClosed:
		return setNamed(d, p, &d.next.Closed, content)
	}
	return fieldError(p.pointer(), "unknown group")
}

func (d *draft) setSystem(content []byte) error {
	d.next.System = System{}
	if len(content) == 0 {
		return nil
	}
	return decodeSubtree(Path{Group: SystemPath}, content, &d.next.System)
}

func setNamed[T any](d *draft, p Path, group *map[string]T, content []byte) error {
	if !d.cloned[p.Group] {
		next := make(map[string]T, len(*group)+1)
		maps.Copy(next, *group)
		*group = next
		d.cloned[p.Group] = true
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

// decodeSubtree decodes strictly; errors name the path in the whole document.
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

// finish fills in defaults and what is derived, without checking.
func (d *draft) finish() *Configuration {
	next := d.next
	next.System = next.System.withDefaults()
	next.leaving = leavingURLs(&next)
	return &next
}

// finishChecked is finish for content that was not accepted before.
func (d *draft) finishChecked() (*Configuration, error) {
	next := d.finish()
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

// finishEdited is finishChecked for edits of a configuration that was accepted
// before. Nothing refers to a team, so that edits of teams alone leave the rest
// valid.
func (d *draft) finishEdited(paths []Path) (*Configuration, error) {
	if slices.ContainsFunc(paths, func(p Path) bool { return p.Group != groupTeams }) {
		return d.finishChecked()
	}
	next := d.finish()
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

// build makes a configuration from stored subtrees.
func build(version uint64, zones []string, subtrees map[string]Subtree) (*Configuration, error) {
	d := newDraft(&Configuration{Zones: zones}, version)
	for path, subtree := range subtrees {
		if err := d.set(splitPath(path), subtree.Content); err != nil {
			return nil, fmt.Errorf("decode stored subtree: %w", err)
		}
	}
	return d.finish(), nil
}
