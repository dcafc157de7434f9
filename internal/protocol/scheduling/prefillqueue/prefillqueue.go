// Package prefillqueue decides which prompt an entry sends to the engines next, and which
// ones it refuses. It is built for loads above the capacity of the engines, for prefill or
// for streams: engines interleave chunks of all prompts that they have accepted, so that
// under overload all prompts would be late together. Each entry therefore keeps only its
// share of a short backlog, and of the free slots, at the engines and queues the rest, with
// prompts that can still meet their objective first.
package prefillqueue

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
)

const (
	// backlogTime is the work that each engine is given beyond the prefill
	// latency. It covers the age of the load figures; without it an engine
	// could run out of work before an entry receives its load.
	backlogTime = 150 * time.Millisecond
	// postPrefillTime is the time from the end of prefill to the first event:
	// the KV transfer and the first decode step.
	postPrefillTime = 60 * time.Millisecond
	// shortPromptTokens is the length up to which a prompt counts as short: the
	// chunk size of prefill engines. shortPromptHeadroom is the multiple of the
	// entry's backlog share up to which short prompts are sent.
	shortPromptTokens   = 4096
	shortPromptHeadroom = 3
	// calmHeadroom is the multiple of the backlog that engines are given while the queue is
	// not saturated: a short excess is worked off sooner there.
	calmHeadroom = 4.0
	// slotsMargin is the number of streams beyond the slots of an engine up to which streams
	// are begun, as a multiple of the square root of the slots: the number at one engine
	// varies by about that, and some of those counted are on their way.
	slotsMargin = 1.0
	// slotsShortFrom is the part of the slots from which on their number limits what is
	// sent, and maxCreditAge the time after which an entry reckons its share of the free
	// slots again without news of other entries.
	slotsShortFrom = 0.85
	maxCreditAge   = 50 * time.Millisecond
	// recheckInterval is the time between two checks of the other entries' load
	// while prompts wait: well under the age of the load figures.
	recheckInterval = 10 * time.Millisecond
)

// Options configures a Queue.
type Options struct {
	// Engines returns the prefill engines of a service.
	Engines func(service string) Engines
	// Tracker records the prompt tokens that wait at this entry and holds those
	// that wait at other entries.
	Tracker *fleet.Tracker
	// Uses records what workspaces asked for and were granted. If it is nil, New creates an
	// empty record.
	Uses *fairshare.Uses
}

// Queue holds the prompts that wait for prefill at one entry. It is safe for
// concurrent use.
type Queue struct {
	options Options

	streams  sync.Map   // streamKey to *atomic.Int64
	mu       sync.Mutex // guards services and their contents
	services map[string]*service
}

// streamKey names the streams of one kind.
type streamKey struct {
	service string
	kind
}

// Begin counts a stream of a route as in progress; local is set if the engine that decodes
// prefills its prompt. end removes it again and must be called exactly once.
func (q *Queue) Begin(service, route string, local bool) (end func()) {
	key := streamKey{service, kind{route, local}}
	held, ok := q.streams.Load(key)
	if !ok {
		held, _ = q.streams.LoadOrStore(key, &atomic.Int64{})
	}
	count := held.(*atomic.Int64)
	count.Add(1)
	return func() { count.Add(-1) }
}

// streamsOf returns how many streams of a kind are in progress.
func (q *Queue) streamsOf(service string, k kind) int {
	if held, ok := q.streams.Load(streamKey{service, k}); ok {
		return int(held.(*atomic.Int64).Load())
	}
	return 0
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Uses == nil {
		o.Uses = fairshare.NewUses()
	}
	return &Queue{options: o, services: make(map[string]*service)}
}

// service is the queue of one service.
type service struct {
	name string
	// prefillingTokens is the number of this entry's tokens pending at engines.
	prefillingTokens int
	// shortTokens is the part of them that belongs to short prompts, and tokensOf that of
	// the prompts of each priority.
	shortTokens int
	tokensOf    map[int]int
	// reserved is the number of grants whose streams haven't been sent yet, and
	// reservedMemory what these need in KV caches.
	reserved, reservedMemory int
	// credit is how many streams may begin until it is renewed. creditAt is when that
	// last happened, and loadAt when the load that it is based on was received.
	credit           float64
	creditAt, loadAt time.Time
	// share is this entry's mean share of the demand.
	share   average
	waiting []*waiter
	// waitingSince is when prompts began to wait without a gap; zero if none waits.
	waitingSince time.Time
	// waitedAt is when a prompt last waited.
	waitedAt time.Time
	// shortSince is when capacity became short, zero if it isn't, and saturated is set once
	// it has been so for saturatedAfter.
	shortSince  time.Time
	saturated   bool
	prefillTime *prefillTimeModel
	flows       flows
	// recheckTimer checks the queue again; it runs while prompts wait.
	recheckTimer *time.Timer
}

