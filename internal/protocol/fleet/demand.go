package fleet

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// demandWindow is the time over which demand is counted. With some hundred requests a
	// second it keeps the noise of the sum of all entries under a tenth.
	demandWindow = 2 * time.Second
	// demandParts is the number of parts in which demand is counted.
	demandParts = 8
	demandPart  = demandWindow / demandParts
)

// Demand is what callers asked of a service at one entry within a recent interval.
type Demand struct {
	Interval time.Duration
	// Requests counts the first requests of callers, and PromptTokens the prompt tokens
	// that servers must read for these, without shared prefixes.
	Requests, PromptTokens int
	// EngineRate is the number of prompt tokens that one engine reads in a second, as
	// measured; zero if it isn't known.
	EngineRate float64
	// InProgress is the mean number of streams and calls in progress.
	InProgress float64
}

// DemandRate is what callers ask of a service at all entries.
type DemandRate struct {
	// Requests and PromptTokens are those of a second.
	Requests, PromptTokens float64
	// EngineRate is the number of prompt tokens that one engine reads in a second, zero if
	// it isn't known.
	EngineRate float64
	// InProgress is the number of streams and calls in progress.
	InProgress float64
}

// DemandSum sums the demand of entries at one service.
type DemandSum struct {
	sum DemandRate
	// rates is the sum of the measured rates, each weighted by weight.
	rates, weight float64
}

// Add adds the demand at one entry.
func (s *DemandSum) Add(d Demand) {
	if d.Interval <= 0 {
		return
	}
	perSecond := 1 / d.Interval.Seconds()
	s.sum.Requests += float64(d.Requests) * perSecond
	s.sum.PromptTokens += float64(d.PromptTokens) * perSecond
	s.sum.InProgress += d.InProgress
	if d.EngineRate > 0 {
		weight := 1 + float64(d.PromptTokens)
		s.rates += weight * d.EngineRate
		s.weight += weight
	}
}

// Total returns the sum.
func (s *DemandSum) Total() DemandRate {
	out := s.sum
	if s.weight > 0 {
		out.EngineRate = s.rates / s.weight
	}
	return out
}

// DemandCounter counts the demand at this entry by service. It is safe for concurrent
// use. All methods of a nil counter do nothing.
type DemandCounter struct {
	clock clock.Clock

	mu       sync.Mutex // guards the services and their contents
	services map[string]*serviceDemand
}

// serviceDemand is the demand of one service within the window.
type serviceDemand struct {
	// parts is a ring: the part that holds an instant is found by its number. at is the
	// instant until which parts is complete.
	parts      [demandParts]demandCount
	at         clock.Instant
	inProgress int
	engineRate float64
}

type demandCount struct {
	requests, promptTokens int
	// busy adds up the time of all requests in progress.
	busy time.Duration
}

// NewDemandCounter returns a counter without requests.
func NewDemandCounter(c clock.Clock) *DemandCounter {
	return &DemandCounter{clock: c, services: make(map[string]*serviceDemand)}
}

// Request counts a caller's first request; promptTokens are those without shared prefixes.
func (c *DemandCounter) Request(service string, promptTokens int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	part := c.service(service).current()
	part.requests++
	part.promptTokens += promptTokens
}

// Begin counts a stream or call as in progress; done removes it again. Only the first call
// of done has an effect.
func (c *DemandCounter) Begin(service string) (done func()) {
	if c == nil {
		return func() {}
	}
	c.change(service, 1)
	return sync.OnceFunc(func() { c.change(service, -1) })
}

func (c *DemandCounter) change(service string, by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(service).inProgress += by
}

// SetEngineRate records the number of prompt tokens that one engine reads in a second.
func (c *DemandCounter) SetEngineRate(service string, rate float64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(service).engineRate = rate
}

// Recent returns the demand of the services that had requests since the process started.
func (c *DemandCounter) Recent() map[string]Demand {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.services) == 0 {
		return nil
	}
	out := make(map[string]Demand, len(c.services))
	for name := range c.services {
		out[name] = c.service(name).recent()
	}
	return out
}

// service returns the demand of a service, counted until now. c.mu must be held.
func (c *DemandCounter) service(name string) *serviceDemand {
	now := c.clock.Now()
	s := c.services[name]
	if s == nil {
		s = &serviceDemand{at: now}
		c.services[name] = s
	}
	s.advance(now)
	return s
}

func partNumber(at clock.Instant) int64 { return int64(at) / int64(demandPart) }

func (s *serviceDemand) current() *demandCount { return &s.parts[partNumber(s.at)%demandParts] }

// advance counts the requests in progress until now.
func (s *serviceDemand) advance(now clock.Instant) {
	if oldest := now.Add(-demandWindow); s.at.Before(oldest) {
		s.parts, s.at = [demandParts]demandCount{}, oldest
	}
	for s.at.Before(now) {
		end := clock.Instant((partNumber(s.at) + 1) * int64(demandPart))
		next := min(now, end)
		s.current().busy += time.Duration(s.inProgress) * next.Sub(s.at)
		if s.at = next; next == end {
			*s.current() = demandCount{}
		}
	}
}

// recent returns the demand of the parts before the current one, and of that one so far.
func (s *serviceDemand) recent() Demand {
	sinceStart := time.Duration(int64(s.at) % int64(demandPart))
	d := Demand{Interval: demandWindow - demandPart + sinceStart, EngineRate: s.engineRate}
	busy := time.Duration(0)
	for _, part := range s.parts {
		d.Requests += part.requests
		d.PromptTokens += part.promptTokens
		busy += part.busy
	}
	d.InProgress = busy.Seconds() / d.Interval.Seconds()
	return d
}
