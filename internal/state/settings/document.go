package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Document returns the operators' settings as one JSON document, as Parse
// reads it.
func (t *Tree) Document() ([]byte, error) {
	return document(t.Subtrees)
}

// Parse reads a whole configuration from JSON and checks it.
func Parse(version uint64, content []byte) (*Configuration, error) {
	c := Configuration{Version: version}
	if err := strictjson.Decode(content, &c); err != nil {
		return nil, err
	}
	return newDraft(&c, version).finishChecked()
}

// ParseSubtrees reads a settings file: an object that holds subtrees by path,
// such as "teams/desk". The whole is checked as one configuration with the
// given zones; nil zones are not checked.
func ParseSubtrees(content []byte, zones []string) (map[string]json.RawMessage, error) {
	var subtrees map[string]json.RawMessage
	if err := strictjson.Decode(content, &subtrees); err != nil {
		return nil, err
	}
	d := newDraft(&Configuration{Zones: zones}, 0)
	for _, path := range slices.Sorted(maps.Keys(subtrees)) {
		p, err := ParsePath(path)
		if err != nil {
			return nil, err
		}
		if err := d.set(p, subtrees[path]); err != nil {
			return nil, err
		}
	}
	if _, err := d.finishChecked(); err != nil {
		return nil, err
	}
	return subtrees, nil
}

// document joins subtrees such as "teams/desk" into one JSON object.
func document(subtrees map[string]Subtree) ([]byte, error) {
	top := make(map[string]json.RawMessage)
	groups := make(map[string]map[string]json.RawMessage)
	for path, subtree := range subtrees {
		group, name, nested := strings.Cut(path, "/")
		switch {
		case !nested:
			top[group] = subtree.Content
		case isOperatorGroup(group):
			if groups[group] == nil {
				groups[group] = make(map[string]json.RawMessage)
			}
			groups[group][name] = subtree.Content
		}
	}
	for group, members := range groups {
		encoded, err := json.Marshal(members)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", group, err)
		}
		top[group] = encoded
	}
	return json.Marshal(top)
}