// waiter is one waiting prompt; decided gets nil when it may be sent, or the error.
type waiter struct {
	Prompt
	decided chan error
	// waited is set once the prompt had to wait.
	waited bool
	// over is what its workspace will have been granted, relative to its target, once the
	// prompt and those of the workspace before it are granted. It is set in a saturated
	// queue only.
	over float64
}

// Grant permits sending one prompt to a prefill engine.
type Grant struct {
	queue    *Queue
	service  *service
	tokens   int
	memory   int
	priority int
	started  time.Time
	once     sync.Once
	// sent is used once the reservation of a slot has ended.
	sent sync.Once
}

// Acquire waits until a prompt may be sent. The caller must release the grant.
// If ctx ends first, Acquire returns its error. A prompt that the engines would prefill
// too late for its caller gets a *NoRoomError.
func (q *Queue) Acquire(ctx context.Context, p Prompt) (*Grant, error) {
	w := &waiter{Prompt: p, decided: make(chan error, 1)}
	stopWaiting := q.options.Tracker.AddWaiting(p.Service, p.Tokens)
	defer stopWaiting()
	q.mu.Lock()
	s := q.services[p.Service]
	if s == nil {
		s = &service{name: p.Service, prefillTime: newPrefillTimeModel(), flows: make(flows), tokensOf: make(map[int]int)}
		q.services[p.Service] = s
	}
	s.waiting = append(s.waiting, w)
	now := time.Now()
	s.flows.arrive(now, p)
	if p.counted() {
		q.options.Uses.Ask(now, p.Service, p.Workspace, p.Key, p.returning(), p.cost())
	}
	q.grantWaiting(s)
	q.mu.Unlock()
	grant := &Grant{queue: q, service: s, tokens: p.prefillTokens(), memory: p.DecodeMemory, priority: p.Priority}
	select {
	case err := <-w.decided:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		if !q.remove(s, w) && <-w.decided == nil {
			grant.Release() // granted concurrently with the cancellation
			grant.Sent()
		}
		return nil, ctx.Err()
	}
	grant.started = time.Now()
	return grant, nil
}

// remove takes a prompt out of the queue; it reports false if the prompt has
// already been granted or refused.
func (q *Queue) remove(s *service, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return i >= 0
}

// Prefilled says that an engine has prefilled the prompt, which took that many tokens.
// ahead and left are the numbers of other prompts' tokens that were pending at the engine
// when the prompt was sent, and that are now. It must be called before Release.
func (g *Grant) Prefilled(ahead, tokens, left int) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.service.prefillTime.observe(ahead, tokens, left, time.Since(g.started))
}

// EngineRate returns the number of prompt tokens that one engine reads in a second, as
// measured.
func (g *Grant) EngineRate() float64 {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	_, rate := g.service.prefillTime.estimate()
	return rate
}

// Release releases the grant; further calls have no effect.
func (g *Grant) Release() {
	g.once.Do(func() {
		q, s := g.queue, g.service
		q.mu.Lock()
		defer q.mu.Unlock()
		s.addPrefilling(-g.tokens, g.priority)
		q.grantWaiting(s)
	})
}

// Sent ends the reservation of a slot for the prompt's stream: the stream has been sent
// to an engine, or will not be. Further calls have no effect.
func (g *Grant) Sent() {
	g.sent.Do(func() {
		g.queue.mu.Lock()
		defer g.queue.mu.Unlock()
		g.service.reserved--
		g.service.reservedMemory -= g.memory
	})
}

// grantWaiting grants waiting prompts while this entry's share of the backlog
// allows, and refuses those that would be late for their callers. q.mu must be held.
func (q *Queue) grantWaiting(s *service) {
	if len(s.waiting) == 0 {
		s.waitingSince = time.Time{}
		return
	}
	engines := q.options.Engines(s.name)
	now := q.situation(s, engines)
	now.weighWorkspaces(s.waiting)
	slices.SortStableFunc(s.waiting, now.compare)
	held := false
	refuse := func(w *waiter) bool {
		w.decided <- now.noRoom(w)
		q.options.Uses.Refuse(now.now, w.Service, w.Workspace, w.Key)
		return true
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		switch {
		case w.waited && now.expired(w):
			return refuse(w)
		case !w.waited && now.yields(w):
			return refuse(w)
		case s.mayGrant(now, w, engines, held):
			s.addPrefilling(w.prefillTokens(), w.Priority)
			s.reserved++
			s.reservedMemory += w.DecodeMemory
			s.credit--
			s.flows.grant(now.now, w.Prompt)
			if w.counted() {
				q.options.Uses.Grant(now.now, w.Service, w.Workspace, w.cost())
			}
			w.decided <- nil
			return true
		case now.saturated() && now.refuses(w):
			return refuse(w)
		}
		if now.saturated() {
			r := now.of(w)
			r.ahead = r.ahead.plus(flow{1, float64(w.prefillTokens())})
			held = true
		}
		w.waited = true
		return false
	})
	if len(s.waiting) == 0 {
		s.waitingSince = time.Time{}
		return
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now.now
	}
	q.scheduleRecheck(s)
}

