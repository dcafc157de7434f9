package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// maxTombstones is the maximum number of removed paths that are kept.
const maxTombstones = 4096

// ErrStaleUpdate means that the version of an update is older than that of the
// configuration it is applied to.
var ErrStaleUpdate = errors.New("settings: update is older than the settings in force")

// Tombstones records the paths of removed subtrees, so that an incremental
// update can include the removals.
type Tombstones struct {
	// MaxPruned is the highest version of a removal that was pruned.
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
		// Paths removed by the same change have the same version; the path
		// breaks the tie, so that all replicas prune the same one.
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

// Update holds the difference between two versions of the settings, or all of
// the newer version.
type Update struct {
	// Version is the version after the update.
	Version uint64
	// Full means that the update holds all subtrees and replaces the whole
	// configuration.
	Full bool
	// Subtrees holds the subtrees to replace or remove.
	Subtrees []SubtreeUpdate
}

// UpdateSince returns the update from the version that a reader has, zero for none.
// The update is a full one if the reader has no version, a newer one, or one
// so old that removals after it were pruned. It never contains operators.
func (t *Tree) UpdateSince(have uint64) Update {
	u := Update{Version: t.Version}
	if have == 0 || have < t.Tombstones.MaxPruned || have > t.Version {
		u.Full = true
		have = 0
	}
	for path, s := range t.Subtrees {
		if s.Version > have && !covers(OperatorsGroup, path) {
			u.Subtrees = append(u.Subtrees, SubtreeUpdate{Path: path, Content: s.Content})
		}
	}
	for path, version := range t.Tombstones.Versions {
		if !u.Full && version > have && !covers(OperatorsGroup, path) {
			u.Subtrees = append(u.Subtrees, SubtreeUpdate{Path: path})
		}
	}
	slices.SortFunc(u.Subtrees, func(a, b SubtreeUpdate) int { return strings.Compare(a.Path, b.Path) })
	return u
}

// Apply returns the configuration after the update of c, which may be nil for
// a full update. It fails with ErrStaleUpdate if c has a newer version.
func (u *Update) Apply(c *Configuration) (*Configuration, error) {
	if c != nil && u.Version < c.Version {
		return nil, fmt.Errorf("update from version %d to %d: %w", c.Version, u.Version, ErrStaleUpdate)
	}
	if u.Full || c == nil {
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
