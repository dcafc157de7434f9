package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// maxTombstones bounds the removed paths that are remembered for updates.
const maxTombstones = 4096

// ErrStaleUpdate means that an update leads to an older version than the one held.
var ErrStaleUpdate = errors.New("settings: update is older than the settings in force")

// Tombstones remembers which paths were removed at which version.
type Tombstones struct {
	// MaxPruned is the highest version whose removal is no longer kept.
	MaxPruned uint64 `cbor:"1,keyasint"`
	// Versions holds the log index of each removal by path.
	Versions map[string]uint64 `cbor:"2,keyasint"`
}

func (r *Tombstones) add(path string, index uint64) {
	r.Versions[path] = index
	if len(r.Versions) <= maxTombstones {
		return
	}
	oldest := path
	for p, version := range r.Versions {
		// Paths removed by one change share its version; the name decides.
		if version < r.Versions[oldest] || version == r.Versions[oldest] && p < oldest {
			oldest = p
		}
	}
	r.MaxPruned = max(r.MaxPruned, r.Versions[oldest])
	delete(r.Versions, oldest)
}

func (r *Tombstones) remove(path string) {
	delete(r.Versions, path)
}

// SubtreeUpdate is one subtree of an Update.
type SubtreeUpdate struct {
	Path string
	// Content is empty for a removed subtree.
	Content []byte
}

// Update leads from one version of the settings to a newer one.
type Update struct {
	// Version is the version that the update leads to.
	Version uint64
	// Whole means that the update holds every subtree and replaces all.
	Whole bool
	// Subtrees holds the subtrees to replace or remove.
	Subtrees []SubtreeUpdate
}

// Since returns the update from the version that a reader has. The whole tree
// is sent to a reader that has none or whose version lies too far back.
// Operators are left out.
func (t *Tree) Since(have uint64) Update {
	u := Update{Version: t.Version}
	if have == 0 || have < t.Tombstones.MaxPruned || have > t.Version {
		u.Whole = true
		have = 0
	}
	for path, s := range t.Subtrees {
		if s.Version > have && !covers(OperatorsGroup, path) {
			u.Subtrees = append(u.Subtrees, SubtreeUpdate{Path: path, Content: s.Content})
		}
	}
	for path, version := range t.Tombstones.Versions {
		if !u.Whole && version > have && !covers(OperatorsGroup, path) {
			u.Subtrees = append(u.Subtrees, SubtreeUpdate{Path: path})
		}
	}
	slices.SortFunc(u.Subtrees, func(a, b SubtreeUpdate) int { return strings.Compare(a.Path, b.Path) })
	return u
}

// Apply returns the configuration that the update leads to from c, which may
// be nil if the update is whole. It refuses an older version with ErrOlder.
func (u *Update) Apply(c *Configuration) (*Configuration, error) {
	if c != nil && u.Version < c.Version {
		return nil, fmt.Errorf("update from version %d to %d: %w", c.Version, u.Version, ErrStaleUpdate)
	}
	if u.Whole || c == nil {
		c = &Configuration{}
	}
	b := newBuilder(c, u.Version)
	for _, s := range u.Subtrees {
		if err := b.set(splitPath(s.Path), s.Content); err != nil {
			return nil, fmt.Errorf("update to version %d: %w", u.Version, err)
		}
	}
	return b.build(), nil
}
