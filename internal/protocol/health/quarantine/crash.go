package quarantine

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// crash is the end of one incarnation of an engine.
type crash struct {
	service, engine string
	at              clock.Instant
	// knownAt is when the first evidence of it was recorded.
	knownAt clock.Instant
	// requests holds those that waited for their first event, by ID.
	requests map[string]candidate
	// others is the number of candidates that are not among them, and leftOut has the hashes
	// of the IDs of those: their evidence may come again.
	others  int
	leftOut map[uint64]struct{}
	// weighed, present and withParts are derived from these, nil if they have changed.
	weighed   map[string]weight
	present   map[string]presence
	withParts int
}

func (c *crash) isLeftOut(request string) bool {
	_, ok := c.leftOut[xxhash.Sum64String(request)]
	return ok
}

func (c *crash) leaveOut(request string) {
	if c.leftOut == nil {
		c.leftOut = make(map[uint64]struct{})
	}
	if len(c.leftOut) < maxOthers {
		c.leftOut[xxhash.Sum64String(request)] = struct{}{}
	}
}

func (c *crash) changed() { c.weighed, c.present = nil, nil }

// candidate is a request that may have ended an engine.
type candidate struct {
	// begun is set if the engine had begun to answer.
	begun       bool
	fingerprint Fingerprint
	// identity is the fingerprint, or the request's ID without one.
	identity string
	// parts are the shared parts of its prompt, and keys those of the fingerprint.
	parts, keys []string
}

// distinct tells whether several different values were added.
type distinct struct {
	first   string
	several bool
}

func (d distinct) add(value string) distinct {
	if d.first == "" {
		return distinct{first: value}
	}
	return distinct{first: d.first, several: d.several || value != d.first}
}

func (d distinct) merge(other distinct) distinct {
	if other.first != "" {
		d = d.add(other.first)
	}
	d.several = d.several || other.several
	return d
}

// weight is how much the crash speaks for a part: for one that all candidates share
// as much as a crash can.
type weight struct {
	// total counts all candidates with the part, and deepest those of which it is the
	// last shared part.
	total, deepest float64
	// depth is the largest position of the part in a candidate's prompt.
	depth int
	// requests are the fingerprints, or the IDs of those without one, of the candidates
	// with the part.
	requests distinct
	// begun is set if the engine had begun to answer the candidates.
	begun bool
}

// weights returns the weight for each part of the candidates: the requests that the
// engine had begun to answer or, without any, those that waited.
func (c *crash) weights() map[string]weight {
	if c.weighed == nil {
		c.weighed = c.weigh()
	}
	return c.weighed
}

func (c *crash) weigh() map[string]weight {
	candidates, unit := slices.Collect(maps.Values(c.requests)), waitingWeight
	candidates = slices.DeleteFunc(candidates, func(s candidate) bool { return len(s.parts) == 0 })
	begun := slices.DeleteFunc(slices.Clone(candidates), func(s candidate) bool { return !s.begun })
	if len(begun) > 0 {
		candidates, unit = begun, 1
	}
	unit /= float64(len(candidates))
	out := make(map[string]weight)
	for _, s := range candidates {
		for depth, part := range s.parts {
			w := out[part]
			w.requests = w.requests.add(s.identity)
			w.begun = s.begun
			w.total += unit
			if depth == len(s.parts)-1 {
				w.deepest += unit
			}
			w.depth = max(w.depth, depth)
			out[part] = w
		}
	}
	return out
}

func (c *crash) hasKey(key string) bool {
	for _, s := range c.requests {
		if slices.Contains(s.keys, key) {
			return true
		}
	}
	return false
}
