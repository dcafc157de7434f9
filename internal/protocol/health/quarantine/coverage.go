package quarantine

import (
	"math"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// presence is how a part occurs among all candidates of a crash.
type presence struct {
	requests int
	depth    int
	// identities are the fingerprints, or the IDs of those without one.
	identities distinct
}

// presences returns the presence of each part and the number of candidates with parts.
func (c *crash) presences() (map[string]presence, int) {
	if c.present != nil {
		return c.present, c.withParts
	}
	c.present, c.withParts = make(map[string]presence), c.others
	for _, s := range c.requests {
		if len(s.parts) > 0 {
			c.withParts++
		}
		for depth, part := range s.parts {
			p := c.present[part]
			p.requests, p.depth = p.requests+1, max(p.depth, depth)
			p.identities = p.identities.add(s.identity)
			c.present[part] = p
		}
	}
	return c.present, c.withParts
}

// sums are sums over separate crashes of a service. Simultaneous crashes together count
// as one, and as less the more there are: they may have a common cause outside the
// engines.
type sums struct {
	// separate is the number, and discounted counts each by one over the root of the number
	// of engines that ended.
	separate, discounted float64
	// candidates is the number of requests that waited.
	candidates float64
}

func (s sums) minus(other sums) sums {
	return sums{separate: s.separate - other.separate, discounted: s.discounted - other.discounted, candidates: s.candidates - other.candidates}
}

// coverage is in which separate crashes of a service a part occurs, from the first of
// these on.
type coverage struct {
	// with sums the crashes and the requests with the part, and all those of the service.
	with, all sums
	// before sums the service's crashes before the first one with the part.
	before sums
	first  clock.Instant
}

// fraction returns the fraction of the crashes in which the part occurs.
func (c coverage) fraction() float64 {
	if c.all.discounted == 0 {
		return 0
	}
	return c.with.discounted / c.all.discounted
}

// frequency returns the share of the part's requests in those that waited. The first one
// doesn't count: by it the part came to notice.
func (c coverage) frequency() float64 {
	if c.all.candidates == 0 {
		return 0
	}
	return (c.with.candidates - 1) / c.all.candidates
}

// surprise returns how surprising it would be that a sound part is in so many crashes
// and in none of the given answers, as the negative logarithm of a probability. As
// frequent as it is among the waiting requests it should be among those answered, and
// is in a crash by chance the more easily the more requests wait. The first crash and
// request don't count: by these the part came to notice.
func (c coverage) surprise(answers int) float64 {
	with, all := c.with.separate-1, c.all.separate-1
	if with <= 0 {
		return 0
	}
	frequency := c.frequency()
	chance := 1 - math.Pow(1-frequency, c.all.candidates/c.all.separate)
	return all*divergence(with/all, chance) + float64(answers)*frequency
}

// divergence returns by how much a share of trials exceeds its chance: with n trials
// the probability of such a share is at most exp(-n * divergence).
func divergence(share, chance float64) float64 {
	if share <= chance {
		return 0
	}
	d := share * math.Log(share/chance)
	if share < 1 {
		d += (1 - share) * math.Log((1-share)/(1-chance))
	}
	return d
}

// wave is a group of crashes of one service within crashSpacing of the first.
type wave struct {
	at      clock.Instant
	crashes []*crash
}

// waves groups crashes in order of time.
func waves(ordered []*crash) (out []wave) {
	for _, c := range ordered {
		if n := len(out); n > 0 && c.at.Sub(out[n-1].at) < crashSpacing {
			out[n-1].crashes = append(out[n-1].crashes, c)
			continue
		}
		out = append(out, wave{at: c.at, crashes: []*crash{c}})
	}
	return out
}

// cover adds to the scores in which of a service's crashes each part occurs that was
// not answered since.
func (d *Detector) cover(scores map[string]score, ordered []*crash) {
	total := sums{}
	for _, w := range waves(ordered) {
		before, counts := total, 1/math.Sqrt(float64(len(w.crashes)))
		total.separate, total.discounted = total.separate+1, total.discounted+counts
		counted := make(map[string]bool)
		for _, c := range w.crashes {
			present, candidates := c.presences()
			total.candidates += float64(candidates)
			for part, p := range present {
				if answered, ok := d.answered[part]; ok && c.at <= answered {
					continue
				}
				s := scores[part]
				if s.with.separate == 0 {
					s.before, s.first = before, c.at
				}
				if !counted[part] {
					counted[part] = true
					s.with.separate, s.with.discounted = s.with.separate+1, s.with.discounted+counts
				}
				s.with.candidates += float64(p.requests)
				s.service, s.depth = c.service, max(s.depth, p.depth)
				s.candidates = s.candidates.merge(p.identities)
				scores[part] = s
			}
		}
	}
	for part, s := range scores {
		s.all = total.minus(s.before)
		scores[part] = s
	}
}
