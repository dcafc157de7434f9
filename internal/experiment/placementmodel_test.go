package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// The modelled engines, in milliseconds. A prefill engine works on its prompts by turns, in
// chunks; a decode engine makes steps of all its streams, to which it adds a chunk of a
// prompt.
const (
	modelChunk      = 4096
	modelReadMs     = 0.02
	modelLocalMs    = 0.04
	modelFetchMs    = 0.002
	modelCallMs     = 20
	modelSlots      = 24
	modelZones      = 4
	modelCacheParts = 30
	// modelStepEvents is the number of events from one observation of a stream's pace to the
	// next, as in internal/protocol/exchange.
	modelStepEvents = 2
)

// modelDecode is how the modelled decode engines work.
type modelDecode struct {
	stepMs, streamMs float64
	// chunk is the number of tokens of a prompt that a step prefills, and eventTokens that of
	// an event of a stream.
	chunk, eventTokens int
}

// modelClass is one class of the modelled requests.
type modelClass struct {
	name           string
	share          float64
	tokens, shared int
	prefixes       int
	output         float64
	objective, gap float64 // milliseconds
}

// modelRequest is one request.
type modelRequest struct {
	class    *modelClass
	at       float64 // milliseconds
	entry    int
	prompt   placement.Prompt
	output   int
	waitsFor int // tokens of the whole output
	unsent   int // tokens that no event has held yet

	local    bool
	work     placement.Work
	pending  int // the engine's load when the request was placed
	streams  int
	sentAt   float64
	read     int
	left     float64
	firstAt  float64
	lastAt   float64
	pause    float64
	stepAt   float64
	stepEvts int
	prefill  *modelServer
	fetched  int
	crossing bool
	done     func()
}

// modelServer is one engine.
type modelServer struct {
	engine   fleet.Engine
	slowness float64
	load     fleet.Load
	busy     bool
	prompts  []*modelRequest
	running  []*modelRequest
	waiting  []*modelRequest
	cached   []string
	// busyMs is the time that a prefill engine worked, or the sum of a decode engine's
	// streams over its steps.
	busyMs float64
}

// modelEntry decides for the requests that it gets.
type modelEntry struct {
	policy placement.Policy
	model  *cost.Model
	own    map[string]fleet.Load
	others map[string]fleet.Load
	seenAt float64
}

// placementRun is one run of the model.
type placementRun struct {
	queue   *queue
	random  *rand.Rand
	prefill []*modelServer
	decode  []*modelServer
	entries []*modelEntry
	holders map[string]*modelServer
	// exact is set if the only entry sees all loads as they are.
	exact bool
	// engines is how decode engines work.
	engines modelDecode
	// shared holds the speeds that all entries share, nil if each uses its own.
	shared *cost.SharedSpeeds
	// counts are those of the requests after the warm-up, by class.
	counts map[string]*placementCounts
}

// placementCounts counts the requests of a class.
type placementCounts struct {
	sent, inTime, local, late, paused int
}

// total returns the sum over all classes.
func (r *placementRun) total() (sum placementCounts) {
	for _, c := range r.counts {
		sum.sent, sum.inTime, sum.local = sum.sent+c.sent, sum.inTime+c.inTime, sum.local+c.local
		sum.late, sum.paused = sum.late+c.late, sum.paused+c.paused
	}
	return sum
}

// inTime returns the part of the requests that were in time.
func (r *placementRun) inTime() float64 {
	sum := r.total()
	return float64(sum.inTime) / float64(sum.sent)
}

// count counts a request that has ended.
func (r *placementRun) count(q *modelRequest) {
	if q.at < placementWarmUp {
		return
	}
	c := r.counts[q.class.name]
	if c == nil {
		c = &placementCounts{}
		r.counts[q.class.name] = c
	}
	c.sent++
	late, paused := q.firstAt-q.at > q.class.objective, q.pause > q.class.gap
	if q.local {
		c.local++
	}
	if late {
		c.late++
	}
	if paused {
		c.paused++
	}
	if !late && !paused {
		c.inTime++
	}
}

func (r *placementRun) now() float64 { return r.queue.clock.now }

func (r *placementRun) after(ms float64, do func()) { r.queue.at(r.now()+ms, do) }

func (r *placementRun) wall() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(r.now() * float64(time.Millisecond)))
}

func (r *placementRun) add(e *modelEntry, s *modelServer, l fleet.Load, sign int) {
	l.PromptTokens, l.Streams = sign*l.PromptTokens, sign*l.Streams
	s.load = s.load.Add(l)
	e.own[s.engine.ID] = e.own[s.engine.ID].Add(l)
}

