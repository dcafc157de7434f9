// Package cost learns what requests cost and how fast servers work, from what an entry
// observes of its own requests. It is built for requests that look alike and cost servers
// very different amounts of work, and for servers of unequal speed. Its state is bounded. It
// starts from priors, and old observations lose their weight within seconds. All times are
// float64 in milliseconds.
package cost

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fitWeight is the weight of the priors of speeds, in observations.
	fitWeight = 10
	// factorHalfLife is the time in which what is known of one server's speed loses half of
	// its weight. An entry observes one of 90 engines a few times a minute.
	factorHalfLife = 25 * time.Second
	// factorWeight is the weight, in observations, of the assumption that a server is as
	// fast as the others, and maxFactor bounds how much slower or faster one can be.
	factorWeight = 4
	maxFactor    = 8
	// agingInterval is the time between two passes over the servers of a service that
	// forget their speeds and drop those that are not observed any more.
	agingInterval = time.Second
	// forgottenWeight is the weight of observations below which a server is dropped.
	forgottenWeight = 0.05
	// maxServers bounds the number of servers of a service whose speeds are known.
	maxServers = 8192
	// minWorkMs is the least time that counts as work of a call.
	minWorkMs = 0.1
)

// Model learns the costs of requests and the speeds of servers. It is safe for concurrent
// use.
type Model struct {
	services sync.Map // name to *service
	// shared is what all entries together found of servers' speeds, by ID.
	shared atomic.Pointer[map[string]float64]

	mu sync.Mutex // guards the fields below
	// born holds the starts of the listed servers, and measured what was observed of servers
	// since it was last reported, by ID.
	born     map[string]int64
	measured map[string]weightedLog
}

// weightedLog is a weight and the sum of as many weighted logarithms.
type weightedLog struct{ weight, logSum float64 }

// NewModel returns a model that has the priors only.
func NewModel() *Model { return &Model{measured: make(map[string]weightedLog)} }

func (m *Model) service(name string) *service {
	held, ok := m.services.Load(name)
	if !ok {
		held, _ = m.services.LoadOrStore(name, newService(m))
	}
	return held.(*service)
}

// service is what is known of one service.
type service struct {
	model  *Model
	speeds atomic.Pointer[Speeds]
	// servers holds, by ID, a *factor. count is their number.
	servers sync.Map
	count   atomic.Int64

	mu                          sync.Mutex // guards the fields below
	outputs                     *outputs
	prefill, local, fetch, step *fit
	promptTokens, streamMs      mean
	// work is the time of calls by route.
	work   map[string]*mean
	agedAt time.Time
}

func newService(m *Model) *service {
	s := &service{
		model:   m,
		outputs: newOutputs(),
		prefill: newFit(fitWeight, 20, term{priorPrefillMs, 1}, term{priorPrefillTokenMs, 5000}, term{priorPrefillTokenMs, 5000}, term{priorFetchTokenMs, 5000}),
		local:   newFit(fitWeight, 20, term{priorLocalMs, 1}, term{priorLocalTokenMs, 800}, term{priorLocalTokenMs, 800}, term{priorStreamMs, 16}),
		fetch:   newFit(fitWeight, 20, term{priorLocalMs, 1}, term{priorFetchTokenMs, 10000}, term{priorLocalTokenMs, 800}, term{priorStreamMs, 16}),
		step:    newFit(fitWeight, 5, term{priorStepMs, 1}, term{priorStreamMs, 16}, term{priorStepTokenMs, 800}),
		work:    make(map[string]*mean),
	}
	s.publish()
	return s
}

// publish makes the learned speeds visible. s.mu must be held, except during construction.
func (s *service) publish() {
	s.speeds.Store(&Speeds{
		prefill: s.prefill.coeffs, local: s.local.coeffs, fetched: s.fetch.coeffs, step: s.step.coeffs,
		PromptTokens: s.promptTokens.value(priorPromptTokens),
		StreamMs:     s.streamMs.value(priorStreamLengthMs),
	})
}

// factor is how much slower than the mean a server is.
type factor struct {
	// bits are those of the factor as a float64.
	bits atomic.Uint64
	// n observations have the sum of logarithms; guarded by service.mu.
	n, sum float64
	at     time.Time
}

// age forgets older observations and makes the factor visible.
func (f *factor) age(now time.Time) {
	keep := math.Exp2(-max(0, now.Sub(f.at).Seconds()) / factorHalfLife.Seconds())
	f.n, f.sum, f.at = f.n*keep, f.sum*keep, now
	f.bits.Store(math.Float64bits(math.Exp(f.sum / (f.n + factorWeight))))
}

// mean is a mean with exponential forgetting.
type mean struct {
	n, sum float64
	at     time.Time
}

func (m *mean) add(now time.Time, x float64) {
	keep := math.Exp2(-max(0, now.Sub(m.at).Seconds()) / lengthHalfLife.Seconds())
	m.n, m.sum, m.at = m.n*keep+1, m.sum*keep+x, now
}

// value returns the mean, given a prior with the weight of a few values.
func (m *mean) value(prior float64) float64 {
	return (m.sum + priorOutputs*prior) / (m.n + priorOutputs)
}

