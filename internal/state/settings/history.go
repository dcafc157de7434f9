package settings

import "slices"

const (
	// maxHistory is the maximum number of changes in the history.
	maxHistory = 10000
	// maxHistoryPaths is the maximum number of paths stored for one change.
	maxHistoryPaths = 8
)

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	// Version is the log index of the change.
	Version  uint64 `cbor:"1,keyasint" json:"version"`
	Operator string `cbor:"2,keyasint" json:"operator"`
	Number   uint64 `cbor:"3,keyasint" json:"number"`
	// AtUnixMilli is when the change was received, in Unix milliseconds.
	AtUnixMilli int64 `cbor:"4,keyasint" json:"at_ms"`
	// Paths holds the first subtrees that the change edits. Edits is the
	// number of all its edits.
	Paths []string `cbor:"5,keyasint" json:"paths"`
	Edits int      `cbor:"6,keyasint" json:"edits"`
}

// History holds the most recent accepted changes, oldest first.
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
		// The dropped entries are freed when append next reallocates the
		// backing array.
		h.Entries = h.Entries[len(h.Entries)-maxHistory:]
	}
}

// Newest returns up to limit entries, newest first, of changes that edit a
// subtree at or below path; an empty path matches all. A change with more
// edits than stored paths always matches.
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
