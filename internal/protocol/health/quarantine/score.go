package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// score is what separate crashes together say of a part.
type score struct {
	weight, deepest float64
	crashes         int
	// requests are the fingerprints, or the IDs of those without one, of the candidates
	// with the part.
	requests distinct
	// begun is set if an engine had begun to answer a request with the part.
	begun   bool
	depth   int
	newest  clock.Instant
	service string
	coverage
	// candidates are like requests, but of all candidates with the part.
	candidates distinct
	// regularity is the natural logarithm of how much better a part that ends servers explains
	// the candidates than chance; regular is set if that suffices and no other part comes near.
	regularity float64
	regular    bool
}

// weighsEnough reports whether the crashes suffice for a quarantine if they are of
// several requests: those of a single one and its repeats speak against the request
// rather than the part.
func (c score) weighsEnough() bool {
	// The sums of thirds fall short of a whole number by rounding.
	const rounding = 1e-9
	return c.deepest >= deepThreshold-rounding || c.weight >= shallowThreshold-rounding
}

// isInEnough reports whether the part is in enough separate crashes, whatever these
// weigh.
func (c score) isInEnough() bool {
	return c.with.discounted > crashThreshold && c.coverage.fraction() >= coverageThreshold
}

// surprise returns how surprising the crashes and the given answers would be for a sound
// part, as the negative logarithm of a probability.
func (c score) surprise(answers int) float64 {
	if !c.regular || c.weighsEnough() {
		return c.coverage.surprise(answers)
	}
	return max(c.coverage.surprise(answers), c.regularity+float64(answers)*c.frequency())
}

// neededSurprise returns how surprising crashes and answers must be for a sound part.
func (c score) neededSurprise() float64 {
	if c.weighsEnough() {
		return weighedSurprise
	}
	return coveredSurprise
}

// add returns the score with a further crash. The crash has no weight while
// evidence may still arrive, nor shortly after another one.
func (c score) add(k *crash, w weight, now clock.Instant) score {
	c.service, c.depth = k.service, max(c.depth, w.depth)
	c.begun = c.begun || w.begun
	c.requests = c.requests.merge(w.requests)
	if now.Sub(k.at) < settlePeriod || c.crashes > 0 && k.at.Sub(c.newest) < crashSpacing {
		return c
	}
	c.crashes, c.newest = c.crashes+1, k.at
	c.weight += w.total
	c.deepest += w.deepest
	return c
}

// scores returns, by part, what the crashes say that no part in quarantine
// explains and after which the part was not answered. Of a part that several services have
// seen, the one whose crashes say most counts.
func (d *Detector) scores(now clock.Instant) map[string]score {
	ordered := slices.SortedFunc(maps.Values(d.crashes), func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.engine, b.engine))
	})
	byService := make(map[string][]*crash)
	for _, c := range ordered {
		if !d.explains(c.weights()) && !d.explainedByRequest(c) {
			byService[c.service] = append(byService[c.service], c)
		}
	}
	out := make(map[string]score)
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		for part, c := range d.serviceScores(byService[service], now) {
			if held, ok := out[part]; !ok || c.compare(held) > 0 {
				out[part] = c
			}
		}
	}
	return out
}

// serviceScores returns, by part, what crashes of one service say, in order of time.
func (d *Detector) serviceScores(ordered []*crash, now clock.Instant) map[string]score {
	out, settled := make(map[string]score), make([]*crash, 0, len(ordered))
	for _, c := range ordered {
		for part, w := range c.weights() {
			if answered, ok := d.answered[part]; !ok || c.at > answered {
				out[part] = out[part].add(c, w, now)
			}
		}
		if _, candidates := c.presences(); candidates > 0 && now.Sub(c.at) >= settlePeriod {
			settled = append(settled, c)
		}
	}
	d.cover(out, settled)
	addRegularity(out, settled)
	return out
}

// explains reports whether one of the weighed parts is in quarantine.
func (d *Detector) explains(weights map[string]weight) bool {
	for part := range weights {
		if _, ok := d.quarantined[part]; ok {
			return true
		}
	}
	return false
}

// explainedByRequest reports whether a candidate of a crash is in quarantine.
func (d *Detector) explainedByRequest(c *crash) bool {
	for _, s := range c.requests {
		if slices.ContainsFunc(s.keys, func(key string) bool { _, ok := d.quarantined[key]; return ok }) {
			return true
		}
	}
	return false
}

// compare orders scores by what speaks for a part.
func (c score) compare(other score) int {
	return cmp.Or(cmp.Compare(c.with.discounted, other.with.discounted), compareBool(c.begun, other.begun), cmp.Compare(c.weight, other.weight))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// precedes reports whether a part with this score is taken before another one that is
// in about as many crashes.
func (c score) precedes(other score, part, otherPart string) bool {
	return cmp.Or(cmp.Compare(c.depth, other.depth), c.compare(other), strings.Compare(part, otherPart)) > 0
}
