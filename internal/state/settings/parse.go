package settings

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// File is a valid settings file.
type File struct {
	// Subtrees holds the content of each subtree by path, such as "teams/desk".
	Subtrees map[string]json.RawMessage
	// Configuration is the decoded form of the subtrees together.
	Configuration *Configuration
}

// ParseFile parses a settings file: an object that holds subtrees by path. The
// subtrees are validated together as one configuration; zones are not checked
// if the given list is nil.
func ParseFile(content []byte, zones []string) (*File, error) {
	f := &File{}
	if err := strictjson.Decode(content, &f.Subtrees); err != nil {
		return nil, err
	}
	b := newBuilder(&Configuration{Zones: zones}, 0)
	for _, path := range slices.Sorted(maps.Keys(f.Subtrees)) {
		p, err := ParsePath(path)
		if err != nil {
			return nil, err
		}
		if err := b.set(p, f.Subtrees[path]); err != nil {
			return nil, err
		}
	}
	var err error
	if f.Configuration, err = b.buildChecked(); err != nil {
		return nil, err
	}
	return f, nil
}

// ParseSubtrees is like ParseFile and returns the subtrees only.
func ParseSubtrees(content []byte, zones []string) (map[string]json.RawMessage, error) {
	f, err := ParseFile(content, zones)
	if err != nil {
		return nil, err
	}
	return f.Subtrees, nil
}
