package fairshare

import (
	"slices"
	"time"
)

// sumAge is the age at which the list of a Sum is made again: a control replica makes it for
// all entries at once, since a deployment may have 10,000 workspaces and 300 entries.
const sumAge = 50 * time.Millisecond

// useKey names a workspace of a service.
type useKey struct{ service, workspace string }

func (u Use) key() useKey { return useKey{u.Service, u.Workspace} }

// Sum is a running sum of the uses of several entries. It is not safe for concurrent use.
type Sum struct {
	total map[useKey]*summed
	// listed holds, of each service, the workspaces with the highest demand and one item
	// for the rest. It was made at listedAt.
	listed   []Use
	listedAt time.Time
}

// summed is the sum of the uses of entries, of which there are that many.
type summed struct {
	Use
	entries int
}

// NewSum returns an empty sum.
func NewSum() *Sum { return &Sum{total: make(map[useKey]*summed)} }

// Replace takes an entry's earlier uses out of the sum and adds its newer ones.
func (s *Sum) Replace(earlier, newer []Use) {
	for _, u := range newer {
		t := s.total[u.key()]
		if t == nil {
			t = &summed{Use: Use{Service: u.Service, Workspace: u.Workspace}}
			s.total[u.key()] = t
		}
		t.Use, t.entries = t.plus(u, 1), t.entries+1
	}
	for _, u := range earlier {
		t := s.total[u.key()]
		if t == nil {
			continue
		}
		if t.Use, t.entries = t.plus(u, -1), t.entries-1; t.entries <= 0 {
			delete(s.total, u.key())
		}
	}
}

// Without returns the uses of all entries without those of one, which were added before: of
// each service the workspaces with the highest demand, and one item for the rest.
func (s *Sum) Without(now time.Time, own []Use) []Use {
	if len(s.total) == 0 {
		return nil
	}
	if s.listedAt.IsZero() || now.Sub(s.listedAt) >= sumAge {
		s.list()
		s.listedAt = now
	}
	subtract := make(map[useKey]Use, len(own))
	rest := make(map[string]Use)
	for _, u := range own {
		subtract[u.key()] = u
		rest[u.Service] = rest[u.Service].plus(u, 1)
	}
	for _, u := range s.listed {
		if mine, ok := subtract[u.key()]; ok && u.Workspace != "" {
			rest[u.Service] = rest[u.Service].plus(mine, -1)
		}
	}
	out := make([]Use, 0, len(s.listed))
	for _, u := range s.listed {
		if u.Workspace == "" {
			u = u.plus(rest[u.Service], -1) // what isn't listed by name is part of the rest
		} else {
			u = u.plus(subtract[u.key()], -1)
		}
		// The list may be older than the entry's newest report.
		if u.Asked, u.Granted = max(0, u.Asked), max(0, u.Granted); u.Asked > 0 || u.Granted > 0 {
			out = append(out, u)
		}
	}
	return out
}

func (s *Sum) list() {
	byService := make(map[string][]Use)
	for key, t := range s.total {
		byService[key.service] = append(byService[key.service], t.Use)
	}
	s.listed = s.listed[:0]
	for _, uses := range byService {
		s.listed = append(s.listed, highest(slices.Clip(uses))...)
	}
}
