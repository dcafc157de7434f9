// Package prefillqueue decides which prompt an entry sends to the prefill
// engines next. It answers loads above what these engines read: they read all
// prompts that they accepted in pieces, by turns, so that all of them are late
// together. Each entry keeps its share of a short backlog at the engines and
// holds the rest, prompts that can still be in time first.
package prefillqueue

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// backlogTime is the work that engines are given beyond what covers a
	// reading's latency. It covers the age of the load figures, in which an
	// engine would otherwise run dry.
	backlogTime = 150 * time.Millisecond
	// postPrefillTime is the time from the end of the reading to the first event:
	// the transfer and the first step of the decode engine.
	postPrefillTime = 60 * time.Millisecond
	// shortPromptTokens is the length of the pieces in which engines read, in tokens,
	// and shortHeadroom how many times the backlog prompts up to it may make.
	shortPromptTokens   = 4096
	shortPromptHeadroom = 3
	// recheckInterval is the time between two looks at the other entries' load while
	// prompts wait: well under the age of the figures.
	recheckInterval = 10 * time.Millisecond
)

// Prompt is what the order of waiting prompts depends on.
type Prompt struct {
	Service string
	// Tokens is the number of tokens to be read.
	Tokens int
	// Arrived is when the caller asked, and Objective the time from then until
	// the first event is late.
	Arrived   time.Time
	Objective time.Duration
	// Resumes is set for a stream whose caller has had events already; it
	// goes first.
	Resumes bool
}

// Engines is the state of the prefill engines that a service can use.
type Engines struct {
	Count int
	// Tokens is the work of all entries at all engines, and Least that at the
	// engine which has least.
	Tokens int
	Least  int
}

// Options configures a Queue.
type Options struct {
	// Engines returns the prefill engines of a service.
	Engines func(service string) Engines
	// Tracker learns how much waits here and knows how much waits elsewhere.
	Tracker *fleet.Tracker
}

// Queue holds the prompts that wait at one entry. It is safe for concurrent
// use.
type Queue struct {
	options Options

	mu       sync.Mutex // guards services and what they hold
	services map[string]*service
}

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{options: o, services: make(map[string]*service)}
}

// service is the queue of one service.
type service struct {
	name string
	// prefillingTokens is the number of this entry's tokens at engines.
	prefillingTokens int
	waiting          []*waiter
	prefillTime      *prefillTimeModel
	// recheckTimer looks at the queue again; it runs while prompts wait.
	recheckTimer *time.Timer
}

// waiter is one prompt that waits.
type waiter struct {
	Prompt
	granted chan struct{}
}

// Grant is the turn of one prompt.
type Grant struct {
	queue   *Queue
	service *service
	tokens  int
	started time.Time
	once    sync.Once
}

// Enter waits for the turn of a prompt. The grant must be ended. It returns
// the error of ctx if that ends first.
func (q *Queue) Enter(ctx context.Context, p Prompt) (*Grant, error) {
	w := &waiter{Prompt: p, granted: make(chan struct{})}
	stopWaiting := q.options.Tracker.Wait(p.Service, p.Tokens)
	defer stopWaiting()
	q.mu.Lock()
	s := q.services[p.Service]
	if s == nil {
		s = &service{name: p.Service, prefillTime: newPrefillTimeModel()}
		q.services[p.Service] = s
	}
	s.waiting = append(s.waiting, w)
	q.grantWaiting(s)
	q.mu.Unlock()
	grant := &Grant{queue: q, service: s, tokens: p.Tokens}
	select {
	case <-w.granted:
	case <-ctx.Done():
		if !q.remove(s, w) {
			grant.End(0, false) // granted in the same moment
		}
		return nil, ctx.Err()
	}
	grant.started = time.Now()
	return grant, nil
}

// remove takes a prompt out of the queue; it reports false if that has had
// its turn.
func (q *Queue) remove(s *service, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return i >= 0
}

