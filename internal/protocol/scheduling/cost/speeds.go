package cost

import "time"

// Speeds are the learned speeds of a service's servers, on average. They are immutable.
type Speeds struct {
	// prefill is the time of a call that prefills, by tokens to read, pending tokens and
	// fetched tokens.
	prefill features
	// local is the time to the first event of a prompt that an engine prefills alongside
	// streams, by tokens to read, pending tokens and streams; fetched is the same for a
	// prompt that was prefilled elsewhere, by its tokens, pending tokens and streams.
	local, fetched features
	// step is the time between two events, by streams and pending tokens.
	step features
	// PromptTokens is the mean number of tokens of a prefill, and StreamMs the mean time
	// that a stream takes.
	PromptTokens float64
	StreamMs     float64
}

// The priors lie between the speeds of the known models. A transfer of a KV cache takes a
// tenth of the time to prefill it.
const (
	priorPrefillMs      = 45
	priorPrefillTokenMs = 0.02
	priorFetchTokenMs   = 0.002
	priorLocalMs        = 20
	priorLocalTokenMs   = 0.04
	priorStreamMs       = 0.5
	priorStepMs         = 12
	priorStepTokenMs    = 0.004
	priorPromptTokens   = 5000
	priorStreamLengthMs = 3000
	// CrossZoneFactor is how much longer a transfer between zones takes.
	CrossZoneFactor = 2
)

// Prefill is a call that prefills a prompt.
type Prefill struct {
	// Read is the number of tokens to prefill, and Fetched the number of those whose KV
	// cache is transferred, CrossZone from another zone.
	Read, Fetched float64
	CrossZone     bool
	// Pending is the number of other prompts' tokens that were pending at the engine, known
	// with that Staleness.
	Pending   float64
	Staleness time.Duration
}

func (p Prefill) features() features {
	return features{1, p.Read, p.Pending, p.Fetched * zoneFactor(p.CrossZone)}
}

func zoneFactor(crossZone bool) float64 {
	if crossZone {
		return CrossZoneFactor
	}
	return 1
}

// First is the beginning of a stream.
type First struct {
	// Local is set if the engine prefills the prompt itself. Tokens is the number of tokens
	// of the prompt, that are read or transferred, CrossZone from another zone.
	Local     bool
	Tokens    float64
	CrossZone bool
	// Pending is the number of other prompts' tokens pending at the engine, and Streams
	// that of its other streams, known with that Staleness.
	Pending, Streams float64
	Staleness        time.Duration
}

func (f First) features() features {
	if f.Local {
		return features{1, f.Tokens, f.Pending, f.Streams}
	}
	return features{1, f.Tokens * zoneFactor(f.CrossZone), f.Pending, f.Streams}
}

// Prefill returns how long a server as fast as the mean takes for a call.
func (s *Speeds) Prefill(p Prefill) float64 { return s.prefill.predict(p.features()) }

// First returns the time to the first event at a server as fast as the mean.
func (s *Speeds) First(f First) float64 {
	if f.Local {
		return s.local.predict(f.features())
	}
	return s.fetched.predict(f.features())
}

// Linear is a time that grows with the work at an engine.
type Linear struct {
	// Fixed is the part that doesn't depend on the engine's load, PerPending the part for
	// each pending token of other prompts, and PerStream that for each stream.
	Fixed, PerPending, PerStream float64
}

// At returns the time at an engine with that many pending tokens and streams.
func (l Linear) At(pending, streams float64) float64 {
	return l.Fixed + l.PerPending*pending + l.PerStream*streams
}

// FirstAt returns the time to the first event as a function of the load, without that of f.
func (s *Speeds) FirstAt(f First) Linear {
	f.Pending, f.Streams = 0, 0
	c := &s.fetched
	if f.Local {
		c = &s.local
	}
	return Linear{Fixed: c.predict(f.features()), PerPending: c[2], PerStream: c[3]}
}

// StepAt returns the time between two events of a stream as a function of the load.
func (s *Speeds) StepAt() Linear {
	return Linear{Fixed: s.step[0], PerPending: s.step[2], PerStream: s.step[1]}
}

// ReadToken returns how long an engine that only prefills takes to prefill a token.
func (s *Speeds) ReadToken() float64 { return s.prefill[1] }

// QueuedToken returns how long a prompt waits at such an engine for a pending token of
// another one.
func (s *Speeds) QueuedToken() float64 { return s.prefill[2] }

// FetchToken returns how long the transfer of a token's KV cache takes within a zone. It takes
// CrossZoneFactor times as long between zones.
func (s *Speeds) FetchToken() float64 { return s.prefill[3] }

// LocalToken returns how long an engine that decodes takes to prefill a token. Its streams
// pause for that time.
func (s *Speeds) LocalToken() float64 { return s.local[1] }
