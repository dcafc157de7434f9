// Package placement chooses the engine for a request out of a snapshot:
// filters drop engines, a score orders those that are left. It answers the
// load of long prompts that share parts beside short ones, on engines split
// into prefill and decode.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/prefixdir"
)

const (
	// WholeLimit is the number of prompt tokens below which a decode engine
	// reads a prompt by itself: the second trip and the transfer take longer
	// than reading it at half speed between other requests' tokens.
	WholeLimit = 1000
	// alwaysLocalTokens is the number of prompt tokens below which that holds even
	// if a prefill engine is idle.
	alwaysLocalTokens = 400
	// idleQueueTokens is the number of tokens before a prefill engine below which it
	// counts as idle.
	idleQueueTokens = 500
	// crossZonePenalty is what another zone costs a choice of a decode engine, in
	// streams: its transfer takes twice as long and is priced.
	crossZonePenalty = 4
	// tokensPerStream is how many tokens to be read delay an engine's streams
	// as much as one more stream does.
	tokensPerStream = 200
	// minFetchTokens is the number of shared tokens from which an engine other
	// than their home fetches them instead of reading them: the transfer takes
	// about a tenth of the time, but is priced.
	minFetchTokens = 256
	// fetchCostRatio is what an engine has to do beside its queue for a fetch, as a
	// part of the tokens fetched. It also keeps parts at their homes while
	// these are not much busier, so that there is something to fetch.
	fetchCostRatio = 0.5
	// failingPenalty is what an engine costs for each other entry whose
	// requests it fails, in streams or calls, and ailingTokens in tokens; a
	// filter drops those that fail this one's. More than maxAiling entries
	// count as that many.
	failingPenalty       = 8
	failingPenaltyTokens = 30000
	maxFailingEntries    = 4
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

// Unshared returns the tokens that an engine has to read if it keeps or
// fetches the shared part.
func (p Prompt) Unshared() int {
	if _, shared := p.Shared(); shared >= minFetchTokens {
		return max(0, p.Tokens-shared)
	}
	return p.Tokens
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

// Present drops engines that some entry did not find at their addresses,
// unless nobody would be left.
func Present(candidates []Candidate) []Candidate {
	present := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Load.Missing > 0 })
	if len(present) == 0 {
		return candidates
	}
	return present
}

// Open keeps engines that take new work.
func Open(e fleet.Engine) bool {
	return !e.Leaving
}

// InPhase keeps engines of a phase.
func InPhase(phase fleet.Phase) Filter {
	return func(e fleet.Engine) bool { return e.Phase == phase }
}

// Decodes keeps engines that produce tokens.
func Decodes(e fleet.Engine) bool {
	return e.Phase.Does(fleet.Decode)
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

// ownerOf returns the engine that keeps a shared part, by rendezvous hashing,
// so that all entries agree without a word and a lost engine moves only its
// own parts; ok is false without a key or candidates.
func ownerOf(key string, candidates []Candidate) (owner Candidate, ok bool) {
	if key == "" {
		return Candidate{}, false
	}
	best := uint64(0)
	for _, c := range candidates {
		if weight := xxhash.Sum64String(key + "@" + c.ID); !ok || weight > best {
			owner, best, ok = c, weight, true
		}
	}
	return owner, ok
}

// ReadWhole reports whether a decode engine should read the prompt itself.
// Prompts of middle length are read by prefill engines only while one of those
// is idle, to spare the streams at decode engines a pause.
func ReadWhole(p Prompt, prefill []Candidate) bool {
	if p.Tokens >= WholeLimit || p.Tokens < alwaysLocalTokens {
		return p.Tokens < alwaysLocalTokens
	}
	for _, c := range prefill {
		if c.Load.PromptTokens < idleQueueTokens && c.Load.Ailing == 0 {
			return false
		}
	}
	return true
}

// PrefillChoice is an engine that is to read a prompt.
type PrefillChoice struct {
	Candidate
	// Tokens is about how many tokens the engine has to read.
	Tokens int
	// FetchFrom is the engine from which it first fetches the shared part, or
	// nil.
	FetchFrom *fleet.Engine
}

// holderOf returns the engine that should keep a shared part: its last reader,
// or its home if that is not known or gone.
func holderOf(key string, holding prefixdir.Holding, candidates []Candidate) (holder Candidate, ok bool) {
	for _, c := range candidates {
		if c.ID == holding.Engine && c.Born == holding.Born {
			return c, true
		}
	}
	return ownerOf(key, candidates)
}

// ForPrefill chooses the engine that would have read the prompt first. The
// keeper of its shared part need not read that again; others fetch it there.
// reader is the engine that read the shared part last, if known.
func ForPrefill(p Prompt, holding prefixdir.Holding, candidates []Candidate, random func(n int) int) (choice PrefillChoice, ok bool) {
	key, shared := p.Shared()
	holder, hasHolder := holderOf(key, holding, candidates)
	fetch := hasHolder && shared >= minFetchTokens
	chosen, ok := pickLowest(candidates, random, func(c Candidate) float64 {
		cost := float64(c.Load.PromptTokens)
		if fetch && c.ID != holder.ID {
			cost += fetchCostRatio * float64(shared)
		}
		return cost + failingPenaltyTokens*float64(min(c.Load.Ailing, maxFailingEntries))
	})
	choice = PrefillChoice{Candidate: chosen, Tokens: p.Tokens}
	switch {
	case !ok || !hasHolder:
		return choice, ok
	case chosen.ID == holder.ID || fetch:
		choice.Tokens = max(0, p.Tokens-shared)
	}
	if fetch && chosen.ID != holder.ID {
		choice.FetchFrom = &holder.Engine
	}
	return choice, true
}

// ForDecode chooses the engine that produces the tokens; zone is where the
// prompt was read.
func ForDecode(zone string, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	return pickLowest(candidates, random, func(c Candidate) float64 {
		score := float64(c.Load.Streams) + float64(c.Load.PromptTokens)/tokensPerStream
		if c.Zone != zone {
			score += crossZonePenalty
		}
		return score + failureScore(c)
	})
}

// ForCall chooses a plain backend server; zone is the entry's own.
func ForCall(zone string, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	return pickLowest(candidates, random, func(c Candidate) float64 {
		score := float64(c.Load.Calls) / float64(max(1, c.Slots))
		if c.Zone != zone {
			score += 0.5 / float64(max(1, c.Slots)) // only breaks ties
		}
		return score + failureScore(c)
	})
}

func failureScore(c Candidate) float64 {
	return failingPenalty * float64(min(c.Load.Ailing, maxFailingEntries))
}

// pickLowest returns a candidate with the lowest score; equals are drawn by lot,
// so that entries with the same view don't all choose the same one.
func pickLowest(candidates []Candidate, random func(n int) int, score func(Candidate) float64) (best Candidate, ok bool) {
	ties := 0
	lowest := 0.0
	for _, c := range candidates {
		s := score(c)
		switch {
		case !ok || s < lowest:
			best, lowest, ok, ties = c, s, true, 1
		case s == lowest:
			ties++
			if random(ties) == 0 {
				best = c
			}
		}
	}
	return best, ok
}
