// Package placement chooses the engine for a request from a snapshot of the
// engines and their load: filters exclude engines, a score ranks the rest. It
// is built for disaggregated prefill and decode, under a mix of short prompts
// and long prompts with shared prefixes.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// LocalPrefillLimit is the number of prompt tokens below which a decode engine may
	// prefill a prompt itself: the extra round trip and the KV transfer take
	// longer than prefill at half speed between other requests' decode steps.
	LocalPrefillLimit = 1000
	// alwaysLocalTokens is the number of prompt tokens below which a decode
	// engine prefills the prompt even if a prefill engine is idle.
	alwaysLocalTokens = 400
	// idleQueueTokens is the number of queued prompt tokens below which a
	// prefill engine counts as idle.
	idleQueueTokens = 500
	// crossZonePenalty is the score, in streams, added to a decode engine in
	// another zone than the prefill engine: a KV transfer between zones takes
	// twice as long and is billed.
	crossZonePenalty = 4
	// tokensPerStream is the number of pending prompt tokens that slow an
	// engine's streams as much as one additional stream does.
	tokensPerStream = 200
	// reservedSlots is the fraction of a decode engine's slots that is left to streams
	// that can go on at its software version alone, while another version has room.
	// reservedSlotsTokens is what prefilling for such an engine costs, in prompt tokens.
	reservedSlots       = 0.25
	reservedSlotsTokens = 30000
	// minFetchTokens is the length of a shared prefix from which an engine that
	// does not hold it fetches its KV cache instead of computing it: the
	// transfer takes about a tenth of the prefill time, but is billed.
	minFetchTokens = 256
	// copyCostRatio is the cost of a further copy of a prefix relative to
	// prefilling the same tokens. The transfer itself is cheap, but the copy
	// evicts other prefixes of that length, which must be prefilled again.
	copyCostRatio = 4
	// An engine that fails this entry's requests costs up to failureStreams or
	// failureTokens, or failureSlots times as many calls as it has slots: half of that if
	// it fails one request for halfCostSuccesses that it answers. Requests of their own
	// kind account for up to toleratedFailures.
	failureStreams    = 64
	failureTokens     = 30000
	failureSlots      = 1.5
	halfCostSuccesses = 10
	toleratedFailures = 0.1
	// failingEntryCost is the part of that cost for each other entry whose requests an
	// engine fails. At most maxFailingEntries entries are counted.
	failingEntryCost  = 1.0 / 6
	maxFailingEntries = 4
	// localSlowdown is how much longer a decode engine prefills a prompt than a prefill
	// engine.
	localSlowdown = 2
	// maxLocalPrefill is the number of prompt tokens up to which a decode engine prefills
	// prompts because prefill engines fail: about one chunk, for which its streams pause.
	maxLocalPrefill = 4000
)

// Part is one segment of a prompt. Requests with the same part id have the same
// tokens there.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request declares about its prompt.
type Prompt struct {
	// Tokens is the length of the prompt and Output the maximum number of
	// tokens to generate.
	Tokens int
	Output int
	// ExpectedOutput is the number of tokens that the caller expects, or zero. It is often
	// far off.
	ExpectedOutput int
	// Parts are in prompt order; the last one is unique to the request.
	Parts []Part
}

// Shared returns the key and the length in tokens of the longest prefix that
// other requests may share; zero values if there is none.
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

// Key returns what repeats of a request have in common with it, and no other requests: the
// ID of the unique part. It is empty if the request declares no parts.
func (p Prompt) Key() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[len(p.Parts)-1].ID
}

// SharedParts returns the IDs of the parts that other requests may have too. A
// nil prompt has none.
func (p *Prompt) SharedParts() []string {
	if p == nil {
		return nil
	}
	var ids []string
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Unshared returns the number of tokens that an engine has to prefill if it
// holds or fetches the shared prefix.
func (p Prompt) Unshared() int {
	if _, shared := p.Shared(); shared >= minFetchTokens {
		return max(0, p.Tokens-shared)
	}
	return p.Tokens
}

// Candidate is an engine together with its load.
type Candidate struct {
	fleet.Engine
	Load fleet.Load
	// FailureRate is the part of this entry's recent attempts that the engine failed.
	FailureRate float64
	// Slowness is how much slower than the mean of its service the engine is; zero stands
	// for 1.
	Slowness float64
}

// failureCost returns what the engine's failures cost, from zero to one.
func (c Candidate) failureCost() float64 {
	rate := max(0, c.FailureRate-toleratedFailures)
	weighted := halfCostSuccesses * rate
	return max(weighted/(1-rate+weighted), failingEntryCost*float64(min(c.Load.FailingEntries, maxFailingEntries)))
}

// Filter reports whether an engine may be chosen.
type Filter func(e fleet.Engine) bool

// Candidates returns the engines that pass all filters, with their loads.
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

// LikelyToServe returns the candidates that don't fail and have room, or all if there are none: a
// retry is better spent there than at the one with the least load.
func LikelyToServe(candidates []Candidate) []Candidate {
	likely := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		full := c.Slots > 0 && c.Load.Streams+c.Load.Calls >= c.Slots || c.Load.PromptTokens >= failureTokens
		return full || c.failureCost() > 0
	})
	if len(likely) == 0 {
		return candidates
	}
	return likely
}