// Speeds returns the learned speeds of a service.
func (m *Model) Speeds(service string) *Speeds { return m.service(service).speeds.Load() }

// Factor returns how much slower than the mean of its service a server is.
func (m *Model) Factor(service, server string) float64 {
	if factor, ok := m.sharedFactor(server); ok {
		return factor
	}
	if held, ok := m.service(service).servers.Load(server); ok {
		return math.Float64frombits(held.(*factor).bits.Load())
	}
	return 1
}

// Output returns the expected output of a request. hint is the length that the caller
// expects, and limit the largest one; both are zero if unknown.
func (m *Model) Output(now time.Time, service string, k Kind, hint, limit int) Output {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outputs.expect(now, k, float64(hint), float64(limit))
}

// Work returns the expected time of a call of a route to a plain service, or prior if none
// is known.
func (m *Model) Work(service, route string, prior float64) float64 {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.work[route]; held != nil {
		return held.value(prior)
	}
	return prior
}

// ObservePrefill adds the time that a server took for a call that prefills.
func (m *Model) ObservePrefill(now time.Time, service, server string, p Prefill, took time.Duration) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promptTokens.add(now, p.Read)
	s.observe(now, s.prefill, server, p.features(), took, certainty(p.Staleness, took))
}

// ObserveFirst adds the time from the send of a stream to its first event.
func (m *Model) ObserveFirst(now time.Time, service, server string, f First, took time.Duration) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	fit := s.fetch
	if f.Local {
		fit = s.local
	}
	s.observe(now, fit, server, f.features(), took, certainty(f.Staleness, took))
}

// ObserveStep adds the time between two events of a stream at a server that had that many
// streams and pending prompt tokens, known with a staleness.
func (m *Model) ObserveStep(now time.Time, service, server string, streams, pending float64, staleness, took time.Duration) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The streams of that time end after about the time that one takes.
	lasts := time.Duration(s.streamMs.value(priorStreamLengthMs) * float64(time.Millisecond))
	s.observe(now, s.step, server, features{1, streams, pending}, took, certainty(staleness, lasts))
}

// ObserveOutput adds a complete output of a number of tokens, and how long its stream took.
func (m *Model) ObserveOutput(now time.Time, service string, k Kind, hint, tokens int, took time.Duration) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outputs.observe(now, k, float64(hint), float64(tokens))
	s.streamMs.add(now, milliseconds(took))
}

// ObserveCall adds the time that a server took for a call of a route while it had that many
// calls beyond its slots, as a part of its slots.
func (m *Model) ObserveCall(now time.Time, service, server, route string, excess float64, took time.Duration) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := max(minWorkMs, milliseconds(took)/(1+max(0, excess)))
	held := s.work[route]
	if held == nil {
		if len(s.work) >= maxKinds {
			clear(s.work)
		}
		held = &mean{}
		s.work[route] = held
	}
	expected := held.value(ms)
	factor := s.factor(now, server)
	held.add(now, ms/factor)
	s.compare(now, server, ms/expected, 1)
}

// certainty returns the weight of an observation for what is known of its server, if its load
// was known with a staleness and such a load lasts that long. What was pending before a prefill is
// gone after about as long as the request itself took, and another load explains the time as
// well as another speed.
func certainty(staleness, lasts time.Duration) float64 {
	return math.Exp(-max(0, milliseconds(staleness)) / max(1, milliseconds(lasts)))
}

// observe adds an observation to a fit and, with a weight, to what is known of the server.
// s.mu must be held.
func (s *service) observe(now time.Time, f *fit, server string, x features, took time.Duration, weight float64) {
	expected := f.coeffs.predict(x)
	ms := milliseconds(took)
	// What the server's own speed explains is no evidence of the others'.
	f.observe(now, x, ms/s.factor(now, server))
	s.compare(now, server, ms/expected, weight)
	s.publish()
}

// factor returns a server's factor. s.mu must be held.
func (s *service) factor(now time.Time, server string) float64 {
	s.forget(now)
	if factor, ok := s.model.sharedFactor(server); ok {
		return factor
	}
	if held, ok := s.servers.Load(server); ok {
		return math.Float64frombits(held.(*factor).bits.Load())
	}
	return 1
}

// compare adds the ratio of an observed time to the one expected of the mean server, with a
// weight. s.mu must be held.
func (s *service) compare(now time.Time, server string, ratio, weight float64) {
	held, ok := s.servers.Load(server)
	if !ok {
		if s.count.Load() >= maxServers {
			return
		}
		held = &factor{at: now}
		s.servers.Store(server, held)
		s.count.Add(1)
	}
	f := held.(*factor)
	f.age(now)
	log := math.Log(min(max(ratio, 1.0/maxFactor), maxFactor))
	f.n += weight
	f.sum += weight * log
	f.age(now)
	s.model.measure(server, weight, log)
}

// forget ages the servers' factors once in a while. s.mu must be held.
func (s *service) forget(now time.Time) {
	if now.Sub(s.agedAt) < agingInterval {
		return
	}
	s.agedAt = now
	s.servers.Range(func(id, held any) bool {
		f := held.(*factor)
		if f.age(now); f.n < forgottenWeight {
			s.servers.Delete(id)
			s.count.Add(-1)
		}
		return true
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
