package forward

import (
	"cmp"
	"slices"
)

// Change is the difference between two lists of peers.
type Change struct {
	// Whole is set if Peers are all there are; otherwise they replace or extend what the
	// receiver has.
	Whole bool
	Peers []Peer
	// Removed are the names of peers that are gone.
	Removed []string
}

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool { return !c.Whole && len(c.Peers) == 0 && len(c.Removed) == 0 }

func byName(a, b Peer) int { return cmp.Compare(a.Name, b.Name) }

// Sorted returns the peers in the order of their names, as Difference and Apply need them.
func Sorted(peers []Peer) []Peer {
	out := slices.Clone(peers)
	slices.SortFunc(out, byName)
	return out
}

// Difference returns the change that makes the list next of the list held. Both are sorted.
func Difference(held, next []Peer) Change {
	var c Change
	for _, p := range next {
		if i, found := slices.BinarySearchFunc(held, p, byName); !found || !held[i].Equal(p) {
			c.Peers = append(c.Peers, p)
		}
	}
	for _, p := range held {
		if _, found := slices.BinarySearchFunc(next, p, byName); !found {
			c.Removed = append(c.Removed, p.Name)
		}
	}
	return c
}

// Apply returns the sorted list that a change makes of a sorted one, which it leaves as it is.
func (c Change) Apply(held []Peer) []Peer {
	if c.Whole {
		return Sorted(c.Peers)
	}
	replaced := func(p Peer) bool {
		return slices.Contains(c.Removed, p.Name) || slices.ContainsFunc(c.Peers, func(n Peer) bool { return n.Name == p.Name })
	}
	return Sorted(append(slices.DeleteFunc(slices.Clone(held), replaced), c.Peers...))
}
