// Package fleet describes the engines and plain backend servers that an entry
// may send work to, and merges lists and load reports from several sources.
package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Phase is the phase of inference that an engine runs.
type Phase uint8

const (
	// NoPhase is the phase of a backend server without separate phases.
	NoPhase Phase = iota
	// Prefill engines compute the KV cache of prompts and serve it to others.
	Prefill
	// Decode engines fetch a KV cache, or prefill the prompt themselves, and
	// generate the output tokens.
	Decode
)

var phaseNames = []string{"", "prefill", "decode"}

// String returns the name of the phase, which is empty for servers without
// phases.
func (p Phase) String() string {
	return phaseNames[p]
}

// ParsePhase returns the phase with the given name; the empty name stands for a
// server without phases.
func ParsePhase(name string) (Phase, error) {
	i := slices.Index(phaseNames, name)
	if i < 0 {
		return NoPhase, fmt.Errorf("unknown phase %q", name)
	}
	return Phase(i), nil
}

// Serves reports whether a server of this phase does the work of another one. A
// server without phases does all work.
func (p Phase) Serves(work Phase) bool {
	return p == NoPhase || p == work
}

// Engine is one engine or plain backend server as a list describes it. It is
// immutable.
type Engine struct {
	// ID identifies the server; an address may be reused by another one.
	ID string
	// StartedMs is the start of the incarnation in Unix milliseconds, or zero if the
	// list doesn't contain it.
	StartedMs int64
	Service   string
	// Address is where the server accepts requests, as IP:port.
	Address string
	Zone    string
	// Version is the version of the server's software, not of its weights; empty if
	// the list doesn't contain it.
	Version string
	Phase   Phase
	// Leaving is set once the server must get no new work.
	Leaving bool
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// WarmingMs is how long the server is slow after its start, in milliseconds.
	WarmingMs int
	// Reclaimable is set if the server costs less and may be taken away.
	Reclaimable bool
}

// Incarnation returns a key that identifies one run of the server, from its
// start to its end.
func (e Engine) Incarnation() string {
	return fmt.Sprintf("%s/%d", e.ID, e.StartedMs)
}

// List is one reading of the list of engines.
type List struct {
	Engines []Engine
	// Skipped counts the entries that name no engine to use.
	Skipped int
	// Incomplete is set if a part of the list couldn't be read that may name other
	// engines.
	Incomplete bool
}

// Over returns the engines to use after this reading, when known were used before.
// An engine that an incomplete list doesn't name is not taken as gone, unless it
// was leaving.
func (l List) Over(known []Engine) []Engine {
	if !l.Incomplete {
		return l.Engines
	}
	listed := make(map[string]bool, len(l.Engines))
	for _, e := range l.Engines {
		listed[e.ID] = true
	}
	out := slices.Clone(l.Engines)
	for _, e := range known {
		if !listed[e.ID] && !e.Leaving {
			out = append(out, e)
		}
	}
	return out
}

// Distinct returns the engines in their order without those that are listed again.
// An engine is leaving if one of its entries says so. Engines with the same ID but
// another start or address stay: either may be the one that runs.
func Distinct(engines []Engine) []Engine {
	type run struct {
		id        string
		startedMs int64
		address   string
	}
	out := make([]Engine, 0, len(engines))
	listed := make(map[run]int, len(engines))
	for _, e := range engines {
		key := run{e.ID, e.StartedMs, e.Address}
		if i, again := listed[key]; again {
			out[i].Leaving = out[i].Leaving || e.Leaving
			continue
		}
		listed[key] = len(out)
		out = append(out, e)
	}
	return out
}

// Load is the unfinished work at one engine.
type Load struct {
	// PromptTokens is the number of tokens sent for prefill and not prefilled
	// yet.
	PromptTokens int
	// Streams and Calls count requests in progress.
	Streams int
	Calls   int
	// KVTokens is the number of tokens that the requests in progress need in the engine's KV
	// cache at their longest.
	KVTokens int
	// FailingEntries counts the entries whose requests the engine fails. It is not
	// conclusive: the cause may be the entry or its network.
	FailingEntries int
	// MissingEntries counts the entries that found no server at the engine's address,
	// which is conclusive.
	MissingEntries int
	// LeavingEntries counts the entries to which the engine has announced that
	// it leaves.
	LeavingEntries int
	// Withdrawn is above zero while the leader wants the engine to get no
	// requests, because it is about to change its phase.
	Withdrawn int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return l.plus(other, 1)
}

// plus returns the load with another one added (sign 1) or subtracted (sign -1).
func (l Load) plus(other Load, sign int) Load {
	return Load{
		PromptTokens:   l.PromptTokens + sign*other.PromptTokens,
		Streams:        l.Streams + sign*other.Streams,
		Calls:          l.Calls + sign*other.Calls,
		KVTokens:       l.KVTokens + sign*other.KVTokens,
		FailingEntries: l.FailingEntries + sign*other.FailingEntries,
		MissingEntries: l.MissingEntries + sign*other.MissingEntries,
		LeavingEntries: l.LeavingEntries + sign*other.LeavingEntries,
		Withdrawn:      l.Withdrawn + sign*other.Withdrawn,
	}
}

// Roster merges successive lists of engines. Leaving is sticky: an incarnation
// that was once listed as leaving stays so, even if an outdated list arrives
// later. It is not safe for concurrent use.
type Roster struct {
	// leaving counts, for each leaving incarnation, the lists received since it
	// was last listed.
	leaving map[string]int
}

// dropAfterLists is the number of consecutive lists without a leaving
// incarnation after which it is dropped. It allows for several sources, with
// different lags, that deliver lists alternately.
const dropAfterLists = 60

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{leaving: make(map[string]int)}
}

// Update applies a new list and returns the engines in it with sticky Leaving
// flags, sorted by id.
func (r *Roster) Update(list []Engine) []Engine {
	for key, lists := range r.leaving {
		if lists >= dropAfterLists {
			delete(r.leaving, key)
			continue
		}
		r.leaving[key] = lists + 1
	}
	out := make([]Engine, 0, len(list))
	for _, e := range list {
		key := e.Incarnation()
		if _, sticky := r.leaving[key]; sticky || e.Leaving {
			e.Leaving = true
			r.leaving[key] = 0
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return out
}