// Present drops engines that any entry could not reach at their addresses, those
// that have told any entry that they leave, and those that the leader withdrew.
// If that would drop all of them, it returns all.
func Present(candidates []Candidate) []Candidate {
	present := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Load.MissingEntries > 0 || c.Load.LeavingEntries > 0 || c.Load.Withdrawn > 0
	})
	if len(present) == 0 {
		return candidates
	}
	return present
}

// AcceptsWork is a filter for engines that accept new work.
func AcceptsWork(e fleet.Engine) bool {
	return !e.Leaving
}

// InPhase returns a filter for engines of exactly that phase.
func InPhase(phase fleet.Phase) Filter {
	return func(e fleet.Engine) bool { return e.Phase == phase }
}

// CanDecode is a filter for engines that can decode.
func CanDecode(e fleet.Engine) bool {
	return e.Phase.Serves(fleet.Decode)
}

// OfVersion returns a filter for engines of that software version.
func OfVersion(version string) Filter {
	return func(e fleet.Engine) bool { return e.Version == version }
}

// OfVersionAmong returns a filter for engines of the software versions of the
// candidates.
func OfVersionAmong(candidates []Candidate) Filter {
	var versions []string
	for _, c := range candidates {
		if !slices.Contains(versions, c.Version) {
			versions = append(versions, c.Version)
		}
	}
	return func(e fleet.Engine) bool { return slices.Contains(versions, e.Version) }
}

// Except returns a filter that drops the engines with the given ids.
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

// ownerOf returns the engine that a shared prefix is assigned to. Rendezvous
// hashing lets all entries agree without communication, and the loss of an
// engine moves only that engine's prefixes. ok is false without a key or
// candidates.
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

// PrefillLocally reports whether a decode engine should prefill the prompt itself.
// Prompts of medium length go to prefill engines only while one of these is
// idle, which spares the streams at decode engines a pause.
func PrefillLocally(p Prompt, prefill []Candidate) bool {
	if p.Tokens >= LocalPrefillLimit || p.Tokens < alwaysLocalTokens {
		return p.Tokens < alwaysLocalTokens
	}
	for _, c := range prefill {
		if c.Load.PromptTokens < idleQueueTokens && c.failureCost() == 0 {
			return false
		}
	}
	return true
}

// SparesPrefill reports whether a decode engine should prefill a longer prompt itself
// because of prefill engines that fail, where the others have no room: a call that may
// fail costs more than the slower prefill.
func SparesPrefill(p Prompt, prefill, decode []Candidate) bool {
	failing := func(c Candidate) bool { return c.failureCost() > 0 }
	if p.Tokens > maxLocalPrefill || len(decode) == 0 || !slices.ContainsFunc(prefill, failing) {
		return false
	}
	least := func(candidates []Candidate, cost func(c Candidate) float64) float64 {
		lowest := cost(candidates[0])
		for _, c := range candidates[1:] {
			lowest = min(lowest, cost(c))
		}
		return lowest
	}
	remote := least(prefill, func(c Candidate) float64 {
		return float64(p.Unshared()+c.Load.PromptTokens) + failureTokens*c.failureCost()
	})
	return remote > least(decode, func(c Candidate) float64 {
		return float64(localSlowdown*(p.Tokens+c.Load.PromptTokens) + tokensPerStream*c.Load.Streams)
	})
}

// PrefillChoice is the engine chosen to prefill a prompt.
type PrefillChoice struct {
	Candidate
	// Tokens is the estimated number of tokens that the engine has to prefill.
	Tokens int
	// FetchFrom is the engine from which it first fetches the shared prefix, or
	// nil.
	FetchFrom *fleet.Engine
	Estimate
}