// refresh gives an entry the present load of all others.
func (r *placementRun) refresh(e *modelEntry) {
	e.seenAt = r.now()
	if r.shared != nil {
		r.shared.Add(r.wall(), e.model.TakeMeasured())
		e.model.SetShared(r.shared.Slowness(r.wall()))
	}
	for _, s := range slices.Concat(r.prefill, r.decode) {
		own := e.own[s.engine.ID]
		e.others[s.engine.ID] = fleet.Load{PromptTokens: s.load.PromptTokens - own.PromptTokens, Streams: s.load.Streams - own.Streams}
	}
}

func (r *placementRun) candidates(e *modelEntry, servers []*modelServer) []placement.Candidate {
	out := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		out = append(out, placement.Candidate{
			Engine: s.engine, Load: e.own[s.engine.ID].Add(e.others[s.engine.ID]), Slowness: e.model.Factor("llm", s.engine.ID),
		})
	}
	return out
}

func find(servers []*modelServer, id string) *modelServer {
	return servers[slices.IndexFunc(servers, func(s *modelServer) bool { return s.engine.ID == id })]
}

// update sets what changes while a request is placed.
func (r *placementRun) update(q *modelRequest, e *modelEntry) {
	if r.exact {
		r.refresh(e)
	}
	q.work.Elapsed = time.Duration((r.now() - q.at) * float64(time.Millisecond))
	q.work.Staleness = time.Duration((r.now() - e.seenAt) * float64(time.Millisecond))
}

func (r *placementRun) kind(q *modelRequest) cost.Kind { return cost.Kind{Route: q.class.name} }

// arrive places a request.
func (r *placementRun) arrive(q *modelRequest) {
	e := r.entries[q.entry]
	q.work = placement.Work{
		Service: "llm", Route: q.class.name, Prompt: q.prompt,
		Objective: time.Duration(q.class.objective * float64(time.Millisecond)), EventGap: time.Duration(q.class.gap * float64(time.Millisecond)),
		Output: e.model.Output(r.wall(), "llm", r.kind(q), q.prompt.ExpectedOutput, 0),
	}
	r.update(q, e)
	if e.policy.PrefillLocally(&q.work, r.candidates(e, r.prefill), r.candidates(e, r.decode)) {
		q.local = true
		r.placeDecode(q, zoneName(int(q.at)%modelZones))
		return
	}
	key, shared := q.prompt.Shared()
	var holders []fleet.Engine
	if h := r.holders[key]; h != nil {
		holders = append(holders, h.engine)
	}
	chosen, _ := e.policy.ForPrefill(&q.work, holders, r.candidates(e, r.prefill), r.candidates(e, r.decode))
	s := find(r.prefill, chosen.ID)
	q.prefill, q.sentAt, q.pending, q.read, q.left = s, r.now(), chosen.Load.PromptTokens, chosen.Tokens, float64(q.prompt.Tokens)
	load := fleet.Load{PromptTokens: chosen.Tokens}
	r.add(e, s, load, 1)
	wait := modelCallMs + 0.0
	if key != "" && slices.Contains(s.cached, key) {
		q.left -= float64(shared)
	} else if chosen.FetchFrom != nil && slices.Contains(find(r.prefill, chosen.FetchFrom.ID).cached, key) {
		q.left -= float64(shared)
		q.fetched, q.crossing = shared, chosen.FetchFrom.Zone != s.engine.Zone
		wait += modelFetchMs * float64(shared) * map[bool]float64{false: 1, true: cost.CrossZoneFactor}[q.crossing]
	}
	if key != "" {
		s.cached = append(slices.DeleteFunc(s.cached, func(k string) bool { return k == key }), key)
		s.cached = s.cached[max(0, len(s.cached)-modelCacheParts):]
		r.holders[key] = s
	}
	q.done = func() {
		r.add(e, s, load, -1)
		e.model.ObservePrefill(r.wall(), "llm", s.engine.ID, cost.Prefill{
			Read: float64(q.read), Fetched: float64(q.fetched), CrossZone: q.crossing, Pending: float64(q.pending), Staleness: q.work.Staleness,
		}, time.Duration((r.now()-q.sentAt)*float64(time.Millisecond)))
		r.placeDecode(q, s.engine.Zone)
	}
	r.after(wait, func() {
		s.prompts = append(s.prompts, q)
		r.nextChunk(s)
	})
}

// nextChunk prefills the next chunk at a prefill engine.
func (r *placementRun) nextChunk(s *modelServer) {
	if s.busy || len(s.prompts) == 0 {
		return
	}
	q := s.prompts[0]
	s.prompts = s.prompts[1:]
	chunk := min(q.left, modelChunk)
	took := chunk * modelReadMs * s.slowness
	s.busy = true
	r.after(took, func() {
		s.busy = false
		s.busyMs += took
		if q.left -= chunk; q.left > 0 {
			s.prompts = append(s.prompts, q)
		} else {
			q.done()
		}
		r.nextChunk(s)
	})
}

