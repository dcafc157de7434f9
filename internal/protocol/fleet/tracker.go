package fleet

import (
	"iter"
	"sync"
	"sync/atomic"
	"time"
)

// View indexes a list of engines by service. It is immutable.
type View struct {
	byService map[string][]Engine
	count     int
}

// NewView returns a view of a list.
func NewView(engines []Engine) *View {
	v := &View{byService: make(map[string][]Engine), count: len(engines)}
	for _, e := range engines {
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
	return v
}

// Engines returns the engines of a service.
func (v *View) Engines(service string) []Engine {
	return v.byService[service]
}

// All iterates over the engines of all services, in no particular order.
func (v *View) All() iter.Seq[Engine] {
	return func(yield func(Engine) bool) {
		for _, engines := range v.byService {
			for _, e := range engines {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// Len returns the number of engines of all services.
func (v *View) Len() int {
	return v.count
}

// Tracker tracks the load of engines: this entry's own exactly, that of all
// other entries as last reported. It is safe for concurrent use.
type Tracker struct {
	own     sync.Map // engine id to *ownLoad
	waiting sync.Map // service to *atomic.Int64, in prompt tokens
	others  atomic.Pointer[remoteWork]
	// position and entries are this entry's place among those that accept new work and their
	// number.
	position, entries atomic.Int64
}

// remoteWork is the work that all other entries reported, and when the report
// was received.
type remoteWork struct {
	Work
	receivedAt time.Time
	// interval is the mean time between two reports, zero if there were none.
	interval time.Duration
}

const (
	// reportWeight is the number of reports that the mean interval between them is from, and
	// maxReportInterval bounds the interval that counts: after a loss of contact it is no
	// evidence of the age of later reports.
	reportWeight      = 8
	maxReportInterval = time.Second
)

// ownLoad counts this entry's unfinished work at one engine.
type ownLoad struct {
	promptTokens, streams, calls, kvTokens atomic.Int64
}

// NewTracker returns a tracker without any load.
func NewTracker() *Tracker {
	t := &Tracker{}
	t.SetOthers(Work{})
	return t
}

// SetOthers replaces the known work of the other entries.
func (t *Tracker) SetOthers(w Work) {
	next := &remoteWork{Work: w, receivedAt: time.Now()}
	if last := t.others.Load(); last != nil {
		next.interval = last.interval + (min(next.receivedAt.Sub(last.receivedAt), maxReportInterval)-last.interval)/reportWeight
	}
	t.others.Store(next)
}

// ForgetOthers drops the known work of the other entries because it is too old. Their needs in
// KV caches stay: figures that are too high delay requests, and those that are too low crash
// engines.
func (t *Tracker) ForgetOthers() {
	kept := Work{Engines: make(map[string]Load)}
	for engine, load := range t.others.Load().Engines {
		if load.KVTokens > 0 {
			kept.Engines[engine] = Load{KVTokens: load.KVTokens}
		}
	}
	t.SetOthers(kept)
}

// SetPosition sets this entry's place, from zero, among the entries that accept new work and
// their number. The place is negative if it isn't one of them.
func (t *Tracker) SetPosition(index, entries int) {
	t.position.Store(int64(index))
	t.entries.Store(int64(entries))
}

// Position returns what SetPosition set last, or zeros.
func (t *Tracker) Position() (index, entries int) {
	return int(t.position.Load()), int(t.entries.Load())
}

// OthersWaiting returns the number of prompt tokens of a service that wait at
// other entries.
func (t *Tracker) OthersWaiting(service string) int {
	return t.others.Load().Waiting[service]
}

// AddWaiting counts a prompt as waiting at this entry. done removes it again and must
// be called exactly once.
func (t *Tracker) AddWaiting(service string, tokens int) (done func()) {
	held, ok := t.waiting.Load(service)
	if !ok {
		held, _ = t.waiting.LoadOrStore(service, &atomic.Int64{})
	}
	count := held.(*atomic.Int64)
	count.Add(int64(tokens))
	return func() { count.Add(-int64(tokens)) }
}

// Age returns the time since the other entries' work was last received.
func (t *Tracker) Age() time.Duration {
	return time.Since(t.others.Load().receivedAt)
}

// Staleness returns about how old the load of the other entries is: each of their reports
// was made within the interval between two of them.
func (t *Tracker) Staleness() time.Duration {
	last := t.others.Load()
	return time.Since(last.receivedAt) + last.interval
}

// Load returns the load of an engine by all entries.
func (t *Tracker) Load(engine string) Load {
	return t.ownLoad(engine).Add(t.others.Load().Engines[engine])
}

func (t *Tracker) ownLoad(engine string) Load {
	if held, ok := t.own.Load(engine); ok {
		return held.(*ownLoad).load()
	}
	return Load{}
}

func (o *ownLoad) load() Load {
	return Load{
		PromptTokens: int(o.promptTokens.Load()),
		Streams:      int(o.streams.Load()),
		Calls:        int(o.calls.Load()),
		KVTokens:     int(o.kvTokens.Load()),
	}
}

// Own returns this entry's work, without engines or services that have none.
func (t *Tracker) Own() Work {
	out := Work{Engines: make(map[string]Load), Waiting: make(map[string]int)}
	t.own.Range(func(engine, held any) bool {
		if load := held.(*ownLoad).load(); load != (Load{}) {
			out.Engines[engine.(string)] = load
		}
		return true
	})
	t.waiting.Range(func(service, held any) bool {
		if tokens := held.(*atomic.Int64).Load(); tokens > 0 {
			out.Waiting[service.(string)] = int(tokens)
		}
		return true
	})
	return out
}

// AddWork adds work to an engine's load; done removes it again. Only the first
// call of done has an effect.
func (t *Tracker) AddWork(engine string, work Load) (done func()) {
	held, ok := t.own.Load(engine)
	if !ok {
		held, _ = t.own.LoadOrStore(engine, &ownLoad{})
	}
	o := held.(*ownLoad)
	o.add(work, 1)
	var once sync.Once
	return func() { once.Do(func() { o.add(work, -1) }) }
}

func (o *ownLoad) add(work Load, sign int64) {
	o.promptTokens.Add(sign * int64(work.PromptTokens))
	o.streams.Add(sign * int64(work.Streams))
	o.calls.Add(sign * int64(work.Calls))
	o.kvTokens.Add(sign * int64(work.KVTokens))
}

// Prune drops the counters of engines that are not in the view and have no
// work of this entry.
func (t *Tracker) Prune(v *View) {
	known := make(map[string]bool, v.count)
	for _, engines := range v.byService {
		for _, e := range engines {
			known[e.ID] = true
		}
	}
	t.own.Range(func(engine, held any) bool {
		if !known[engine.(string)] && held.(*ownLoad).load() == (Load{}) {
			t.own.Delete(engine)
		}
		return true
	})
}