// ForPrefill chooses the engine that would finish the prefill first, counting the
// KV cache that a copy of the shared prefix displaces. holders are the engines that
// last prefilled the shared prefix, at most one of each software version; they need
// not be candidates. Other engines of that version fetch the prefix from its holder
// if it is long enough. Without a holder, the owner of the prefix is preferred, so
// that all entries have it prefilled at the same engine. decode holds the engines that
// may decode: the KV cache can go only to those of the chosen engine's version.
func ForPrefill(p Prompt, holders []fleet.Engine, candidates, decode []Candidate, random func(n int) int) (choice PrefillChoice, ok bool) {
	key, shared := p.Shared()
	waiting, copies := decodeTokens(decode), make(map[string]float64)
	homes := make(map[string]*fleet.Engine)
	for _, c := range candidates {
		if _, known := homes[c.Version]; !known {
			homes[c.Version] = homeOf(key, holderOf(c.Version, holders), ofVersion(c.Version, candidates))
			if len(holders) > 0 && holderOf(c.Version, holders) == nil {
				copies[c.Version] = 1
			}
		}
	}
	chosen, ok := pickLowest(candidates, random, func(c Candidate) float64 {
		cost := float64(c.Load.PromptTokens) + waiting[c.Version]
		if home := homes[c.Version]; home != nil && shared >= minFetchTokens {
			made := copies[c.Version]
			if c.ID != home.ID {
				made++
			}
			cost += copyCostRatio * made * float64(shared)
		}
		return cost + failureTokens*c.failureCost()
	})
	choice = PrefillChoice{Candidate: chosen, Tokens: p.Tokens}
	holder := holderOf(chosen.Version, holders)
	switch {
	case !ok || holder == nil:
	case chosen.ID == holder.ID:
		choice.Tokens = max(0, p.Tokens-shared)
	case shared >= minFetchTokens:
		choice.Tokens = max(0, p.Tokens-shared)
		choice.FetchFrom = holder
	}
	return choice, ok
}

// holderOf returns the holder of a software version, or nil.
func holderOf(version string, holders []fleet.Engine) *fleet.Engine {
	for _, h := range holders {
		if h.Version == version {
			return &h
		}
	}
	return nil
}

// ofVersion returns the candidates of a software version.
func ofVersion(version string, candidates []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Version != version })
}

// decodeTokens returns, by software version, the load of the least loaded engine in
// prompt tokens. Engines that are nearly full cost more: the streams of a version whose
// other engines have ended have no other place.
func decodeTokens(decode []Candidate) map[string]float64 {
	out := make(map[string]float64)
	for _, c := range decode {
		tokens := float64(c.Load.Streams*tokensPerStream + c.Load.PromptTokens)
		if c.Slots > 0 && float64(c.Load.Streams) >= (1-reservedSlots)*float64(c.Slots) {
			tokens += reservedSlotsTokens
		}
		if least, ok := out[c.Version]; !ok || tokens < least {
			out[c.Version] = tokens
		}
	}
	return out
}

// homeOf returns the engine at which a shared prefix should be prefilled: its
// holder if that is a candidate, and its owner otherwise. It returns nil without
// a key or candidates.
func homeOf(key string, holder *fleet.Engine, candidates []Candidate) *fleet.Engine {
	if holder != nil && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ID == holder.ID }) {
		return holder
	}
	if owner, ok := ownerOf(key, candidates); ok {
		return &owner.Engine
	}
	return nil
}

// ForDecode chooses the engine that decodes; zone is where the prompt was
// prefilled.
func ForDecode(zone string, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	return pickLowest(candidates, random, func(c Candidate) float64 {
		score := float64(c.Load.Streams) + float64(c.Load.PromptTokens)/tokensPerStream
		if c.Zone != zone {
			score += crossZonePenalty
		}
		return score + failureStreams*c.failureCost()
	})
}

// ForCall chooses a plain backend server for a call; zone is the entry's own.
func ForCall(zone string, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	return pickLowest(candidates, random, func(c Candidate) float64 {
		score := float64(c.Load.Calls) / float64(max(1, c.Slots))
		if c.Zone != zone {
			score += 0.5 / float64(max(1, c.Slots)) // only breaks ties
		}
		return score + failureSlots*c.failureCost()
	})
}

// pickLowest returns a candidate with the lowest score. Ties are broken at
// random, so that entries with the same view don't all choose the same engine.
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
