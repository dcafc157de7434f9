package prefillqueue

import (
	"math"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
)

// Prompt holds what the order of waiting prompts depends on.
type Prompt struct {
	Service string
	Route   string
	// Workspace is the caller's, or empty.
	Workspace string
	// Priority is the route's or the workspace's; zero is the most urgent.
	Priority int
	// Local is set if the engine that decodes prefills the prompt itself.
	Local bool
	// Tokens is the number of tokens to prefill, and Output the maximum number to generate.
	Tokens, Output int
	// DecodeMemory and PrefillMemory are the numbers of tokens that the prompt needs at its
	// longest in the KV caches of the engines that decode and prefill it.
	DecodeMemory, PrefillMemory int
	// Key is the same for repeats of a request, and for no other request of its workspace.
	// It is empty if that isn't known.
	Key string
	// Arrived is when the request arrived, and Objective the time from then
	// within which the first event is due.
	Arrived   time.Time
	Objective time.Duration
	// Asked is when the caller first sent the request, as far as is known: before Arrived
	// if it was refused and has come back. Zero stands for Arrived.
	Asked time.Time
	// GiveUp is when the caller stops waiting for the first event; zero if that is not
	// known.
	GiveUp time.Time
	// Resumed is set for a stream whose caller has already received events;
	// such prompts go first and are never refused.
	Resumed bool
	// Again is set if an engine was to prefill the prompt before and failed.
	Again bool
}

// cost returns what the prompt counts for its workspace.
func (p Prompt) cost() float64 { return fairshare.Cost(p.Tokens, p.Output) }

// counted reports whether the prompt counts for its workspace: failures of engines don't
// use up its share.
func (p Prompt) counted() bool { return !p.Resumed && !p.Again }

// Engines is the state of the engines that a service can use.
type Engines struct {
	// Count is the number of those that prefill.
	Count int
	// Tokens is the number of prompt tokens of all entries that are pending at
	// these.
	Tokens int
	// MinTokens is the number of tokens pending at the least loaded engine.
	MinTokens int
	// Slots is the number of streams that the engines decode concurrently, zero if it
	// isn't known, and Streams that of all entries' streams at these engines, of which
	// there are Decoding.
	Slots, Streams, Decoding int
	// Memory is set if engines may lack room in their KV caches.
	Memory *EngineMemory
}

// EngineMemory is the room in the KV caches of a service's engines, in tokens.
type EngineMemory struct {
	// Total is what the engines that decode can be given, Free what is left of it, and
	// MaxFree that of the one with the most room. MaxFreePrefill is that of the engines that
	// prefill.
	Total, Free, MaxFree, MaxFreePrefill int
	// Extra returns what must be free alongside a request that needs that much; nil stands for
	// nothing.
	Extra func(need int) int
}

func (m *EngineMemory) extra(need int) int {
	if m.Extra == nil {
		return 0
	}
	return m.Extra(need)
}

// short reports whether there is little room for streams.
func (m *EngineMemory) short() bool {
	return m != nil && float64(m.Free) <= (1-slotsShortFrom)*float64(m.Total)
}

// Fits reports whether there is room for a prompt alongside others that have been granted and
// need reserved tokens.
func (m *EngineMemory) Fits(p Prompt, reserved int) bool {
	if m == nil {
		return true
	}
	if !p.Local && p.PrefillMemory+m.extra(p.PrefillMemory) > m.MaxFreePrefill {
		return false
	}
	return p.DecodeMemory+m.extra(p.DecodeMemory) <= m.MaxFree && reserved+p.DecodeMemory <= m.Free
}

// SlotsShort reports whether the engines that decode have few free slots, or little room in
// their KV caches.
func (e Engines) SlotsShort() bool {
	return e.Slots > 0 && (float64(e.Streams) >= slotsShortFrom*float64(e.Slots) || e.Memory.short())
}

// streamsTarget returns the number of streams up to which further ones are begun.
func (e Engines) streamsTarget() float64 {
	return float64(e.Slots) + slotsMargin*math.Sqrt(float64(e.Slots)*float64(e.Decoding))
}
