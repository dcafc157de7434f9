// Package enginemodel is a simplified simulation of an inference engine in
// virtual time. It covers continuous batching, prefill and decode that share
// the engine's time, a prefix cache, priorities, role changes that take
// seconds, and crashes. It serves to compare scheduling decisions and is not a
// full cluster simulator.
package enginemodel

import (
	"container/heap"
	"math"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// cacheBlocks is the capacity of the prefix cache in blocks.
	cacheBlocks = 4000
	// prioritySlots is the number of sequences with raised priority that may run
	// in addition to a full batch.
	prioritySlots = 8
	// tokenEpsilon is the remainder, in tokens, below which a prefill or an output
	// counts as complete.
	tokenEpsilon = 1e-6
)

// Never is the time of an event that does not occur.
var Never = math.Inf(1)

// Job is one request at an engine. All times are in seconds.
type Job struct {
	Prompt   int
	Output   int
	Priority int
	Prefix   []uint64
	// OnFirst is called at the first token, OnDone at the end of the request
	// and OnFail when the engine crashes.
	OnFirst func(now float64)
	OnDone  func(now float64)
	OnFail  func(now float64)

	arrival      uint64
	promptLeft   float64 // prompt tokens not yet prefilled
	finish       float64 // value of Engine.progress at which the job ends
	runningIndex int     // index in running, or -1
	cancelled    bool
}

// Engine is one simulated engine. Its owner calls Advance at the time that Next
// returns, and with the current time before every other call.
type Engine struct {
	table *speed.Table
	role  settings.Role
	// backgroundShare is the part of the engine's time, 0 to 1, that other users take.
	backgroundShare float64

	now            float64
	lastArrival    uint64
	incarnation    int
	up             bool
	changingRole   bool
	nextRole       settings.Role
	roleChangeEnds float64

	waiting  waitingHeap
	prefill  *Job
	running  runningHeap
	progress float64 // tokens that a sequence running since the start would have decoded
	cache    *cache
	events   []routing.CacheEvent
	eventSeq uint64
}

// New returns an idle engine.
func New(table *speed.Table, role settings.Role) *Engine {
	return &Engine{table: table, role: role, up: true, cache: newCache(cacheBlocks)}
}

// SetBackgroundShare sets the part of the engine's time, 0 to 1, that other users take.
func (e *Engine) SetBackgroundShare(part float64) { e.backgroundShare = part }

// Role returns the current role.
func (e *Engine) Role() settings.Role { return e.role }

// Up reports whether the engine is reachable, that is, has not crashed.
func (e *Engine) Up() bool { return e.up }

// ChangingRole reports whether a role change is in progress.
func (e *Engine) ChangingRole() bool { return e.changingRole }

// Submit queues a job. It returns false if the engine is down.
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

// Cancel ends a job without calling any of its callbacks.
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

// ChangeRole pauses all work for the given time and then resumes it in the new
// role. No job is lost.
func (e *Engine) ChangeRole(role settings.Role, seconds float64) {
	e.changingRole = true
	e.nextRole = role
	e.roleChangeEnds = e.now + seconds
}

// Crash takes the engine down. All jobs fail, the cache is lost and a role
// change in progress is abandoned.
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

// Report returns the engine's load report.
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

// CacheEvents returns the cache events since the last call and clears them.
func (e *Engine) CacheEvents() []routing.CacheEvent {
	out := e.events
	e.events = nil
	return out
}

// Next returns the time of the engine's next event, or Never.
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

// rates returns the prefill rate in prompt tokens per second and the decode rate
// in tokens per second per sequence.
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

// Advance moves the engine to the given time, which must not be after Next.
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

// completeFinished ends the jobs and the prefill that are complete and starts
// the next prefill.
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

// startNextPrefill starts the prefill of the next waiting job if the batch has
// room for it.
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
