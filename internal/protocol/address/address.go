// Package address decides where a caller connects: in which order it is given
// the entries' addresses, and whether it belongs to the old system.
package address

import (
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// loadBucketSize is the width, in requests in progress, of the buckets within
// which entries count as equally loaded.
const loadBucketSize = 16

// Load returns how many requests a member has in progress; ok is false if that
// is unknown.
type Load func(name string) (inFlight int, ok bool)

// Order returns the caller addresses of the live members: those in the caller's
// zone first, and within a zone the less loaded first. Entries of equal load
// are rotated by spread, which distributes callers over them.
func Order(members []member.Member, zone string, load Load, spread uint64) []string {
	live := make([]candidate, 0, len(members))
	for _, m := range members {
		if m.State == member.Live {
			live = append(live, candidate{member: m, otherZone: m.Zone != zone, loadBucket: loadBucket(m.Name, load)})
		}
	}
	slices.SortFunc(live, func(a, b candidate) int { return strings.Compare(a.member.Name, b.member.Name) })
	rotate(live, spread)
	slices.SortStableFunc(live, compare)
	out := make([]string, 0, len(live))
	for _, c := range live {
		out = append(out, c.member.CallerAddress)
	}
	return out
}

// candidate is a live member with its sort keys.
type candidate struct {
	member     member.Member
	otherZone  bool
	loadBucket int
}

// loadBucket returns the bucket of a member's load; unknown load counts as none.
func loadBucket(name string, load Load) int {
	inFlight, ok := load(name)
	if !ok {
		return 0
	}
	return inFlight / loadBucketSize
}

// compare sorts by zone, then by load.
func compare(a, b candidate) int {
	switch {
	case a.otherZone && !b.otherZone:
		return 1
	case !a.otherZone && b.otherZone:
		return -1
	}
	return a.loadBucket - b.loadBucket
}

// rotate rotates candidates to the left by spread positions.
func rotate(candidates []candidate, spread uint64) {
	if len(candidates) == 0 {
		return
	}
	offset := int(spread % uint64(len(candidates)))
	slices.Reverse(candidates[:offset])
	slices.Reverse(candidates[offset:])
	slices.Reverse(candidates)
}
