package quarantine

import (
	"math"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// occurrence is how many of the fresh candidates of a crash have a part.
type occurrence struct {
	with, all int
}

// history holds settled crashes of a service in order of time, each with its fresh
// candidates: those with parts that were at no earlier one, since a request that is sent on
// to a server that ends as well is no second sign.
type history struct {
	crashes []*crash
	fresh   [][]candidate
}

func newHistory(ordered []*crash) history {
	h, seen := history{ordered, make([][]candidate, len(ordered))}, make(map[string]bool)
	for i, c := range ordered {
		for _, s := range c.requests {
			if len(s.parts) > 0 && !seen[s.identity] {
				h.fresh[i] = append(h.fresh[i], s)
			}
		}
		for _, s := range c.requests {
			seen[s.identity] = true
		}
	}
	return h
}

// since returns the history from the first crash of a score on.
func (h history) since(c score) history {
	from := slices.IndexFunc(h.crashes, func(k *crash) bool { return k.at >= c.first })
	return history{h.crashes[from:], h.fresh[from:]}
}

// occurrences returns those of a part, crash by crash. Crashes without a fresh candidate, or
// at which all requests with the part are not fresh, are left out.
func (h history) occurrences(part string) (out []occurrence) {
	for i, c := range h.crashes {
		o := occurrence{all: len(h.fresh[i]) + c.others}
		for _, s := range h.fresh[i] {
			if slices.Contains(s.parts, part) {
				o.with++
			}
		}
		present, _ := c.presences()
		if o.with > 0 || o.all > 0 && present[part].requests == 0 {
			out = append(out, o)
		}
	}
	return out
}

// regularity returns by how much better the occurrences of a part fit one that ends the
// servers than one that waits there by chance: the natural logarithm of the ratio of their
// probabilities. A part that ends servers has one request at each crash and few more, while
// the number varies for others.
func regularity(all []occurrence) (sum float64) {
	with, requests, crashes := 0, 0, 0
	for _, o := range all {
		with, requests = with+o.with, requests+o.all
		crashes += min(o.with, 1)
	}
	if with == 0 || with == requests {
		return 0
	}
	chance := float64(with) / float64(requests)
	// Half a request more, as that none further was seen doesn't rule them out.
	further := (float64(with-crashes) + 0.5) / float64(requests-crashes+1)
	for _, o := range all {
		deadly := (1 - regularShare) * binomial(o.with, o.all, further)
		if o.with > 0 {
			deadly += regularShare * binomial(o.with-1, o.all-1, further)
		}
		sum += math.Log(deadly / binomial(o.with, o.all, chance))
	}
	return sum
}

// binomial returns the probability of k successes in n trials with the given chance, which
// is neither 0 nor 1.
func binomial(k, n int, chance float64) float64 {
	logFactorial := func(n int) float64 { v, _ := math.Lgamma(float64(n + 1)); return v }
	return math.Exp(logFactorial(n) - logFactorial(k) - logFactorial(n-k) + float64(k)*math.Log(chance) + float64(n-k)*math.Log1p(-chance))
}

// addRegularity sets the regularity in the scores of a service's parts.
func addRegularity(scores map[string]score, settled []*crash) {
	var all history
	regular := make(map[string]score)
	for part, c := range scores {
		if c.with.separate < regularMoments || c.with.separate < regularShare*c.all.separate {
			continue
		}
		if all.crashes == nil {
			all = newHistory(settled)
		}
		if since := all.since(c); since.hasRegularly(part) {
			c.regularity = regularity(since.occurrences(part))
			regular[part] = c
		}
	}
	for part, c := range regular {
		c.regular = c.regularity >= regularThreshold && !all.since(c).hasRival(part, regular)
		scores[part] = c
	}
}

// hasRegularly reports whether the part is among the candidates of enough servers, and of
// nearly all, whose crashes became known at different moments. Those that become known
// together, as when a list without them arrives, may have one cause: a server that was silent
// before has a crash as old as its last answer.
func (h history) hasRegularly(part string) bool {
	var known []clock.Instant
	for _, c := range h.crashes {
		if present, _ := c.presences(); present[part].requests > 0 {
			known = append(known, c.knownAt)
		}
	}
	slices.Sort(known)
	moments, last := 0, clock.Instant(0)
	for i, at := range known {
		if i == 0 || at.Sub(last) >= crashSpacing {
			moments, last = moments+1, at
		}
	}
	return moments >= regularMoments && len(known) >= regularServers && float64(len(known)) >= regularShare*float64(len(h.crashes))
}

// hasRival reports whether another part is about as regular as this one, in other requests:
// then the crashes don't tell which of them is the cause.
func (h history) hasRival(part string, regular map[string]score) bool {
	for other, c := range regular {
		if other != part && c.regularity > regular[part].regularity-regularMargin && !h.goTogether(part, other) {
			return true
		}
	}
	return false
}

// goTogether reports whether all requests with one of two parts have the other one too.
func (h history) goTogether(a, b string) bool {
	aAlone, bAlone := false, false
	for _, candidates := range h.fresh {
		for _, s := range candidates {
			hasA, hasB := slices.Contains(s.parts, a), slices.Contains(s.parts, b)
			aAlone, bAlone = aAlone || hasA && !hasB, bAlone || hasB && !hasA
		}
	}
	return !aAlone || !bAlone
}
