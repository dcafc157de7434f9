// Package fleet describes the engines and plain backend servers that an
// entry may send work to, and merges what several sources say of them.
package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Phase is the part of a request's work that an engine does.
type Phase uint8

const (
	// Whole is the phase of a backend server that knows no phases.
	Whole Phase = iota
	// Prefill engines read prompts and hand out their KV cache.
	Prefill
	// Decode engines fetch a KV cache, or read the prompt themselves, and
	// produce the tokens.
	Decode
)

var phaseNames = []string{"", "prefill", "decode"}

// String returns the phase's name.
func (p Phase) String() string {
	return phaseNames[p]
}

// ParsePhase returns the phase with the given name.
func ParsePhase(name string) (Phase, error) {
	i := slices.Index(phaseNames, name)
	if i < 0 {
		return Whole, fmt.Errorf("unknown phase %q", name)
	}
	return Phase(i), nil
}

// Does reports whether a server of this phase does the work of another one;
// one that knows no phases does all.
func (p Phase) Does(work Phase) bool {
	return p == Whole || p == work
}

// Engine is one backend server as a list showed it. It is immutable.
type Engine struct {
	// ID names the server; an address alone may be reused by another one.
	ID string
	// Born is the start of its incarnation in Unix milliseconds, or zero if
	// the list doesn't tell.
	Born    int64
	Service string
	// Address is where it takes requests, as IP:port.
	Address string
	Zone    string
	Phase   Phase
	// Leaving is set once the server is to get no new work.
	Leaving bool
	// Slots is the number of requests that it works on at once.
	Slots int
	// WarmingMs is how long it stays slow after its start.
	WarmingMs int
}

// Incarnation identifies the server from its start to its end.
func (e Engine) Incarnation() string {
	return fmt.Sprintf("%s/%d", e.ID, e.Born)
}

// Load is unfinished work at one engine.
type Load struct {
	// PromptTokens were sent to be read and are not read yet.
	PromptTokens int
	// Streams and Calls count requests in progress.
	Streams int
	Calls   int
	// Ailing counts the entries whose requests the engine fails, and Missing
	// those that found no such engine at its address. Only the latter is sure:
	// the other may be due to the entry or its links.
	Ailing  int
	Missing int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return l.plus(other, 1)
}

// plus returns the load with another one added or, with sign -1, taken off.
func (l Load) plus(other Load, sign int) Load {
	return Load{
		PromptTokens: l.PromptTokens + sign*other.PromptTokens,
		Streams:      l.Streams + sign*other.Streams,
		Calls:        l.Calls + sign*other.Calls,
		Ailing:       l.Ailing + sign*other.Ailing,
		Missing:      l.Missing + sign*other.Missing,
	}
}

// Roster is the newest list of engines. Leaving is sticky: an incarnation that
// was once shown as leaving stays so, whatever an older list says later. It is
// not safe for concurrent use.
type Roster struct {
	// leaving counts, for each incarnation that is leaving, the lists since
	// it was last shown.
	leaving map[string]int
}

// forgetAfterLists is the number of lists without a leaving incarnation after which
// it is forgotten: several sources whose lists lag differently take turns.
const forgetAfterLists = 60

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{leaving: make(map[string]int)}
}

// Update takes a list and returns the engines as they are to be used, sorted
// by id.
func (r *Roster) Update(list []Engine) []Engine {
	for key, lists := range r.leaving {
		if lists >= forgetAfterLists {
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
