package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefillqueue"
)

// memoryRecheckInterval is the time between two checks for room while a request waits for it
// outside the prefill queue.
const memoryRecheckInterval = 10 * time.Millisecond

// learnMemory records the size of the KV caches of a request's engines.
func (c *Forwarder) learnMemory(r *Request) {
	if class := r.Service.Engine; c.options.BoundMemory && class != nil {
		c.kvTokens.Store(r.Service.Name, class.KVTokens)
	}
}

// memoryKey names the engines of a service that prefill only, or the others.
type memoryKey struct {
	service string
	prefill bool
}

// memory returns what is known of the KV caches of the request's engines that prefill only, or
// of the others.
func (x *exchange) memory(prefill bool) placement.Memory {
	return x.memoryOf(x.request.Service.Name, prefill)
}

// memoryOf returns what is known of the KV caches of a service's engines.
func (c *Forwarder) memoryOf(service string, prefill bool) placement.Memory {
	tokens, ok := c.kvTokens.Load(service)
	if !ok {
		return placement.Memory{}
	}
	key := memoryKey{service, prefill}
	use, ok := c.memoryUses.Load(key)
	if !ok {
		use, _ = c.memoryUses.LoadOrStore(key, &placement.MemoryUse{})
	}
	index, entries := c.options.Tracker.Position()
	out := placement.Memory{
		Tokens: tokens.(int), Load: c.options.Tracker.Load, Use: use.(*placement.MemoryUse), Index: index, Entries: entries, Now: time.Now(),
	}
	if prefill {
		return out // the backlog bounds what is sent to these engines
	}
	// What is prefilled follows at the engines that decode.
	out.Waiting = c.options.Tracker.OthersWaiting(service)
	for _, e := range c.options.View().Engines(service) {
		if e.Phase == fleet.Prefill {
			out.Waiting += c.options.Tracker.Load(e.ID).KVTokens
		}
	}
	return out
}

// engineMemory returns the room in the KV caches of a service, or nil if it isn't bounded.
// prefill are the engines that prefill.
func (c *Forwarder) engineMemory(service string, prefill []placement.Candidate) *prefillqueue.EngineMemory {
	m := c.memoryOf(service, false)
	if !m.Bounded() {
		return nil
	}
	out := &prefillqueue.EngineMemory{Extra: m.Extra}
	for _, e := range c.healthyEngines(service, placement.CanDecode) {
		free := m.Free(e.ID)
		out.Total += m.Limit()
		out.Free += free
		out.MaxFree = max(out.MaxFree, free)
	}
	if out.Total == 0 {
		return nil // that there is no engine is found when one is chosen
	}
	for _, e := range prefill {
		out.MaxFreePrefill = max(out.MaxFreePrefill, m.Free(e.ID))
	}
	if len(prefill) == 0 {
		out.MaxFreePrefill = m.Limit() // the engines that decode prefill too
	}
	return out
}

// awaitMemory waits for a moment if engines that pass the filters can get the request except
// that none has room for it. It returns false if that isn't so, or if the request can't wait any
// longer, which sets lacksMemory.
func (x *exchange) awaitMemory(ctx context.Context, m placement.Memory, need int, filters ...placement.Filter) bool {
	if !m.Bounded() {
		return false
	}
	found := x.candidates(filters...) // one of these may have got room since
	if len(found) == 0 {
		return false
	}
	if x.memoryWait == 0 {
		x.options.Log.Info("request waits for memory", "request", x.request.ID, "route", x.request.Route.Name, "workspace", x.request.Workspace,
			"need_tokens", need, "limit_tokens", m.Limit(), "engines", len(found), "load_age_ms", x.options.Tracker.Age().Milliseconds())
	}
	if need > m.Limit() || !time.Now().Before(x.patienceEnd()) {
		x.lacksMemory = true
		return false
	}
	x.memoryWait += memoryRecheckInterval
	return clock.Sleep(ctx, memoryRecheckInterval)
}

// kvHold is what a request needs of a KV cache as a part of its engine's load. A nil *kvHold is
// valid and does nothing.
type kvHold struct {
	finished func()

	mu sync.Mutex // guards the fields below
	// timer ends the hold, or is nil.
	timer *time.Timer
	ended bool
}

// holdMemory adds what a request needs to the load of the engine that was chosen for it. ok is
// false if the engine has no room any more, since another request was placed there in the meantime.
func (x *exchange) holdMemory(m placement.Memory, e fleet.Engine, need int) (hold *kvHold, ok bool) {
	x.memoryPlacing.Lock()
	defer x.memoryPlacing.Unlock()
	if !m.HasRoom(need)(e) {
		return nil, false
	}
	m.Place(e.ID, need)
	return &kvHold{finished: x.options.Tracker.AddWork(e.ID, fleet.Load{KVTokens: need})}, true
}

// end removes the KV cache from the engine's load.
func (h *kvHold) end() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
	h.ended = true
	h.finished()
}

// endWithin removes the KV cache once the engine has dropped a handle that isn't fetched.
func (h *kvHold) endWithin(class *route.EngineClass) {
	if h == nil {
		return
	}
	if class == nil || class.HandleTTL <= 0 {
		h.end()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer == nil && !h.ended {
		h.timer = time.AfterFunc(class.HandleTTL, h.finished)
	}
}

// fetched records that the engine has given the KV cache away or dropped it.
func (s *KVSource) fetched() {
	if s != nil {
		s.hold.end()
	}
}

// fetchedWithin records that it has done so, or will once the handle expires.
func (s *KVSource) fetchedWithin(class *route.EngineClass) {
	if s != nil {
		s.hold.endWithin(class)
	}
}