// situation returns what the decisions about a service's prompts depend on.
func (q *Queue) situation(s *service, engines Engines) *situation {
	latency, rate := s.prefillTime.estimate()
	now := time.Now()
	// A grant moves tokens from waiting to prefilling, so the share is constant.
	share := q.demandShare(s, s.waitingTokens(), engines)
	s.share.add(now, share)
	slotsShort := engines.SlotsShort()
	s.updateSaturated(now, slotsShort, secondsToDuration(q.backlog(s, engines)/(rate*float64(max(1, engines.Count)))))
	headroom := calmHeadroom
	if s.saturated {
		share, headroom = s.share.value, 1 // what waits doesn't all wait for the same
	}
	capacity := float64(engines.Count) * rate * share
	out := &situation{
		now:        now,
		firstEvent: now.Add(secondsToDuration(latency+float64(engines.MinTokens)/rate) + postPrefillTime),
		backlog:    float64(engines.MinTokens) / rate,
		tokensOf:   s.tokensOf,
		latency:    latency,
		rate:       rate,
		limit:      capacity * (latency + backlogTime.Seconds()) * headroom,
		capacity:   capacity,
		slotsShort: slotsShort,
		slots:      float64(engines.Slots) * s.share.value,
	}
	out.prefillFull = engines.Count > 0 && float64(s.prefillingTokens) >= out.limit
	if out.slotsShort {
		s.renewCredit(now, now.Add(-q.options.Tracker.Age()), engines.streamsTarget()-float64(engines.Streams))
	}
	if s.saturated {
		out.saturate(s.shortSince, s.flows, func(k kind) int { return q.streamsOf(s.name, k) })
		out.shares = q.options.Uses.Shares(now, s.name)
	}
	return out
}

// mayGrant reports whether a prompt may be sent. Engines interleave chunks of prompts, so
// a short prompt overtakes long ones there and need not wait for the backlog to shrink.
// held is set if a prompt that goes before it in a saturated queue must wait. No prompt is sent
// for which no engine has room.
func (s *service) mayGrant(now *situation, w *waiter, engines Engines, held bool) bool {
	pending, short := float64(s.prefillingTokens), w.Tokens <= shortPromptTokens
	switch {
	case !engines.Memory.Fits(w.Prompt, s.reservedMemory):
		return false
	case now.slotsShort && !w.Resumed && s.credit < 1 && !now.fewStreams(w):
		return false
	case w.Local || engines.Count == 0 || pending < now.limit:
		return true
	case now.saturated():
		return short && !held && float64(s.shortTokens) < now.limit
	}
	return short && pending < now.limit*shortPromptHeadroom
}

func (s *service) addPrefilling(tokens, priority int) {
	s.prefillingTokens += tokens
	s.tokensOf[priority] += tokens
	if tokens >= -shortPromptTokens && tokens <= shortPromptTokens {
		s.shortTokens += tokens
	}
}

// scheduleRecheck checks a service's queue again after recheckInterval. q.mu
// must be held.
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

// waitingTokens returns the number of tokens that wait.
func (s *service) waitingTokens() int {
	tokens := 0
	for _, w := range s.waiting {
		tokens += w.Tokens
	}
	return tokens
}

// backlog returns the number of tokens of all entries that wait or are pending at engines.
func (q *Queue) backlog(s *service, engines Engines) float64 {
	return float64(s.waitingTokens() + max(s.prefillingTokens, engines.Tokens) + q.options.Tracker.OthersWaiting(s.name))
}

// demandShare returns this entry's fraction of the demand of all entries.
func (q *Queue) demandShare(s *service, waiting int, engines Engines) float64 {
	own := s.prefillingTokens + waiting
	others := max(0, engines.Tokens-s.prefillingTokens) + q.options.Tracker.OthersWaiting(s.name)
	return float64(own) / float64(max(1, own+others))
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