// placeDecode places the stream of a request.
func (r *placementRun) placeDecode(q *modelRequest, zone string) {
	e := r.entries[q.entry]
	r.update(q, e)
	chosen, _ := e.policy.ForDecode(&q.work, zone, q.local, r.candidates(e, r.decode))
	s := find(r.decode, chosen.ID)
	q.sentAt, q.pending, q.streams = r.now(), chosen.Load.PromptTokens, chosen.Load.Streams
	q.crossing = chosen.Zone != zone
	load := fleet.Load{Streams: 1}
	prompt := fleet.Load{}
	wait := modelCallMs + 0.0
	if q.local {
		prompt.PromptTokens = q.prompt.Tokens
		q.left = float64(q.prompt.Tokens)
	} else {
		q.left = 0
		wait += modelFetchMs * float64(q.prompt.Tokens) * map[bool]float64{false: 1, true: cost.CrossZoneFactor}[q.crossing]
	}
	r.add(e, s, load, 1)
	r.add(e, s, prompt, 1)
	q.done = func() { r.add(e, s, load, -1) }
	r.after(wait, func() {
		s.waiting = append(s.waiting, q)
		r.step(s)
	})
}

// step makes the next step at a decode engine.
func (r *placementRun) step(s *modelServer) {
	if s.busy {
		return
	}
	for len(s.waiting) > 0 && len(s.running) < modelSlots {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	if len(s.running) == 0 {
		return
	}
	took := r.engines.stepMs + r.engines.streamMs*float64(len(s.running))
	for _, q := range s.running {
		if q.left > 0 {
			chunk := min(q.left, float64(r.engines.chunk))
			took += chunk * modelLocalMs
			q.left -= chunk
			break
		}
	}
	took *= s.slowness
	s.busy = true
	s.busyMs += took * float64(len(s.running))
	r.after(took, func() {
		s.busy = false
		s.running = slices.DeleteFunc(s.running, func(q *modelRequest) bool { return q.left <= 0 && r.token(s, q) })
		r.step(s)
	})
}

// token generates one token of a stream, and sends an event with those since the last one if
// there are enough. ended is set if it is the last token.
func (r *placementRun) token(s *modelServer, q *modelRequest) (ended bool) {
	q.output--
	q.unsent++
	if q.firstAt == 0 || q.output <= 0 || q.unsent >= r.engines.eventTokens {
		q.unsent = 0
		r.event(s, q)
	}
	if q.output > 0 {
		return false
	}
	e := r.entries[q.entry]
	q.done()
	e.model.ObserveOutput(r.wall(), "llm", r.kind(q), q.prompt.ExpectedOutput, q.waitsFor, time.Duration((r.now()-q.sentAt)*float64(time.Millisecond)))
	r.count(q)
	return true
}

// event sends one event of a stream.
func (r *placementRun) event(s *modelServer, q *modelRequest) {
	e, now := r.entries[q.entry], r.now()
	since := func(at float64) time.Duration { return time.Duration((now - at) * float64(time.Millisecond)) }
	switch {
	case q.firstAt == 0:
		q.firstAt, q.stepAt = now, now
		if q.local {
			r.add(e, s, fleet.Load{PromptTokens: q.prompt.Tokens}, -1)
		}
		if q.streams < modelSlots {
			begin := cost.First{Local: q.local, Tokens: float64(q.prompt.Tokens), CrossZone: q.crossing, Pending: float64(q.pending), Streams: float64(q.streams), Staleness: q.work.Staleness}
			e.model.ObserveFirst(r.wall(), "llm", s.engine.ID, begin, since(q.sentAt))
		}
	default:
		q.pause = max(q.pause, now-q.lastAt)
		if q.stepEvts++; q.stepEvts == modelStepEvents {
			load := e.own[s.engine.ID].Add(e.others[s.engine.ID])
			e.model.ObserveStep(r.wall(), "llm", s.engine.ID, float64(load.Streams), float64(load.PromptTokens), since(e.seenAt), since(q.stepAt)/modelStepEvents)
			q.stepEvts, q.stepAt = 0, now
		}
	}
	q.lastAt = now
}

// busiest returns the work of the busiest engine over the mean.
func busiest(servers []*modelServer) float64 {
	most, sum := 0.0, 0.0
	for _, s := range servers {
		most, sum = max(most, s.busyMs), sum+s.busyMs
	}
	return most / (sum / float64(len(servers)))
}

// lognormal returns a random number with a median and a spread.
func lognormal(random *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*random.NormFloat64())
}
