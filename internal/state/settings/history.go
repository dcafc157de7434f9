package settings

import "slices"

const (
	// maxHistory bounds the accepted changes that the history keeps.
	maxHistory = 10000
	// maxHistoryPaths bounds the paths that the history keeps of one change.
	maxHistoryPaths = 8
)

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	// Version is the log index of the change.
	Version  uint64 `cbor:"1,keyasint" json:"version"`
	Operator string `cbor:"2,keyasint" json:"operator"`
	Number   uint64 `cbor:"3,keyasint" json:"number"`
	// AtUnixMilli is when the change was taken, in milliseconds.
	AtUnixMilli int64 `cbor:"4,keyasint" json:"at_ms"`
	// Paths are the first subtrees that the change edits and Edits how many
	// there are.
	Paths []string `cbor:"5,keyasint" json:"paths"`
	Edits int      `cbor:"6,keyasint" json:"edits"`
}

// History holds the newest accepted changes, oldest first.
type History struct {
	Entries []HistoryEntry `cbor:"1,keyasint"`
}

func (h *History) add(index uint64, c *Change) {
	entry := HistoryEntry{
		Version:     index,
		Operator:    c.Operator,
		Number:      c.Number,
		AtUnixMilli: c.AtUnixMilli,
		Edits:       len(c.Edits),
	}
	for _, e := range c.Edits[:min(len(c.Edits), maxHistoryPaths)] {
		entry.Paths = append(entry.Paths, e.Path)
	}
	h.Entries = append(h.Entries, entry)
	if len(h.Entries) > maxHistory {
		// The array behind the slice is moved by append now and then, so the
		// cut entries are freed.
		h.Entries = h.Entries[len(h.Entries)-maxHistory:]
	}
}

// Newest returns up to limit entries, newest first, that touch the subtree at
// path or below it; an empty path stands for all. A change with more edits than
// the history lists is always among them.
func (h *History) Newest(path string, limit int) []HistoryEntry {
	out := []HistoryEntry{}
	for _, entry := range slices.Backward(h.Entries) {
		if len(out) == limit {
			break
		}
		if path == "" || entry.mayTouch(path) {
			out = append(out, entry)
		}
	}
	return out
}

func (e *HistoryEntry) mayTouch(path string) bool {
	below := func(p string) bool { return covers(path, p) }
	return e.Edits > len(e.Paths) || slices.ContainsFunc(e.Paths, below)
}
