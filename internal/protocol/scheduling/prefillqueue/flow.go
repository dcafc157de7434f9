package prefillqueue

import (
	"math"
	"time"
)

const (
	// flowTime is the time constant of the moving averages of demand and grants.
	flowTime = time.Second
	// activeFrom is the demand, in prompts per second, from which a route counts for the
	// equal parts of the capacity.
	activeFrom = 0.5
)

// flow is a number of prompts and their tokens.
type flow struct{ prompts, tokens float64 }

func (f flow) plus(g flow) flow { return flow{f.prompts + g.prompts, f.tokens + g.tokens} }

// meter measures a flow per second as a moving average.
type meter struct {
	last flow
	at   time.Time
}

func (m *meter) add(now time.Time, tokens int) {
	m.last = m.perSecond(now).plus(flow{1 / flowTime.Seconds(), float64(tokens) / flowTime.Seconds()})
	m.at = now
}

func (m *meter) perSecond(now time.Time) flow {
	left := math.Exp(-now.Sub(m.at).Seconds() / flowTime.Seconds())
	return flow{m.last.prompts * left, m.last.tokens * left}
}

// average is a moving average of a value.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(now time.Time, value float64) {
	left := 0.0
	if !a.at.IsZero() {
		left = math.Exp(-now.Sub(a.at).Seconds() / flowTime.Seconds())
	}
	a.value, a.at = left*a.value+(1-left)*value, now
}

// kind is what prompts share that are treated alike: those of a route that need the
// prefill engines, or those that don't.
type kind struct {
	route string
	local bool
}

func (p Prompt) kind() kind { return kind{p.Route, p.Local} }

// returning reports whether the prompt's caller has come back after a refusal.
func (p Prompt) returning() bool { return !p.Asked.IsZero() && p.Asked.Before(p.Arrived) }

// kindFlow is the demand of a kind and what it was granted, and the same without prompts
// whose callers have come back.
type kindFlow struct {
	arrived, granted           meter
	firstArrived, firstGranted meter
}

// flows measures the demand of a service at this entry.
type flows map[kind]*kindFlow

// of returns the flow of a kind. It drops those without demand.
func (f flows) of(now time.Time, k kind) *kindFlow {
	r := f[k]
	if r == nil {
		for old, flow := range f {
			if flow.arrived.perSecond(now).prompts < 0.01 {
				delete(f, old)
			}
		}
		r = &kindFlow{}
		f[k] = r
	}
	return r
}

func (f flows) arrive(now time.Time, p Prompt) {
	r := f.of(now, p.kind())
	r.arrived.add(now, p.prefillTokens())
	if !p.returning() {
		r.firstArrived.add(now, p.prefillTokens())
	}
}

func (f flows) grant(now time.Time, p Prompt) {
	r := f.of(now, p.kind())
	r.granted.add(now, p.prefillTokens())
	if !p.returning() {
		r.firstGranted.add(now, p.prefillTokens())
	}
}

// prefillTokens returns the number of tokens for the prefill engines.
func (p Prompt) prefillTokens() int {
	if p.Local {
		return 0
	}
	return p.Tokens
}

// firstServed returns the part of the first requests that was granted, one without demand.
func (f *kindFlow) firstServed(now time.Time) float64 {
	arrived := f.firstArrived.perSecond(now).prompts
	if arrived < activeFrom {
		return 1
	}
	return f.firstGranted.perSecond(now).prompts / arrived
}
