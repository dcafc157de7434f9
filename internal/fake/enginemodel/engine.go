// Package enginemodel is a small model of a model engine in virtual time:
// continuous batching, prefill and decode that share the engine's time, a
// prefix cache, priorities, role changes that take seconds, and crashes. It
// exists to measure decisions, not to be a cluster simulator.
package enginemodel

import (
	"container/heap"
	"math"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// cacheBlocks is the size of the prefix cache.
	cacheBlocks = 4000
	// prioritySlots is the room beyond a full batch for raised priorities.
	prioritySlots = 8
	// tokenEpsilon is the rest of a token or prompt that counts as none.
	tokenEpsilon = 1e-6
)

// Never is the time of an event that does not come.
var Never = math.Inf(1)

// Job is one request at an engine. Times are in seconds.
type Job struct {
	Prompt   int
	Output   int
	Priority int
	Prefix   []uint64
	// OnFirst, OnDone and OnFail are called when the first token, the end or
	// a crash comes.
	OnFirst func(now float64)
	OnDone  func(now float64)
	OnFail  func(now float64)

	arrival     uint64
	promptLeft      float64 // prompt tokens not yet prefilled
	finish    float64 // progress at which the job ends
	runningIndex        int     // index in running, or -1
	cancelled bool
}

// Engine is one engine. Its owner calls Advance at the time that Next names,
// and before every other call.
type Engine struct {
	table *speed.Table
	role  settings.Role
	// backgroundShare is the part of the engine's time that others take.
	backgroundShare float64

	now         float64
	lastArrival       uint64
	incarnation int
	up          bool
	changingRole     bool
	nextRole        settings.Role
	roleChangeEnds   float64

	waiting  waitingHeap
	prefill  *Job
	running  runningHeap
	progress float64 // tokens decoded by a sequence that was always running
	cache    *cache
	events   []routing.CacheEvent
	eventSeq uint64
}

// New returns an idle engine.
func New(table *speed.Table, role settings.Role) *Engine {
	return &Engine{table: table, role: role, up: true, cache: newCache(cacheBlocks)}
}

// SetForeign sets the part of the engine's time that others take.
func (e *Engine) SetForeign(part float64) { e.backgroundShare = part }

// Role returns the current role.
func (e *Engine) Role() settings.Role { return e.role }

// Up reports whether the engine can be reached.
func (e *Engine) Up() bool { return e.up }

// Changing reports whether a role change is in progress.
func (e *Engine) Changing() bool { return e.changingRole }

// Submit adds a job; false means that the engine can't be reached.
func (e *Engine) Submit(j *Job) bool {
	if !e.up {
		return false
	}
	e.lastArrival++
	j.arrival = e.lastArrival
	j.runningIndex = -1
	j.promptLeft = float64(j.Prompt)
	heap.Push(&e.waiting, j)
	e.startNextPrefill()
	return true
}

// Cancel ends a job without a call back.
func (e *Engine) Cancel(j *Job) {
	j.cancelled = true
	if j == e.prefill {
		e.prefill = nil
	}
	if j.runningIndex >= 0 {
		heap.Remove(&e.running, j.runningIndex)
	}
	e.startNextPrefill()
}

// ChangeRole stops all work for the given time; then it goes on in the new
// role. No job is lost.
func (e *Engine) ChangeRole(role settings.Role, seconds float64) {
	e.changingRole = true
	e.nextRole = role
	e.roleChangeEnds = e.now + seconds
}

// Crash loses all jobs and the cache. A role change in progress is lost too.
func (e *Engine) Crash() {
	e.up = false
	e.changingRole = false
	failed := append([]*Job{}, e.waiting...)
	failed = append(failed, e.running...)
	if e.prefill != nil {
		failed = append(failed, e.prefill)
	}
	e.waiting, e.running, e.prefill = nil, nil, nil
	e.cache = newCache(cacheBlocks)
	e.events, e.eventSeq = nil, 0
	for _, j := range failed {
		if !j.cancelled {
			j.OnFail(e.now)
		}
	}
}

// Restart brings a crashed engine back under a new incarnation.
func (e *Engine) Restart() {
	e.up = true
	e.incarnation++
}

