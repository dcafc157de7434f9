// Package placement chooses the engine for a request out of a snapshot:
// filters drop engines, a score orders those that are left. It answers the
// load of long prompts that share parts beside short ones, on engines split
// into prefill and decode.
package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// WholeLimit is the number of prompt tokens below which a decode engine
	// reads a prompt by itself: the second trip and the transfer take longer
	// than reading it at half speed between other requests' tokens.
	WholeLimit = 1000
	// zonePenalty is what another zone costs a choice of a decode engine, in
	// streams: its transfer takes twice as long and is priced.
	zonePenalty = 4
	// ailingPenalty is what an engine that fails other entries' requests
	// costs, in streams or calls; a filter drops those that fail this one's.
	ailingPenalty = 8
)

// Part is a part of a prompt; requests with equal part ids share its tokens.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request declares of its prompt.
type Prompt struct {
	// Tokens is the length of the prompt and Output the most that may be
	// generated.
	Tokens int
	Output int
	// Parts are in the order of the prompt; the last one is the request's own.
	Parts []Part
}

// Shared returns the key and the number of tokens of the longest prefix that
// other requests share.
func (p Prompt) Shared() (key string, tokens int) {
	if len(p.Parts) < 2 {
		return "", 0
	}
	shared := p.Parts[:len(p.Parts)-1]
	for _, part := range shared {
		tokens += part.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}

// Candidate is an engine with its load.
type Candidate struct {
	fleet.Engine
	Load fleet.Load
}

// Filter reports whether an engine may be chosen.
type Filter func(e fleet.Engine) bool

// Candidates returns the engines that all filters keep, with their loads.
func Candidates(engines []fleet.Engine, load func(engine string) fleet.Load, filters ...Filter) []Candidate {
	out := make([]Candidate, 0, len(engines))
next:
	for _, e := range engines {
		for _, keep := range filters {
			if !keep(e) {
				continue next
			}
		}
		out = append(out, Candidate{Engine: e, Load: load(e.ID)})
	}
	return out
}

// Open keeps engines that take new work.
func Open(e fleet.Engine) bool {
	return !e.Leaving
}

// InPhase keeps engines of a phase.
func InPhase(phase fleet.Phase) Filter {
	return func(e fleet.Engine) bool { return e.Phase == phase }
}

// Except drops the engines with the given ids.
func Except(ids ...string) Filter {
	return func(e fleet.Engine) bool {
		for _, id := range ids {
			if e.ID == id {
				return false
			}
		}
		return true
	}
}

// Home returns the engine that keeps a shared part, by rendezvous hashing, so
// that all entries agree without a word and a lost engine moves only its own
// parts; ok is false without a key or candidates.
func Home(key string, candidates []Candidate) (home string, ok bool) {
	if key == "" {
		return "", false
	}
	best := uint64(0)
	for _, c := range candidates {
		if weight := xxhash.Sum64String(key + "@" + c.ID); !ok || weight > best {
			home, best, ok = c.ID, weight, true
		}
	}
	return home, ok
}

// ForPrefill chooses the engine that would have read the prompt first: the
// one with the fewest tokens before the prompt's end, where the home of its
// shared part need not read that again. It also returns the tokens to read.
func ForPrefill(p Prompt, candidates []Candidate, random func(n int) int) (chosen Candidate, tokens int, ok bool) {
	key, shared := p.Shared()
	home, _ := Home(key, candidates)
	toRead := func(c Candidate) int {
		if c.ID == home {
			return max(0, p.Tokens-shared)
		}
		return p.Tokens
	}
	chosen, ok = least(candidates, random, func(c Candidate) float64 {
		return float64(c.Load.PromptTokens + toRead(c))
	})
	return chosen, toRead(chosen), ok
}

// ForDecode chooses the engine that produces the tokens; zone is where the
// prompt was read.
func ForDecode(zone string, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	return least(candidates, random, func(c Candidate) float64 {
		score := float64(c.Load.Streams)
		if c.Zone != zone {
			score += zonePenalty
		}
		return score + ailing(c)
	})
}

// ForCall chooses a plain backend server; zone is the entry's own.
func ForCall(zone string, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	return least(candidates, random, func(c Candidate) float64 {
		score := float64(c.Load.Calls) / float64(max(1, c.Slots))
		if c.Zone != zone {
			score += 0.5 / float64(max(1, c.Slots)) // only breaks ties
		}
		return score + ailing(c)
	})
}

func ailing(c Candidate) float64 {
	if c.Load.Ailing {
		return ailingPenalty
	}
	return 0
}

// least returns a candidate with the lowest score; equals are drawn by lot,
// so that entries with the same view don't all choose the same one.
func least(candidates []Candidate, random func(n int) int, score func(Candidate) float64) (best Candidate, ok bool) {
	equals := 0
	lowest := 0.0
	for _, c := range candidates {
		s := score(c)
		switch {
		case !ok || s < lowest:
			best, lowest, ok, equals = c, s, true, 1
		case s == lowest:
			equals++
			if random(equals) == 0 {
				best = c
			}
		}
	}
	return best, ok
}
