// Package dissemination compares two ways to distribute load digests among many
// nodes: gossip with quality ratings and fan-out from dedicated relay VMs.
//
// The gossip protocol is that of Jenkins, Hopkinson and Birman, "A Gossip Protocol for
// Subgroup Multicast" (2001): a member m of a group gossips to a member n in a
// round with probability I(m)·S(n), where the infectivity I and the
// susceptibility S follow from the members' quality ratings. The digests
// of each zone form one group, in which the zone's own nodes have rating 1 and
// all other nodes a low one.
package dissemination

import "math"

// missedFraction is the fraction of the members with rating 1 that an update may
// miss within the timeout (delta in the paper).
const missedFraction = 0.01

// ratingParameters holds the parameters of the members with one rating.
type ratingParameters struct {
	count          float64
	infectivity    float64
	susceptibility float64
}

// fitParameters returns the parameters of near members with rating 1 and of far
// members with the given lower rating, so that an update reaches all but
// missedFraction of the former and about the fraction rating of the latter within
// a timeout in rounds (section 4 of the paper).
func fitParameters(near, far int, rating float64, timeout int) (ratingParameters, ratingParameters) {
	n := ratingParameters{count: float64(near), infectivity: 1, susceptibility: 1}
	f := ratingParameters{count: float64(far), infectivity: rating, susceptibility: math.Log(1-rating) / math.Log(missedFraction)}
	low, high := 0.0, 1.0
	for range 60 {
		middle := (low + high) / 2
		if unreachedFraction(n, f, middle, timeout) < missedFraction {
			high = middle
		} else {
			low = middle
		}
	}
	n.susceptibility *= high
	f.susceptibility *= high
	return n, f
}

// unreachedFraction returns the fraction of the members with rating 1 that an
// update has not reached after the timeout, with all susceptibilities multiplied
// by scale (section 3).
func unreachedFraction(n, f ratingParameters, scale float64, timeout int) float64 {
	x, y := 1-1/n.count, 1.0
	for range timeout {
		reach := n.infectivity*n.count*(1-x) + f.infectivity*f.count*(1-y)
		x *= math.Exp(-scale * n.susceptibility * reach)
		y *= math.Exp(-scale * f.susceptibility * reach)
	}
	return x
}
