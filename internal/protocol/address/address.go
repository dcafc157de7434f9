// Package address orders the entries for a caller that asks where to connect.
package address

import (
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// loadBucketSize is the difference in requests in progress below which two entries
// count as equally loaded.
const loadBucketSize = 16

// Load tells how many requests a member has in progress; ok is false if that
// is not known.
type Load func(name string) (inFlight int, ok bool)

// Order returns the caller addresses of the live members: those of the
// caller's zone first, and within that the less loaded first. Entries of equal
// load are turned by spread, so that callers spread over them.
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

// candidate is one live member as a caller would see it.
type candidate struct {
	member     member.Member
	otherZone  bool
	loadBucket int
}

func loadBucket(name string, load Load) int {
	inFlight, ok := load(name)
	if !ok {
		return 0
	}
	return inFlight / loadBucketSize
}

func compare(a, b candidate) int {
	switch {
	case a.otherZone && !b.otherZone:
		return 1
	case !a.otherZone && b.otherZone:
		return -1
	}
	return a.loadBucket - b.loadBucket
}

// rotate rotates the list by spread.
func rotate(candidates []candidate, spread uint64) {
	if len(candidates) == 0 {
		return
	}
	offset := int(spread % uint64(len(candidates)))
	slices.Reverse(candidates[:offset])
	slices.Reverse(candidates[offset:])
	slices.Reverse(candidates)
}
