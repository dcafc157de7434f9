package settings

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// ParseSubtrees parses a settings file: an object that holds subtrees by path,
// such as "teams/desk". The subtrees are validated together as one
// configuration; zones are not checked if the given list is nil.
func ParseSubtrees(content []byte, zones []string) (map[string]json.RawMessage, error) {
	var subtrees map[string]json.RawMessage
	if err := strictjson.Decode(content, &subtrees); err != nil {
		return nil, err
	}
	b := newBuilder(&Configuration{Zones: zones}, 0)
	for _, path := range slices.Sorted(maps.Keys(subtrees)) {
		p, err := ParsePath(path)
		if err != nil {
			return nil, err
		}
		if err := b.set(p, subtrees[path]); err != nil {
			return nil, err
		}
	}
	if _, err := b.buildChecked(); err != nil {
		return nil, err
	}
	return subtrees, nil
}