// Report returns the engine's account of its load.
func (e *Engine) Report(model string) backend.LoadReport {
	r := backend.LoadReport{
		Incarnation: string(rune('a' + e.incarnation)),
		Model:       model,
		Role:        e.role,
		Draining:    e.changingRole,
		Running:     len(e.running),
	}
	for _, j := range e.waiting {
		if !j.cancelled {
			r.Queued++
			r.QueuedPromptTokens += j.Prompt
		}
	}
	if e.prefill != nil {
		r.Queued++
		r.QueuedPromptTokens += int(e.prefill.promptLeft)
	}
	return r
}

// CacheEvents returns and forgets the events since the last call.
func (e *Engine) CacheEvents() []routing.CacheEvent {
	out := e.events
	e.events = nil
	return out
}

// Next returns the time of the engine's next event.
func (e *Engine) Next() float64 {
	if !e.up {
		return Never
	}
	if e.changingRole {
		return e.roleChangeEnds
	}
	next := Never
	prefillRate, decodeRate := e.rates()
	if e.prefill != nil {
		next = e.now + e.prefill.promptLeft/prefillRate
	}
	if len(e.running) > 0 {
		next = min(next, e.now+(e.running[0].finish-e.progress)/decodeRate)
	}
	return next
}

// rates returns prompt tokens per second and tokens per second and sequence.
func (e *Engine) rates() (prefill, decode float64) {
	s := e.table.ForRole(e.role)
	free := 1 - e.backgroundShare
	prefill = s.PrefillRate * free
	decode = free / s.Step(float64(len(e.running)))
	if e.prefill != nil && len(e.running) > 0 {
		prefill *= s.PrefillShare
		decode *= 1 - s.PrefillShare
	}
	return prefill, decode
}

// Advance brings the engine to the given time, which is not after Next.
func (e *Engine) Advance(now float64) {
	elapsed := now - e.now
	if e.up && !e.changingRole && elapsed > 0 {
		prefillRate, decodeRate := e.rates()
		e.progress += decodeRate * elapsed
		if e.prefill != nil {
			e.prefill.promptLeft -= prefillRate * elapsed
		}
	}
	e.now = now
	if e.changingRole && now >= e.roleChangeEnds {
		e.changingRole = false
		e.role = e.nextRole
	}
	e.completeFinished()
}

// completeFinished ends what is finished and starts what can start.
func (e *Engine) completeFinished() {
	if !e.up || e.changingRole {
		return
	}
	for len(e.running) > 0 && e.running[0].finish-e.progress <= tokenEpsilon {
		j := heap.Pop(&e.running).(*Job)
		j.OnDone(e.now)
	}
	if e.prefill != nil && e.prefill.promptLeft <= tokenEpsilon {
		e.firstToken()
	}
	e.startNextPrefill()
}

func (e *Engine) firstToken() {
	j := e.prefill
	e.prefill = nil
	e.publish(e.cache.insert(j.Prefix))
	j.OnFirst(e.now)
	if j.cancelled {
		return
	}
	if j.Output <= 1 {
		j.OnDone(e.now)
		return
	}
	j.finish = e.progress + float64(j.Output-1)
	heap.Push(&e.running, j)
}

func (e *Engine) publish(added, removed []uint64) {
	if len(added) == 0 {
		return
	}
	e.eventSeq++
	e.events = append(e.events, routing.CacheEvent{Sequence: e.eventSeq, Added: added, Removed: removed})
}

// startNextPrefill starts the prefill of the next job if the batch has room for it.
func (e *Engine) startNextPrefill() {
	for e.up && !e.changingRole && e.prefill == nil && len(e.waiting) > 0 {
		j := e.waiting[0]
		if !j.cancelled && !e.hasRoom(j) {
			return
		}
		heap.Pop(&e.waiting)
		if j.cancelled {
			continue
		}
		held := e.cache.match(j.Prefix) * routing.PrefixBlockTokens
		j.promptLeft = max(float64(j.Prompt-held), 1)
		e.prefill = j
	}
}

func (e *Engine) hasRoom(j *Job) bool {
	slots := e.table.ForRole(e.role).MaxSequences
	if j.Priority > 0 {
		slots += prioritySlots
	}
	return len(e.running) < slots
}