// End gives the turn back. ahead is the number of tokens that the engine had
// to read before; read is set if the engine has read the prompt.
func (g *Grant) End(ahead int, read bool) {
	g.once.Do(func() {
		q, s := g.queue, g.service
		q.mu.Lock()
		defer q.mu.Unlock()
		s.prefillingTokens -= g.tokens
		if read {
			s.prefillTime.observe(ahead+g.tokens, time.Since(g.started))
		}
		q.grantWaiting(s)
	})
}

// grantWaiting gives turns while this entry's share of the backlog allows. The lock
// is held.
func (q *Queue) grantWaiting(s *service) {
	if len(s.waiting) == 0 {
		return
	}
	engines := q.options.Engines(s.name)
	latency, rate := s.prefillTime.estimate()
	firstEvent := time.Now().Add(secondsToDuration(latency+float64(engines.Least)/rate) + postPrefillTime)
	// A turn moves tokens from waiting to reading, so the share stays.
	limit := float64(engines.Count) * (latency + backlogTime.Seconds()) * rate * q.demandShare(s, engines)
	for len(s.waiting) > 0 {
		i := nextIndex(s.waiting, firstEvent)
		w := s.waiting[i]
		if engines.Count > 0 && float64(s.prefillingTokens) >= limit*headroom(w.Tokens) {
			q.scheduleRecheck(s)
			return
		}
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.prefillingTokens += w.Tokens
		close(w.granted)
	}
}

// scheduleRecheck looks at a service again after recheck. The lock is held.
func (q *Queue) scheduleRecheck(s *service) {
	if s.recheckTimer != nil {
		s.recheckTimer.Reset(recheckInterval)
		return
	}
	s.recheckTimer = time.AfterFunc(recheckInterval, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.grantWaiting(s)
	})
}

// headroom returns how much more than its share an entry may have at engines
// to send a prompt. Engines read in pieces, so a short prompt passes long ones
// there and needs no place before them.
func headroom(tokens int) float64 {
	if tokens <= shortPromptTokens {
		return shortPromptHeadroom
	}
	return 1
}

// demandShare returns this entry's part of all entries' demand.
func (q *Queue) demandShare(s *service, engines Engines) float64 {
	own := s.prefillingTokens
	for _, w := range s.waiting {
		own += w.Tokens
	}
	others := max(0, engines.Tokens-s.prefillingTokens) + q.options.Tracker.OthersWaiting(s.name)
	return float64(own) / float64(max(1, own+others))
}

// nextIndex returns the index of the prompt that goes first. A prompt that is sent
// now has its first event at first, its own length left out. Short
// prompts go before long ones, and those that can be in time before late ones.
// Of long prompts in time the newest goes first: the oldest would all go at the
// last moment and be late for any delay.
func nextIndex(waiting []*waiter, firstEvent time.Time) int {
	best := 0
	for i, w := range waiting {
		if compare(w, waiting[best], firstEvent) < 0 {
			best = i
		}
	}
	return best
}

// compare returns a negative number if a goes before b.
func compare(a, b *waiter, firstEvent time.Time) int {
	rankA, rankB := rankOf(a, firstEvent), rankOf(b, firstEvent)
	if rankA == rankB && rankA == rankInTime {
		return cmp.Or(cmp.Compare(a.Objective, b.Objective), b.Arrived.Compare(a.Arrived))
	}
	return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(a.Objective, b.Objective), a.Arrived.Compare(b.Arrived))
}

// rank is the first criterion of the order.
type rank int

const (
	rankResumed rank = iota
	rankShort
	rankInTime
	rankLate
)

func rankOf(w *waiter, firstEvent time.Time) rank {
	switch {
	case w.Resumes:
		return rankResumed
	case w.Tokens <= shortPromptTokens:
		return rankShort
	case firstEvent.Before(w.Arrived.Add(w.Objective)):
		return rankInTime
	}
	return rankLate
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
